import * as assert from 'uvu/assert';
import { pino } from 'pino';
import { Registry as Metrics } from 'prom-client';
import type { NodeReport } from '../src/connection/nodeCalls.js';
import { Chance } from '../src/fleet/chance.js';
import type { BootId, InstanceId, Instant, Millis, NodeName } from '../src/process/brands.js';
import { ListAgreement } from '../src/process/listAgreement.js';
import { Registry } from '../src/process/registry.js';
import type { EndpointRow } from '../src/version/snapshots.js';
import { EndpointList, HeldList, ListMark, type HostWord } from '../src/version/endpointList.js';
import { suite } from './harness.js';
import { names, World, type Endpoint, type Host } from './rejoinWorld.js';

const { test, run } = suite('rejoining');

/** From the heal to one list: an endpoint that dies unheard is listed 6 s, its host's word and two messages between directories come on top. */
const BOUND_MS = 10_000;
const SEEDS = Number(process.env['SEEDS'] ?? 200);

type Parts = readonly (readonly string[])[];
const split = (world: World, count: number): Parts => {
  const all = [...world.directories.map(({ name }) => name), ...world.hosts.keys()];
  const sides = all.map((name) => ({ name, side: world.chance.below(count) }));
  return Array.from({ length: count }, (_, side) => sides.filter((one) => one.side === side).map(({ name }) => name));
};
const partOf = (parts: Parts, name: string): number => parts.findIndex((part) => part.includes(name));

/** A split of some kind, while things happen on every side; then it heals, in stages perhaps, and nothing happens any more. */
const story = async (world: World): Promise<void> => {
  await world.pass(5000);
  const stir = (): void => { if (world.chance.happens(0.03)) world.stir(); };
  const parts = split(world, 2 + world.chance.below(2));
  const isOneWay = world.chance.happens(0.3);
  world.cutBy((from, to) => { const [one, other] = [partOf(parts, from), partOf(parts, to)]; return isOneWay ? one < other : one !== other; });
  await world.pass(2000 + world.chance.below(20_000), stir);
  if (world.chance.happens(0.5)) {
    const staged = parts.length > 2 ? [[...(parts[0] ?? []), ...(parts[1] ?? [])], parts[2] ?? []] : split(world, 2);
    world.cutBy((from, to) => partOf(staged, from) !== partOf(staged, to));
    await world.pass(1000 + world.chance.below(8000), stir);
  }
  await world.pass(6000 - (world.now % 1000), () => { if (world.chance.happens(0.01)) world.stir(); });
  world.cutBy(() => false);
  for (const host of world.hosts.values()) if (!host.isUp) world.start(host.name);
};

test(`after any split and whatever happened on its sides, all hold the one list of what is there (${SEEDS} seeds)`, async () => {
  let [worstMs, sumMs] = [0, 0];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new World(seed, 4 + (seed % 4));
    await story(world);
    const healedAt = world.now;
    let settledAt = Infinity;
    await world.pass(BOUND_MS, () => { settledAt = world.isSettled() ? Math.min(settledAt, world.now) : Infinity; });
    if (!world.isSettled()) {
      const truth = world.truth();
      const wrong = world.listsOf().map((list) => ({ missing: truth.filter((one) => !list.includes(one)), extra: list.filter((one) => !truth.includes(one)) }));
      assert.unreachable(`seed ${seed}: ${JSON.stringify(wrong)}`);
    }
    const held = [...world.hosts.values()].flatMap((host) => host.local.listed()).filter(({ instance }) => world.endpoints.some((endpoint) => endpoint.departed && endpoint.instance === instance));
    assert.equal(held, [], `seed ${seed}: a host still has what departed`);
    assert.is(new Set([...world.directories.map(({ registry }) => registry.listMark), ...[...world.hosts.values()].map(({ held }) => ListMark.of(held.rows))]).size, 1, `seed ${seed}: marks`);
    worstMs = Math.max(worstMs, settledAt - healedAt);
    sumMs += settledAt - healedAt;
  }
  process.stdout.write(`\n     from the heal to one list: ${Math.round(sumMs / SEEDS)} ms on average, ${worstMs} ms at worst `);
});

const row = (host: string, instance: string, more: object = {}): EndpointRow =>
  ({ id: `e-${instance}`, service: 's', instance, address: '10.0.0.1:1', zone: 'z', slots: 1, leaving: false, node: host, nodeBoot: 'b', hop: 'h:1', ...more }) as unknown as EndpointRow;
const word = (node: string, life: number, sequence: number, instances: readonly string[], more: object = {}): HostWord =>
  ({ node, boot: `b${life}`, life, sequence, changed: sequence, manifest: 1, rows: instances.map((instance) => row(node, instance)), isDropped: false, ...more }) as unknown as HostWord;

test('a join of the same words and departures comes out the same in any order, any grouping and as often as one likes', () => {
  for (let seed = 1; seed <= 500; seed += 1) {
    const chance = new Chance(seed);
    const pool = Array.from({ length: 30 }, (): readonly HostWord[] => {
      const [life, sequence] = [chance.below(3), chance.below(4)];
      const host = `h${chance.below(4)}`;
      const said = word(host, life, sequence, names('i', (life * 4 + sequence) % 3));
      return chance.happens(0.3) ? [said, { ...said, rows: [], isDropped: true }] : [said];
    }).flat();
    const departed = names<InstanceId>('i', chance.below(3));
    const shuffled = <T>(items: readonly T[]): readonly T[] => items.map((item) => ({ item, lot: chance.next() })).sort((one, other) => one.lot - other.lot).map(({ item }) => item);
    const textOf = (list: EndpointList): string => JSON.stringify([list.words().map((one) => JSON.stringify(one)).sort(), [...list.departed()].sort(), ListMark.of(list.rows())]);
    const whole = textOf(EndpointList.empty.join(pool, departed));
    for (let round = 0; round < 5; round += 1) {
      const lists = shuffled([...pool, ...pool.slice(0, 10)]).map((one, index) => EndpointList.empty.join([one], index < departed.length ? [departed[index] as InstanceId] : []));
      const grouped = shuffled(lists).reduce<readonly EndpointList[]>((groups, list, index) => (index % 4 === 0 ? [...groups, list] : [...groups.slice(0, -1), (groups.at(-1) as EndpointList).joinAll(list)]), []);
      assert.is(textOf(shuffled(grouped).reduce((all, list) => list.joinAll(all), EndpointList.empty)), whole, `seed ${seed}`);
    }
  }
});

test('a host is dropped until a later word of its own; a departed instance stays away whoever names it', () => {
  const heard = EndpointList.empty.join([word('h', 1, 5, ['i1', 'i2'])]);
  const dropped = heard.drop(['h' as NodeName]);
  assert.equal([dropped.rows().length, dropped.joinAll(heard).rows().length], [0, 0], 'the same word brings nothing back');
  assert.equal(dropped.join([word('h', 1, 6, ['i1', 'i2'])]).rows().map((one) => one.instance), ['i1', 'i2']);
  const gone = heard.join([], ['i1' as InstanceId]);
  assert.equal(gone.join([word('h', 2, 1, ['i1', 'i2']), word('other', 9, 9, ['i1'])]).rows().map((one) => one.instance), ['i2']);
});

test('marks are of the endpoints alone: not of their order, of windows or of confirmation', () => {
  const rows = [row('h', 'i1'), row('h', 'i2')];
  const same = [row('h', 'i2', { resting: true, life: 7, changed: 3 }), row('h', 'i1', { unconfirmed: true })];
  assert.is(ListMark.of(same), ListMark.of(rows));
  for (const other of [{ instance: 'i3' }, { leaving: true }, { nodeBoot: 'next' }, { address: '10.0.0.2:1' }, { service: 't' }, { slots: 2 }]) {
    assert.is.not(ListMark.of([row('h', 'i1'), row('h', 'i2', other)]), ListMark.of(rows), JSON.stringify(other));
  }
});

/** Four hosts over a calm network, settled. */
const calm = async (): Promise<World> => {
  const world = new World(7, 4);
  world.isCalm = true;
  await world.pass(6000);
  assert.ok(world.isSettled());
  return world;
};
const between = (some: readonly string[], others: readonly string[]) => (from: string, to: string): boolean => (some.includes(from) && others.includes(to)) || (others.includes(from) && some.includes(to));
const listedBy = (world: World, directory: number): readonly string[] => (world.directories[directory]?.registry.current()?.rows ?? []).map((one) => one.instance as string);
const endpointOf = (world: World, host: string): Endpoint => world.endpoints.find((endpoint) => endpoint.host === host && !endpoint.departed) as Endpoint;

test('a directory that one host does not reach goes on listing its endpoints, by another directory\'s word, and drops none', async () => {
  const world = await calm();
  const { instance } = endpointOf(world, 'h0');
  world.cutBy((from, to) => from === 'h0' && to === 'd2');
  await world.pass(30_000, () => assert.ok(listedBy(world, 2).includes(instance), `at ${world.now}`));
});

test('a directory that was cut off while most hosts died gives up the dead ones when it meets the others', async () => {
  const world = await calm();
  world.cutBy(between(['d0'], ['d1', 'd2', ...world.hosts.keys()]));
  for (const name of ['h0', 'h1', 'h2']) {
    (world.hosts.get(name) as Host).isUp = false;
    world.endpoints.filter((endpoint) => endpoint.host === name).forEach((endpoint) => { endpoint.beatsUntil = 0; });
    await world.pass(6000);
  }
  assert.ok(world.directories[0]?.registry.current()?.rows.some((one) => one.unconfirmed === true), 'it keeps them meanwhile, as unconfirmed');
  world.cutBy(() => false);
  await world.pass(4000);
  assert.ok(world.isSettled());
});

test('a departure that one directory heard is upheld by another when the host, restarted, is beaten to again', async () => {
  const world = await calm();
  const endpoint = endpointOf(world, 'h0');
  world.cutBy(between(['h0', 'd0'], ['d1', 'd2']));
  world.leave(endpoint);
  endpoint.beatsUntil = Infinity;
  await world.pass(1000);
  world.cutBy(between(['h0'], ['d0', 'd1', 'd2']));
  await world.pass(4000);
  world.start('h0' as NodeName);
  assert.is(endpoint.beatsUntil, Infinity, 'a directory knows of the departure');
  world.cutBy(between(['h0'], ['d0']));
  await world.pass(4000, () => assert.not(listedBy(world, 1).includes(endpoint.instance)));
  assert.not((world.hosts.get('h0') as Host).local.listed().some(({ instance }) => instance === endpoint.instance), 'its host was told');
});

test('a directory that hears hardly any host drops none and calls them unconfirmed; each is confirmed by its next word', () => {
  let now = 0;
  const registry = new Registry('boot' as BootId, { now: () => now as Instant }, 3000 as Millis, 0 as Millis, () => undefined);
  const hear = (node: string, sequence: number): void => { registry.hear({ node, boot: 'b', life: 1, sequence, changed: 1, manifest: 1, rows: [row(node, `i-${node}`)] } as unknown as NodeReport); };
  names('h', 4).forEach((node) => hear(node, 1));
  now = 10_000;
  hear('h0', 2);
  registry.sweep();
  const unconfirmed = (): readonly string[] => (registry.current()?.rows ?? []).filter((one) => one.unconfirmed === true).map((one) => one.node);
  assert.equal([registry.current()?.rows.length, unconfirmed()], [4, ['h1', 'h2', 'h3']]);
  hear('h1', 2);
  registry.sweep();
  assert.equal([registry.current()?.rows.map((one) => one.node), unconfirmed()], [['h0', 'h1'], []], 'half are heard: the others are dropped');
});

test('a node does not go back to a host\'s earlier word, and is sent the list again when it holds another', () => {
  const told = (changed: number, instances: readonly string[]): readonly EndpointRow[] => instances.map((instance) => row('h', instance, { life: 1, changed }));
  const at = 0 as Instant;
  const first = HeldList.after(HeldList.empty, told(4, ['i1', 'i2']), [], at);
  const later = HeldList.after(first, told(5, ['i2']), [], at);
  assert.equal(HeldList.after(later, told(4, ['i1', 'i2']), [], at).rows.map((one) => one.instance), ['i2']);
  const none = HeldList.after(later, [], [{ node: 'h' as NodeName, boot: 'b' as BootId, life: 1, changed: 6 }], at);
  assert.equal(HeldList.after(none, told(5, ['i2']), [], at).rows, []);
  assert.is(HeldList.after(none, told(7, ['i3']), [], at).rows.length, 1);
  let now = 0;
  const clock = { now: (): Instant => now as Instant };
  const agreement = new ListAgreement('d' as NodeName, clock, pino({ level: 'silent' }), new Metrics(), () => new Registry('b' as BootId, clock, 3000 as Millis, 0 as Millis, () => undefined));
  const resends: boolean[] = [];
  for (now = 0; now <= 12_000; now += 1000) {
    agreement.hearNode('n' as NodeName, 'another');
    resends.push(agreement.takeResend('n' as NodeName));
  }
  assert.equal(resends.flatMap((isDue, second) => (isDue ? [second] : [])), [5, 10]);
});

run();
