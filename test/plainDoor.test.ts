import * as assert from 'uvu/assert';
import { Listener } from '../src/connection/listener.js';
import { plainDoor } from '../src/connection/plainDoor.js';
import { Clock } from '../src/process/clock.js';
import { MemoryBudget } from '../src/process/memoryBudget.js';
import { suite } from './harness.js';

const MIB = 1024 * 1024;
const { test, run } = suite('plain doors');

test('a call is found by method and path, its name and body are read, and what is no call or too long is told so', async () => {
  const heard: (readonly [string, unknown])[] = [];
  const door = (await Listener.open(plainDoor([
    { method: 'POST', path: '/things/:id/said', answer: (name, body) => {
      heard.push([name, body]);
      return { status: 200, said: { name } };
    } },
    { method: 'PUT', path: '/fault', answer: () => Promise.reject(new Error('a fault')) },
    { method: 'GET', path: '/ready', answer: () => ({ status: 503 }) },
  ], 64, new MemoryBudget(MIB, Clock.monotonic)), '127.0.0.1', 0))._unsafeUnwrap();
  const call = async (method: string, path: string, body?: string): Promise<readonly [number, string]> => {
    const answer = await fetch(`http://${door.address}${path}`, { method, ...(body === undefined ? {} : { body }) });
    return [answer.status, await answer.text()];
  };
  assert.equal(await call('POST', '/things/a%20b/said?x=1', '{"is":1}'), [200, '{"name":"a b"}']);
  assert.equal(await call('POST', '/things/c/said', '{"is":'), [200, '{"name":"c"}']);
  assert.equal(heard, [['a b', { is: 1 }], ['c', null]]);
  assert.equal(await call('GET', '/ready'), [503, '']);
  for (const [method, path] of [['GET', '/things/a/said'], ['POST', '/things/a'], ['POST', '/things/%zz/said'], ['POST', '/ready'], ['GET', '/ready/']] as const) assert.is((await call(method, path))[0], 404, `${method} ${path}`);
  assert.is((await call('POST', '/things/d/said', JSON.stringify('x'.repeat(100))))[0], 413);
  assert.is((await call('PUT', '/fault'))[0], 500, 'a fault of a call ends that call alone');
  assert.is(heard.length, 2);
  await door.close();
});

run();
