throw new Error('no loading');
