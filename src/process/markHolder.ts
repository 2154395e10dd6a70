import type { MarkKeptWord, MarksWord, StoreClient } from '../connection/storeCalls.js';
import type { DepartureMark } from '../version/departureMark.js';
import type { RosterMember, Voters } from '../version/entry.js';
import type { DiskId } from './brands.js';
import { MarkDisks } from './markDisks.js';
import type { MarkLog } from './markLog.js';

/** A disk that takes longer than this refuses the mark: whoever asked must hear of it before its own time is up. In milliseconds. */
const KEEP_MS = 350;

/** A ratebook's part in keeping the marks of departures. */
export class MarkHolder {
  constructor(private readonly log: MarkLog, private readonly disk: DiskId, private readonly voters: () => Voters | null, private readonly store: Pick<StoreClient, 'keepMark' | 'readMarks'>) {}

  /** Keeps a mark; a disk that is full, refuses or stalls is no acknowledgement. */
  async keep(mark: DepartureMark): Promise<MarkKeptWord> {
    const late = new Promise<boolean>((settle) => { setTimeout(() => settle(false), KEEP_MS).unref(); });
    const isKept = await Promise.race([this.log.keep(mark), late]);
    return { disk: this.disk, voters: this.voters(), isKept };
  }

  read(): MarksWord {
    return { disk: this.disk, voters: this.voters(), marks: this.log.marks(), isWhole: this.log.isWhole };
  }

  /** Takes over the marks that a majority of the voters holds, as a disk must before it votes; whether it has them all. */
  async copyFrom(members: readonly RosterMember[]): Promise<boolean> {
    const marks = await new MarkDisks(() => members.map(({ address }) => address), this.store).read();
    if (marks === null) return false;
    const kept = await Promise.all(marks.map((mark) => this.log.keep(mark)));
    return kept.every(Boolean);
  }
}
