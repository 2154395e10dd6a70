import { err, ok, type Result } from 'neverthrow';
import { Entry } from '../version/entry.js';
import type { Epoch, Instant, KeyName, Millis } from './brands.js';
import type { Clock } from './clock.js';
import { askMajority, type NoMajority, type VoterLink, type VoterReply } from './quorum.js';
import type { Holder } from './register.js';

/** How long a majority grants a key, and how long before its end the holder stops. */
export interface LeaseRules {
  readonly leaseMs: Millis;
  readonly marginMs: Millis;
}

export const LEASE: LeaseRules = { leaseMs: 2000 as Millis, marginMs: 250 as Millis };

/** Holds a key under an epoch and a lease that a majority granted: an owner's key, or a duty. */
export class KeyHolder {
  private heldEpoch: Epoch = 0 as Epoch;
  private seenEpoch = 0;
  private leaseStart: Instant | null = null;
  private holderSeen: Holder = '';

  constructor(readonly key: KeyName, readonly holder: Holder, private readonly link: VoterLink, private readonly clock: Clock, private readonly rules: LeaseRules = LEASE) {}

  /** The epoch of the last claim that a majority granted. */
  get epoch(): Epoch {
    return this.heldEpoch;
  }

  /** Who was in the way of the last claim that failed. */
  get rival(): Holder {
    return this.holderSeen;
  }

  /** Whether the lease still runs, by the clock of this process and with the margin taken off. */
  isHeld(): boolean {
    return this.leaseStart !== null && this.clock.now() < this.leaseStart + this.rules.leaseMs - this.rules.marginMs;
  }

  /**
   * Claims the key under a higher epoch, if a majority would let it go: a claim that fails would only stand in the way
   * of others. Gives the latest entry that a majority knows.
   */
  async claim(): Promise<Result<Entry | null, NoMajority>> {
    const replies = await askMajority(this.link, { key: this.key, ask: { kind: 'inquire', epoch: this.heldEpoch, holder: this.holder }, isYes: (reply) => reply.kind === 'free' });
    if (replies.isErr()) return this.noted(replies.error);
    this.seenEpoch = replies.value.reduce((highest, { reply }) => (reply.kind === 'free' ? Math.max(highest, reply.promised) : highest), this.seenEpoch);
    return this.claimOnce();
  }

  /** The next claim goes above this epoch. */
  heed(epoch: Epoch): void {
    this.seenEpoch = Math.max(this.seenEpoch, epoch);
  }

  private async claimOnce(): Promise<Result<Entry | null, NoMajority>> {
    const start = this.clock.now();
    const epoch = (Math.max(this.seenEpoch, this.heldEpoch) + 1) as Epoch;
    this.seenEpoch = epoch;
    this.leaseStart = null;
    const replies = await askMajority(this.link, { key: this.key, ask: { kind: 'claim', epoch, holder: this.holder, leaseMs: this.rules.leaseMs }, isYes: (reply) => reply.kind === 'granted' });
    if (replies.isErr()) {
      void this.giveBack(epoch);
      return this.noted(replies.error);
    }
    this.heldEpoch = epoch;
    this.leaseStart = start;
    return ok(replies.value.reduce<Entry | null>((latest, { reply }) =>
      (reply.kind === 'granted' && reply.accepted !== null && Entry.isLater(reply.accepted, latest) ? reply.accepted : latest), null));
  }

  /** Asks the majority for another lease; also proves that no higher epoch took the key. */
  async renew(each: (reply: VoterReply) => void = () => undefined): Promise<Result<readonly VoterReply[], NoMajority>> {
    const start = this.clock.now();
    const replies = await askMajority(this.link, { key: this.key, ask: { kind: 'renew', epoch: this.heldEpoch, holder: this.holder, leaseMs: this.rules.leaseMs }, isYes: (reply) => reply.kind === 'kept', each });
    if (replies.isErr()) return this.noted(replies.error);
    if (this.leaseStart !== null) this.leaseStart = start;
    return ok(replies.value);
  }

  /** Stops at once and tells the voters, so that the next holder need not wait. */
  async release(): Promise<void> {
    this.leaseStart = null;
    await this.giveBack(this.heldEpoch);
  }

  /** A claim that failed may have been granted by some: rivals need not wait for the end of those leases. */
  private async giveBack(epoch: Epoch): Promise<void> {
    await askMajority(this.link, { key: this.key, ask: { kind: 'release', epoch, holder: this.holder }, isYes: (reply) => reply.kind === 'released' });
  }

  private noted(defect: NoMajority): Result<never, NoMajority> {
    this.seenEpoch = Math.max(this.seenEpoch, defect.highestEpoch);
    this.holderSeen = defect.otherHolder;
    return err(defect);
  }
}
