import { err, ok, type Result } from 'neverthrow';
import { CHANGES_KEPT, Entry, type RosterMember } from '../version/entry.js';
import type { ChangeId, Epoch, KeyName, Serial } from './brands.js';
import type { Clock } from './clock.js';
import { Defect } from './defect.js';
import { KeyHolder } from './keyHolder.js';
import { askMajority, type VoterLink, type VoterReply } from './quorum.js';
import type { Holder } from './register.js';

const QUEUE_LIMIT = 32;

/** A change that was not proposed and will never take effect. */
export class ChangeTurnedAway extends Defect {
  readonly kind = 'change-turned-away';
  constructor(readonly reason: 'stale-base' | 'not-above' | 'busy' | 'not-owner' | 'unavailable', detail: string, readonly serial: Serial) {
    super(detail);
  }
}

/** A change that was proposed and may or may not take effect: ask again with its change id. */
export class ChangeUndecided extends Defect {
  readonly kind = 'change-undecided';
}

export interface Change {
  readonly base: Serial;
  readonly value: unknown;
  readonly id: ChangeId;
  /** The serial that its author names it by; the next one when not given. */
  readonly serial?: Serial;
}
export type ChangeDefect = ChangeTurnedAway | ChangeUndecided;

/** The single owner of one key: changes go through it one at a time. */
export class KeyOwner {
  private readonly held: KeyHolder;
  private committed: Entry | null = null;
  private isServing = false;
  private isRising = false;
  private waiting = 0;
  private lastTurn: Promise<unknown> = Promise.resolve();
  private told: Promise<boolean> = Promise.resolve(false);

  /**
   * `spread` tells others of a committed entry and resolves with whether one of them now knows it; `alsoOf` names
   * further voters of whom a majority must store an entry before it counts.
   */
  constructor(
    private readonly key: KeyName, holder: Holder, private readonly link: VoterLink, clock: Clock, private readonly spread: (entry: Entry) => Promise<boolean>,
    private readonly onMended: () => void, private readonly alsoOf: (entry: Entry) => readonly RosterMember[] | undefined = () => undefined,
  ) {
    this.held = new KeyHolder(key, holder, link, clock);
  }

  get serving(): boolean {
    return this.isServing;
  }

  get epoch(): Epoch {
    return this.held.epoch;
  }

  /** Takes the key over: claims it, then writes the latest known entry back under the new epoch. */
  takeOver(): Promise<Result<void, Defect>> {
    return this.inTurn(async () => (this.isServing && this.held.isHeld() ? ok(undefined) : this.claimAndMend()));
  }

  /** Keeps the lease, and mends the copies that turn out to be old. */
  async renew(): Promise<Result<void, Defect>> {
    const replies = await this.held.renew((reply) => {
      void this.mendIfOld(reply);
      void this.riseAbove(reply);
    });
    if (replies.isOk()) return ok(undefined);
    if (replies.error.highestEpoch > this.held.epoch || !this.held.isHeld()) this.isServing = false;
    return err(replies.error);
  }

  /** A voter that promised a failed candidate as much or more would refuse this owner for good: a higher epoch wins it back. */
  private async riseAbove({ reply }: VoterReply): Promise<void> {
    if (reply.kind !== 'refused' || reply.promised < this.held.epoch || !this.isServing || this.isRising) return;
    this.isRising = true;
    this.held.heed(reply.promised);
    await this.inTurn(async () => { if (this.isServing) await this.claimAndMend(); });
    this.isRising = false;
  }

  private async mendIfOld({ id, reply }: VoterReply): Promise<void> {
    const latest = this.committed;
    const isOld = latest !== null && reply.kind === 'kept' && (reply.acceptedEpoch < latest.epoch || reply.acceptedSerial < latest.serial);
    const voters = this.link.voters();
    const voter = voters?.members.find((member) => member.id === id);
    if (!isOld || !this.isServing || latest.epoch !== this.held.epoch || voter === undefined || voters === null) return;
    const mended = await this.link.ask(voter, this.key, voters.serial, { kind: 'accept', epoch: this.held.epoch, holder: this.held.holder, entry: latest, isMending: true });
    if (mended.isOk() && mended.value.kind === 'stored') this.onMended();
  }

  /** The value that is in force, proven current by the lease or by asking a majority. */
  async read(): Promise<Result<Entry | null, ChangeTurnedAway>> {
    const proven = await this.prove();
    return proven.map(() => this.committed);
  }

  /** Makes one change on top of the base serial that its author saw. */
  async change(change: Change): Promise<Result<Serial, ChangeDefect>> {
    if (this.waiting >= QUEUE_LIMIT) return err(this.turnAway('busy', `${QUEUE_LIMIT} changes are waiting`));
    this.waiting += 1;
    try {
      return await this.inTurn(() => this.propose(change));
    } finally {
      this.waiting -= 1;
    }
  }

  /** Hands the key over on a planned stop, after the running change. */
  async handOver(): Promise<void> {
    await this.inTurn(async () => {
      if (!this.isServing) return;
      this.isServing = false;
      await this.held.release();
    });
  }

  private async propose(change: Change): Promise<Result<Serial, ChangeDefect>> {
    const proven = await this.prove();
    if (proven.isErr()) return err(proven.error);
    const serial = (this.committed?.serial ?? 0) as Serial;
    const known = this.committed?.changes.find((candidate) => candidate.id === change.id);
    if (known !== undefined) return this.acknowledged(known.serial);
    if (change.base !== serial) {
      const eldest = this.committed?.changes[0];
      const mayBeForgotten = eldest !== undefined && (this.committed?.changes.length ?? 0) >= CHANGES_KEPT && change.base < eldest.serial;
      return mayBeForgotten
        ? err(new ChangeUndecided(`change ${change.id} is too old to be remembered; read back what is in force`))
        : err(this.turnAway('stale-base', `the base is serial ${change.base}, in force is ${serial}`));
    }
    if (change.serial !== undefined && change.serial <= serial) return err(this.turnAway('not-above', `serial ${change.serial} is not above ${serial}, which is in force`));
    const entry = Entry.next(this.committed, this.held.epoch, change.value, change.id, change.serial ?? null);
    const stored = await this.write(entry, false);
    if (stored.isOk()) return this.acknowledged(entry.serial);
    this.isServing = false;
    if (stored.error.isProvenNothing) return err(this.turnAway('unavailable', stored.error.describe()));
    return err(new ChangeUndecided(stored.error.describe()));
  }

  /** A change is acknowledged once another process knows that it is committed: the death of this one then hides it from nobody. */
  private async acknowledged(serial: Serial): Promise<Result<Serial, ChangeDefect>> {
    if (!(await this.told) && this.committed !== null) this.told = this.spread(this.committed);
    return (await this.told) ? ok(serial) : err(new ChangeUndecided(`serial ${serial} is committed, but no other ratebook could be told so far`));
  }

  private async claimAndMend(): Promise<Result<void, Defect>> {
    this.isServing = false;
    const latest = await this.held.claim();
    if (latest.isErr()) return err(latest.error);
    if (latest.value === null) this.committed = null;
    else {
      const stored = await this.write({ ...latest.value, epoch: this.held.epoch }, true);
      if (stored.isErr()) return err(stored.error);
    }
    this.isServing = true;
    return ok(undefined);
  }

  private async write(entry: Entry, isMending: boolean): ReturnType<typeof askMajority> {
    const alsoOf = this.alsoOf(entry);
    const stored = await askMajority(this.link, {
      key: this.key, ask: { kind: 'accept', epoch: this.held.epoch, holder: this.held.holder, entry, isMending }, isYes: (reply) => reply.kind === 'stored', ...(alsoOf === undefined ? {} : { alsoOf }),
    });
    if (stored.isOk()) {
      this.committed = entry;
      this.told = this.spread(entry);
    }
    return stored;
  }

  private async prove(): Promise<Result<void, ChangeTurnedAway>> {
    if (!this.isServing) return err(this.turnAway('not-owner', `${this.key} is not owned here`));
    if (this.held.isHeld()) return ok(undefined);
    const renewed = await this.renew();
    return renewed.mapErr((defect) => this.turnAway('not-owner', defect.describe()));
  }

  private turnAway(reason: ChangeTurnedAway['reason'], detail: string): ChangeTurnedAway {
    return new ChangeTurnedAway(reason, detail, (this.committed?.serial ?? 0) as Serial);
  }

  private inTurn<T>(work: () => Promise<T>): Promise<T> {
    const mine = this.lastTurn.then(work);
    this.lastTurn = mine.catch(() => undefined);
    return mine;
  }
}
