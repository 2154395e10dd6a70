import * as assert from 'uvu/assert';
import { until, type JsonAnswer } from '../src/fleet/fleet.js';
import type { PlatformEndpoint } from '../src/fleet/platformEndpoint.js';
import { PlatformFleet } from '../src/fleet/platformFleet.js';
import { configurationOf, routeOf, type PlatformTold } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('platform links');

let fleet: PlatformFleet;
let endpoint: PlatformEndpoint;
const PROMISES: readonly number[] = [408, 421, 429, 503];
const MANY = 20;

const ask = (method: string, path: string, id: string): Promise<JsonAnswer<PlatformTold>> => fleet.request<PlatformTold>('app2', method, path, { id, ...(method === 'POST' ? { body: { id } } : {}) });
/** A new instance in the place of the former one: nothing is known of it, so its connections may be used again. */
const freshEndpoint = async (): Promise<void> => {
  const former = endpoint;
  endpoint = await fleet.endpoint('app1');
  await former.depart();
  await former.die();
  await fleet.listed('line', [endpoint]);
};

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'cargo'] });
  await fleet.enforce(0, configurationOf(1, [routeOf('r-again', '/again/'), routeOf('r-once', '/once/', { route_kind: 'non_idempotent' })], ['line']));
  endpoint = await fleet.endpoint('app1');
  await fleet.listed('line', [endpoint]);
});
after(() => fleet.end());
restore(() => fleet.restore([endpoint]));

test('requests one after another share a connection', async () => {
  for (let count = 0; count < MANY; count += 1) {
    const id = `shared-${count}`;
    const answer = await ask(count % 2 === 0 ? 'POST' : 'GET', count % 2 === 0 ? '/once/1' : '/again/1', id);
    assert.equal([answer.status, answer.body.id], [200, id]);
  }
  assert.equal([endpoint.runs.length, endpoint.connections], [MANY, 1]);
  assert.is(fleet.sidecars.get('app1')?.errors, '', 'nothing piles up at a connection that is used again and again');
});

test('requests at once take no more connections than the endpoint has slots', async () => {
  await freshEndpoint();
  for (let round = 0; round < 4; round += 1) {
    const answers = await Promise.all(Array.from({ length: 4 }, (_, count) => ask('POST', '/once/1', `at-once-${round}-${count}`)));
    assert.ok(answers.every((answer) => answer.status === 200));
  }
  assert.ok(endpoint.connections <= 4 && endpoint.mostRunning <= 4, `${endpoint.connections} connections`);
});

test('after an answer with Connection: close the next request gets another connection', async () => {
  await freshEndpoint();
  endpoint.behaviour = () => 'closes';
  for (let count = 0; count < 4; count += 1) assert.is((await ask('POST', '/once/1', `closes-${count}`)).status, 200);
  assert.equal(endpoint.runs.map((record) => record.connection), [1, 2, 3, 4]);
});

for (const behaviour of ['lateSurplus', 'lateRefusal'] as const) {
  test(`with a ${behaviour} in the place of the next answer, that one is never given to another request and never read as a promise`, async () => {
    await freshEndpoint();
    endpoint.behaviour = () => behaviour;
    const promised: string[] = [];
    for (let count = 0; count < MANY; count += 1) {
      const id = `${behaviour}-${count}`;
      const answer = await ask('POST', '/once/1', id);
      if (answer.status === 200) assert.equal([answer.body.id, answer.headers['attempt-id'], answer.body.body], [id, id, JSON.stringify({ id })]);
      if (PROMISES.includes(answer.status)) promised.push(id);
    }
    const ids = endpoint.runs.map((record) => record.id);
    assert.ok(endpoint.surplusSent > 0, 'none came late');
    assert.is(new Set(ids).size, ids.length, 'a request ran twice');
    assert.equal(promised.filter((id) => ids.includes(id)), []);
  });
}

test('a repeatable request whose connection brought a surplus answer is served with its own', async () => {
  await freshEndpoint();
  const other = await fleet.endpoint('app1');
  await fleet.listed('line', [endpoint, other]);
  await fleet.saved('app2', 'r-again', () => ask('GET', '/again/0', 'earn'));
  endpoint.behaviour = () => 'lateSurplus';
  other.behaviour = () => 'lateSurplus';
  for (let count = 0; count < MANY; count += 1) {
    const answer = await ask('GET', '/again/1', `again-${count}`);
    if (answer.status === 200) assert.equal([answer.body.id, answer.headers['attempt-id']], [`again-${count}`, `again-${count}`]);
    else assert.ok(!PROMISES.includes(answer.status), String(answer.status));
  }
  assert.ok(endpoint.surplusSent + other.surplusSent > 0);
  await other.depart();
  await other.die();
});

test('idle connections that the endpoint dropped without notice are no loss to the next requests', async () => {
  await freshEndpoint();
  for (let round = 0; round < 5; round += 1) {
    assert.is((await ask('POST', '/once/1', `before-${round}`)).status, 200);
    await until('a connection is idle', () => endpoint.dropIdle() > 0);
    await until('it is closed', () => endpoint.open === 0);
    for (const method of ['GET', 'POST']) {
      const answer = await ask(method, method === 'GET' ? '/again/1' : '/once/1', `dropped-${method}-${round}`);
      assert.ok(!PROMISES.includes(answer.status) || endpoint.arrivals.every((record) => record.id !== `dropped-${method}-${round}`), String(answer.status));
      assert.is(answer.status, 200, method);
    }
  }
  const ids = endpoint.runs.map((record) => record.id);
  assert.is(new Set(ids).size, ids.length);
});

for (const method of ['POST', 'GET'] as const) {
  test(`a connection dropped under a ${method} that had been sent: it is ${method === 'GET' ? 'served elsewhere' : 'promised nothing and sent once'}`, async () => {
    await freshEndpoint();
    const other = await fleet.endpoint('app1');
    const pair = [endpoint, other];
    await fleet.listed('line', pair);
    await fleet.saved('app2', 'r-again', () => ask('GET', '/again/0', 'earn'));
    await until('both have an idle connection', async () => {
      await ask('GET', '/again/0', 'warm');
      return pair.every((one) => one.open > 0);
    });
    pair.forEach((one) => one.refresh());
    const connections = pair.map((one) => one.connections);
    const dropFirst = (one: PlatformEndpoint): void => {
      one.behaviour = () => {
        pair.forEach((each) => { each.behaviour = () => 'serves'; });
        return 'dropsUnread';
      };
    };
    pair.forEach(dropFirst);
    const answer = await ask(method, method === 'GET' ? '/again/1' : '/once/1', 'dropped');
    const [came, ran] = [pair.flatMap((one) => one.arrivals), pair.flatMap((one) => one.runs)].map((list) => list.length);
    const [dropped] = pair.flatMap((one, index) => one.arrivals.filter((record) => record.connection <= (connections[index] ?? 0)));
    assert.is(dropped?.id, 'dropped', 'no connection was used again');
    assert.equal([answer.status, came, ran], method === 'GET' ? [200, 2, 1] : [502, 1, 0]);
    await other.depart();
    await other.die();
  });
}

test('a connection is not used again once the endpoint would close it by its Keep-Alive', async () => {
  const hasty = await fleet.endpoint('app1', { keepAliveSeconds: 1 });
  await endpoint.depart();
  await endpoint.die();
  await fleet.listed('line', [hasty]);
  assert.is((await ask('POST', '/once/1', 'hasty')).status, 200);
  const idleSince = performance.now();
  await until('the mesh closes the idle connection', () => hasty.open === 0);
  assert.ok(performance.now() - idleSince < 1000, 'the endpoint might have closed it first');
  endpoint = hasty;
});

run();
