import * as assert from 'uvu/assert';
import type { Load } from '../src/connection/hopCalls.js';
import { Chance } from '../src/fleet/chance.js';
import type { BindingId, Epoch, Instant, Millis, ServiceName, ZoneName } from '../src/process/brands.js';
import type { Result } from 'neverthrow';
import { type Announcement } from '../src/process/announcement.js';
import { LocalEndpoints, type Seat } from '../src/process/localEndpoints.js';
import type { OutcomeBook } from '../src/process/outcomeBook.js';
import { Picker } from '../src/process/picker.js';
import { Register, type RegisterAsk, type RegisterState } from '../src/process/register.js';
import type { EndpointRow } from '../src/version/snapshots.js';
import { suite } from './harness.js';

const { test, run } = suite('choice');

const rowOf = (id: string, zone: string): EndpointRow => ({ id, service: 'line', instance: 'i', address: '10.0.0.1:1', zone, slots: 4, leaving: false, node: `node-${id}`, nodeBoot: 'b', hop: '10.0.0.1:2' }) as unknown as EndpointRow;
const loadOf = (meanMs: number, running = 0, waiting = 0): Load => ({ running, waiting, slots: 4, meanMs });
const binding = 'lines' as BindingId;

/** A picker in zone `a` with a clock moved by hand, and how often each of the rows is picked of a thousand times. */
const pickerOf = (rows: readonly EndpointRow[]): { readonly picker: Picker; readonly clock: { now: () => Instant; at: number }; readonly shares: (aimMs?: number) => Readonly<Record<string, number>>; readonly tell: (id: string, load: Load) => void } => {
  const clock = { at: 1000, now: (): Instant => clock.at as Instant };
  const chance = new Chance(7);
  const picker = new Picker('a' as ZoneName, clock, { maskOf: () => null, takeTrial: () => false } as unknown as OutcomeBook, () => chance.below(1_000_000) / 1_000_000);
  const rowNamed = (id: string): EndpointRow => rows.find((row) => row.id === id) as EndpointRow;
  return {
    picker, clock,
    tell: (id, load) => {
      picker.started(rowNamed(id));
      picker.ended(rowNamed(id), load);
    },
    shares: (aimMs) => {
      const counts: Record<string, number> = {};
      for (let count = 0; count < 1000; count += 1) {
        const { chosen } = picker.pick({ service: 'line' as ServiceName, isRepeatable: false, tried: [], binding, aimMs: aimMs ?? null }, { rows, mask: null });
        if (chosen !== null) counts[chosen.row.id] = (counts[chosen.row.id] ?? 0) + 1;
      }
      return counts;
    },
  };
};

test('the quicker endpoint is the likelier, the slower keeps a part, and what was heard fades', () => {
  const { shares, tell, clock } = pickerOf([rowOf('quick', 'a'), rowOf('slow', 'a')]);
  tell('quick', loadOf(40));
  tell('slow', loadOf(80));
  const known = shares();
  assert.ok((known['quick'] ?? 0) > 850 && (known['slow'] ?? 0) > 10, JSON.stringify(known));
  clock.at += 20_000;
  const forgotten = shares();
  assert.ok((forgotten['slow'] ?? 0) > 400, JSON.stringify(forgotten));
});

test('an endpoint whose slots are taken gives way, and so does one that just refused the binding', () => {
  const { shares, tell, picker, clock } = pickerOf([rowOf('free', 'a'), rowOf('taken', 'a')]);
  tell('free', loadOf(50));
  tell('taken', loadOf(50, 4, 6));
  assert.ok((shares()['free'] ?? 0) > 950);
  picker.full(rowOf('free', 'a'), binding);
  assert.equal(shares(), { taken: 1000 });
  picker.full(rowOf('taken', 'a'), binding);
  assert.equal(shares(), {}, 'nobody is asked while all have just refused');
  clock.at += 100;
  assert.ok((shares()['free'] ?? 0) > 950, 'a refusal is soon forgotten');
});

test('the own zone is kept to unless another is much quicker', () => {
  const { shares, tell } = pickerOf([rowOf('near', 'a'), rowOf('far', 'b')]);
  tell('near', loadOf(60));
  tell('far', loadOf(50));
  assert.equal(shares(), { near: 1000 });
  tell('near', loadOf(200));
  assert.ok((shares()['far'] ?? 0) > 950);
  assert.equal(shares(1000), { near: 1000 }, 'much slower, but well within the aim');
  assert.ok((shares(300)['far'] ?? 0) > 950, 'the aim is too near');
  tell('near', loadOf(200, 4));
  assert.equal(shares(1000), { far: 1000 }, 'no room in the own zone');
});

const said = { id: 'e', service: 'line', address: '10.0.0.1:1', instance: 'i', zone: 'z', probe: '/', slots: 1, leaving: false, nonce: '', fenced: true, sequence: 1 } as unknown as Announcement;
const wanted = { service: said.service, endpoint: said.id, instance: said.instance };

test('a full host takes by priority, small requests before all, and refuses at once what would wait too long', async () => {
  const local = new LocalEndpoints({ now: () => 0 as Instant }, () => undefined);
  local.beat(said)._unsafeUnwrap();
  const take = async (kind: string, priority: number, mostMs: number, mostMsIfSmall = mostMs): Promise<Seat> => (await local.seat(wanted, { kind, priority, mostMs, mostMsIfSmall }))._unsafeUnwrap();
  for (let count = 0; count < 40; count += 1) {
    (await take('long', 1, 0)).leave(100);
    (await take('short', 1, 0)).leave(10);
  }
  const first = await take('long', 1, 0);
  assert.is((await local.seat(wanted, { kind: 'long', priority: 1, mostMs: 1 }))._unsafeUnwrapErr(), 'full');
  const order: string[] = [];
  const waiting = [['late', 'long', 2], ['first', 'long', 0], ['small', 'short', 2]] as const;
  const all = waiting.map(([name, kind, priority]) => take(kind, priority, kind === 'short' ? 1 : 60_000, 60_000).then((seat) => {
    order.push(name);
    seat.leave();
  }));
  first.leave();
  await Promise.all(all);
  assert.equal(order, ['small', 'first', 'late']);
});

test('a small kind stays small when the long ones are all refused, and long ones that wait do not count against it', async () => {
  const clock = { at: 0 as Instant };
  const local = new LocalEndpoints({ now: () => clock.at }, () => undefined);
  local.beat(said)._unsafeUnwrap();
  const take = (kind: string, mostMs: number, mostMsIfSmall = mostMs): Promise<Result<Seat, string>> => local.seat(wanted, { kind, priority: 1, mostMs, mostMsIfSmall });
  const serve = async (kind: string, tookMs: number): Promise<void> => (await take(kind, 0))._unsafeUnwrap().leave(tookMs);
  await serve('long', 300);
  const running = (await take('short', 0))._unsafeUnwrap();
  assert.is((await take('long', 1))._unsafeUnwrapErr(), 'full');
  running.leave(10);
  for (let count = 0; count < 40; count += 1) await serve('short', 10);
  const busy = (await take('short', 0))._unsafeUnwrap();
  const longs = [take('long', 60_000), take('long', 60_000)];
  const shorts = [take('short', 0, 60)];
  busy.leave(10);
  (await Promise.all(shorts)).forEach((seat) => seat._unsafeUnwrap().leave(10));
  for (const seat of longs) (await seat)._unsafeUnwrap().leave(300);
  clock.at = 20_000 as Instant;
  local.beat({ ...said, sequence: 2 })._unsafeUnwrap();
  const last = (await take('short', 0))._unsafeUnwrap();
  assert.is((await take('short', 0, 60_000))._unsafeUnwrapErr(), 'full', 'nobody has asked for long ones lately');
  last.leave(10);
});

test('a request that has come back goes after those that are new, but not when its kind is small', async () => {
  const local = new LocalEndpoints({ now: () => 0 as Instant }, () => undefined);
  local.beat(said)._unsafeUnwrap();
  const order: string[] = [];
  const take = (name: string, kind: string, givenMs: number): Promise<void> => local.seat(wanted, { kind, priority: 1, mostMs: 60_000, givenMs }).then((seat) => {
    order.push(name);
    seat._unsafeUnwrap().leave(kind === 'short' ? 10 : 100);
  });
  await take('first', 'long', 600);
  await take('first short', 'short', 200);
  const busy = (await local.seat(wanted, { kind: 'long', priority: 1, mostMs: 0 }))._unsafeUnwrap();
  const all = [take('long again', 'long', 500), take('long new', 'long', 600), take('short again', 'short', 150), take('long as good as new', 'long', 590)];
  busy.leave(100);
  await Promise.all(all);
  assert.equal(order, ['first', 'first short', 'short again', 'long new', 'long as good as new', 'long again']);
});

test('an endpoint that queues by itself is given so many requests beyond its slots, and no more', async () => {
  const local = new LocalEndpoints({ now: () => 0 as Instant }, () => undefined, () => undefined, 1);
  local.beat(said)._unsafeUnwrap();
  const take = (mostMs: number): Promise<Result<Seat, string>> => local.seat(wanted, { priority: 0, mostMs });
  const seats = [(await take(0))._unsafeUnwrap(), (await take(0))._unsafeUnwrap()];
  assert.is((await take(0))._unsafeUnwrapErr(), 'full');
  const waiting = take(60_000);
  assert.equal(local.load(said.id), { running: 2, waiting: 1, slots: 1, meanMs: 0 });
  seats[0]?.leave(10);
  (await waiting)._unsafeUnwrap().leave(10);
  seats[1]?.leave(10);
  assert.equal(local.load(said.id), { running: 0, waiting: 0, slots: 1, meanMs: 10 });
});

test('a beat with a number that is not higher changes nothing', () => {
  const local = new LocalEndpoints({ now: () => 0 as Instant }, () => undefined);
  local.beat({ ...said, sequence: 5, leaving: true })._unsafeUnwrap();
  local.beat({ ...said, sequence: 5, leaving: false })._unsafeUnwrap();
  local.beat({ ...said, sequence: 4, leaving: false })._unsafeUnwrap();
  assert.equal(local.listed().map(({ leaving }) => leaving), [true]);
});

test('in the grace after a restart only a later life of the recorded holder\'s disk gets the key', () => {
  const state: RegisterState = { promised: 3 as Epoch, holder: 'core1/disk-a@boot1', accepted: null };
  const kindFor = (holder: string, held: RegisterState = state): string => {
    const ask: RegisterAsk = { kind: 'claim', epoch: 4 as Epoch, holder, leaseMs: 1000 as Millis };
    return Register.step(held, null, ask, 100 as Instant, 500 as Instant).reply.kind;
  };
  assert.is(kindFor('core1/disk-a@boot2'), 'granted');
  assert.is(kindFor('core2/disk-b@boot2'), 'refused');
  assert.is(kindFor('core1/disk-c@boot2'), 'refused', 'another disk at the same machine');
  assert.is(kindFor('core1@boot2', { ...state, holder: 'core1@boot1' }), 'refused', 'a holder without a disk may live twice');
  const other = Register.step(state, { holder: 'core2/disk-b@boot1', until: 900 as Instant }, { kind: 'claim', epoch: 4 as Epoch, holder: 'core1/disk-a@boot2', leaseMs: 1000 as Millis }, 600 as Instant, 500 as Instant);
  assert.is(other.reply.kind, 'refused', 'a running lease of somebody else binds');
});

test('an endpoint whose host was not heard takes nothing urgent and nothing that can not be repeated while another is there', () => {
  const far = { ...rowOf('unheard', 'a'), unconfirmed: true };
  const { picker } = pickerOf([]);
  const chosen = (rows: readonly EndpointRow[], isRepeatable: boolean, isUrgent: boolean): ReadonlySet<string> => new Set(Array.from({ length: 200 }, () =>
    picker.pick({ service: 'line' as ServiceName, isRepeatable, tried: [], binding, aimMs: null, isUrgent }, { rows, mask: null }).chosen?.row.id ?? ''));
  const both = [far, rowOf('heard', 'a')];
  for (const [isRepeatable, isUrgent] of [[false, false], [false, true], [true, true]] as const) assert.equal([...chosen(both, isRepeatable, isUrgent)], ['heard']);
  assert.equal([...chosen(both, true, false)].sort(), ['heard', 'unheard']);
  assert.equal([...chosen([far], false, true)], ['unheard'], 'its host decides; turning away would serve nobody');
  const pick = picker.pick({ service: 'line' as ServiceName, isRepeatable: false, tried: [], binding, aimMs: null }, { rows: both, mask: null });
  assert.equal(pick.passedOver.map(({ row, why }) => [row.id, why]), [['unheard', 'not confirmed']]);
});

run();
