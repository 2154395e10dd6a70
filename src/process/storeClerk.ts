import { err, ok, type Result } from 'neverthrow';
import { ROSTER_KEY } from '../version/entry.js';
import type { OwnerAnswer, ReplaceMessage, StoreClient } from '../connection/storeCalls.js';
import type { Address, KeyName, Millis, Serial } from './brands.js';
import type { Clock } from './clock.js';
import { ChangeTurnedAway, ChangeUndecided, type Change, type ChangeDefect } from './keyOwner.js';
import type { StoreFollower } from './storeFollower.js';

export type ClerkDefect = ChangeDefect;
/** The value of a key, as read through its owner; serial 0 when there is none yet. */
export interface ReadBack {
  readonly serial: Serial;
  readonly value: unknown;
}

const ATTEMPT_MS = 2500;

/**
 * Takes changes of the control state to whichever ratebook owns their key. A change that may have been proposed is
 * sent again under its id until it is known, so a lost answer becomes a clear one whenever a majority is there.
 */
export class StoreClerk {
  private readonly lastOwners = new Map<KeyName, Address>();

  constructor(private readonly follower: StoreFollower, private readonly store: StoreClient, private readonly clock: Clock, private readonly cutoffMs: Millis) {}

  async read(key: KeyName): Promise<Result<ReadBack, ClerkDefect>> {
    const answer = await this.askOwner(key, (address, left) => this.store.read(address, key, left), false);
    return answer.andThen((found) => (found.kind === 'entry'
      ? ok({ serial: found.entry?.serial ?? (0 as Serial), value: found.entry?.value ?? null })
      : err(new ChangeTurnedAway('unavailable', 'the owner gave no entry', 0 as Serial))));
  }

  async change(key: KeyName, change: Change): Promise<Result<Serial, ClerkDefect>> {
    const answer = await this.askOwner(key, (address, left) => this.store.change(address, { key, ...change }, left), true);
    return answer.andThen((found) => (found.kind === 'acknowledged' ? ok(found.serial) : err(new ChangeUndecided('the owner gave no outcome'))));
  }

  /** Puts an empty disk in the place of a lost one; the roster's owner does it in two steps. */
  async replaceDisk(message: ReplaceMessage): Promise<Result<Serial, ClerkDefect>> {
    const answer = await this.askOwner(ROSTER_KEY, (address, left) => this.store.replace(address, message, left), true);
    return answer.andThen((found) => (found.kind === 'acknowledged' ? ok(found.serial) : err(new ChangeUndecided('the owner gave no outcome'))));
  }

  private async askOwner(key: KeyName, call: (address: Address, leftMs: number) => ReturnType<StoreClient['read']>, isChange: boolean): Promise<Result<OwnerAnswer, ClerkDefect>> {
    const start = this.clock.now();
    let mayBeProposed = false;
    let lastWord = 'no ratebook is known';
    for (;;) {
      for (const address of this.candidates(key)) {
        const left = this.cutoffMs - (this.clock.now() - start);
        if (left <= 0) break;
        const answer = await call(address, Math.min(left, ATTEMPT_MS));
        if (answer.isErr()) {
          if (answer.error.kind !== 'unreachable') mayBeProposed = true;
          lastWord = answer.error.describe();
          continue;
        }
        const found = answer.value;
        if (found.kind === 'undecided') {
          mayBeProposed = true;
          lastWord = found.detail;
        } else if (found.kind === 'turnedAway' && found.reason !== 'not-owner' && !(mayBeProposed && found.reason !== 'stale-base' && found.reason !== 'not-above')) {
          this.lastOwners.set(key, address);
          return err(new ChangeTurnedAway(found.reason, found.detail, found.serial));
        } else if (found.kind === 'turnedAway') {
          lastWord = found.detail;
        } else {
          this.lastOwners.set(key, address);
          return ok(found);
        }
      }
      if (this.clock.now() - start >= this.cutoffMs) break;
      await this.follower.news.wait(100 as Millis);
    }
    return err(isChange && mayBeProposed
      ? new ChangeUndecided(`no majority was seen in time (${lastWord}); read back, or send the same change id again`)
      : new ChangeTurnedAway('unavailable', lastWord, 0 as Serial));
  }

  private candidates(key: KeyName): readonly Address[] {
    const known = this.follower.ratebooks();
    const lastOwner = this.lastOwners.get(key);
    const first = known.filter((address) => address === lastOwner);
    const inTurn = [...first, ...known.filter((address) => address !== lastOwner)];
    return [...inTurn.filter((address) => this.follower.isHeard(address)), ...inTurn.filter((address) => !this.follower.isHeard(address))];
  }
}
