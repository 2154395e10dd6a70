import * as assert from 'uvu/assert';
import { request } from 'undici';
import { check, type AnswerLog, type HarmLog } from '../src/fleet/checker.js';
import { callJson, Fleet, until } from '../src/fleet/fleet.js';
import { Manifest } from '../src/version/manifest.js';
import type { StandInEndpoint } from '../src/fleet/standInEndpoint.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('rejoining fleet');

interface Lists {
  readonly mark: string;
  readonly isAgreed: boolean;
  readonly nodes: readonly { readonly node: string; readonly mark: string }[];
  readonly events: readonly { readonly kind: string; readonly node: string; readonly why: string }[];
}
interface Seen {
  readonly rows: readonly { readonly id: string; readonly instance: string; readonly leaving: boolean }[];
}
let fleet: Fleet;
const manifest = { services: [{ name: 'line' }], bindings: [{ id: 'lines', service: 'line', prefix: '/line', cutoffMs: 4000 }] };
const apps = ['app1', 'app2', 'app3', 'app4'];
const cores = ['core1', 'core2', 'core3'];
const answers: AnswerLog[] = [];
const harms: HarmLog[] = [];
let sent = 0;
let isLoading = true;
const departures: { readonly instance: string; readonly acknowledgedAt: number }[] = [];
const forces: { readonly node: string; readonly serial: number; readonly content: string; readonly at: number }[] = [];

/** One keyed order, logged as the checker takes it. */
const send = async (machine: string): Promise<AnswerLog> => {
  sent += 1;
  const log = { key: `k${sent}`, method: 'POST', url: `/line/${sent}`, machine, sentAt: Date.now() };
  const answer = await request(fleet.orderUrl(machine, log.url), { method: 'POST', body: '{}', headers: { 'x-order-key': log.key } });
  const body = (await answer.body.json()) as { readonly key?: string; readonly title?: string };
  const outcome = answer.headers['opalstair-outcome'];
  const found: AnswerLog = { ...log, endedAt: Date.now(), ending: outcome === 'not-run' || outcome === 'unknown' ? outcome : 'answered', status: answer.statusCode, isOwn: body.key === log.key, reason: body.title ?? '' };
  answers.push(found);
  return found;
};
const load = async (machine: string): Promise<void> => {
  while (isLoading) {
    await send(machine);
    await new Promise((settle) => { setTimeout(settle, 20); });
  }
};
const listsAt = async (core: string): Promise<Lists> => (await callJson<Lists>('GET', `${fleet.operator(core)}/v1/lists`)).body;
const marks = async (): Promise<readonly string[]> => [
  ...(await Promise.all(cores.map(async (core) => (await listsAt(core)).mark))),
  ...(await Promise.all(apps.map(async (app) => (await callJson<{ readonly list: string }>('GET', `http://${fleet.switchboards.get(app)?.adminAddress}/v1/state`)).body.list))),
];
const instancesAt = async (app: string): Promise<readonly string[]> =>
  (await callJson<Seen>('GET', `http://${fleet.switchboards.get(app)?.adminAddress}/v1/services/line`)).body.rows.filter((row) => !row.leaving).map((row) => row.instance).sort();
const isThere = (endpoint: StandInEndpoint): boolean => !departures.some(({ instance }) => instance === endpoint.instance);
/** A core machine has noticed that it does not hear these machines. */
const isUnheard = async (core: string, machines: readonly string[]): Promise<boolean> =>
  (await callJson<{ readonly endpoints: readonly { readonly node: string; readonly unconfirmed?: boolean }[] }>('GET', `${fleet.operator(core)}/v1/endpoints`)).body.endpoints
    .every((row) => !machines.includes(row.node) || row.unconfirmed === true);
/** An endpoint signs off; alone, its switchboard can tell nobody and does not acknowledge it, but takes no request for it either. */
const leave = async (id: string, isAlone = false): Promise<string> => {
  const endpoint = fleet.endpoints.find((one) => one.place.id === id && isThere(one));
  if (endpoint === undefined) throw new Error(`no endpoint ${id}`);
  assert.is(await endpoint.signOff(), isAlone ? 503 : 200);
  departures.push({ instance: endpoint.instance, acknowledgedAt: Date.now() });
  return endpoint.instance;
};
/** Waits until every process holds the list of exactly these instances; how long it took. */
const settled = async (instances: readonly string[]): Promise<number> => {
  const start = Date.now();
  const wanted = [...instances].sort().join();
  await until('one list everywhere', async () => new Set(await marks()).size === 1 && (await Promise.all(apps.map(instancesAt))).every((seen) => seen.join() === wanted));
  return Date.now() - start;
};
const healthy = (): readonly string[] => fleet.endpoints.filter(isThere).map((endpoint) => endpoint.instance);

before(async () => {
  fleet = await Fleet.start({ switchboards: 4, zones: 2, relayed: true, flags: { switchboard: ['--highest-nodes', '4'] } });
  const serial = await fleet.push(manifest);
  await fleet.inForce(serial);
  forces.push({ node: 'app1', serial, content: Manifest.fingerprint(Manifest.check(manifest)._unsafeUnwrap()), at: Date.now() });
  await Promise.all(apps.map((name) => fleet.endpoint(name, 'line', `line-${name}`)));
  await settled(healthy());
});
after(async () => {
  isLoading = false;
  await fleet.end();
});

restore(() => fleet.restore());

for (const [what, one, other] of [
  ['a core machine and half of the nodes are on the small side', ['core1', 'app1', 'app2'], ['core2', 'core3', 'app3', 'app4']],
  ['the core is whole and one node is cut off', ['app4'], [...cores, 'app1', 'app2', 'app3']],
  ['the core is cut off from every node', cores, apps],
] as const) {
  test(`${what}: endpoints leave, are replaced and added on both sides; after the healing all hold one list and use it`, async () => {
    isLoading = true;
    const loads = apps.map(load);
    const start = Date.now();
    const [here, there] = [one.find((name) => name.startsWith('app')) ?? 'app1', [...other].reverse().find((name) => name.startsWith('app')) ?? 'app3'];
    fleet.relay.split(one, other);
    const former = fleet.endpoints.find((endpoint) => endpoint.place.id === `line-${there}` && isThere(endpoint));
    const gone = [await leave(`line-${there}`), await leave(`line-${here}`, one.length === 1)];
    await former?.die();
    const port = Number(former?.listenedAt.split(':')[1] ?? 0);
    await fleet.endpoint(there, 'line', `line-${there}`, { port });
    await fleet.endpoint(here, 'line', `line-${here}`);
    await until('each side has heard of its own', async () => (await instancesAt(here)).length > 0 && (await instancesAt(there)).length > 0);
    const sides: readonly (readonly string[])[] = [one, other];
    await until('the core machines have noticed', async () => (await Promise.all(sides.flatMap((side, index) => side.filter((name) => name.startsWith('core')).map((core) => isUnheard(core, sides[1 - index] ?? []))))).every(Boolean));
    fleet.relay.heal();
    const healedAt = Date.now();
    const tookMs = await settled(healthy());
    const agreedAt = Date.now();
    for (const endpoint of fleet.endpoints.filter(({ instance }) => gone.includes(instance) && instance !== former?.instance)) assert.is(await endpoint.signOff(), 200);
    harms.push({ machine: null, from: start, until: agreedAt });
    process.stdout.write(`\n     one list ${tookMs} ms after the healing `);
    await until('every healthy endpoint serves', () => fleet.endpoints.filter(isThere).every((endpoint) => endpoint.runs.some((record) => record.at.getTime() > agreedAt)));
    isLoading = false;
    await Promise.all(loads);
    const late = fleet.endpoints.filter((endpoint) => gone.includes(endpoint.instance)).flatMap((endpoint) => endpoint.arrivals.filter((record) => record.at.getTime() > healedAt));
    assert.equal(late, [], 'requests at endpoints that had departed');
    await until('the directories say that all agree', async () => (await Promise.all(cores.map(listsAt))).every((lists) => lists.isAgreed && lists.nodes.length === 4));
  });
}

test('in all that time no keyed request ran twice, was lost, or was called not run and had run', () => {
  const serial = forces[0]?.serial ?? 0;
  const content = forces[0]?.content ?? '';
  const changes = [{ base: 0, outcome: 'acknowledged' as const, serial, content, sentAt: 0, at: forces[0]?.at ?? 0, routes: [{ prefix: '/line', service: 'line' }] }];
  const verdicts = check({ sent, answers, runs: fleet.logs((endpoint) => endpoint.runs), arrivals: fleet.logs((endpoint) => endpoint.arrivals), departures, changes, forces, outages: [], harms, readBack: { serial, content } });
  const counts = ['answered', 'not-run', 'unknown'].map((ending) => `${ending} ${answers.filter((answer) => answer.ending === ending).length}`);
  process.stdout.write(`\n     ${sent} orders: ${counts.join(', ')} `);
  assert.equal(fleet.daemons().flatMap((daemon) => daemon.lines.filter(({ event }) => event === 'message-turned-away').map(({ reason }) => `${daemon.program}: ${String(reason)}`)), [], 'messages of our own that another process would not read');
  assert.equal(verdicts.filter((verdict) => verdict.faults.length > 0).map((verdict) => [verdict.line, verdict.faults.slice(0, 3)]), []);
});

run();
