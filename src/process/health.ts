import { Maybe } from 'true-myth';
import type { HealthRules } from '../version/manifest.js';
import type { Instant } from './brands.js';

/** The outcome of one call, at the time when it became known. */
export interface Outcome {
  readonly at: Instant;
  readonly failed: boolean;
}

/** What the rules look at: the counts of the running cycle and the latest outcomes, oldest first. */
export interface Evidence {
  readonly calls: number;
  readonly failures: number;
  readonly recent: readonly Outcome[];
}

/** How many outcomes must be kept for the rule of failures in a row. */
export const recentNeeded = (rules: HealthRules): number => Math.min(32, rules.runLength + 1);

/** The two default rules of TSeer (section 4.2): a share of errors in a cycle, or many failures in a row. */
export const judge = (evidence: Evidence, rules: HealthRules, now: Instant): Maybe<string> => {
  if (evidence.failures >= rules.leastFailures && evidence.failures > rules.errorShare * evidence.calls) {
    return Maybe.just(`${evidence.failures} of ${evidence.calls} calls failed in one cycle`);
  }
  const lastSuccess = evidence.recent.map((outcome) => outcome.failed).lastIndexOf(false);
  const inRow = evidence.recent.slice(lastSuccess + 1).filter((outcome) => now - outcome.at <= rules.runWindowMs).length;
  return inRow > rules.runLength ? Maybe.just(`${inRow} failures in a row within ${rules.runWindowMs} ms`) : Maybe.nothing();
};
