import * as assert from 'uvu/assert';
import type { Address, DiskId, Instant, KeyName, Serial } from '../src/process/brands.js';
import { CommitEvidence, type AcceptedSerials, type DiskReport } from '../src/process/commitEvidence.js';
import { Moment } from '../src/process/moment.js';
import type { Voters } from '../src/version/entry.js';
import { suite } from './harness.js';

const { test, run } = suite('commit proof');

const MANIFEST = 'manifest' as KeyName;
const DISKS = ['d1', 'd2', 'd3', 'd4', 'd5'] as DiskId[];
const voters: Voters = { serial: 1 as Serial, members: DISKS.map((id) => ({ id, address: '127.0.0.1:1' as Address })) };
const at = (moment: number): Instant => moment as Instant;
const accepted = (serial: number): AcceptedSerials => ({ [MANIFEST]: serial as Serial });

const ledger = (): { known: number; readonly evidence: CommitEvidence } => {
  const state = { known: 3, evidence: null as unknown as CommitEvidence };
  state.evidence = new CommitEvidence([MANIFEST], () => state.known as Serial);
  return state;
};
const report = (disk: string, moment: number, said: AcceptedSerials | null, more: Partial<DiskReport> = {}): DiskReport => ({ disk: disk as DiskId, askedAt: at(moment), rosterSerial: voters.serial, voters, accepted: said, ...more });
const hearAll = (evidence: CommitEvidence, moments: readonly number[], serial: number): void =>
  moments.forEach((moment, index) => evidence.hear(report(DISKS[index] as DiskId, moment, accepted(serial))));

test('all commits are known up to the moment after which a majority was asked', () => {
  const { evidence } = ledger();
  hearAll(evidence, [100, 300], 3);
  assert.is(evidence.asOf(voters), -Infinity, 'two of five are no majority');
  evidence.hear(report('d3', 200, accepted(2)));
  assert.is(evidence.asOf(voters), 100);
  evidence.hear(report('d4', 250, accepted(3)));
  assert.is(evidence.asOf(voters), 200);
  assert.is(ledger().evidence.asOf(null), -Infinity, 'nobody votes that is known of');
});

// Guards against a ratebook that takes itself to be current because a majority answers it, though the word of a commit was lost.
test('a majority that has accepted more than is known here proves nothing until that is known to be committed', () => {
  const state = ledger();
  hearAll(state.evidence, [100, 100, 100], 3);
  hearAll(state.evidence, [500, 500, 500], 4);
  assert.is(state.evidence.asOf(voters), 100, 'what was proven before still is');
  state.known = 4;
  state.evidence.match();
  assert.is(state.evidence.asOf(voters), 500);
});

test('an earlier answer that comes later, a disk that can\'t tell, and disks without a vote count for nothing', () => {
  const { evidence } = ledger();
  hearAll(evidence, [500, 500, 500], 3);
  hearAll(evidence, [400, 400, 400], 3);
  assert.is(evidence.asOf(voters), 500);
  const other = ledger().evidence;
  hearAll(other, [100, 100], 3);
  other.hear(report('d3', 100, {}));
  other.hear(report('stranger', 100, accepted(3)));
  assert.is(other.asOf(voters), -Infinity);
  other.hear(report('d4', 100, null));
  assert.is(other.asOf(voters), 100, 'the former release does not tell, and counted as it is');
  other.prove(at(700));
  assert.is(other.asOf(voters), 700);
});

// Guards against the word of a spare disk, which has accepted nothing, that counts as a vote once the disk is admitted.
test('a disk that had no vote when it was asked, or knew a later roster, counts for nothing, and rosters are not mixed', () => {
  const { evidence } = ledger();
  const next: Voters = { serial: 2 as Serial, members: [...voters.members.slice(0, 4), { id: 'd6' as DiskId, address: '127.0.0.1:1' as Address }] };
  hearAll(evidence, [500, 500], 3);
  evidence.hear(report('d6', 500, accepted(0)));
  evidence.hear(report('d3', 500, accepted(3), { voters: next }));
  evidence.hear(report('d4', 500, accepted(3), { voters: null }));
  assert.equal([evidence.asOf(voters), evidence.asOf(next)], [-Infinity, -Infinity]);
  evidence.hear(report('d3', 400, accepted(3)));
  assert.is(evidence.asOf(voters), 400);
  evidence.hear(report('d6', 600, accepted(3), { rosterSerial: next.serial, voters: next }));
  assert.is(evidence.asOf(next), 400, 'what was proven stays so, but one disk proves no more');
});

// Guards against a time on the way that makes a moment seem later than it was.
test('a moment that was told is never taken for later than it was, however long the way', () => {
  for (const [wayThere, held, wayBack] of [[0, 0, 0], [300, 700, 900], [1300, 0, 10]] as const) {
    const askedAt = 5000;
    const readAt = askedAt + wayThere;
    const moment = readAt + held - 400;
    const heard = Moment.heard(Moment.tell(at(moment), at(readAt)), at(askedAt));
    assert.ok(heard <= moment);
    assert.is(moment - heard, wayThere, `the way back, ${wayBack} ms, makes no difference`);
  }
});

run();
