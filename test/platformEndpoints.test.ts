import * as assert from 'uvu/assert';
import { until, type JsonAnswer } from '../src/fleet/fleet.js';
import type { PlatformEndpoint } from '../src/fleet/platformEndpoint.js';
import { PLATFORM_PORTS, PlatformFleet, type ClientRequest } from '../src/fleet/platformFleet.js';
import { configurationOf, rawExchange, routeOf, type PlatformTold } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('platform endpoints');

let fleet: PlatformFleet;
let lasting: PlatformEndpoint;
const once = (machine: string, id: string, given: ClientRequest = {}): Promise<JsonAnswer<PlatformTold>> => fleet.request<PlatformTold>(machine, 'POST', '/once/1', { id, body: { id }, ...given });
const many = (id: string, count = 20): Promise<readonly JsonAnswer<PlatformTold>[]> => Promise.all(Array.from({ length: count }, (_, index) => once('app3', `${id}-${index}`)));
const idsAt = (endpoint: PlatformEndpoint, start: string): readonly string[] => endpoint.arrivals.map((record) => record.id).filter((id) => id.startsWith(start));
const gate = (): { readonly closed: Promise<void>; readonly open: () => void } => {
  let open: () => void = () => undefined;
  const closed = new Promise<void>((settle) => { open = settle; });
  return { closed, open: () => open() };
};
const isPromise = (answer: JsonAnswer<PlatformTold>): boolean => answer.status === 503 && Number(answer.headers['retry-after']) > 0;
const leave = async (endpoint: PlatformEndpoint): Promise<void> => {
  await endpoint.depart();
  await endpoint.die();
};

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'line', 'cargo'] });
  await fleet.enforce(0, configurationOf(1, [
    routeOf('r-again', '/again/'), routeOf('r-once', '/once/', { route_kind: 'non_idempotent', timeout: '8s' }), routeOf('r-cargo', '/cargo/', { service: 'cargo' }),
  ], ['line', 'cargo']));
  lasting = await fleet.endpoint('app2', { slots: 30 });
  await fleet.listed('line', [lasting]);
});
after(() => fleet.end());
restore(async () => {
  await fleet.restore([]);
  lasting = await fleet.endpoint('app2', { slots: 30 });
  await fleet.listed('line', [lasting]);
});

test('an address that another instance took over: the request is not run there, but elsewhere, or it is promised not to run', async () => {
  const former = await fleet.endpoint('app1', { slots: 30 });
  await fleet.listed('line', [former, lasting]);
  await many('warm');
  await former.die();
  const taker = await fleet.endpoint('app1', { slots: 30, port: former.port, isMute: true, service: 'cargo' });
  const answers: JsonAnswer<PlatformTold>[] = [];
  await until('some requests came to the taker, and some were served', async () => {
    answers.push(...await many(`taken-${answers.length}`));
    assert.ok(answers.every((answer) => isPromise(answer) || (answer.status === 200 && answer.body.instance === lasting.instance)), answers.map((answer) => answer.status).join());
    return idsAt(taker, 'taken').length > 0 && answers.some((answer) => answer.status === 200);
  });
  assert.ok(taker.arrivals.length > 0 && taker.arrivals.every((record) => record.expected === former.instance), `${taker.arrivals.length} came to the taker`);
  lasting.stopBeating();
  await lasting.drain();
  await fleet.listed('line', [former]);
  const refused = await many('alone', 5);
  assert.ok(refused.every(isPromise), refused.map((answer) => `${answer.status} ${answer.headers['retry-after']}`).join());
  assert.equal([taker.runs.length, idsAt(lasting, 'alone')], [0, []]);
  taker.resumeBeating();
  await fleet.listed('line', []);
  await fleet.listed('cargo', [taker]);
  assert.equal((await fleet.request<PlatformTold>('app2', 'GET', '/cargo/1')).body.instance, taker.instance);
  await Promise.all([leave(taker), leave(lasting)]);
  lasting = await fleet.endpoint('app2', { slots: 30 });
  await fleet.listed('cargo', []);
  await fleet.listed('line', [lasting]);
});

test('with all slots taken and the queue full, a request is promised not to run and never does', async () => {
  const { closed, open } = gate();
  lasting.onRun = () => closed;
  const running = many('full', 30);
  await until('all slots are taken', () => lasting.running === 30);
  const late = await Promise.all(Array.from({ length: 10 }, (_, index) => once('app3', `over-${index}`, { leftMs: 400 })));
  assert.ok(late.every(isPromise), late.map((answer) => `${answer.status} ${answer.headers['retry-after']}`).join());
  open();
  assert.ok((await running).every((answer) => answer.status === 200));
  assert.equal([idsAt(lasting, 'over'), lasting.mostRunning], [[], 30]);
  lasting.refresh();
});

test('an endpoint whose own queue is fuller than the mesh knows refuses, and the request goes elsewhere', async () => {
  const narrow = await fleet.endpoint('app1', { slots: 30 });
  await fleet.listed('line', [narrow, lasting]);
  narrow.behaviour = () => 'refuses';
  await until('it has refused some', async () => {
    await fleet.saved('app3', 'r-once', () => once('app3', 'earn'));
    const answer = await once('app3', 'narrow');
    assert.equal([answer.status, answer.body.instance], [200, lasting.instance]);
    return idsAt(narrow, 'narrow').length > 0;
  });
  assert.is(narrow.runs.length, 0);
  await leave(narrow);
  await fleet.listed('line', [lasting]);
});

test('from the acknowledged draining beat on no request reaches the endpoint, though nobody else hears of it; those that run end whole, its departure is acknowledged', async () => {
  const leaving = await fleet.endpoint('app1', { slots: 30 });
  await fleet.listed('line', [leaving, lasting]);
  const { closed, open } = gate();
  for (const endpoint of [leaving, lasting]) endpoint.onRun = (record) => (record.id.startsWith('held') ? closed : undefined);
  const running: Promise<JsonAnswer<PlatformTold>>[] = Array.from({ length: 12 }, (_, index) => once('app3', `held-${index}`));
  await until('requests run at the leaving one', () => leaving.running > 2);
  let isAcknowledged = false;
  const sentAfter = new Set<string>();
  const callers = Array.from({ length: 4 }, async (_, caller) => {
    for (let count = 0; count < 60; count += 1) {
      const id = `flow-${caller}-${count}`;
      if (isAcknowledged) sentAfter.add(id);
      running.push(once('app3', id));
      await running.at(-1);
    }
  });
  await until('requests flow to it', () => idsAt(leaving, 'flow').length > 5);
  fleet.directories.forEach((directory) => directory.signal('SIGSTOP'));
  assert.is(await leaving.drain(), 200);
  isAcknowledged = true;
  await Promise.all(callers);
  fleet.directories.forEach((directory) => directory.signal('SIGCONT'));
  assert.ok(sentAfter.size > 40, `${sentAfter.size} were sent after it`);
  assert.equal(leaving.arrivals.map((record) => record.id).filter((id) => sentAfter.has(id)), []);
  open();
  const answers = await Promise.all(running);
  assert.ok(answers.every((answer) => answer.status === 200), [...new Set(answers.map((answer) => answer.status))].join());
  assert.is(await leaving.depart(), 200);
  assert.is(await leaving.depart(), 200, 'a departure that is reported again is acknowledged again');
  assert.ok((await many('gone', 10)).every((answer) => answer.body.instance === lasting.instance));
  await leaving.die();
  lasting.refresh();
  await fleet.listed('line', [lasting]);
});

test('a beat that comes late changes nothing: neither the draining of one that is ready, nor the readiness of one that drains', async () => {
  const other = await fleet.endpoint('app1', { slots: 30 });
  await fleet.listed('line', [other, lasting]);
  other.stopBeating();
  assert.is(await other.beat(1000, 'ready'), 200);
  assert.is(await other.beat(999, 'draining'), 200);
  await until('it is still used', async () => {
    await many('late', 10);
    return idsAt(other, 'late').length > 0;
  });
  assert.is(await other.beat(1002, 'draining'), 200);
  for (const sequence of [1001, 1002]) assert.is(await other.beat(sequence, 'ready'), 200);
  const before = other.arrivals.length;
  const answers = await many('after');
  assert.ok(answers.every((answer) => answer.body.instance === lasting.instance));
  assert.is(other.arrivals.length, before);
  await leave(other);
  await fleet.listed('line', [lasting]);
});

test('beats that are none are refused and leave no trace', async () => {
  const beat = (body: string): Promise<string> => rawExchange(fleet.machine('app1').host, PLATFORM_PORTS.control,
    `POST /-/instances/i-bad/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
  const whole = { address: '127.0.0.1:9', information: { service: 'line', version: 'v1', zone: 'zone1', capacity_slots: 6 }, status: { state: 'ready', call_sequence: 1, cold_remaining: '0ms' } };
  for (const body of ['', 'no json', '[]', JSON.stringify({ ...whole, address: 'nowhere' }), JSON.stringify({ ...whole, information: undefined }), JSON.stringify({ ...whole, information: { ...whole.information, capacity_slots: 0 } })]) {
    assert.match(await beat(body), /^HTTP\/1\.1 400 /, body);
  }
  assert.ok((await many('sane', 5)).every((answer) => answer.status === 200));
});

test('a stopping sidecar is not ready at once, takes what still comes, and ends what it has read whole; so does the one beside the endpoint', async () => {
  const { closed, open } = gate();
  lasting.onRun = () => closed;
  const running = many('stop', 5);
  await until('they run', () => idsAt(lasting, 'stop').length === 5 && lasting.running === 5);
  const [caller, host] = [fleet.sidecars.get('app3'), fleet.sidecars.get('app2')];
  caller?.signal('SIGTERM');
  host?.signal('SIGTERM');
  await until('neither is ready', async () => (await fleet.readiness('app3')) === 503 && (await fleet.readiness('app2')) === 503);
  const late = await once('app3', 'late-comer', { leftMs: 500 }).catch(() => null);
  assert.ok(late === null || late.status === 503 || late.headers['connection'] === 'close', `${late?.status}`);
  open();
  const answers = await running;
  assert.equal(answers.map((answer) => [answer.status, answer.body.id]), Array.from({ length: 5 }, (_, index) => [200, `stop-${index}`]));
  assert.equal(await Promise.all([caller?.end(), host?.end()]), [0, 0]);
  assert.is(await fleet.readiness('app3'), 0);
});

run();
