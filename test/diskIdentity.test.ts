import * as assert from 'uvu/assert';
import { StoreClient } from '../src/connection/storeCalls.js';
import { WireClient } from '../src/connection/wire.js';
import { Fleet } from '../src/fleet/fleet.js';
import type { Address, DiskId, Epoch, KeyName, Millis } from '../src/process/brands.js';
import { voteDefect } from '../src/process/quorum.js';
import type { RegisterAsk } from '../src/process/register.js';
import type { RosterMember, Voters } from '../src/version/entry.js';
import { suite } from './harness.js';

const { test, run } = suite('disk identity');

const ASK_MS = 1000;
const KEY = 'manifest' as KeyName;
const LATER_ROSTER = 7;
const lostDisk = 'the-lost-disk' as DiskId;
const claim: RegisterAsk = { kind: 'claim', epoch: 9 as Epoch, holder: 'candidate/disk@boot', leaseMs: 2000 as Millis };

// Guards against the vote of an empty disk in the name of the lost one whose address it has: it lost acknowledged configurations.
test('an empty disk in the place of a lost one neither votes nor is copied from in its name, whatever the roster', async () => {
  const fleet = await Fleet.start({ switchboards: 0, zones: 1 });
  const wire = new WireClient(fleet.block, fleet.machine('core1').host);
  const store = new StoreClient(wire);
  try {
    await Promise.all([...fleet.ratebooks.values()].map((daemon) => daemon.end('SIGKILL')));
    fleet.wipe('core1');
    const book = fleet.ratebooks.get('core1');
    await book?.start();
    const listening = book?.lines.filter((line) => line.event === 'listening').at(-1);
    const member: RosterMember = { id: lostDisk, address: listening?.['wire'] as Address };
    for (const disk of [{ disk: lostDisk }, { disk: listening?.['disk'] as DiskId }, {}]) {
      const answer = await store.ask(member.address, { key: KEY, ...disk, rosterSerial: LATER_ROSTER, ask: claim }, ASK_MS);
      assert.is(answer.match((reply) => reply.kind as string, (defect) => defect.kind), 'no-vote', JSON.stringify(disk));
    }
    assert.is((await store.dump(member)).match(() => 'copied', (defect) => defect.kind), 'no-vote');
    assert.ok((await store.dump({ ...member, id: listening?.['disk'] as DiskId })).isOk());
    assert.not((await store.copy(member, [member]))._unsafeUnwrap().copied);
  } finally {
    await wire.close();
    await fleet.end();
  }
});

test('a disk answers asks for itself alone, by the newest roster that it knows or a later one', () => {
  const own = 'disk-a' as DiskId;
  const rosterOf = (serial: number, ...ids: readonly string[]): Voters => ({ serial, members: ids.map((id) => ({ id, address: '10.0.0.1:1' })) }) as unknown as Voters;
  const may = (known: Voters | null, rosterSerial: number, disk: string | undefined = own): boolean =>
    voteDefect(own, known, disk === undefined ? { rosterSerial } : { disk: disk as DiskId, rosterSerial }) === null;
  assert.ok(may(rosterOf(3, own, 'disk-b'), 3));
  assert.ok(may(rosterOf(3, 'disk-b'), 4), 'a later roster names it');
  assert.not(may(rosterOf(3, 'disk-b'), 3), 'the roster that it knows does not');
  assert.not(may(null, 4), 'it was never admitted');
  assert.not(may(rosterOf(3, own), 3, 'disk-b'), 'another disk is asked');
});

run();
