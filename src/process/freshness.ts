import type { Instant, Millis } from './brands.js';
import type { Clock } from './clock.js';

/** A node that starts, or goes on after a long stall, waits so long for a current directory before it goes by what it has. */
export const UNSURE_MS = 1500 as Millis;
/** A directory that was current and has not answered for so long is not heard any more. */
const HEARD_MS = 1500;
/** What clocks that run unlike may add up to, taken off the time within which a configuration must be in force. */
const MARGIN_MS = 100;

/**
 * Whether what a node has may be older than what must be in force. A directory tells up to which moment it knows all
 * commits; a node that has heard so is as old as that moment, not as the answer. After it lost touch only a directory that
 * is current can vouch for it, and only by an answer to a question asked since.
 */
export class Freshness {
  private unsureSince: Instant;
  private isVouchedFor = false;
  private heardAt: Instant;
  private provenAt: Instant = -Infinity as Instant;

  /** `applyWithinMs` is the time after its acknowledgement within which a configuration must be in force. */
  constructor(private readonly clock: Clock, private readonly applyWithinMs: number) {
    this.unsureSince = clock.now();
    this.heardAt = this.unsureSince;
  }

  /** The process stood still for so long that changes may have been acknowledged unheard. */
  lose(): void {
    this.unsureSince = this.clock.now();
    this.isVouchedFor = false;
    this.heardAt = (this.unsureSince - HEARD_MS) as Instant;
  }

  /** A directory knew all that was committed before this moment, and told it. */
  prove(moment: Instant): void {
    this.provenAt = Math.max(this.provenAt, moment) as Instant;
  }

  /** A current directory answered a question that was asked at `askedAt`; whether it is the first to vouch since touch was lost. */
  hear(askedAt: Instant, heardAt: Instant): boolean {
    if (askedAt < this.unsureSince) return false;
    this.heardAt = Math.max(this.heardAt, heardAt) as Instant;
    const isFirst = !this.isVouchedFor;
    this.isVouchedFor = true;
    return isFirst;
  }

  /** Whether a current directory has vouched since the start or the last long stall. */
  get isSure(): boolean {
    return this.isVouchedFor;
  }

  /** Nobody has vouched yet, and somebody still may: such a node does not go by what it has. */
  get isUnsure(): boolean {
    return !this.isVouchedFor && this.clock.now() - this.unsureSince < UNSURE_MS;
  }

  /** Whether a current directory has lately answered. */
  get hearsDirectory(): boolean {
    return this.silentMs < HEARD_MS;
  }

  /** Whether nothing that must be in force by now can be missing here. */
  get isProven(): boolean {
    return this.ageMs < this.applyWithinMs - MARGIN_MS;
  }

  /** Milliseconds since the moment before which all commits are known here. */
  get ageMs(): number {
    return this.clock.now() - this.provenAt;
  }

  /** Milliseconds since a current directory last answered. */
  get silentMs(): number {
    return this.clock.now() - this.heardAt;
  }
}
