import * as assert from 'uvu/assert';
import type { Instant } from '../src/process/brands.js';
import { Freshness } from '../src/process/freshness.js';
import { suite } from './harness.js';

const { test, run } = suite('freshness');

/** The time after its acknowledgement within which a manifest must be in force, in milliseconds. */
const APPLY_MS = 2000;

const at = (now: number): Instant => now as Instant;
const fresh = (): { readonly time: { now: number }; readonly freshness: Freshness } => {
  const time = { now: 1000 };
  return { time, freshness: new Freshness({ now: () => at(time.now) }, APPLY_MS) };
};

test('a node that starts is unsure until a current directory answers, for 1.5 s at most', () => {
  const { time, freshness } = fresh();
  assert.equal([freshness.isUnsure, freshness.isSure], [true, false]);
  assert.ok(freshness.hear(at(1000), at(1010)), 'the first to vouch');
  assert.equal([freshness.isUnsure, freshness.isSure, freshness.hear(at(1020), at(1030))], [false, true, false]);
  const other = fresh();
  other.time.now += 1500;
  assert.equal([other.freshness.isUnsure, other.freshness.isSure], [false, false]);
  time.now += 1500;
  assert.ok(freshness.hearsDirectory, 'heard 1.47 s ago');
  time.now += 31;
  assert.not(freshness.hearsDirectory);
});

// Guards against an answer from before a long stall that vouches for what the node kept over it.
test('after a long stall only an answer to a question asked since vouches', () => {
  const { time, freshness } = fresh();
  freshness.hear(at(1000), at(1010));
  time.now = 6000;
  freshness.lose();
  assert.equal([freshness.isUnsure, freshness.hearsDirectory], [true, false]);
  assert.not(freshness.hear(at(1050), at(6001)), 'asked before the stall, read after it');
  assert.equal([freshness.isUnsure, freshness.hearsDirectory], [true, false]);
  assert.ok(freshness.hear(at(6000), at(6020)));
  assert.equal([freshness.isUnsure, freshness.hearsDirectory], [false, true]);
});

test('a late answer vouches for no longer than since its question was asked', () => {
  const { time, freshness } = fresh();
  time.now = 4000;
  freshness.hear(at(2000), at(2000));
  assert.equal([freshness.isSure, freshness.hearsDirectory, freshness.silentMs], [true, false, 2000]);
});

// Guards against evidence that is counted from its arrival, at each process on its way anew.
test('what a node has is as old as the moment up to which commits are known, however lately an answer came', () => {
  const { time, freshness } = fresh();
  assert.not(freshness.isProven, 'nothing was proven yet');
  freshness.prove(at(1000));
  time.now = 1000 + APPLY_MS - 101;
  freshness.hear(at(time.now), at(time.now));
  assert.ok(freshness.isProven);
  time.now += 1;
  freshness.hear(at(time.now), at(time.now));
  assert.equal([freshness.isProven, freshness.hearsDirectory, freshness.ageMs], [false, true, APPLY_MS - 100]);
  freshness.prove(at(500));
  assert.is(freshness.ageMs, APPLY_MS - 100, 'older evidence that comes later takes nothing away');
  freshness.prove(at(time.now - 10));
  assert.ok(freshness.isProven);
});

run();
