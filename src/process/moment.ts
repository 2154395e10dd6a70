import type { Instant } from './brands.js';

/**
 * A moment as an answer tells it: milliseconds after the question was read, negative when it was before. Processes share no
 * clock; the asker counts it from when it asked, so that it is never taken for later than it was, however long the way.
 */
export type ToldMoment = number;

export const Moment = {
  /** How an answer tells of a moment, by the clock of the process that read the question. */
  tell: (moment: Instant, readAt: Instant): ToldMoment => moment - readAt,
  /** An instant that is no later than the moment which was told of, by the asker's clock. */
  heard: (told: ToldMoment, askedAt: Instant): Instant => (askedAt + told) as Instant,
} as const;
