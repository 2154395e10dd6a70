import * as assert from 'uvu/assert';
import { Chance } from '../src/fleet/chance.js';
import type { Serial } from '../src/process/brands.js';
import { ListChanges } from '../src/version/listChanges.js';
import { EndpointSnapshot, listKey, type EndpointRow } from '../src/version/snapshots.js';
import { suite } from './harness.js';

const { test, run } = suite('differences of lists');

const SEEDS = 200;
const STEPS = 40;
const rowOf = (host: number, id: number, leaving: boolean): EndpointRow => ({ id: `e${id}`, service: 'line', instance: `i${id}`, address: '10.0.0.1:1', zone: 'a', slots: 4, leaving, node: `n${host}`, nodeBoot: 'b', hop: '10.0.0.1:2' }) as unknown as EndpointRow;
const listOf = (serial: number, rows: readonly EndpointRow[]): EndpointSnapshot => ({ directory: 'd' as EndpointSnapshot['directory'], serial: serial as Serial, rows });
const textOf = (rows: readonly EndpointRow[]): string => rows.map((row) => JSON.stringify(row)).sort().join();

test('a node that is given differences holds what a whole list would give it, however far behind it is', () => {
  let differences = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const chance = new Chance(seed);
    let changes = ListChanges.none;
    let whole = listOf(0, []);
    const nodes: (EndpointSnapshot | null)[] = [null, null, null];
    for (let serial = 1; serial <= STEPS; serial += 1) {
      const kept = whole.rows.filter(() => chance.below(10) > 0).map((row) => (chance.below(8) === 0 ? { ...row, leaving: !row.leaving } : row));
      const fresh = rowOf(chance.below(4), chance.below(6), false);
      const rows = kept.some((row) => listKey(row) === listKey(fresh)) ? kept : [...kept, fresh];
      changes = changes.after(whole.rows, rows, serial as Serial);
      whole = listOf(serial, rows);
      for (const [index, held] of nodes.entries()) {
        if (chance.below(3) > 0) continue;
        const difference = held === null ? null : changes.since(whole, held.serial);
        if (difference !== null) differences += 1;
        const next = EndpointSnapshot.after(held, difference ?? whole);
        nodes[index] = next;
        assert.is(next?.serial, whole.serial);
        assert.is(textOf(next?.rows ?? []), textOf(whole.rows), `seed ${seed}, serial ${serial}`);
      }
    }
  }
  assert.ok(differences > SEEDS * STEPS / 2, String(differences));
});

test('one change among many rows is told as one row, and a row that goes by its key', () => {
  const rows = Array.from({ length: 50 }, (_, index) => rowOf(index, index, false));
  const first = ListChanges.none.after([], rows, 1 as Serial);
  const [leaver, ...rest] = rows as [EndpointRow, ...EndpointRow[]];
  const second = first.after(rows, [{ ...leaver, leaving: true }, ...rest], 2 as Serial);
  const told = second.since(listOf(2, [{ ...leaver, leaving: true }, ...rest]), 1 as Serial);
  assert.equal([told?.rows.map((row) => row.id), told?.gone, told?.since], [['e0'], [], 1]);
  const third = second.after([{ ...leaver, leaving: true }, ...rest], rest, 3 as Serial).since(listOf(3, rest), 1 as Serial);
  assert.equal([third?.rows, third?.gone], [[], ['n0/e0']]);
});

test('a difference is taken only on top of the list that it builds on', () => {
  const known = listOf(3, [rowOf(1, 1, false)]);
  const difference: EndpointSnapshot = { ...listOf(5, [rowOf(2, 2, false)]), since: 4 as Serial, gone: [] };
  assert.is(EndpointSnapshot.after(known, difference), null);
  assert.is(EndpointSnapshot.after(null, difference), null);
  assert.is(EndpointSnapshot.after({ ...known, serial: 4 as Serial, directory: 'other' as EndpointSnapshot['directory'] }, difference), null);
  assert.equal(EndpointSnapshot.after({ ...known, serial: 4 as Serial }, difference)?.rows.map((row) => row.id), ['e1', 'e2']);
});

test('who is too far behind, or names a serial that never was, gets the whole list', () => {
  let changes = ListChanges.none;
  let rows: readonly EndpointRow[] = [];
  for (let serial = 1; serial <= 300; serial += 1) {
    const next = [rowOf(1, serial, false)];
    changes = changes.after(rows, next, serial as Serial);
    rows = next;
  }
  const whole = listOf(300, rows);
  assert.is(changes.since(whole, 50 as Serial), null);
  assert.is(changes.since(whole, 301 as Serial), null);
  assert.is(changes.since(whole, 0 as Serial), null);
  assert.is(EndpointSnapshot.after(listOf(150, [rowOf(1, 150, false)]), changes.since(whole, 150 as Serial) ?? whole)?.rows.length, 1);
});

run();
