import type { OutgoingMessage } from 'node:http';

/** A body up to so many bytes goes out in one piece with its headers: Node joins texts, and writes bytes as a piece of their own. */
const JOINED_MOST = 16 * 1024;

export const BodyText = {
  /** Ends a message with these bytes, none if there are none. */
  end: (message: OutgoingMessage, body: Uint8Array): void => {
    if (body.length === 0) message.end();
    else if (body.length > JOINED_MOST) message.end(body);
    else message.end(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('latin1'), 'latin1');
  },
} as const;
