import type { Voters } from '../version/entry.js';
import type { DiskId, Instant, KeyName, Serial } from './brands.js';
import { voteDefect } from './quorum.js';

/** The serial of what a disk has accepted of each key; a key that is missing can't be told. */
export type AcceptedSerials = Readonly<Record<KeyName, Serial>>;

/** What a disk said of itself, and how it was asked. */
export interface DiskReport {
  readonly disk: DiskId;
  readonly askedAt: Instant;
  /** The roster by which it was asked. */
  readonly rosterSerial: Serial;
  /** The newest roster that the disk knows. */
  readonly voters: Voters | null;
  /** Null in reports of the former release, which are taken to hold nothing new. */
  readonly accepted: AcceptedSerials | null;
}

/** Whoever can't prove that it knows all that was committed so many milliseconds ago says that it is not current, and others are asked. */
export const CURRENT_MS = 1100;

const NEVER = -Infinity as Instant;

/** The same that lets a disk answer an ask: a disk without a vote, or that knows a later roster, says nothing of what a majority has. */
const hasVote = ({ disk, rosterSerial, voters }: DiskReport): boolean => voteDefect(disk, voters, { disk, rosterSerial }) === null && (voters?.serial ?? 0) <= rosterSerial;

/**
 * Up to which moment a ratebook knows everything that was committed. An entry is committed once a majority has accepted it, so
 * whoever knows commits as high as all that a majority said it had accepted knows all that was committed before those were
 * asked. That a majority answers proves nothing by itself: the word of a commit may be lost on its way.
 */
export class CommitEvidence {
  private readonly latest = new Map<DiskId, DiskReport>();
  /** When each disk was asked that had, as it then said, accepted nothing beyond what is known here. */
  private readonly matchedAt = new Map<DiskId, Instant>();
  private rosterSerial = 0 as Serial;
  private provenAt: Instant = NEVER;

  constructor(private readonly keys: readonly KeyName[], private readonly knownSerial: (key: KeyName) => Serial) {}

  /** Takes what a disk said; a majority is always one of disks that were asked by the same roster. */
  hear(report: DiskReport): void {
    if (report.rosterSerial < this.rosterSerial || report.askedAt < (this.latest.get(report.disk)?.askedAt ?? NEVER) || !hasVote(report)) return;
    if (report.rosterSerial > this.rosterSerial) this.begin(report.rosterSerial);
    this.latest.set(report.disk, report);
    this.match();
  }

  /** Everything that was committed before this moment is known by other means. */
  prove(moment: Instant): void {
    this.provenAt = Math.max(this.provenAt, moment) as Instant;
  }

  /** More is known to be committed: what disks said that they had accepted may be among it. */
  match(): void {
    for (const [disk, { askedAt, accepted }] of this.latest) if (this.covers(accepted)) this.matchedAt.set(disk, askedAt);
  }

  /** Whether what a disk has accepted is known here to be committed. */
  covers(accepted: AcceptedSerials | null): boolean {
    return accepted === null || this.keys.every((key) => (accepted[key] ?? Infinity) <= this.knownSerial(key));
  }

  /** The moment before which all commits are known; once proven it stays so, whoever votes later. */
  asOf(voters: Voters | null): Instant {
    if (voters !== null && voters.serial === this.rosterSerial) this.prove(this.byMajority(voters));
    return this.provenAt;
  }

  private byMajority({ members }: Voters): Instant {
    const newestFirst = members.map(({ id }) => this.matchedAt.get(id) ?? NEVER).sort((one, other) => other - one);
    return newestFirst[Math.floor(members.length / 2)] ?? NEVER;
  }

  private begin(rosterSerial: Serial): void {
    this.rosterSerial = rosterSerial;
    this.latest.clear();
    this.matchedAt.clear();
  }
}
