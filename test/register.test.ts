import * as assert from 'uvu/assert';
import { Chance } from '../src/fleet/chance.js';
import { StoreSim, type SimPlan } from '../src/fleet/storeSim.js';
import { err, ok } from 'neverthrow';
import type { Address, ChangeId, DiskId, Epoch, Instant, KeyName, Serial } from '../src/process/brands.js';
import { CatchUp } from '../src/process/catchUp.js';
import { UnreachableDefect } from '../src/process/defect.js';
import { KeyHolder } from '../src/process/keyHolder.js';
import { KeyOwner } from '../src/process/keyOwner.js';
import type { VoterLink } from '../src/process/quorum.js';
import type { Entry } from '../src/version/entry.js';
import { Register, type Grant, type RegisterState } from '../src/process/register.js';
import { suite } from './harness.js';

const { test, run } = suite('register');
const SEEDS = Number(process.env['SEEDS'] ?? 1000);
const STEPS = 2000;

const acknowledgedIn = (sim: StoreSim): StoreSim['told'] => sim.told.filter((one) => one.outcome === 'acknowledged');

/** What is read back is no older than what was acknowledged. */
const checkReadBack = async (sim: StoreSim): Promise<void> => {
  const last = await sim.readBack();
  const highest = Math.max(0, ...acknowledgedIn(sim).map((one) => one.serial));
  if ((last?.serial ?? 0) < highest) sim.faults.push(`read back ${last?.serial}, acknowledged ${highest}`);
};

const drive = async (seed: number, plan: SimPlan): Promise<StoreSim> => {
  const sim = new StoreSim(new Chance(seed), plan);
  for (let count = 0; count < STEPS; count += 1) await sim.step(false);
  await checkReadBack(sim);
  await sim.settleRoster();
  await checkReadBack(sim);
  for (const one of acknowledgedIn(sim)) {
    if (sim.history.get(one.serial) !== one.id) sim.faults.push(`${one.id} was acknowledged as serial ${one.serial}, which holds ${String(sim.history.get(one.serial))}`);
  }
  const inForce = new Set([...sim.history.values()]);
  const serials = new Map<string, number>();
  for (const [serial, value] of sim.history) {
    if (serials.has(String(value))) sim.faults.push(`${String(value)} took effect twice, as ${serials.get(String(value))} and ${serial}`);
    serials.set(String(value), serial);
  }
  const refusedForGood = sim.told.filter((one) => one.outcome === 'turned away' && !sim.told.some((other) => other.id === one.id && other.outcome !== 'turned away'));
  for (const one of refusedForGood) if (inForce.has(one.id)) sim.faults.push(`${one.id} was turned away and took effect`);
  return sim;
};

// Guards against the vote of an empty disk in the name of the lost one whose address it has, and against a disk that was dropped
// while its machine was silent and never votes again: the roster then holds disks that are gone, and the next loss takes the majority.
for (const [size, wipes, outages, replacements] of [[3, 0, 0, 0], [3, 6, 0, 0], [3, 4, 12, 0], [5, 6, 12, 0], [3, 3, 40, 12], [5, 4, 40, 12]] as const) {
  test(`${SEEDS} seeded runs of ${size} disks with losses, restarts, ${wipes} lost disks, ${outages} outages and ${replacements} replaced machines keep one acknowledged history and a whole roster`, async () => {
    let acknowledged = 0;
    let undecided = 0;
    let found = 0;
    let caughtUp = 0;
    let proven = 0;
    let lost = 0;
    let regained = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const sim = await drive(seed, { size, wipes, outages, replacements });
      assert.equal(sim.faults, [], `seed ${seed}`);
      acknowledged += acknowledgedIn(sim).length;
      found += sim.foundCount;
      caughtUp += sim.caughtUpCount;
      proven += sim.provenCount;
      lost += sim.lostDisks;
      regained += sim.votesRegained;
      undecided += sim.told.filter((one) => one.outcome === 'undecided').length;
    }
    assert.ok(acknowledged > SEEDS && undecided > 0, `${acknowledged} acknowledged, ${undecided} undecided: the runs reach what they are for`);
    assert.ok(wipes === 0 || lost > SEEDS, `${lost} disks were lost`);
    assert.ok(replacements === 0 || regained > SEEDS / 10, `${regained} times a disk was given its vote again`);
    assert.ok(proven > SEEDS, `${proven} times it was proven up to when a book knows all commits`);
    assert.ok(found > SEEDS && caughtUp > SEEDS, `${found} entries found committed without an owner, ${caughtUp} books caught up`);
  });
}

/** Three disks in memory, of which some may be dead, and a clock to be moved. */
const threeDisks = () => {
  const world = { now: 0, dead: [] as readonly string[], states: new Map<string, RegisterState>(), grants: new Map<string, Grant | null>(), graces: new Map<string, number>() };
  const clock = { now: () => world.now as Instant };
  const members = ['a', 'b', 'c'].map((id) => ({ id: id as DiskId, address: `${id}:1` as Address }));
  const link: VoterLink = {
    voters: () => ({ serial: 1 as Serial, members }),
    ask: async (voter, _key, _serial, ask) => {
      if (world.dead.includes(voter.id)) return err(new UnreachableDefect('dead'));
      const step = Register.step(world.states.get(voter.id) ?? Register.empty, world.grants.get(voter.id) ?? null, ask, world.now as Instant, (world.graces.get(voter.id) ?? 0) as Instant);
      if (step.store !== null) world.states.set(voter.id, step.store);
      world.grants.set(voter.id, step.grant);
      return ok(step.reply);
    },
  };
  return { world, clock, link, members };
};
const key = 'manifest' as KeyName;
const turn = (): Promise<void> => new Promise((settle) => { setImmediate(settle); });

test('a candidate that can not win leaves no trace on any disk, and the next one wins at once', async () => {
  const { world, clock, link } = threeDisks();
  world.dead = ['c'];
  world.graces.set('b', 100);
  const [first, second] = ['first', 'second'].map((name) => new KeyHolder(key, name, link, clock)) as [KeyHolder, KeyHolder];
  assert.ok((await first.claim()).isErr(), 'one grant is no majority');
  assert.equal([world.states.size, [...world.grants.values()].filter((grant) => grant !== null).length], [0, 0]);
  world.now = 101;
  assert.ok((await second.claim()).isOk());
  const held = JSON.stringify([...world.states]);
  assert.ok((await first.claim()).isErr(), 'the lease keeps the rival away');
  assert.is(JSON.stringify([...world.states]), held);
  assert.ok(second.isHeld() && !first.isHeld());
});

test('an owner whose rival raised the promise of one disk takes that disk back, and can then lose another', async () => {
  const { world, clock, link, members } = threeDisks();
  const owner = new KeyOwner(key, 'owner', link, clock, () => Promise.resolve(true), () => undefined);
  assert.ok((await owner.takeOver()).isOk());
  const [, , third] = members;
  if (third === undefined) throw new Error('no third disk');
  world.states.set('c', { ...Register.empty, promised: 9 as Epoch, holder: 'rival' });
  world.grants.set('c', null);
  assert.ok((await owner.renew()).isOk(), 'two of three are a majority');
  for (let count = 0; count < 20 && owner.epoch < 10; count += 1) await turn();
  assert.ok(owner.serving && owner.epoch > 9, `epoch ${owner.epoch}`);
  world.dead = ['b'];
  assert.ok((await owner.change({ base: 0 as Serial, value: 'one', id: 'c1' as ChangeId })).isOk());
});

test('an entry is found committed only at a majority that has promised nothing since, and who knows less than any of a majority has not caught up', async () => {
  const { world, link } = threeDisks();
  const entry: Entry = { epoch: 2 as Epoch, serial: 5 as Serial, value: 'five', changes: [] };
  const state = (promised: number, accepted: Entry | null): RegisterState => ({ promised: promised as Epoch, holder: 'someone', accepted });
  let known: Entry | null = null;
  const catchUp = new CatchUp(link, 'a@1', [key], { accepted: () => world.states.get('a')?.accepted ?? null, committedSerial: () => known?.serial ?? 0, learn: (_key, found) => { known = found; } });
  world.dead = ['c'];
  assert.ok(await catchUp.look(), 'nothing is accepted anywhere');
  catchUp.forget();
  world.states.set('a', state(2, entry));
  assert.not(await catchUp.look(), 'one disk alone');
  world.states.set('b', state(3, entry));
  assert.not(await catchUp.look(), 'a copy under a later promise');
  assert.is(known, null);
  world.states.set('b', state(2, entry));
  assert.ok(await catchUp.look());
  assert.is(known, entry);
  catchUp.forget();
  world.states.set('b', state(4, { ...entry, epoch: 4 as Epoch, serial: 6 as Serial }));
  assert.not(await catchUp.look(), 'another disk has a later one');
  world.dead = ['b', 'c'];
  assert.not(await catchUp.look(), 'no majority');
});

run();
