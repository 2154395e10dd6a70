import * as assert from 'uvu/assert';
import { Body, BodyCollector } from '../src/connection/body.js';
import { Chance } from '../src/fleet/chance.js';
import type { Instant } from '../src/process/brands.js';
import { MemoryBudget, SMALL_BYTES, STALL_MS, type Holding } from '../src/process/memoryBudget.js';
import { suite } from './harness.js';

const { test, run } = suite('memory budget');
const MIB = 1024 * 1024;
const SEEDS = 200;

/** A clock that is moved by hand. */
class HandClock {
  private at = 0;
  now(): Instant {
    return this.at as Instant;
  }

  pass(ms: number): void {
    this.at += ms;
  }
}

test('long exchanges leave room for small ones, which are served when they find none', () => {
  const budget = new MemoryBudget(8 * MIB, new HandClock());
  const long = budget.open();
  assert.ok(long.take(budget.mostBytes));
  assert.not.ok(budget.open().take(SMALL_BYTES + 1));
  assert.ok(budget.open().take(SMALL_BYTES));
  long.close();
  assert.ok(budget.open().take(SMALL_BYTES + 1));
});

test('who stands still longest is let go first, and nobody when that would not be enough', () => {
  const clock = new HandClock();
  const budget = new MemoryBudget(8 * MIB, clock);
  const ended: string[] = [];
  const reading = (name: string, bytes: number): Holding => {
    const holding = budget.open();
    assert.ok(holding.take(bytes));
    holding.yieldAt(clock.now() + STALL_MS, () => ended.push(name));
    return holding;
  };
  reading('first', 3 * MIB);
  clock.pass(10);
  reading('second', 3 * MIB);
  const kept = budget.open();
  assert.ok(kept.take(MIB));
  assert.not.ok(budget.open().take(2 * MIB), 'both have made progress a moment ago');
  clock.pass(STALL_MS + 10);
  assert.not.ok(budget.open().take(7 * MIB));
  assert.equal(ended, []);
  assert.ok(budget.open().take(2 * MIB));
  assert.equal(ended, ['first']);
});

test('who waits is served when room is given back, and told when it ends before', async () => {
  const budget = new MemoryBudget(8 * MIB, new HandClock());
  const first = budget.open();
  assert.ok(first.take(6 * MIB));
  const second = budget.open();
  const waiting = second.takeSoon(6 * MIB);
  const third = budget.open();
  const inVain = third.takeSoon(6 * MIB);
  third.close();
  assert.is(await inVain, false);
  first.close();
  assert.is(await waiting, true);
  assert.not.ok(first.take(1), 'nothing is granted to what has ended');
});

test('whatever comes and goes, no more is held than the budget, and all of it comes back', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const chance = new Chance(seed);
    const clock = new HandClock();
    const budget = new MemoryBudget(4 * MIB, clock);
    const held = new Map<Holding, number>();
    const total = (): number => [...held.keys()].reduce((sum, holding) => sum + holding.bytes, 0);
    for (let step = 0; step < 300; step += 1) {
      const some = [...held.keys()];
      const one = some[Math.floor(chance.next() * some.length)];
      if (one === undefined || chance.next() < 0.3) {
        const holding = budget.open();
        held.set(holding, 0);
        if (chance.next() < 0.5) holding.yieldAt(clock.now() + STALL_MS, () => held.delete(holding));
      } else if (chance.next() < 0.3) {
        one.close();
        held.delete(one);
      } else {
        const bytes = Math.floor(chance.next() * MIB);
        const before = one.bytes;
        assert.is(one.take(bytes) ? one.bytes : before, one.bytes);
      }
      clock.pass(Math.floor(chance.next() * STALL_MS));
      assert.ok(total() <= budget.totalBytes, `seed ${seed}, step ${step}: ${total()} bytes`);
    }
    [...held.keys()].forEach((holding) => holding.close());
    assert.ok(budget.open().take(budget.mostBytes), `seed ${seed}: not all came back`);
  }
});

test('a body is what its pieces were, and takes about its length, however small they are', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const chance = new Chance(seed);
    const most = 10 ** (1 + Math.floor(chance.next() * 5));
    let taken = 0;
    const collector = new BodyCollector({
      take: (bytes) => {
        taken += bytes;
        return true;
      },
      turnedOver: () => undefined,
    }, false);
    const pieces = Array.from({ length: Math.floor(chance.next() * 200) }, () => Buffer.alloc(Math.floor(chance.next() * most), Math.floor(chance.next() * 256)));
    pieces.forEach((piece) => assert.ok(collector.add(piece)));
    const body = collector.body();
    const whole = Buffer.concat(pieces);
    assert.is(body.length, whole.length);
    assert.ok(whole.equals(body.joined()), `seed ${seed}`);
    assert.ok(taken <= 3 * whole.length + 8192, `seed ${seed}: ${taken} bytes for ${whole.length}`);
    assert.ok(body.blocks.length <= 16 + whole.length / (200 * 1024), `seed ${seed}: ${body.blocks.length} blocks for ${whole.length} bytes`);
  }
  assert.is(Body.empty.joined().length, 0);
});

run();
