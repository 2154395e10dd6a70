import type { Instant, Millis } from './brands.js';
import type { Clock } from './clock.js';

/** A node that starts, or goes on after a long stall, waits so long for a current directory before it goes by what it has. */
export const UNSURE_MS = 1500 as Millis;
/** So long after its last answer a current directory no longer vouches for what a node has. */
const HEARD_MS = 1500;

/**
 * Whether what a node has may be older than what is acknowledged. Only a directory that is in touch with a majority of
 * the ratebooks ("current") can vouch for it, and only by an answer to a question asked after the node last lost touch.
 */
export class Freshness {
  private unsureSince: Instant;
  private isVouchedFor = false;
  private heardAt: Instant;

  constructor(private readonly clock: Clock) {
    this.unsureSince = clock.now();
    this.heardAt = this.unsureSince;
  }

  /** The process stood still for so long that changes may have been acknowledged unheard. */
  lose(): void {
    this.unsureSince = this.clock.now();
    this.isVouchedFor = false;
    this.heardAt = (this.unsureSince - HEARD_MS) as Instant;
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

  /** Milliseconds since a current directory last answered. */
  get silentMs(): number {
    return this.clock.now() - this.heardAt;
  }
}
