import type { Entry } from '../version/entry.js';
import type { KeyName } from './brands.js';
import { askMajority, type VoterLink, type VoterReply } from './quorum.js';
import type { Holder } from './register.js';

/** What one ratebook has on its disk and knows to be committed. */
export interface Knowledge {
  accepted(key: KeyName): Entry | null;
  committedSerial(key: KeyName): number;
  learn(key: KeyName, entry: Entry): void;
}

interface Copy {
  readonly epoch: number;
  readonly serial: number;
  readonly isUntouched: boolean;
}

const copyOf = ({ reply }: VoterReply): Copy => (reply.kind === 'shown'
  ? { epoch: reply.acceptedEpoch, serial: reply.acceptedSerial, isUntouched: reply.promised === reply.acceptedEpoch } : { epoch: 0, serial: 0, isUntouched: false });
const isLater = (one: Copy, other: Copy): boolean => one.epoch > other.epoch || (one.epoch === other.epoch && one.serial > other.serial);

/**
 * Finds out, without an owner or a lease, whether this ratebook knows whatever was committed before it asked: no voter of
 * a majority has accepted a later serial. The own disk's entry is committed when it is the latest of a majority and a
 * majority has accepted it under the very epoch that each has promised last: a voter that promised more since may have
 * copied it from another disk, and the holder of the higher epoch need not have seen it.
 */
export class CatchUp {
  private isDone = false;
  private turn = 0;

  constructor(private readonly link: VoterLink, private readonly holder: Holder, private readonly keys: readonly KeyName[], private readonly known: Knowledge) {}

  get done(): boolean {
    return this.isDone;
  }

  /** What was found out may be old by now. */
  forget(): void {
    this.isDone = false;
    this.turn += 1;
  }

  /** One look at every key; whether this ratebook has caught up. */
  async look(): Promise<boolean> {
    const { turn } = this;
    const found = await Promise.all(this.keys.map((key) => this.lookAt(key)));
    if (turn !== this.turn || found.includes(null)) return false;
    this.isDone = found.every((entry, index) => {
      const key = this.keys[index] as KeyName;
      if (entry?.committed) this.known.learn(key, entry.committed);
      return this.known.committedSerial(key) >= (entry?.highestSerial ?? Infinity);
    });
    return this.isDone;
  }

  private async lookAt(key: KeyName): Promise<{ readonly highestSerial: number; readonly committed: Entry | null } | null> {
    const size = this.link.voters()?.members.length ?? 0;
    const replies = await askMajority(this.link, { key, ask: { kind: 'show', epoch: 0, holder: this.holder }, isYes: (reply) => reply.kind === 'shown' });
    if (replies.isErr()) return null;
    const copies = replies.value.map(copyOf);
    const latest = copies.reduce((one, other) => (isLater(other, one) ? other : one));
    const alike = copies.filter((copy) => copy.isUntouched && copy.epoch === latest.epoch && copy.serial === latest.serial);
    const own = this.known.accepted(key);
    const isOwn = own !== null && own.epoch === latest.epoch && own.serial === latest.serial;
    return { highestSerial: Math.max(...copies.map((copy) => copy.serial)), committed: isOwn && alike.length > size / 2 ? own : null };
  }
}
