import * as assert from 'uvu/assert';
import type { Daemon } from '../src/fleet/daemon.js';
import { until } from '../src/fleet/fleet.js';
import type { PlatformEndpoint } from '../src/fleet/platformEndpoint.js';
import { PlatformFleet } from '../src/fleet/platformFleet.js';
import { suite } from './harness.js';
import { configurationOf, routeOf, type PlatformTold } from './platformParts.js';

const { test, before, after, restore, run } = suite('departure replicas');

/** How long heartbeats that were made before it come after an acknowledgement, in milliseconds. */
const LATE_MS = 8000;

let fleet: PlatformFleet;
let lasting: PlatformEndpoint;

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'line', 'cargo', 'cargo'] });
  await fleet.enforce(0, configurationOf(1, [routeOf('r-once', '/once/', { route_kind: 'non_idempotent', timeout: '4s' })], ['line', 'cargo']));
  lasting = await fleet.endpoint('app2', { slots: 30 });
  await fleet.listed('line', [lasting]);
});
after(() => fleet.end());
restore(async () => {
  await fleet.restore([lasting]);
  await fleet.listed('line', [lasting]);
});

const core = (): readonly Daemon[] => [...fleet.directories.values(), ...fleet.ratebooks.values()];

/** Requests keep coming while an endpoint that has left is heard of again by late heartbeats; those that reached it. */
const lateArrivals = async (leaving: PlatformEndpoint, acknowledgedAt: number): Promise<readonly string[]> => {
  let count = 0;
  await until('the late heartbeats have come', async () => {
    count += 1;
    await leaving.beat(1000 + count, 'ready');
    await Promise.all(Array.from({ length: 4 }, (_, index) => fleet.request<PlatformTold>('app3', 'POST', '/once/1', { id: `late-${count}-${index}`, body: {}, leftMs: 800 }).catch(() => null)));
    return Date.now() - acknowledgedAt > LATE_MS;
  });
  assert.ok(lasting.arrivals.length > 0, 'requests were served meanwhile');
  return leaving.arrivals.map(({ id, at }) => `${id} after ${at.getTime() - acknowledgedAt} ms`);
};

/** No late heartbeat lists the endpoint again; then it ends. */
const expectNobody = async (leaving: PlatformEndpoint, acknowledgedAt: number): Promise<void> => {
  assert.equal(await lateArrivals(leaving, acknowledgedAt), []);
  await leaving.die();
  await fleet.listed('line', [lasting]);
};

/** Every process ends at once and is started again; the disks are kept. */
const killAll = async (): Promise<void> => {
  await Promise.all(fleet.daemons().map((daemon) => daemon.end('SIGKILL')));
  await Promise.all(fleet.daemons().map((daemon) => daemon.start()));
};

interface Case {
  readonly what: string;
  readonly state: 'draining' | 'departed';
  /** The machine whose switchboard acknowledges; the endpoint is on app1. */
  readonly acknowledgedBy: string;
  readonly isCoreDown: boolean;
}
const CASES: readonly Case[] = [
  { what: 'a departure, by the own machine while the core is down', state: 'departed', acknowledgedBy: 'app1', isCoreDown: true },
  { what: 'a departure, by another machine while the core is down', state: 'departed', acknowledgedBy: 'app4', isCoreDown: true },
  { what: 'draining, by the own machine while the core is down', state: 'draining', acknowledgedBy: 'app1', isCoreDown: true },
  { what: 'a departure, by the own machine, and the core goes down with it', state: 'departed', acknowledgedBy: 'app1', isCoreDown: false },
];

for (const { what, state, acknowledgedBy, isCoreDown } of CASES) {
  // Guards against an acknowledged leaving that is known to its own process alone, and lost with it.
  test(`acknowledged is ${what}, whose switchboard is killed at once: late heartbeats of before list nobody again`, async () => {
    const leaving = await fleet.endpoint('app1', { slots: 30 });
    await fleet.listed('line', [leaving, lasting]);
    leaving.stopBeating();
    if (isCoreDown) await Promise.all(core().map((daemon) => daemon.end('SIGKILL')));
    const sidecar = fleet.sidecars.get(acknowledgedBy);
    assert.is(await (state === 'draining' ? leaving.drain() : leaving.depart(acknowledgedBy === 'app1' ? undefined : fleet.machine(acknowledgedBy).host)), 200);
    const acknowledgedAt = Date.now();
    await Promise.all([sidecar?.end('SIGKILL'), ...(isCoreDown ? [] : core().map((daemon) => daemon.end('SIGKILL')))]);
    await Promise.all([sidecar?.start(), ...core().map((daemon) => daemon.start())]);
    await expectNobody(leaving, acknowledgedAt);
  });
}

for (const state of ['draining', 'departed'] as const) {
  // Guards against an acknowledged leaving that only processes hold, and that is forgotten when all of them end at once.
  test(`acknowledged is ${state}, and every process is killed at once: late heartbeats of before list nobody again, whatever the endpoint says of its health`, async () => {
    const leaving = await fleet.endpoint('app1', { slots: 30 });
    await fleet.listed('line', [leaving, lasting]);
    leaving.stopBeating();
    leaving.hidesLeaving = true;
    assert.is(await (state === 'draining' ? leaving.drain() : leaving.depart()), 200);
    const acknowledgedAt = Date.now();
    await killAll();
    await expectNobody(leaving, acknowledgedAt);
  });
}

// Guards against a leaving that was acknowledged while the core was down, and that its disks never hear of.
test('what was acknowledged while the core was down is on its disks once it is back: every process may then be killed at once', async () => {
  const leaving = await fleet.endpoint('app1', { slots: 30 });
  await fleet.listed('line', [leaving, lasting]);
  leaving.stopBeating();
  leaving.hidesLeaving = true;
  await Promise.all(core().map((daemon) => daemon.end('SIGKILL')));
  assert.is(await leaving.depart(), 200);
  const acknowledgedAt = Date.now();
  await Promise.all(core().map((daemon) => daemon.start()));
  await until('a majority of the disks holds the mark', async () => (await fleet.disksWithMark(leaving.instance)) >= 2);
  await killAll();
  await expectNobody(leaving, acknowledgedAt);
});

// Guards against marks that are lost with the disks that held them, one after the other.
test('a disk that takes the place of a lost one has the marks of departures before it votes', async () => {
  const leaving = await fleet.endpoint('app1', { slots: 30 });
  await fleet.listed('line', [leaving, lasting]);
  assert.is(await leaving.depart(), 200);
  await until('all disks hold the mark', async () => (await fleet.disksWithMark(leaving.instance)) === 3);
  for (const name of ['core1', 'core2', 'core3']) {
    const ratebook = fleet.ratebooks.get(name);
    const former = await fleet.votingDisks('core1');
    await ratebook?.end('SIGKILL');
    fleet.wipe(name);
    await ratebook?.start();
    await until(`the new disk of ${name} votes`, async () => {
      const disks = await fleet.votingDisks('core1');
      return disks.length === 3 && disks.filter((disk) => former.includes(disk)).length === 2;
    });
    assert.is(await fleet.disksWithMark(leaving.instance), 3);
  }
  await leaving.die();
  await fleet.listed('line', [lasting]);
});

// Guards against a departure that is acknowledged although nobody else can know of it.
test('with no other process to tell, a departure is not acknowledged; once there is one, it is', async () => {
  const leaving = await fleet.endpoint('app1', { slots: 30 });
  await fleet.listed('line', [leaving, lasting]);
  leaving.stopBeating();
  const others = fleet.daemons().filter((daemon) => daemon !== fleet.sidecars.get('app1'));
  others.forEach((daemon) => daemon.signal('SIGSTOP'));
  assert.is(await leaving.depart(), 503);
  others.forEach((daemon) => daemon.signal('SIGCONT'));
  await until('it is acknowledged', async () => (await leaving.depart()) === 200);
  await leaving.die();
  await fleet.listed('line', [lasting]);
});

// Guards against a sound endpoint that is kept out because nobody who answers can say that it has not left.
test('after the end of every process at once a sound endpoint is listed again, also one whose health answers are false', async () => {
  lasting.refresh();
  lasting.isHealthy = false;
  await killAll();
  await fleet.listed('line', [lasting]);
  lasting.isHealthy = true;
});

run();
