import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { until } from '../src/fleet/fleet.js';
import type { PlatformEndpoint } from '../src/fleet/platformEndpoint.js';
import { PLATFORM_PORTS, PlatformFleet } from '../src/fleet/platformFleet.js';
import { configurationOf, routeOf, type PlatformTold } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, run } = suite('time of day that jumps');

/** What each signal adds to the time of day of a process, one after the other, in milliseconds. */
const STEPS = [7000, -19_000, 12_000];
/** A process that starts while this is set begins with that much on its time of day. */
const SHIFT = 'TEST_CLOCK_SHIFT';
const HOOK = `const Real = Date; let shift = Number(process.env.${SHIFT} ?? 0); let count = 0; const steps = ${JSON.stringify(STEPS)};
process.on('SIGUSR2', () => { shift += steps[count % steps.length]; count += 1; });
globalThis.Date = class Date extends Real { constructor(...words) { if (words.length === 0) super(Real.now() + shift); else super(...words); } static now() { return Real.now() + shift; } };`;
const folder = mkdtempSync(join(tmpdir(), 'opalstair-clock-'));

let fleet: PlatformFleet;
let endpoints: PlatformEndpoint[];
let version = 1;
let sent = 0;

const configure = async (): Promise<void> => {
  const base = version;
  version += 3;
  await fleet.enforce(base, configurationOf(version, [routeOf('r-once', '/once/', { route_kind: 'non_idempotent', timeout: '8s' }), routeOf(`r-${version}`, `/new${version}/`)]));
};
/** Requests from every machine, also on the route that only the newest configuration has; all have to be served. */
const serves = async (when: string): Promise<void> => {
  const answers = await Promise.all(['app1', 'app2', 'app3'].flatMap((machine) => Array.from({ length: 10 }, (_, index) => {
    sent += 1;
    return fleet.request<PlatformTold>(machine, 'POST', index % 2 === 0 ? '/once/1' : `/new${version}/1`, { id: `c${sent}`, body: {} });
  })));
  assert.is(answers.filter((answer) => answer.status !== 200).length, 0, `${when}: ${answers.map((answer) => answer.status).join()}`);
};

before(async () => {
  const hook = join(folder, 'hook.cjs');
  writeFileSync(hook, HOOK);
  process.env['NODE_OPTIONS'] = `--require ${hook}`;
  fleet = await PlatformFleet.start({ services: ['line', 'line', 'port'] });
  endpoints = await Promise.all(['app1', 'app2'].map((machine) => fleet.endpoint(machine, { slots: 40 })));
  await fleet.enforce(0, configurationOf(version, [routeOf('r-once', '/once/', { route_kind: 'non_idempotent', timeout: '8s' })]));
  await fleet.listed('line', endpoints);
});
after(async () => {
  delete process.env['NODE_OPTIONS'];
  delete process.env[SHIFT];
  await fleet.end();
  rmSync(folder, { recursive: true, force: true });
});

test('the time of day of every process in turn, then of all at once, jumps both ways: requests are served and configurations come into force', async () => {
  const sidecar = fleet.sidecars.get('app1');
  for (const daemon of fleet.daemons()) {
    daemon.signal('SIGUSR2');
    await configure();
    await serves(`${daemon.program} at ${daemon.adminAddress} has stepped`);
  }
  const logged = sidecar?.lines.filter(({ event }) => event === 'manifest-in-force').at(-1)?.['time'] as number;
  assert.ok(Math.abs(logged - Date.now() - (STEPS[0] ?? 0)) < 4000, `a process writes the stepped time: ${logged - Date.now()} ms off`);
  for (const step of STEPS) {
    fleet.daemons().forEach((daemon) => daemon.signal('SIGUSR2'));
    await configure();
    await serves(`all have stepped, last of ${step} ms and the like`);
  }
});

test('an endpoint that leaves and one that comes while times of day jump are unlisted and listed everywhere', async () => {
  const [leaver, ...rest] = endpoints as [PlatformEndpoint, ...PlatformEndpoint[]];
  fleet.daemons().forEach((daemon, index) => { if (index % 2 === 0) daemon.signal('SIGUSR2'); });
  await leaver.drain();
  fleet.daemons().forEach((daemon) => daemon.signal('SIGUSR2'));
  await leaver.depart();
  await leaver.die();
  const comer = await fleet.endpoint('app1', { slots: 40 });
  endpoints = [...rest, comer];
  await fleet.listed('line', endpoints);
  const before = leaver.arrivals.length;
  await serves('after the exchange');
  assert.is(leaver.arrivals.length, before);
  await until('the new one is used', async () => {
    await serves('the new one');
    return comer.arrivals.length > 0;
  });
});

test('a sidecar, a directory and a ratebook that come back with a time of day an hour back are heard again', async () => {
  process.env[SHIFT] = String(-3_600_000);
  const met = await fleet.endpoint('app2', { slots: 40, port: PLATFORM_PORTS.application });
  endpoints = [...endpoints, met];
  for (const daemon of [fleet.sidecars.get('app2'), fleet.directories.get('core2'), fleet.ratebooks.get('core2')]) {
    await daemon?.end('SIGKILL');
    await daemon?.start();
  }
  await fleet.listed('line', endpoints);
  await configure();
  await serves('after the restarts');
});

run();
