import * as assert from 'uvu/assert';
import { Chance } from '../src/fleet/chance.js';
import type { DiskId } from '../src/process/brands.js';
import { Founding } from '../src/process/founding.js';
import { FoundingWorld, type FoundingPlan } from './foundingWorld.js';
import { suite } from './harness.js';

const { test, run } = suite('founding agreement');
const SEEDS = Number(process.env['SEEDS'] ?? 400);
const STEPS = 400;

const plans: readonly FoundingPlan[] = [{ size: 3, wipes: 0, absent: 0 }, { size: 3, wipes: 1, absent: 0.5 }, { size: 5, wipes: 0, absent: 0.5 }, { size: 5, wipes: 2, absent: 0.5 }];

// Guards against two first rosters, of which each has its own history, and against a founding that nobody can finish.
for (const plan of plans) {
  test(`${SEEDS} seeded first starts of ${plan.size} disks, ${plan.wipes} of them lost, found one roster and always find it`, async () => {
    let early = 0;
    let partial = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new FoundingWorld(new Chance(seed), plan);
      for (let count = 0; count < STEPS; count += 1) await world.step(false);
      early += world.rosters.size;
      if (plan.absent === 0 || seed % 2 === 0) world.bringBack();
      if (world.mayFinish) await world.finish();
      assert.equal(world.faults, [], `seed ${seed}`);
      partial += world.isPartial ? 1 : 0;
    }
    assert.ok(early > SEEDS / 4, `${early} runs founded amid the troubles`);
    assert.ok(plan.absent === 0 || partial > SEEDS / 10, `${partial} rosters left a founder out`);
  });
}

// Guards against an answer in another disk's name, which may have promised or accepted something.
test('an ask of the founding is answered by the founder that it names alone', () => {
  const [own, other] = ['disk1' as DiskId, 'disk2' as DiskId];
  assert.is(Founding.askDefect(own, true, own), null);
  assert.is(Founding.askDefect(own, true, other)?.kind, 'no-vote');
  assert.is(Founding.askDefect(own, true, undefined)?.kind, 'no-vote');
  assert.is(Founding.askDefect(own, false, own)?.kind, 'no-vote');
});

run();
