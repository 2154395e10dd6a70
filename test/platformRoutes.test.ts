import * as assert from 'uvu/assert';
import { callJson, until } from '../src/fleet/fleet.js';
import type { PlatformEndpoint } from '../src/fleet/platformEndpoint.js';
import { PLATFORM_PORTS, PlatformFleet, type ClientRequest } from '../src/fleet/platformFleet.js';
import type { JsonAnswer } from '../src/fleet/fleet.js';
import { configurationOf, rawExchange, routeOf, type PlatformTold } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('platform routes');

let fleet: PlatformFleet;
let line: PlatformEndpoint;
let port: PlatformEndpoint;
const split = (weights: readonly [number, number]): { readonly traffic_split: readonly { readonly service: string; readonly weight: number }[] } =>
  ({ traffic_split: [{ service: 'line', weight: weights[0] }, { service: 'port', weight: weights[1] }] });
const routes = [
  routeOf('r-top', '/a/'), routeOf('r-deep', '/a/b/', { service: 'port' }), routeOf('r-deeper', '/a/b/c/', { service: 'line' }),
  routeOf('r-split', '/split/', split([90, 10])), routeOf('r-none', '/none/', split([0, 5])), routeOf('r-partner', '/a/', { host: 'partner.example', service: 'port' }),
  routeOf('r-encoded', '/aprobaci%C3%B3n/', { service: 'port' }), routeOf('r-short', '/short/', { timeout: '700ms' }), routeOf('r-once', '/once/', { route_kind: 'non_idempotent' }),
];
const ask = (method: string, path: string, given: ClientRequest = {}): Promise<JsonAnswer<PlatformTold>> => fleet.request<PlatformTold>('app3', method, path, given);

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'port', 'cargo'] });
  await fleet.enforce(0, configurationOf(1, routes));
  line = await fleet.endpoint('app1', { slots: 20 });
  port = await fleet.endpoint('app2', { slots: 20 });
  await fleet.listed('line', [line]);
  await fleet.listed('port', [port]);
});
after(() => fleet.end());
restore(() => fleet.restore([line, port]));

test('a request goes by its host and the longest prefix, and gets a 404 where no route is', async () => {
  for (const [path, service, host] of [
    ['/a/1', 'line'], ['/a/b/1', 'port'], ['/a/b', 'line'], ['/a/b/c/1?x=/a', 'line'], ['/a/bc/1', 'line'], ['/a/', 'line'], ['/aprobaci%C3%B3n/1?x=%2F', 'port'], ['/a/1', 'port', 'partner.example'], ['/a/1', 'port', 'Partner.Example:8080'],
    ['/a', null], ['/b/a/', null], ['/', null], ['/a/1', null, 'nobody.example'], ['/once/1', null, 'partner.example'],
  ] as const) {
    const answer = await ask('GET', path, host === undefined ? {} : { host });
    assert.equal([answer.status, answer.body.service ?? null], service === null ? [404, null] : [200, service], `${host ?? ''}${path}`);
  }
});

test('the weights of a split are kept, and a weight of 0 gets nothing', async () => {
  const counts = { line: 0, port: 0 };
  for (let block = 0; block < 25; block += 1) {
    const answers = await Promise.all(Array.from({ length: 16 }, () => ask('GET', '/split/1')));
    answers.forEach((answer) => { counts[answer.body.service as 'line' | 'port'] += 1; });
  }
  assert.ok(counts.port >= 12 && counts.port <= 80 && counts.line + counts.port === 400, JSON.stringify(counts));
  line.refresh();
  const answers = await Promise.all(Array.from({ length: 20 }, () => ask('GET', '/none/1')));
  assert.ok(answers.every((answer) => answer.body.service === 'port'));
  assert.is(line.arrivals.length, 0);
});

test('method, path, query, body and the other headers pass unchanged, what is said anew does not', async () => {
  line.refresh();
  for (const method of ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', 'HEAD']) {
    const answer = await ask(method, `/a/%41b;c=1//d/?q=%2F&&x=${method}`, { id: `m-${method}`, headers: { 'x-shop': 'one, two', 'calling-service': 'forged', 'expected-instance': 'forged' }, ...(method === 'POST' || method === 'PUT' ? { body: { wish: method } } : {}) });
    assert.is(answer.status, 200, method);
    assert.equal([answer.headers['attempt-id'], answer.headers['server-seal']], [`m-${method}`, `${line.instance}.m-${method}`]);
    const record = line.runs.at(-1);
    assert.equal([record?.id, record?.method, record?.url, record?.headers['x-shop'], record?.headers['host']], [`m-${method}`, method, `/a/%41b;c=1//d/?q=%2F&&x=${method}`, 'one, two', 'shop.example']);
    assert.equal([record?.callingService, record?.expected], ['cargo', line.instance]);
    assert.is(record?.body, method === 'POST' || method === 'PUT' ? JSON.stringify({ wish: method }) : '');
    assert.equal(Object.keys(record?.headers ?? {}).filter((name) => name.startsWith('opalstair')), []);
  }
  assert.equal(Object.keys((await ask('GET', '/a/1')).headers).filter((name) => name.startsWith('opalstair')), []);
});

test('the calling service is that of the machine where the request began, whatever was sent and however it is spelt', async () => {
  for (const [machine, service] of [['app1', 'line'], ['app2', 'port'], ['app3', 'cargo']] as const) {
    line.refresh();
    const { host } = fleet.machine(machine);
    const heard = await rawExchange(host, PLATFORM_PORTS.outbound, 'GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: c1\r\nDeadline-Remaining: 2000\r\nCALLING-SERVICE: forged\r\ncalling-service: forged too\r\nConnection: close\r\n\r\n');
    assert.match(heard, /^HTTP\/1\.1 200 /);
    assert.equal(line.runs.map((record) => record.callingService), [service]);
  }
});

test('a body in chunks arrives whole', async () => {
  line.refresh();
  const heard = await rawExchange(fleet.machine('app3').host, PLATFORM_PORTS.outbound, 'POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ch\r\nDeadline-Remaining: 2000\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
  assert.match(heard, /^HTTP\/1\.1 200 /);
  assert.equal(line.runs.map((record) => record.body), ['abcde']);
});

test('the deadline that an endpoint is told is what is left of the lesser of the client\'s and the route\'s', async () => {
  for (const [path, leftMs, most] of [['/a/1', 2000, 2000], ['/a/1', 60_000, 3000], ['/short/1', 2000, 700], ['/short/1', 400, 400]] as const) {
    line.refresh();
    assert.is((await ask('GET', path, { leftMs })).status, 200);
    const told = line.runs[0]?.leftMs ?? Number.NaN;
    assert.ok(told <= most && told > most - 300, `${path} with ${leftMs}: ${told}`);
  }
  line.refresh();
  assert.is((await ask('GET', '/short/1', { headers: { 'deadline-remaining': 'soon' } })).status, 200);
  assert.ok((line.runs[0]?.leftMs ?? Infinity) <= 700);
});

test('time that a request waited for a slot is taken off its deadline', async () => {
  const narrow = await fleet.endpoint('app3', { slots: 1 });
  await fleet.enforce(1, configurationOf(2, [...routes, routeOf('r-cargo', '/cargo/', { service: 'cargo' })], ['line', 'port', 'cargo']));
  await fleet.listed('cargo', [narrow]);
  let open: () => void = () => undefined;
  const gate = new Promise<void>((settle) => { open = settle; });
  narrow.onRun = () => gate;
  const first = ask('GET', '/cargo/1', { leftMs: 2500 });
  await until('the first runs', () => narrow.running === 1);
  const second = ask('GET', '/cargo/2', { leftMs: 2500 });
  const host = `http://${fleet.sidecars.get('app3')?.adminAddress}/metrics`;
  // On a full machine the request may be long on its way: the wait is counted from when the host has it.
  await until('the second is at the host', async () => (await callJson<string>('GET', host)).body.includes('opalstair_host_running 2'));
  const waitedFrom = performance.now();
  await until('the second has waited', () => performance.now() - waitedFrom > 100);
  open();
  assert.equal((await Promise.all([first, second])).map((answer) => answer.status), [200, 200]);
  const [, late] = narrow.runs;
  assert.ok((late?.leftMs ?? Infinity) <= 2400, String(late?.leftMs));
  assert.is(narrow.mostRunning, 1);
});

run();
