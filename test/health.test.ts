import * as assert from 'uvu/assert';
import { callJson, Fleet, until, type JsonAnswer } from '../src/fleet/fleet.js';
import type { StandInEndpoint } from '../src/fleet/standInEndpoint.js';
import { pino } from 'pino';
import type { NodeReport } from '../src/connection/nodeCalls.js';
import type { BootId, EndpointId, Epoch, InstanceId, Instant, Millis, NodeName, Serial, ServiceName } from '../src/process/brands.js';
import { judge } from '../src/process/health.js';
import { MaskDuty } from '../src/process/maskDuty.js';
import { OutcomeMerger } from '../src/process/outcomeMerger.js';
import { Registry } from '../src/process/registry.js';
import { Manifest } from '../src/version/manifest.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('health');

interface View {
  readonly id: string;
  readonly state: string;
  readonly reason: string | null;
}
let fleet: Fleet;
let endpoints: readonly StandInEndpoint[];
const manifest = {
  services: [{ name: 'line' }],
  bindings: [{ id: 'lines', service: 'line', prefix: '/line', cutoffMs: 2000 }],
  health: { cycleMs: 60_000, retryMs: 600 },
};
const order = (machine: string, method = 'GET'): Promise<JsonAnswer<{ readonly endpoint?: string }>> => callJson('' + method, fleet.orderUrl(machine, '/line/1'), method === 'GET' ? undefined : {});
const views = async (core = 'core1'): Promise<readonly View[]> => {
  const answer = await callJson<{ readonly endpoints: readonly View[] }>('GET', `${fleet.operator(core)}/v1/endpoints`);
  return answer.body.endpoints;
};
const masked = async (core = 'core1'): Promise<readonly string[]> => (await views(core)).filter((view) => view.state === 'masked').map((view) => view.id);
const masksAt = async (machine: string): Promise<readonly string[]> => {
  const answer = await callJson<{ readonly mask: { readonly entries: readonly { readonly endpoint: string }[] } | null }>('GET', `http://${fleet.switchboards.get(machine)?.adminAddress}/v1/services/line`);
  return (answer.body.mask?.entries ?? []).map((entry) => entry.endpoint);
};
/** Sends orders from a machine until the look is satisfied. */
const press = (what: string, machines: readonly string[], look: () => Promise<boolean>): Promise<true> => until(what, async () => {
  await Promise.all(machines.map((machine) => order(machine, 'POST')));
  return look();
});

test('the two rules hold at their borders', () => {
  const rules = Manifest.check({ services: [], bindings: [] })._unsafeUnwrap().health;
  const masks = (calls: number, failures: number, failedAt: readonly number[], now = 10_000): boolean =>
    judge({ calls, failures, recent: failedAt.map((at) => ({ at: Math.abs(at) as Instant, failed: at >= 0 })) }, rules, now as Instant).isJust;
  assert.equal([masks(1, 1, []), masks(2, 2, []), masks(4, 2, []), masks(3, 2, []), masks(100, 50, []), masks(100, 51, [])], [false, true, false, true, false, true]);
  const row = (length: number, from = 9000): readonly number[] => Array.from({ length }, (_, index) => from + index);
  assert.equal([masks(100, 5, row(5)), masks(100, 6, row(6)), masks(100, 6, [...row(3), -9500, ...row(3, 9600)]), masks(100, 6, [4000, ...row(5)])], [false, true, false, false]);
});

test('a new holder of the duty keeps an endpoint masked that is not listed yet, and lets a new instance of it go', () => {
  const clock = { now: () => 10_000 as Instant };
  const registry = new Registry('boot' as BootId, clock, 3000 as Millis, 0 as Millis, () => undefined);
  const rowOf = (id: string, instance: string): object => ({ id, service: 'line', instance, address: '10.0.0.1:1', zone: 'z', slots: 1, leaving: false, node: 'app1', nodeBoot: 'b', hop: '10.0.0.1:2' });
  const hear = (sequence: number, rows: readonly object[]): void => { registry.hear({ node: 'app1', boot: 'b', life: 1, sequence, zone: 'z', hop: '10.0.0.1:2', manifest: 1, rows } as unknown as NodeReport); };
  const rules = Manifest.check({ services: [], bindings: [] })._unsafeUnwrap().health;
  const duty = new MaskDuty(registry, new OutcomeMerger(clock, () => rules), { self: 'directory1' as NodeName, epochOf: () => 5 as Epoch }, clock, pino({ level: 'silent' }), () => rules, () => Promise.resolve(false), () => undefined);
  const line = 'line' as ServiceName;
  duty.learn([{ service: line, epoch: 4 as Epoch, serial: 1 as Serial, entries: [{ endpoint: 'late' as EndpointId, instance: 'i' as InstanceId, reason: 'it failed', since: new Date() }] }]);
  const masked = (): readonly string[] => duty.all().flatMap((mask) => mask.entries.map((entry) => `${mask.epoch} ${entry.endpoint}`));
  hear(1, [rowOf('first', 'i'), rowOf('second', 'i')]);
  duty.judgeAll();
  assert.equal(masked(), ['5 late']);
  hear(2, [rowOf('first', 'i'), rowOf('second', 'i'), rowOf('late', 'i')]);
  duty.judgeAll();
  assert.equal(masked(), ['5 late']);
  hear(3, [rowOf('first', 'i'), rowOf('second', 'i'), rowOf('late', 'next')]);
  duty.judgeAll();
  assert.equal(masked(), []);
});

before(async () => {
  fleet = await Fleet.start({ switchboards: 3, zones: 1, flags: { directory: ['--probe-every-ms', '300'], switchboard: ['--highest-nodes', '3'] } });
  await fleet.inForce(await fleet.push(manifest));
  endpoints = await Promise.all([0, 1, 2, 3].map((index) => fleet.endpoint(`app${(index % 3) + 1}`, 'line', `line-${index}`)));
  await fleet.listed('line', endpoints.map((endpoint) => endpoint.place.id));
});
after(() => fleet.end());
restore(() => fleet.restore());

test('failures that several callers see mask an endpoint for all, a probe through its host brings it back', async () => {
  const [bad] = endpoints as [StandInEndpoint];
  bad.behaviour = () => 'fails';
  await press('a mask for all', ['app1', 'app2'], async () => (await masked()).includes('line-0'));
  await until('the mask at a caller that sent nothing', async () => (await masksAt('app3')).includes('line-0'));
  assert.match((await views()).find((view) => view.id === 'line-0')?.reason ?? '', /calls failed|in a row/);
  const before3 = bad.runs.length;
  for (let count = 0; count < 30; count += 1) assert.is((await order('app3', 'POST')).status, 200);
  assert.is(bad.runs.length, before3, 'a masked endpoint got a write');
  const probesSoFar = bad.probes;
  await until('probes go on', () => bad.probes > probesSoFar + 1);
  bad.behaviour = () => 'serves';
  await until('no mask', async () => (await masked()).length === 0);
  await press('it is used again', ['app3'], async () => bad.runs.length > before3);
});

test('one caller of several can not mask for all; it masks for itself at once and tries again with one repeatable order', async () => {
  const [, bad] = endpoints as [StandInEndpoint, StandInEndpoint];
  bad.behaviour = (record) => (record.url.endsWith('/sour') ? 'fails' : 'serves');
  const sour = (machine: string, method: string): Promise<JsonAnswer<unknown>> => callJson(method, fleet.orderUrl(machine, '/line/sour'), method === 'GET' ? undefined : {});
  await press('the others call it and find it well', ['app2', 'app3'], async () => bad.runs.length > 5);
  let failed = 0;
  const callOnce = async (): Promise<void> => { failed += (await sour('app1', 'POST')).status === 500 ? 1 : 0; };
  await until('two calls of this caller have failed', async () => {
    await callOnce();
    return failed >= 2;
  });
  for (let count = 0; count < 60; count += 1) await callOnce();
  assert.ok(failed <= 8, `${failed} failed before this caller kept away`);
  assert.equal(await masked(), []);
  const trials = bad.runs.length;
  bad.behaviour = () => 'serves';
  await until('a repeatable order is the trial', async () => {
    await order('app1');
    return bad.runs.length > trials;
  });
  await press('the caller uses it again', ['app1'], async () => bad.runs.slice(trials).some((record) => record.method === 'POST'));
});

test('an endpoint that is unmasked for all is used at once by callers that had masked it for themselves', async () => {
  const [bad] = endpoints as [StandInEndpoint];
  const fleetRetry = { ...manifest, health: { ...manifest.health, retryMs: 3_600_000 } };
  await fleet.inForce(await fleet.push(fleetRetry));
  bad.behaviour = () => 'fails';
  await press('a mask for all', ['app1', 'app2', 'app3'], async () => (await masked()).includes('line-0'));
  bad.behaviour = () => 'serves';
  await until('no mask at any caller', async () => (await Promise.all(['app1', 'app2', 'app3'].map(masksAt))).every((list) => list.length === 0));
  for (const machine of ['app1', 'app2', 'app3']) {
    const soFar = bad.runs.length;
    await press(`${machine} writes to it again`, [machine], async () => bad.runs.slice(soFar).some((record) => record.method === 'POST'));
  }
  await fleet.inForce(await fleet.push(manifest));
});

test('a local mask that only writes could lift is lifted by a probe', async () => {
  const [, bad] = endpoints as [StandInEndpoint, StandInEndpoint];
  await press('the others call it and find it well', ['app2', 'app3'], async () => bad.runs.length > 0);
  bad.behaviour = (record) => (record.url.endsWith('/sour') ? 'fails' : 'serves');
  let kept = 0;
  for (let count = 0; count < 60; count += 1) kept += (await callJson('POST', fleet.orderUrl('app1', '/line/sour'), {})).status === 200 ? 1 : 0;
  assert.ok(kept >= 50);
  bad.behaviour = () => 'serves';
  const soFar = bad.runs.length;
  await press('this caller writes to it again', ['app1'], async () => bad.runs.length > soFar);
});

test('never more than half of a service is masked, and masked ones serve when nothing else is left', async () => {
  endpoints.forEach((endpoint) => { endpoint.behaviour = () => 'fails'; });
  await press('half is masked', ['app1', 'app2', 'app3'], async () => (await masked()).length === 2);
  await press('orders still reach endpoints', ['app1', 'app2', 'app3'], async () => (await masked()).length === 2 && endpoints.filter((endpoint) => endpoint.runs.length > 0).length === 4);
  endpoints.forEach((endpoint) => { endpoint.behaviour = () => 'serves'; });
  await until('no mask', async () => (await masked()).length === 0);
});

test('with every directory gone, callers go on with the lists and masks they have; restarted directories learn them again', async () => {
  const [, , bad] = endpoints as [StandInEndpoint, StandInEndpoint, StandInEndpoint];
  bad.behaviour = () => 'fails';
  await press('a mask for all', ['app1', 'app2', 'app3'], async () => (await masked()).includes('line-2'));
  await until('the mask everywhere', async () => (await Promise.all(['app1', 'app2', 'app3'].map(masksAt))).every((list) => list.includes('line-2')));
  await Promise.all([...fleet.directories.values()].map((daemon) => daemon.end('SIGKILL')));
  const writes = bad.runs.length;
  for (let count = 0; count < 40; count += 1) assert.is((await order(`app${(count % 3) + 1}`, 'POST')).status, 200);
  assert.is(bad.runs.length, writes);
  assert.ok((await masksAt('app1')).includes('line-2'));
  await Promise.all([...fleet.directories.values()].map((daemon) => daemon.start()));
  await Promise.all([...fleet.directories.values()].map((daemon) => fleet.ready(daemon)));
  await until('the restarted directory knows the mask', async () => (await masked('core2')).includes('line-2'));
  bad.behaviour = () => 'serves';
  await until('no mask', async () => (await masksAt('app1')).length === 0 && (await masked('core3')).length === 0);
});

run();
