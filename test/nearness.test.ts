import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import * as assert from 'uvu/assert';
import type { NodeNews, NodePoll, OutcomeReport, OutcomeRow, SnapshotAsk } from '../src/connection/nodeCalls.js';
import { NodePath } from '../src/connection/nodeCalls.js';
import type { WireClient, WireDefect } from '../src/connection/wire.js';
import { until } from '../src/fleet/fleet.js';
import type { Address, Instant, NodeName, Serial, ServiceName } from '../src/process/brands.js';
import { LostDefect } from '../src/process/defect.js';
import { Delivery, HOLD_MS, type DeliverySettings } from '../src/process/delivery.js';
import type { LocalEndpoints } from '../src/process/localEndpoints.js';
import type { Membership } from '../src/process/membership.js';
import type { OutcomeBook } from '../src/process/outcomeBook.js';
import { Ticker } from '../src/process/ticker.js';
import type { Frame } from '../src/process/program.js';
import { Reporter } from '../src/process/reporter.js';
import { Manifest } from '../src/version/manifest.js';
import type { EndpointRow, EndpointSnapshot } from '../src/version/snapshots.js';
import { suite } from './harness.js';

const { test, run } = suite('near directories and mergers');

const NEAR = '10.0.0.1:1' as Address;
const FAR = '10.0.0.2:1' as Address;
const NEIGHBOUR = '10.0.0.3:1' as Address;
const directories = [{ name: 'near', zone: 'a', wire: NEAR, boot: 'n' }, { name: 'far', zone: 'b', wire: FAR, boot: 'f' }];
const membership = { having: (role: string) => (role === 'directory' ? directories : [{ name: 'app2', zone: 'a', wire: NEIGHBOUR, boot: 'a2' }]), onChange: () => undefined } as unknown as Membership;
const frameAt = (clock: { at: number }): Frame<DeliverySettings> => ({
  settings: { node: 'app1', zone: 'a', host: '10.0.0.9', wirePort: 1, applyWithinMs: 2000 }, log: pino({ level: 'silent' }), boot: 'boot', clock: { now: () => clock.at as Instant }, stalls: { onStall: () => undefined, check: () => undefined }, ticker: new Ticker(), metrics: new Registry(),
}) as unknown as Frame<DeliverySettings>;

interface Sent {
  readonly address: Address;
  readonly path: string;
  readonly message: unknown;
  readonly answer: (outcome: Result<object, WireDefect>) => void;
}
/** Calls wait until the test answers them. */
const heldWire = (): { readonly sent: Sent[]; readonly wire: WireClient } => {
  const sent: Sent[] = [];
  const call = (address: Address, path: string, message: unknown): ResultAsync<object, WireDefect> =>
    new ResultAsync(new Promise<Result<object, WireDefect>>((settle) => { sent.push({ address, path, message, answer: settle }); }));
  return { sent, wire: { call } as unknown as WireClient };
};

const rowOf = (id: string): EndpointRow => ({ id, service: 'line', instance: id, address: '10.0.0.9:2', zone: 'a', slots: 4, leaving: false, node: 'app1', nodeBoot: 'b', hop: '10.0.0.9:1' }) as unknown as EndpointRow;
const newsWith = (endpoints: EndpointSnapshot | null): NodeNews => ({ manifest: { serial: 1 as Serial, manifest: Manifest.check({ services: [], bindings: [] })._unsafeUnwrap() }, endpoints, masks: [], isCurrent: true });
const listOf = (directory: string, serial: number, rows: readonly EndpointRow[], more: object = {}): EndpointSnapshot => ({ directory, serial, rows, ...more }) as unknown as EndpointSnapshot;

test('a node follows a directory of its own zone, another while that one fails, and takes differences on its own list alone', async () => {
  const clock = { at: 1000 };
  const { sent, wire } = heldWire();
  const delivery = new Delivery(frameAt(clock), membership, wire, () => undefined, () => undefined);
  const isHeld = ({ message }: Sent): boolean => (message as NodePoll).waitMs === HOLD_MS;
  let seen = 0;
  /** The next question that a node leaves open at a directory. */
  const held = async (): Promise<Sent> => {
    await until('a held question', () => sent.slice(seen).some(isHeld));
    const found = sent.slice(seen).find(isHeld) as Sent;
    seen = sent.indexOf(found) + 1;
    return found;
  };
  delivery.start();
  await until('both are asked', () => sent.length === 2);
  sent.find(({ address }) => address === FAR)?.answer(ok(newsWith(listOf('f', 5, [rowOf('e1'), rowOf('e2')]))));
  const first = await held();
  assert.is(first.address, FAR, 'the first that is current is followed');
  assert.equal([(first.message as NodePoll).directory, (first.message as NodePoll).endpoints, (first.message as NodePoll).takesChanges], ['f', 5, true]);
  first.answer(ok(newsWith(listOf('f', 6, [rowOf('e3')], { since: 5, gone: ['app1/e1'] }))));
  const second = await held();
  assert.is(second.address, NEAR, 'then the one of the own zone');
  assert.equal(delivery.tables('line' as ServiceName).rows.map(({ id }) => id).sort(), ['e2', 'e3']);
  second.answer(ok(newsWith(listOf('n', 9, [rowOf('e9')], { since: 8, gone: [] }))));
  const third = await held();
  assert.equal(delivery.tables('line' as ServiceName).rows.map(({ id }) => id).sort(), ['e2', 'e3'], 'a difference on another list is passed over');
  third.answer(err(new LostDefect('cut')));
  const fourth = await held();
  assert.is(fourth.address, FAR);
  fourth.answer(ok(newsWith(null)));
  const fifth = await held();
  assert.is(fifth.address, FAR, 'one that failed is passed over for a while');
  clock.at += 10_001;
  fifth.answer(ok(newsWith(null)));
  const sixth = await held();
  assert.is(sixth.address, NEAR);
  clock.at += 2000;
  await until('a neighbour is asked', () => sent.some(({ address }) => address === NEIGHBOUR));
  sent.find(({ address }) => address === NEIGHBOUR)?.answer(ok(newsWith(listOf('f', 7, [rowOf('e7')]))));
  await until('its list is used', () => delivery.tables('line' as ServiceName).rows.some(({ id }) => id === 'e7'));
  sixth.answer(ok(newsWith(null)));
  assert.is(((await held()).message as NodePoll).directory, '', 'a neighbour\'s list is no base for a directory\'s differences');
  delivery.stop();
});

// Guards against links that fill up with the same lists from every neighbour that is asked.
test('of the neighbours that a node asks one is asked for its list, and tells it only if it is another one that a directory vouches for', async () => {
  const clock = { at: 1000 };
  const { sent, wire } = heldWire();
  const neighbours = Array.from({ length: 6 }, (_, index) => ({ name: `app${index + 2}`, zone: 'a', wire: `10.0.1.${index}:1`, boot: `a${index}` }));
  const many = { having: (role: string) => (role === 'directory' ? directories : neighbours), onChange: () => undefined } as unknown as Membership;
  const delivery = new Delivery(frameAt(clock), many, wire, () => undefined, () => undefined);
  delivery.start();
  await until('the directories are asked', () => sent.length >= 2);
  sent.find(({ address }) => address === FAR)?.answer(ok(newsWith(listOf('f', 5, [rowOf('e1')]))));
  await until('it has a list', () => delivery.listMark() !== '');
  const mark = delivery.listMark();
  assert.equal([{}, { listMark: '' }, { listMark: 'other' }, { listMark: mark }, { wantsList: false }].map((ask) => delivery.snapshot(ask).endpoints !== null), [true, true, true, false, false]);
  clock.at += 2000;
  assert.is(delivery.snapshot({ listMark: 'other' }).endpoints, null, 'no directory vouches for it any more');
  assert.ok(delivery.snapshot({ listMark: '' }).endpoints !== null, 'to a node that has none it is better than nothing');
  const asks = (): readonly SnapshotAsk[] => sent.filter(({ path }) => path === NodePath.snapshot).map(({ message }) => message as SnapshotAsk);
  await until('neighbours are asked', () => asks().length === 5);
  assert.equal(asks().map(({ wantsList, listMark }) => [wantsList, listMark]), [[true, mark], ...Array.from({ length: 4 }, () => [false, mark])]);
  delivery.stop();
});

test('successes go to the directory that merges the service, failures to all; to all while nobody or somebody unknown merges', async () => {
  const { sent, wire } = heldWire();
  const rowFor = (service: string): OutcomeRow => ({ service, endpoint: `${service}1`, instance: 'i', calls: 3, failures: 0, turnAways: 0, pathDefects: 0, recent: [] }) as unknown as OutcomeRow;
  const successes = [rowFor('merged'), rowFor('fresh'), rowFor('orphaned')];
  const book = { report: (which: string) => (which === 'changed' ? successes : which === 'failing' ? [rowFor('failed')] : []) } as unknown as OutcomeBook;
  const merger = new Map([['merged', 'far'], ['orphaned', 'gone'], ['failed', 'far']]);
  const endpoints = { listed: () => [], departedLately: () => [], leavingLately: () => [] } as unknown as LocalEndpoints;
  const reporter = new Reporter(frameAt({ at: 0 }), membership, wire, endpoints, book, () => 1 as Serial, () => '', (service) => (merger.get(service) ?? null) as NodeName | null);
  const toldOf = (address: Address): ReadonlySet<string> => new Set(sent.filter((one) => one.address === address && one.path === NodePath.outcomes).flatMap(({ message }) => (message as OutcomeReport).rows.map(({ service }) => service)));
  const keepAlive = setInterval(() => undefined, 1000);
  reporter.start();
  await until('successes are told', () => toldOf(FAR).has('merged'));
  clearInterval(keepAlive);
  assert.equal([...toldOf(FAR)].sort(), ['failed', 'fresh', 'merged', 'orphaned']);
  assert.equal([...toldOf(NEAR)].sort(), ['failed', 'fresh', 'orphaned']);
});

run();
