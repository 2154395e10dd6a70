import type { Instant } from './brands.js';
import type { Clock } from './clock.js';

/** How much of the mean time the latest request is. */
const LATEST_PART = 0.1;
/** A kind of request that takes less than this part of the longest lately asked for is small: refusing it saves next to nothing. */
const SMALL_PART = 0.6;
/** A kind that nobody asked for in this time, in milliseconds, is no measure of the others. */
const KIND_FRESH_MS = 10_000;
const MOST_KINDS = 1000;
/** A request whose caller gives it less than this part of what callers of its kind lately gave was refused before and has come back. */
const RETRIED_PART = 0.97;

/** What is known of one kind of request at one endpoint. */
export interface RequestKind {
  /** How long one takes, in milliseconds; 0 before the first was served. */
  meanMs: number;
  askedAt: Instant;
  /** The most time that callers lately gave one, and when. */
  givenMs: number;
  givenAt: Instant;
}

/** How long requests lately took at one endpoint, in all and by kind. */
export class RequestTimes {
  private readonly kinds = new Map<string, RequestKind>();
  private mean = 0;

  constructor(private readonly clock: Clock) {}

  /** How long its requests lately took, in milliseconds; 0 before the first. */
  get meanMs(): number {
    return this.mean;
  }

  /** Takes note of a request that was served. */
  learn(kind: RequestKind, tookMs: number): void {
    const moved = (meanMs: number): number => (meanMs === 0 ? tookMs : meanMs + LATEST_PART * (tookMs - meanMs));
    this.mean = moved(this.mean);
    kind.meanMs = moved(kind.meanMs);
  }

  /** The account of a kind of request; whoever asks for it keeps it fresh. */
  kindOf(name = ''): RequestKind {
    const now = this.clock.now();
    const known = this.kinds.get(name);
    if (known !== undefined) {
      known.askedAt = now;
      return known;
    }
    if (this.kinds.size >= MOST_KINDS) this.kinds.clear();
    const fresh: RequestKind = { meanMs: 0, askedAt: now, givenMs: 0, givenAt: now };
    this.kinds.set(name, fresh);
    return fresh;
  }

  /** Whether a request was refused before and has come back, by the time that its caller gives it. */
  isRetried(kind: RequestKind, givenMs: number | undefined): boolean {
    if (givenMs === undefined) return false;
    const now = this.clock.now();
    const isLess = givenMs < RETRIED_PART * kind.givenMs && now - kind.givenAt < KIND_FRESH_MS;
    if (!isLess) {
      kind.givenMs = givenMs;
      kind.givenAt = now;
    }
    return isLess;
  }

  /** Whether a kind takes much less than the longest that is lately asked for here, served or refused. */
  isSmall(kind: RequestKind): boolean {
    if (kind.meanMs === 0) return false;
    const now = this.clock.now();
    let longestMs = 0;
    for (const other of this.kinds.values()) if (now - other.askedAt < KIND_FRESH_MS) longestMs = Math.max(longestMs, other.meanMs);
    return kind.meanMs < SMALL_PART * longestMs;
  }
}
