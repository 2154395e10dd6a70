import { once } from 'node:events';
import { Agent, get, type IncomingMessage, type RequestOptions } from 'node:http';
import { connect } from 'node:net';
import * as assert from 'uvu/assert';
import type { Door } from '../src/connection/connectionGuard.js';
import { Listener } from '../src/connection/listener.js';
import { suite } from './harness.js';

const { test, run } = suite('listener');

const HOST = '127.0.0.1';
/** More than the system's own buffers take of one connection. */
const LONG_BYTES = 48 * 1024 * 1024;

const door: Door = (incoming, outgoing) => {
  const body = Buffer.alloc(incoming.url === '/long' ? LONG_BYTES : 10, 'a');
  outgoing.writeHead(200, { 'content-length': body.length }).end(body);
};
const answerOf = async (options: RequestOptions): Promise<IncomingMessage> => {
  const [answer] = await once(get({ host: HOST, ...options }), 'response') as [IncomingMessage];
  return answer;
};
const bytesOf = async (answer: IncomingMessage): Promise<number> => {
  let bytes = 0;
  for await (const part of answer as AsyncIterable<Buffer>) bytes += part.length;
  return bytes;
};

// Guards against long answers that are cut at a planned stop, although they were handed over whole and their clients still read them.
test('a door that closes lets answers be taken to their end, however slowly, and ends idle connections at once', async () => {
  const listener = (await Listener.open(door, HOST, 0))._unsafeUnwrap();
  const { port } = listener;
  const agent = new Agent({ keepAlive: true });
  const idle = await answerOf({ port, path: '/short', agent });
  const { socket } = idle;
  assert.is(await bytesOf(idle), 10);
  const idleEnded = once(socket, 'close');
  const long = await answerOf({ port, path: '/long', agent: false });
  let isClosed = false;
  const closed = listener.close().then(() => { isClosed = true; });
  await idleEnded;
  const refused = connect(port, HOST);
  const [error] = await once(refused, 'error') as [NodeJS.ErrnoException];
  assert.is(error.code, 'ECONNREFUSED');
  assert.not(isClosed, 'an answer is still being taken');
  assert.is(await bytesOf(long), LONG_BYTES);
  assert.ok(long.complete);
  await closed;
  agent.destroy();
});

run();
