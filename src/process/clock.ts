import { performance } from 'node:perf_hooks';
import type { Instant } from './brands.js';

/** Where a process reads durations from: the monotonic clock, or a hand-moved one in tests. */
export interface Clock {
  now(): Instant;
}

export const Clock = {
  monotonic: { now: (): Instant => performance.now() as Instant } satisfies Clock,
} as const;
