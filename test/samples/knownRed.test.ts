import { suite } from '../harness.js';

const { test, run } = suite('known red');

test('one that is listed', () => { throw new Error('the open fault'); });
test('one that is not', () => undefined);

run();
