import * as assert from 'uvu/assert';
import { callJson, Fleet, until, type JsonAnswer } from '../src/fleet/fleet.js';
import type { StandInEndpoint } from '../src/fleet/standInEndpoint.js';
import { suite } from './harness.js';
import { gated, lineManifest } from './parts.js';

const { test, before, after, restore, run } = suite('faults');

interface Told {
  readonly outcome?: string;
  readonly title?: string;
  readonly endpoint?: string;
  readonly serial?: number;
}
let fleet: Fleet;
let endpoint: StandInEndpoint;
const order = (machine: string, key = '', method = 'POST'): Promise<JsonAnswer<Told>> => callJson<Told>(method, fleet.orderUrl(machine, '/line/1'), method === 'GET' ? undefined : {}, { 'x-order-key': key });
const appNames = ['app1', 'app2', 'app3'];
const runsOf = (key: string): number => endpoint.runs.filter((record) => record.key === key).length;
const metric = async (address: string | undefined, pattern: RegExp): Promise<number> => Number(pattern.exec((await callJson<string>('GET', `http://${address}/metrics`)).body)?.[1] ?? 0);

before(async () => {
  fleet = await Fleet.start({ switchboards: 3, zones: 1, relayed: true, flags: { switchboard: ['--highest-nodes', '3'], directory: ['--change-ms', '2500', '--probe-every-ms', '200'] } });
  await fleet.inForce(await fleet.push(lineManifest('start')));
  endpoint = await fleet.endpoint('app1', 'line', 'line-1');
  await fleet.listed('line', ['line-1']);
});
after(() => fleet.end());
restore(() => fleet.restore());

test('a hop whose connection breaks while the order runs is asked after: the caller gets the one answer', async () => {
  const gate = gated(endpoint);
  const answer = order('app2', 'broken');
  await until('it runs', () => runsOf('broken') === 1);
  fleet.relay.breakLines('app2', 'app1');
  gate.open();
  assert.equal([(await answer).status, runsOf('broken')], [200, 1]);
});

test('a hop that falls silent and heals in time gives its one answer', async () => {
  const gate = gated(endpoint);
  const answer = order('app2', 'silent');
  await until('it runs', () => runsOf('silent') === 1);
  fleet.relay.split(['app2'], ['app1']);
  fleet.relay.breakLines('app2', 'app1');
  gate.open();
  await until('the path is given up for a while', async () => (await metric(fleet.switchboards.get('app2')?.adminAddress, /outcome="pathDefect"\} (\d+)/)) > 0);
  fleet.relay.heal();
  assert.equal([(await answer).status, runsOf('silent')], [200, 1]);
});

test('a one-way cut that swallows the answer: the order ran once and its answer is fetched after the healing', async () => {
  const gate = gated(endpoint);
  const answer = order('app2', 'one-way');
  await until('it runs', () => runsOf('one-way') === 1);
  fleet.relay.cutOneWay('app1', 'app2');
  gate.open();
  await until('it has run', () => endpoint.running === 0);
  fleet.relay.breakLines('app2', 'app1');
  fleet.relay.heal();
  assert.equal([(await answer).status, runsOf('one-way')], [200, 1]);
});

test('slow ways change nothing but the time', async () => {
  for (const [from, to] of [['app2', 'app1'], ['app1', 'app2']] as const) fleet.relay.delay(from, to, 200);
  const answers = await Promise.all(Array.from({ length: 10 }, (_, count) => order('app2', `slow-${count}`)));
  fleet.relay.heal();
  assert.equal(answers.map((answer) => answer.status), answers.map(() => 200));
  assert.equal(Array.from({ length: 10 }, (_, count) => runsOf(`slow-${count}`)), answers.map(() => 1));
});

test('an order sent into a cut that outlasts its cutoff is unknown, and what arrives after the healing is not run', async () => {
  fleet.relay.split(['app2'], ['app1']);
  const answer = await order('app2', 'late');
  assert.equal([answer.status, answer.headers['opalstair-outcome']], [504, 'unknown']);
  fleet.relay.heal();
  await until('the path works again', async () => (await order('app2', 'after')).status === 200);
  assert.is(runsOf('late'), 0);
});

test('a caller with a bad path can not mask an endpoint for all', async () => {
  const other = await fleet.endpoint('app3', 'line', 'line-3');
  await fleet.listed('line', ['line-1', 'line-3']);
  fleet.relay.split(['app2'], ['app1']);
  let sent = 0;
  await until('many orders on both ways', async () => {
    sent += 1;
    const [near, far] = await Promise.all([order('app2', '', 'GET'), order('app3', '', 'GET')]);
    assert.is(far.status, 200);
    return sent > 30 && near.status === 200;
  });
  const views = await callJson<{ readonly endpoints: readonly { readonly id: string; readonly state: string }[] }>('GET', `${fleet.operator()}/v1/endpoints`);
  assert.equal(views.body.endpoints.map((view) => view.state), ['serving', 'serving']);
  fleet.relay.heal();
  await other.signOff();
  await fleet.listed('line', ['line-1']);
});

test('a split core: the majority goes on and is in force everywhere, the minority takes no change and catches up', async () => {
  fleet.relay.split(['core3'], ['core1', 'core2']);
  const serial = await until('the majority takes a change', async () => fleet.push(lineManifest('split'), 'core1').catch(() => null));
  await fleet.inForce(serial);
  const minority = await callJson<Told>('PUT', `${fleet.operator('core3')}/v1/manifest`, { base: serial - 1, change: 'minority', manifest: lineManifest('minority') });
  assert.ok(minority.status === 503 || minority.status === 504, `${minority.status}`);
  fleet.relay.heal();
  await until('the minority reads back the newest', async () => {
    const read = await callJson<Told & { readonly manifest: { readonly bindings: readonly { readonly id: string }[] } }>('GET', `${fleet.operator('core3')}/v1/manifest`);
    return read.status === 200 && read.body.serial === serial && read.body.manifest.bindings[0]?.id === 'split';
  });
  const states = await Promise.all(appNames.map((name) => fleet.state(name)));
  assert.equal(states.map((state) => state?.manifest), [serial, serial, serial]);
});

test('the whole core cut off: traffic goes on, and news arrives after the healing', async () => {
  fleet.relay.split(['core1', 'core2', 'core3'], appNames);
  const serial = await fleet.push(lineManifest('unheard'));
  for (let count = 0; count < 60; count += 1) assert.is((await order(appNames[count % 3] ?? '')).status, 200);
  assert.ok((await Promise.all(appNames.map((name) => fleet.state(name)))).every((state) => (state?.manifest ?? 0) === serial - 1));
  fleet.relay.heal();
  await fleet.inForce(serial);
  assert.is((await order('app2')).status, 200);
});

test('a directory frozen past its lease comes back without its duty: another holds it under a higher epoch', async () => {
  const dutyOf = async (core: string): Promise<number | null> => {
    const answer = await callJson<{ readonly duties: readonly { readonly service: string; readonly epoch: number | null }[] }>('GET', `${fleet.operator(core)}/v1/endpoints`).catch(() => null);
    return answer?.body.duties.find((duty) => duty.service === 'line')?.epoch ?? null;
  };
  const holders = async (cores: readonly string[]): Promise<readonly (readonly [string, number])[]> =>
    (await Promise.all(cores.map(async (core) => [core, await dutyOf(core)] as const))).flatMap(([core, epoch]) => (epoch === null ? [] : [[core, epoch] as const]));
  const all = ['core1', 'core2', 'core3'];
  const [[holder, epoch]] = (await until('one holder', async () => {
    const found = await holders(all);
    return found.length === 1 ? found : null;
  })) as [readonly [string, number]];
  fleet.directories.get(holder)?.signal('SIGSTOP');
  const [[next, nextEpoch]] = (await until('another holder', async () => {
    const found = await holders(all.filter((core) => core !== holder));
    return found.length === 1 ? found : null;
  })) as [readonly [string, number]];
  assert.ok(nextEpoch > epoch, `${epoch} then ${nextEpoch}`);
  fleet.directories.get(holder)?.signal('SIGCONT');
  assert.equal(await until('the thawed one answers', async () => {
    const found = await holders(all);
    return found.length > 0 ? found : null;
  }), [[next, nextEpoch]]);
});

run();
