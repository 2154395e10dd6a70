import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { Chance } from '../src/fleet/chance.js';
import type { Daemon } from '../src/fleet/daemon.js';
import type { ForceLog } from '../src/fleet/checker.js';
import { FaultMaker } from '../src/fleet/faults.js';
import { callJson, Fleet, PORTS, until, type JsonAnswer } from '../src/fleet/fleet.js';
import type { Home } from '../src/fleet/homes.js';
import { Manifest } from '../src/version/manifest.js';
import { suite } from './harness.js';
import { brokenByChanges, sampleForces } from './parts.js';

const { test, run } = suite('core losses');

const home: Home = { machines: 3, zones: 3, slots: 9, ordersPerSecond: 0, services: [{ name: 'line', endpoints: 3 }], manifest: { services: [{ name: 'line' }], bindings: [{ id: 'lines', service: 'line', prefix: '/line', cutoffMs: 3000 }] } };
const apps = ['app1', 'app2', 'app3'];
const order = (fleet: Fleet, machine: string): Promise<JsonAnswer<{ readonly endpoint?: string }>> => callJson('POST', fleet.orderUrl(machine, '/line/1'), {});

/** A fleet and its maker of faults; at the end nothing acknowledged may be lost, and no refused manifest in force. */
const withCore = async (plan: Partial<Parameters<typeof Fleet.start>[0]>, body: (fleet: Fleet, maker: FaultMaker, sample: () => Promise<void>) => Promise<void>): Promise<void> => {
  const fleet = await Fleet.start({ switchboards: 3, zones: 3, ...plan });
  const maker = new FaultMaker(fleet, home, new Chance(7));
  const forces: ForceLog[] = [];
  const sample = (): Promise<void> => sampleForces(fleet, forces);
  try {
    await maker.push(1, [home.manifest]);
    await body(fleet, maker, sample);
    assert.equal(await brokenByChanges(fleet, 'core1', maker, forces), []);
  } finally {
    await fleet.end();
  }
};
const acknowledged = (maker: FaultMaker): number => maker.changes.filter((change) => change.outcome === 'acknowledged').length;
const pushUntil = (maker: FaultMaker, count: number): Promise<unknown> => until(`${count} acknowledged changes`, async () => {
  await maker.push(2);
  return acknowledged(maker) >= count;
});

interface RosterView {
  readonly voters: { readonly members: readonly { readonly id: string; readonly address: string }[] } | null;
}

/** The processes of a core machine that is added to a fleet, not yet started; its disk is empty. */
const addCore = (fleet: Fleet, name: string, last: number): readonly Daemon[] => {
  const host = `${fleet.block}.${last}`;
  const machine = { ...fleet.machine('core3'), name, host, advertised: host };
  const ratebook = fleet.daemon('ratebook', machine, PORTS.ratebookAdmin, ['--data-folder', join(fleet.folder, name)]);
  const directory = fleet.daemon('directory', machine, PORTS.directoryAdmin, []);
  fleet.ratebooks.set(name, ratebook);
  fleet.directories.set(name, directory);
  return [ratebook, directory];
};
const processesOf = (fleet: Fleet, name: string): readonly Daemon[] => [fleet.ratebooks.get(name), fleet.directories.get(name)].filter((daemon) => daemon !== undefined);
const hostOf = (address: string): string => address.slice(0, address.indexOf(':'));

/** Waits until exactly the disks of these core machines vote, by the word of one of them. */
const voting = (fleet: Fleet, asked: string, names: readonly string[]): Promise<unknown> => {
  const wanted = names.map((name) => hostOf(fleet.ratebooks.get(name)?.adminAddress ?? '')).sort().join();
  return until(`the disks of ${names.join()} vote`, async () => {
    const view = await callJson<RosterView>('GET', `${fleet.operator(asked)}/v1/roster`).catch(() => null);
    return view?.body.voters?.members.map(({ address }) => hostOf(address)).sort().join() === wanted;
  });
};

/** A core machine loses power and its disk, and comes back empty at its address. */
const loseDisk = async (fleet: Fleet, name: string): Promise<void> => {
  const lost = processesOf(fleet, name);
  await Promise.all(lost.map((daemon) => daemon.end('SIGKILL')));
  fleet.wipe(name);
  await Promise.all(lost.map((daemon) => daemon.start()));
};

test('each core machine in turn loses its disk at the moment of an acknowledgement: nothing acknowledged is lost', () => withCore({}, async (fleet, maker, sample) => {
  for (const core of ['core1', 'core2', 'core3']) {
    const book = fleet.ratebooks.get(core);
    const soFar = acknowledged(maker);
    await maker.push(1, [maker.nextManifest()], core);
    await book?.end('SIGKILL');
    fleet.wipe(core);
    const pushing = pushUntil(maker, soFar + 3);
    await book?.start();
    await pushing;
    await fleet.ready(book as never);
    const disk = book?.lines.filter((line) => line.event === 'listening').at(-1)?.['disk'];
    await until('the fresh disk is on the roster', async () => {
      const { body } = await callJson<RosterView>('GET', `${fleet.operator()}/v1/roster`);
      return body.voters?.members.length === 3 && body.voters.members.some((member) => member.id === disk);
    });
    await sample();
  }
}));

test('a core machine comes back empty at a new address while pushes run, and every process takes the changed seeds by a reload', () => withCore({ flags: { ratebook: ['--replace-after-ms', '1500'] } }, async (fleet, maker, sample) => {
  await Promise.all(processesOf(fleet, 'core3').map((daemon) => daemon.end('SIGKILL')));
  const soFar = acknowledged(maker);
  const pushing = pushUntil(maker, soFar + 5);
  const added = addCore(fleet, 'core4', 50);
  await fleet.reseed([fleet.machine('core1').host, fleet.machine('core2').host, `${fleet.block}.50`].map((host) => `${host}:${PORTS.ratebookMember}`));
  await Promise.all(added.map((daemon) => daemon.start()));
  await voting(fleet, 'core4', ['core1', 'core2', 'core4']);
  await pushing;
  await sample();
  await Promise.all([fleet.ratebooks.get('core1'), fleet.directories.get('core1')].map((daemon) => daemon?.end('SIGKILL')));
  const app = fleet.switchboards.get('app1');
  await app?.end('SIGKILL');
  await app?.start();
  await fleet.ready(app as never);
  await until('a change without the first core machine', () => fleet.push(maker.nextManifest(), 'core4').catch(() => null));
  await Promise.all([fleet.ratebooks.get('core1'), fleet.directories.get('core1')].map((daemon) => daemon?.start()));
  maker.changes.push({ base: -1, outcome: 'undecided', serial: 0, content: (await fleet.state('app1'))?.fingerprint ?? '', sentAt: Date.now(), at: Date.now(), routes: [] });
}));

// Guards against a disk that was dropped while its machine was frozen and never votes again: the machine that is then removed
// keeps its vote, and the next lost disk takes the configuration.
test('a core machine that froze while a successor stood ready votes again, and a lost disk later costs nothing', () => withCore({ flags: { ratebook: ['--replace-after-ms', '1500'] } }, async (fleet, maker, sample) => {
  await Promise.all(addCore(fleet, 'core4', 50).map((daemon) => daemon.start()));
  processesOf(fleet, 'core2').forEach((daemon) => daemon.signal('SIGSTOP'));
  await voting(fleet, 'core3', ['core1', 'core3', 'core4']);
  processesOf(fleet, 'core2').forEach((daemon) => daemon.signal('SIGCONT'));
  await maker.push(1, [maker.nextManifest()], 'core3');
  await Promise.all(processesOf(fleet, 'core1').map((daemon) => daemon.end('SIGTERM')));
  await voting(fleet, 'core3', ['core2', 'core3', 'core4']);
  const soFar = acknowledged(maker);
  await maker.push(1, [maker.nextManifest()], 'core2');
  await loseDisk(fleet, 'core3');
  await until('a change after the loss', async () => {
    await maker.push(1, [maker.nextManifest()], 'core2');
    return acknowledged(maker) >= soFar + 2;
  });
  await sample();
  await Promise.all(processesOf(fleet, 'core1').map((daemon) => daemon.start()));
}));

// Guards against a planned removal that costs a vote for some seconds although its successor has caught up.
test('a core machine that ends as planned hands its vote to the successor that stands ready: a disk lost right after costs nothing', () => withCore({ flags: { ratebook: ['--replace-after-ms', '600000'] } }, async (fleet, maker, sample) => {
  await Promise.all(addCore(fleet, 'core4', 50).map((daemon) => daemon.start()));
  await until('every voter knows of the spare disk', async () => {
    const metrics = await Promise.all(['core1', 'core2', 'core3'].map((name) => callJson<string>('GET', `http://${fleet.ratebooks.get(name)?.adminAddress}/metrics`)));
    return metrics.every(({ body }) => body.includes('opalstair_spare_disks 1'));
  });
  const soFar = acknowledged(maker);
  await maker.push(1, [maker.nextManifest()], 'core3');
  await Promise.all(processesOf(fleet, 'core1').map((daemon) => daemon.end('SIGTERM')));
  await loseDisk(fleet, 'core2');
  await until('a change after the loss', async () => {
    await maker.push(1, [maker.nextManifest()], 'core3');
    return acknowledged(maker) >= soFar + 2;
  });
  await voting(fleet, 'core3', ['core2', 'core3', 'core4']);
  await sample();
  await Promise.all(processesOf(fleet, 'core1').map((daemon) => daemon.start()));
}));

test('a core split three ways acknowledges nothing; whole again it has lost nothing', () => withCore({ relayed: true, flags: { directory: ['--change-ms', '1500'] } }, async (fleet, maker, sample) => {
  const { body: { serial } } = await callJson<{ readonly serial: number }>('GET', `${fleet.operator()}/v1/manifest`);
  await fleet.inForce(serial);
  fleet.relay.split(['core1'], ['core2', 'core3']);
  fleet.relay.split(['core2'], ['core3']);
  const manifests = ['core1', 'core2', 'core3'].map(() => maker.nextManifest());
  const lease = until('the owner\'s lease has run out', async () => (await callJson('GET', `${fleet.operator('core2')}/v1/manifest`)).status === 503);
  await lease;
  const answers = await Promise.all(manifests.map((manifest, index) => callJson<{ readonly outcome?: string }>('PUT', `${fleet.operator(`core${index + 1}`)}/v1/manifest`, { base: serial, manifest })));
  assert.ok(answers.every((answer) => answer.status === 503 || answer.status === 504), answers.map((answer) => answer.status).join());
  for (const [index, answer] of answers.entries()) if (answer.status === 504) maker.changes.push({ base: serial, outcome: 'undecided', serial: 0, content: Manifest.fingerprint(Manifest.check(manifests[index])._unsafeUnwrap()), sentAt: Date.now(), at: Date.now(), routes: [] });
  assert.ok((await Promise.all(apps.map((name) => fleet.state(name)))).every((state) => state?.manifest === serial));
  await sample();
  fleet.relay.heal();
  await pushUntil(maker, acknowledged(maker) + 2);
}));

test('the whole core cut off while endpoints are rolled: orders go on, none runs at a former instance', () => withCore({ relayed: true }, async (fleet) => {
  const standing = await Promise.all(apps.map((name) => fleet.endpoint(name, 'line', `line-${name}`)));
  await fleet.listed('line', standing.map((endpoint) => endpoint.place.id));
  fleet.relay.split(['core1', 'core2', 'core3'], apps);
  for (const former of standing.slice(0, 2)) {
    assert.is(await former.signOff(), 200);
    const runs = former.runs.length;
    await fleet.endpoint(fleet.nameOf(former.place.host), 'line', former.place.id);
    const answers = await Promise.all(Array.from({ length: 30 }, (_, count) => order(fleet, apps[count % 3] ?? '')));
    assert.equal([...new Set(answers.map((answer) => answer.status))], [200]);
    assert.is(former.runs.length, runs);
  }
  fleet.relay.heal();
  await until('the new instances serve others', async () => (await Promise.all(Array.from({ length: 20 }, () => order(fleet, 'app3')))).some((answer) => answer.body.endpoint !== 'line-app3') || fleet.endpoints.slice(3).every((endpoint) => endpoint.runs.length > 0));
}));

test('disks that fill up in a storm of large manifests, while the owner is killed, acknowledge nothing that is lost', () => withCore({ flags: { ratebook: ['--data-quota-mi-b', '1'], directory: ['--change-ms', '3000'] } }, async (fleet, maker, sample) => {
  const large = (): object => {
    const manifest = maker.nextManifest() as Home['manifest'];
    return { ...manifest, bindings: [...manifest.bindings, ...Array.from({ length: 900 }, (_, index) => ({ id: `filler-${index}`, service: 'line', prefix: `/filler/${index}/${'x'.repeat(150)}` }))] };
  };
  for (let count = 0; count < 4; count += 1) await maker.push(1, [large()]);
  const owner = await fleet.ownerOf('manifest');
  const pushing = Promise.all([maker.push(1, [large()], 'core1'), maker.push(1, [large()], 'core2'), maker.push(1, [large()], 'core3')]);
  await fleet.ratebooks.get(owner)?.end('SIGKILL');
  await pushing;
  await fleet.ratebooks.get(owner)?.start();
  await fleet.ready(fleet.ratebooks.get(owner) as never);
  await sample();
  await pushUntil(maker, acknowledged(maker) + 1);
  const metrics = await Promise.all([...fleet.ratebooks.values()].map((daemon) => callJson<string>('GET', `http://${daemon.adminAddress}/metrics`)));
  assert.ok(metrics.some(({ body }) => /opalstair_disk_defects_total\{kind="disk-full"\} [1-9]/.test(body)), 'a disk was full');
}));

run();
