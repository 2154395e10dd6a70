import type { RosterMember, Voters } from '../version/entry.js';
import type { DiskId, Instant, KeyName, Serial } from './brands.js';

/** The serial of what a disk has accepted of each key; a key that is missing can't be told. */
export type AcceptedSerials = Readonly<Record<KeyName, Serial>>;

interface Report {
  readonly askedAt: Instant;
  /** Null in reports of the former release. */
  readonly accepted: AcceptedSerials | null;
}

/** Whoever can't prove that it knows all that was committed so many milliseconds ago says that it is not current, and others are asked. */
export const CURRENT_MS = 1100;

const NEVER = -Infinity as Instant;

/**
 * Up to which moment a ratebook knows everything that was committed. An entry is committed once a majority has accepted it, so
 * whoever knows commits as high as all that a majority said it had accepted knows all that was committed before those were
 * asked. That a majority answers proves nothing by itself: the word of a commit may be lost on its way.
 */
export class CommitEvidence {
  private readonly latest = new Map<DiskId, Report>();
  /** When each disk was asked that had, as it then said, accepted nothing beyond what is known here. */
  private readonly matchedAt = new Map<DiskId, Instant>();
  private provenAt: Instant = NEVER;

  constructor(private readonly keys: readonly KeyName[], private readonly knownSerial: (key: KeyName) => Serial) {}

  /** A disk said what it has accepted, asked at `askedAt`. */
  hear(disk: DiskId, askedAt: Instant, accepted: AcceptedSerials | null): void {
    if (askedAt < (this.latest.get(disk)?.askedAt ?? NEVER)) return;
    this.latest.set(disk, { askedAt, accepted });
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

  /** The moment before which all commits are known, for these voters. */
  asOf(voters: Voters | null): Instant {
    if (voters === null) return NEVER;
    const newestFirst = voters.members.map(({ id }: RosterMember) => this.matchedAt.get(id) ?? NEVER).sort((one, other) => other - one);
    const byMajority = newestFirst[Math.floor(voters.members.length / 2)] ?? NEVER;
    return Math.max(this.provenAt, byMajority) as Instant;
  }
}
