import { createConnection } from 'node:net';
import * as assert from 'uvu/assert';
import { callJson, Fleet, PORTS, until, type JsonAnswer } from '../src/fleet/fleet.js';
import type { Behaviour, RunRecord, StandInEndpoint } from '../src/fleet/standInEndpoint.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('orders');

interface Told {
  readonly outcome?: string;
  readonly title?: string;
  readonly endpoint?: string;
}
let fleet: Fleet;
let first: StandInEndpoint;
let second: StandInEndpoint;

const manifest = {
  services: [{ name: 'port' }, { name: 'line' }],
  bindings: [
    { id: 'ports', service: 'port', prefix: '/port', cutoffMs: 1500 },
    { id: 'again', service: 'port', prefix: '/again', repeatable: ['PUT'], cutoffMs: 1500 },
    { id: 'lines', service: 'line', prefix: '/line' },
  ],
  allowance: { serviceShares: 60 },
};
const order = (method: string, path: string, headers: Readonly<Record<string, string>> = {}, body: unknown = method === 'GET' ? undefined : { wish: 1 }): Promise<JsonAnswer<Told>> =>
  callJson<Told>(method, fleet.orderUrl('app2', path), body, headers);
const behave = (behaviour: Behaviour): void => {
  for (const endpoint of [first, second]) {
    endpoint.behaviour = () => behaviour;
    endpoint.runs.length = 0;
  }
};
const runs = (): readonly RunRecord[] => [...first.runs, ...second.runs];
const rawExchange = (text: string): Promise<string> => new Promise((settle) => {
  let heard = '';
  const socket = createConnection({ host: fleet.machine('app2').host, port: PORTS.order }, () => socket.write(text));
  socket.on('data', (chunk) => { heard += chunk.toString('latin1'); });
  socket.on('close', () => settle(heard));
  socket.on('error', () => settle(heard));
});
/** Whether enough allowance is saved for one repeat; it trickles in with time. */
const saved = (): Promise<true> => until('a token', async () => {
  const state = await callJson<{ allowance: readonly { branch: string; tokens: number }[] }>('GET', `http://${fleet.machine('app2').host}:${PORTS.switchAdmin}/v1/state`);
  return ['fleet', 'service/port', 'binding/ports', 'binding/again'].every((branch) => (state.body.allowance.find((one) => one.branch === branch)?.tokens ?? 0) >= 1) || null;
});

before(async () => {
  fleet = await Fleet.start({ switchboards: 2, zones: 1, flags: { switchboard: ['--highest-nodes', '2'] } });
  await fleet.inForce(await fleet.push(manifest));
  first = await fleet.endpoint('app1', 'port', 'port-1', { slots: 2 });
  second = await fleet.endpoint('app2', 'port', 'port-2', { slots: 2 });
  await fleet.listed('port', ['port-1', 'port-2']);
  await order('GET', '/again/0');
  await order('GET', '/port/0');
});
after(() => fleet.end());
restore(() => fleet.restore());

test('headers and bodies pass whole, what belongs to a hop or to opalstair does not', async () => {
  behave('serves');
  const heard = await rawExchange('PUT /port/a%20b?x=%2F HTTP/1.1\r\nHost: shop.example\r\nConnection: close, x-private\r\nX-Private: no\r\nOpalstair-Order: forged\r\nX-Order-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
  assert.match(heard, /^HTTP\/1\.1 200 /);
  const [record] = runs();
  assert.equal([record?.url, record?.body, record?.key], ['/port/a%20b?x=%2F', 'abcde', 'k1']);
  assert.is.not(record?.order, 'forged');
  assert.match(heard, new RegExp(`opalstair-order: ${record?.order}`));
});

for (const behaviour of ['diesAfterRun', 'diesDuring', 'garbage', 'noLength', 'extraBytes', 'shortLength', 'truncatedChunks', 'endlessHeaders', 'silent', 'badStatus'] as const) {
  test(`a write at an endpoint that ${behaviour} runs once and is called unknown`, async () => {
    behave(behaviour);
    const answer = await order('POST', '/port/1', { 'x-order-key': behaviour });
    assert.equal([runs().length, answer.headers['opalstair-outcome'], answer.body.outcome], [1, 'unknown', 'unknown']);
    assert.ok(answer.status === 502 || answer.status === 504, String(answer.status));
  });
}

test('a repeatable order goes to another endpoint after a broken answer, a write does so only where its binding allows', async () => {
  for (const [method, path] of [['GET', '/port/2'], ['PUT', '/again/2']] as const) {
    await saved();
    behave('serves');
    let broken = 0;
    for (const endpoint of [first, second]) {
      endpoint.behaviour = () => {
        broken += 1;
        return broken === 1 ? 'garbage' : 'serves';
      };
    }
    const answer = await order(method, path);
    assert.equal([answer.status, runs().length, new Set(runs().map((record) => record.endpoint)).size], [200, 2, 2], `${method} ${path}`);
  }
});

test('a refused connection is proof: a write goes on to another endpoint and runs once', async () => {
  await saved();
  behave('serves');
  const third = await fleet.endpoint('app1', 'line', 'line-1');
  const fourth = await fleet.endpoint('app2', 'line', 'line-2');
  await fleet.listed('line', ['line-1', 'line-2']);
  const closed = third;
  await new Promise<void>((settle) => { (closed as unknown as { server: { close: (done: () => void) => void } }).server.close(() => settle()); });
  const outcomes: string[] = [];
  for (let count = 0; count < 6; count += 1) {
    const answer = await order('POST', '/line/3', { 'x-order-key': `c${count}` });
    outcomes.push(`${answer.status} ${answer.headers['opalstair-outcome'] ?? 'answered'}`);
  }
  const keys = fourth.runs.map((record) => record.key);
  assert.is(new Set(keys).size, keys.length);
  assert.is(outcomes.filter((outcome) => outcome === '200 answered').length, keys.length);
  assert.ok(outcomes.every((outcome) => outcome === '200 answered' || outcome === '503 not-run'), outcomes.join());
  await third.die().catch(() => undefined);
  await fourth.signOff();
});

test('slots are kept exactly, and what does not fit is turned away as not run', async () => {
  behave('serves');
  let open: () => void = () => undefined;
  const gate = new Promise<void>((settle) => { open = settle; });
  for (const endpoint of [first, second]) {
    endpoint.mostRunning = 0;
    endpoint.onRun = () => gate;
  }
  const answers = Array.from({ length: 30 }, (_, count) => order('POST', '/port/4', { 'x-order-key': `s${count}` }));
  await until('both endpoints are full', () => first.running === 2 && second.running === 2);
  const turnedAway = await Promise.any(answers.map(async (answer) => ((await answer).status === 503 ? answer : Promise.reject(new Error('other')))));
  assert.equal([turnedAway.headers['opalstair-outcome'], turnedAway.headers['retry-after']], ['not-run', '1']);
  open();
  const all = await Promise.all(answers);
  assert.equal([first.mostRunning, second.mostRunning], [2, 2]);
  assert.is(all.filter((answer) => answer.status === 200).length, runs().length);
  assert.ok(all.every((answer) => answer.status === 200 || answer.headers['opalstair-outcome'] === 'not-run'));
  for (const endpoint of [first, second]) endpoint.onRun = () => undefined;
});

test('a caller that hangs up does not cancel a write', async () => {
  behave('serves');
  let open: () => void = () => undefined;
  const gate = new Promise<void>((settle) => { open = settle; });
  first.onRun = () => gate;
  second.onRun = () => gate;
  const socket = createConnection({ host: fleet.machine('app2').host, port: PORTS.order });
  socket.write('POST /port/5 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok');
  await until('the write runs', () => runs().length === 1);
  socket.destroy();
  open();
  await until('the write has ended', () => first.running + second.running === 0);
  assert.is(runs().length, 1);
  first.onRun = () => undefined;
  second.onRun = () => undefined;
});

test('malformed, doubtful, unbound and overlong orders are turned away and disturb nobody', async () => {
  behave('serves');
  assert.match(await rawExchange('nonsense\r\n\r\n'), /^HTTP\/1\.1 400 /);
  assert.match(await rawExchange('GET /port/../line HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'), /^HTTP\/1\.1 400 [^]*opalstair-outcome: not-run/);
  assert.match(await rawExchange('TRACE /port HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'), /^HTTP\/1\.1 405 /);
  assert.match(await rawExchange(`POST /port HTTP/1.1\r\nHost: x\r\nContent-Length: ${17 * 1024 * 1024}\r\n\r\n`), /^HTTP\/1\.1 413 [^]*opalstair-outcome: not-run/);
  const unbound = await order('GET', '/nowhere');
  assert.equal([unbound.status, unbound.headers['opalstair-outcome']], [404, 'not-run']);
  assert.is((await order('GET', '/port/ok')).status, 200);
  assert.is(runs().length, 1);
});

test('answers without a body stay as the endpoint gave them', async () => {
  behave('serves');
  const head = await rawExchange('HEAD /port/6 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
  assert.match(head, /^HTTP\/1\.1 200 [^]*content-length: [1-9]\d+\r\n[^]*\r\n\r\n$/);
});

run();
