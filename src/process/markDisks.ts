import type { MarkKeptWord, MarksWord, StoreClient } from '../connection/storeCalls.js';
import type { RosterMember, Voters } from '../version/entry.js';
import type { Address, DiskId } from './brands.js';
import type { DepartureMark } from '../version/departureMark.js';

/** What became of a mark at the disks: `out-of-reach` when no majority of them answers, as when the whole core is down. */
export type MarkOutcome = 'kept' | 'refused' | 'out-of-reach';

/** One ratebook's answer; of the former release, which keeps no marks, only the address is known. */
interface DiskWord {
  readonly address: Address;
  readonly disk: DiskId | null;
  readonly voters: Voters | null;
  readonly isYes: boolean;
  readonly marks: readonly DepartureMark[];
}
/** What one ratebook said; null when it was not reached or said nothing in time. */
type Ask = (address: Address) => Promise<DiskWord | null>;
/** Decides by what was heard so far; null while more answers may come that could decide otherwise. */
type Decide<T> = (words: readonly DiskWord[], isLast: boolean) => T | null;

const newestOf = (words: readonly DiskWord[]): Voters | null =>
  words.reduce<Voters | null>((newest, { voters }) => (voters !== null && voters.serial > (newest?.serial ?? -1) ? voters : newest), null);

const isOf = (word: DiskWord, member: RosterMember): boolean => (word.disk === null ? word.address === member.address : word.disk === member.id);

/** Whether these words come from a majority of the disks of the newest roster that any word names. */
const isMajority = (words: readonly DiskWord[], voters: Voters | null): boolean =>
  voters !== null && voters.members.filter((member) => words.some((word) => isOf(word, member))).length > voters.members.length / 2;

/**
 * The marks of departures on the disks of the ratebooks: the one thing that outlives every process. A mark counts as kept, and the marks
 * as read, at a majority of the disks of the newest roster, so that whoever reads them meets every mark that was kept.
 */
export class MarkDisks {
  constructor(private readonly ratebooks: () => readonly Address[], private readonly store: Pick<StoreClient, 'keepMark' | 'readMarks'>) {}

  /** Resolves as soon as a majority has synced the mark, or once all have answered or were silent for too long. */
  async keep(mark: DepartureMark): Promise<MarkOutcome> {
    const ask: Ask = async (address) => (await this.store.keepMark(address, mark)).match(({ disk, voters, isKept }: MarkKeptWord): DiskWord | null => ({ address, disk, voters, isYes: isKept, marks: [] }), () => null);
    const outcome = await this.hear<MarkOutcome>(ask, (words, isLast) => {
      const voters = newestOf(words);
      if (isMajority(words.filter(({ isYes }) => isYes), voters)) return 'kept';
      if (!isLast) return null;
      return isMajority(words, voters) ? 'refused' : 'out-of-reach';
    });
    return outcome ?? 'out-of-reach';
  }

  /** Every mark that a majority has kept, and perhaps others; null while no majority can be read. */
  async read(): Promise<readonly DepartureMark[] | null> {
    const ask: Ask = async (address) => (await this.store.readMarks(address)).match(
      ({ disk, voters, isWhole, marks }: MarksWord): DiskWord | null => ({ address, disk, voters, isYes: isWhole, marks }),
      (defect) => (defect.kind === 'turned-away' ? { address, disk: null, voters: null, isYes: true, marks: [] } : null));
    const words = await this.hear(ask, (heard, isLast) => {
      const isOfFormerRelease = isLast && heard.length === this.ratebooks().length && heard.length > 0 && heard.every(({ disk }) => disk === null);
      return isOfFormerRelease || isMajority(heard.filter(({ isYes }) => isYes), newestOf(heard)) ? heard : null;
    });
    return words?.flatMap(({ marks }) => marks) ?? null;
  }

  /** Asks every ratebook at once, and settles with the first decision; null when none was made. */
  private hear<T>(ask: Ask, decide: Decide<T>): Promise<T | null> {
    const addresses = this.ratebooks();
    return new Promise((settle) => {
      let words: readonly DiskWord[] = [];
      let answered = 0;
      const take = (word: DiskWord | null): void => {
        answered += 1;
        if (word !== null) words = [...words, word];
        const isLast = answered === addresses.length;
        const decision = decide(words, isLast);
        if (decision !== null || isLast) settle(decision);
      };
      for (const address of addresses) void ask(address).then(take);
      if (addresses.length === 0) settle(null);
    });
  }
}
