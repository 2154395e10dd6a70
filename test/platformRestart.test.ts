import * as assert from 'uvu/assert';
import type { PlatformEndpoint } from '../src/fleet/platformEndpoint.js';
import { PLATFORM_PORTS, PlatformFleet } from '../src/fleet/platformFleet.js';
import { configurationOf, routeOf, type PlatformTold } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, run } = suite('platform restarts');

let fleet: PlatformFleet;
let lasting: PlatformEndpoint;

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'line', 'cargo'] });
  await fleet.enforce(0, configurationOf(1, [routeOf('r-once', '/once/', { route_kind: 'non_idempotent', timeout: '8s' })], ['line', 'cargo']));
  lasting = await fleet.endpoint('app2', { slots: 30 });
  await fleet.listed('line', [lasting]);
});
after(() => fleet.end());

test('a sidecar that was killed asks its machine\'s endpoint which instance it is: no beat is waited for', async () => {
  const met = await fleet.endpoint('app1', { slots: 30, port: PLATFORM_PORTS.application });
  await fleet.listed('line', [met, lasting]);
  met.stopBeating();
  const sidecar = fleet.sidecars.get('app1');
  await sidecar?.end('SIGKILL');
  await fleet.listed('line', [lasting]);
  await sidecar?.start();
  await fleet.listed('line', [met, lasting]);
  const answers = await Promise.all(Array.from({ length: 20 }, (_, index) => fleet.request<PlatformTold>('app3', 'POST', '/once/1', { id: `met-${index}`, body: {} })));
  assert.ok(answers.every((answer) => answer.status === 200), answers.map((answer) => answer.status).join());
  assert.ok(met.arrivals.length > 0, 'it was used');
});

run();
