import * as assert from 'uvu/assert';
import { callJson, Fleet, until, type JsonAnswer } from '../src/fleet/fleet.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('islands');

interface Told {
  readonly endpoint?: string;
  readonly title?: string;
}
let fleet: Fleet;
const manifestOf = (id: string, prefix = '/line'): object => ({ services: [{ name: 'line' }], bindings: [{ id, service: 'line', prefix, cutoffMs: 2000 }], health: { retryMs: 300 } });
const order = (machine: string, path = '/line/1', method = 'POST'): Promise<JsonAnswer<Told>> => callJson<Told>(method, fleet.orderUrl(machine, path), method === 'GET' ? undefined : {});
const apps = ['app1', 'app2', 'app3', 'app4'];
const cores = ['core1', 'core2', 'core3'];
const serialOf = async (name: string): Promise<number> => (await fleet.state(name))?.manifest ?? 0;
const served = (machine: string): Promise<unknown> => until(`service at ${machine}`, async () => (await order(machine)).status === 200);

before(async () => {
  fleet = await Fleet.start({ switchboards: 4, zones: 2, relayed: true, flags: { switchboard: ['--highest-nodes', '4'], directory: ['--change-ms', '6000'] } });
  await fleet.inForce(await fleet.push(manifestOf('start')));
  await Promise.all(apps.map((name) => fleet.endpoint(name, 'line', `line-${name}`)));
  await fleet.listed('line', apps.map((name) => `line-${name}`));
});
after(() => fleet.end());
restore(() => fleet.restore());

test('a node cut off from the core alone hears manifests and endpoints from its neighbours', async () => {
  fleet.relay.split(['app1'], cores);
  const serial = await fleet.push(manifestOf('cut-from-core'));
  await fleet.inForce(serial);
  const more = await fleet.endpoint('app2', 'line', 'line-late');
  await until('the new endpoint at the island', async () => {
    const seen = await callJson<{ readonly rows: readonly { readonly id: string }[] }>('GET', `http://${fleet.switchboards.get('app1')?.adminAddress}/v1/services/line`);
    return seen.body.rows.some((row) => row.id === 'line-late');
  });
  for (let count = 0; count < 10; count += 1) assert.is((await order('app1')).status, 200);
  await more.signOff();
  fleet.relay.heal();
  await fleet.listed('line', apps.map((name) => `line-${name}`));
});

test('a node cut off from its neighbours alone serves what its own machine can, and is not behind', async () => {
  fleet.relay.split(['app1'], apps.slice(1));
  const serial = await fleet.push(manifestOf('cut-from-neighbours'));
  await fleet.inForce(serial);
  await until('its own endpoint alone', async () => {
    const answers = await Promise.all(Array.from({ length: 8 }, () => order('app1')));
    return answers.every((answer) => answer.status === 200 && answer.body.endpoint === 'line-app1');
  });
  fleet.relay.heal();
  await served('app1');
});

test('a node cut off from all keeps what it has, serves its own endpoints, and is current again after the healing', async () => {
  const former = await serialOf('app1');
  fleet.relay.split(['app1'], [...cores, ...apps.slice(1)]);
  const serial = await fleet.push(manifestOf('unheard', '/moved'));
  await fleet.inForce(serial, apps.slice(1));
  assert.is(await serialOf('app1'), former);
  await until('its own endpoint', async () => (await order('app1')).body.endpoint === 'line-app1');
  fleet.relay.heal();
  await fleet.inForce(serial);
  assert.equal([(await order('app1')).status, (await order('app1', '/moved/1')).status], [404, 200]);
  await fleet.inForce(await fleet.push(manifestOf('back')));
});

test('a node that starts while no directory answers goes by the newest that any neighbour has, and follows it from then on', async () => {
  const old = await serialOf('app2');
  const daemon = fleet.switchboards.get('app4');
  await daemon?.end('SIGKILL');
  fleet.relay.split(['app2'], [...cores, 'app1', 'app3']);
  const serial = await fleet.push(manifestOf('newer'));
  await fleet.inForce(serial, ['app1', 'app3']);
  await Promise.all([...fleet.directories.values()].map((one) => one.end('SIGKILL')));
  assert.is(await serialOf('app2'), old);
  const seen: number[] = [];
  for (const newer of ['app1', 'app3']) fleet.relay.delay(newer, 'app4', 200);
  await daemon?.start();
  await until('it is ready', async () => {
    const serialNow = await serialOf('app4');
    if (serialNow > 0) seen.push(serialNow);
    return daemon !== undefined && fleet.isReady(daemon);
  });
  assert.equal([...new Set([...seen, await serialOf('app4')])], [serial], 'never the older one, though that neighbour answered too');
  await until('the old one hears of it through the started one', async () => (await serialOf('app2')) === serial);
  fleet.relay.heal();
  await Promise.all([...fleet.directories.values()].map(async (one) => {
    await one.start();
    await fleet.ready(one);
  }));
  await fleet.inForce(await fleet.push(manifestOf('whole')));
});

for (const harm of ['killed', 'frozen', 'cut-off'] as const) {
  test(`the core machine that acknowledged is ${harm} at that moment, another ratebook with it: the manifest is in force all the same`, async () => {
    await Promise.all([...fleet.ratebooks.values()].map((daemon) => fleet.ready(daemon)));
    const owner = await fleet.ownerOf('manifest');
    const [witness = '', silent = ''] = cores.filter((core) => core !== owner);
    fleet.ratebooks.get(silent)?.signal('SIGSTOP');
    const serial = await until('a change with two disks', () => fleet.push(manifestOf(`lost-${harm}`), owner).catch(() => null));
    const lost = [fleet.ratebooks.get(owner), fleet.directories.get(owner)];
    if (harm === 'cut-off') fleet.relay.split([owner], [...cores.filter((core) => core !== owner), ...apps]);
    else if (harm === 'frozen') lost.forEach((daemon) => daemon?.signal('SIGSTOP'));
    else await Promise.all(lost.map((daemon) => daemon?.end('SIGKILL')));
    await fleet.inForce(serial);
    const metrics = await callJson<string>('GET', `http://${fleet.ratebooks.get(witness)?.adminAddress}/metrics`);
    assert.match(metrics.body, /opalstair_key_owned\{key="manifest"\} 0/, 'no take-over was possible');
    fleet.ratebooks.get(silent)?.signal('SIGCONT');
    if (harm === 'cut-off') fleet.relay.heal();
    else if (harm === 'frozen') lost.forEach((daemon) => daemon?.signal('SIGCONT'));
    else await Promise.all(lost.map((daemon) => daemon?.start()));
    await until('a change after it', () => fleet.push(manifestOf(`after-${harm}`)).catch(() => null));
  });
}

run();
