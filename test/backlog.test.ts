import * as assert from 'uvu/assert';
import { until } from '../src/fleet/fleet.js';
import { PlatformFleet } from '../src/fleet/platformFleet.js';
import { configurationOf, routeOf } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, run } = suite('backlog');

let fleet: PlatformFleet;
before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'port'], backlog: 1 });
  await fleet.enforce(0, configurationOf(1, [routeOf('r-once', '/once/', { route_kind: 'non_idempotent' })], ['line']));
});
after(() => fleet.end());

test('an endpoint that queues by itself has the next request when its slot comes free, and no more than that', async () => {
  const endpoint = await fleet.endpoint('app1', { slots: 1 });
  await fleet.listed('line', [endpoint]);
  let open: () => void = () => undefined;
  const gate = new Promise<void>((settle) => { open = settle; });
  endpoint.onRun = () => gate;
  const answers = ['first', 'second', 'third'].map((id) => fleet.request('app2', 'POST', '/once/1', { id }));
  await until('one runs and one waits at the endpoint', () => endpoint.running === 1 && endpoint.arrivals.length === 2);
  const host = `http://${fleet.sidecars.get('app1')?.adminAddress}/metrics`;
  await until('the third waits at the host', async () => (await (await fetch(host)).text()).includes('opalstair_host_running 3'));
  assert.equal([endpoint.arrivals.length, endpoint.mostRunning], [2, 1]);
  open();
  assert.equal((await Promise.all(answers)).map(({ status }) => status), [200, 200, 200]);
  assert.equal(endpoint.runs.map(({ id }) => id).sort(), ['first', 'second', 'third']);
  assert.is(endpoint.mostRunning, 1);
});

run();
