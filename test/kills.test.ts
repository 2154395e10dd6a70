import * as assert from 'uvu/assert';
import { callJson, Fleet, PORTS, until, type JsonAnswer } from '../src/fleet/fleet.js';
import type { StandInEndpoint } from '../src/fleet/standInEndpoint.js';
import { suite } from './harness.js';
import { gated, lineManifest } from './parts.js';

const { test, before, after, restore, run } = suite('kills');

interface Told {
  readonly outcome?: string;
  readonly title?: string;
  readonly endpoint?: string;
  readonly serial?: number;
}
let fleet: Fleet;
let endpoint: StandInEndpoint;
const order = (machine: string, key = '', method = 'POST'): Promise<JsonAnswer<Told>> => callJson<Told>(method, fleet.orderUrl(machine, '/line/1'), method === 'GET' ? undefined : {}, { 'x-order-key': key });
const runsOf = (key: string): number => endpoint.runs.filter((record) => record.key === key).length;

before(async () => {
  fleet = await Fleet.start({ switchboards: 3, zones: 1, flags: { switchboard: ['--highest-nodes', '3'] } });
  await fleet.inForce(await fleet.push(lineManifest('start')));
  endpoint = await fleet.endpoint('app1', 'line', 'line-1');
  await fleet.listed('line', ['line-1']);
});
after(() => fleet.end());
restore(() => fleet.restore());

test('the host switchboard killed while an order runs: unknown at once, and it ran once', async () => {
  const gate = gated(endpoint);
  const answer = order('app2', 'killed-host');
  await until('it runs', () => runsOf('killed-host') === 1);
  await fleet.switchboards.get('app1')?.end('SIGKILL');
  const told = await answer;
  gate.open();
  assert.equal([told.status, told.headers['opalstair-outcome'], runsOf('killed-host')], [502, 'unknown', 1]);
  await fleet.switchboards.get('app1')?.start();
  await fleet.listed('line', ['line-1']);
  await until('service', async () => (await order('app2')).status === 200);
});

test('the caller\'s switchboard killed while an order runs: it ran once', async () => {
  const gate = gated(endpoint);
  const answer = order('app3', 'killed-caller').then(() => 'answered', () => 'connection lost');
  await until('it runs', () => runsOf('killed-caller') === 1);
  await fleet.switchboards.get('app3')?.end('SIGKILL');
  gate.open();
  assert.is(await answer, 'connection lost');
  await fleet.switchboards.get('app3')?.start();
  await fleet.ready(fleet.switchboards.get('app3') as never);
  assert.is(runsOf('killed-caller'), 1);
});

test('a machine\'s address that goes to another machine never brings an order to the wrong service', async () => {
  await until('service', async () => (await order('app2')).status === 200);
  const former = fleet.switchboards.get('app1');
  await former?.end('SIGKILL');
  endpoint.stopBeating();
  const successor = fleet.daemon('switchboard', { ...fleet.machine('app1'), name: 'app7' }, PORTS.switchAdmin, []);
  fleet.switchboards.set('app7', successor);
  fleet.switchboards.delete('app1');
  await successor.start();
  const other = await fleet.endpoint('app1', 'port', 'line-1');
  const answers = await Promise.all(Array.from({ length: 20 }, (_, count) => order(count % 2 === 0 ? 'app2' : 'app3', 'misled')));
  assert.ok(answers.every((answer) => answer.status === 503 && answer.headers['opalstair-outcome'] === 'not-run'), answers.map((answer) => `${answer.status} ${answer.body.title}`).join());
  assert.equal([other.runs.length, runsOf('misled')], [0, 0]);
});

run();
