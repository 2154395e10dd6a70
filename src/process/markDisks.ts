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
}

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
  keep(mark: DepartureMark): Promise<MarkOutcome> {
    const addresses = this.ratebooks();
    return new Promise((settle) => {
      let words: readonly DiskWord[] = [];
      let heard = 0;
      const look = (): void => {
        const voters = newestOf(words);
        if (isMajority(words.filter(({ isYes }) => isYes), voters)) settle('kept');
        else if (heard === addresses.length) settle(isMajority(words, voters) ? 'refused' : 'out-of-reach');
      };
      for (const address of addresses) {
        void this.store.keepMark(address, mark).then((answer) => {
          heard += 1;
          answer.map(({ disk, voters, isKept }: MarkKeptWord) => { words = [...words, { address, disk, voters, isYes: isKept }]; });
          look();
        });
      }
      look();
    });
  }

  /** Every mark that a majority has kept, and perhaps others; null while no majority can be read. */
  async read(): Promise<readonly DepartureMark[] | null> {
    const addresses = this.ratebooks();
    const answers = await Promise.all(addresses.map(async (address) => ({ address, answer: await this.store.readMarks(address) })));
    const words = answers.flatMap(({ address, answer }): readonly DiskWord[] => answer.match(
      ({ disk, voters, isWhole }: MarksWord) => [{ address, disk, voters, isYes: isWhole }],
      (defect) => (defect.kind === 'turned-away' ? [{ address, disk: null, voters: null, isYes: true }] : [])));
    const isOfFormerRelease = words.length > 0 && words.length === addresses.length && words.every(({ disk }) => disk === null);
    if (!isOfFormerRelease && !isMajority(words.filter(({ isYes }) => isYes), newestOf(words))) return null;
    return answers.flatMap(({ answer }) => answer.match(({ marks }) => marks, () => []));
  }
}
