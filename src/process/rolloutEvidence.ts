import { LatencyHistogram, type LatencyCounts } from '../version/latencyHistogram.js';
import type { BindingId, BootId, NodeName } from './brands.js';
import type { RolloutProgress, VersionTotals } from './versionRouter.js';

interface Counts {
  readonly calls: number;
  readonly failures: number;
  readonly times: LatencyCounts;
}
interface Binding {
  /** What the other versions did lately: newer counts push older ones out. */
  baseline: Counts;
  /** What came in since the last judgement. */
  fresh: Counts;
  freshTarget: Counts;
  /** The log-likelihood ratio of a bad version to a sound one, never below 0. */
  score: number;
}

/** What is known of a rollout's target version, for logs and operators. */
export interface EvidenceView {
  readonly binding: BindingId;
  /** The probability of a bad answer that the test takes a sound version to have. */
  readonly soundPart: number;
  readonly score: number;
}

/** The baseline holds about so many of the latest requests. */
const BASELINE_CALLS = 600;
/** With fewer requests than this the baseline says little. */
const LEAST_BASELINE_CALLS = 30;
const UNKNOWN_SOUND_PART = 0.15;
/** An answer is slow when it takes at least twice as long as the slowest of this part of the baseline. */
const SLOW_TAIL_PART = 0.05;
/** A sound version may have this much more of bad answers than the baseline: cold caches, endpoints that differ in speed. */
const SOUND_FACTOR = 1.25;
const SOUND_MARGIN = 0.03;
const LEAST_SOUND_PART = 0.05;
const MOST_SOUND_PART = 0.6;
/** A version counts as bad when so many more of its answers are bad. */
const BAD_MARGIN = 0.2;
/** A sound version comes this far about once in e^14 (a million) runs of answers. */
const BAD_SCORE = 14;
/** Above this the evidence is too doubtful to send the version more. */
const DOUBTFUL_SCORE = 4;

const NONE: Counts = { calls: 0, failures: 0, times: LatencyHistogram.empty() };
const sum = (one: Counts, other: Counts): Counts => ({ calls: one.calls + other.calls, failures: one.failures + other.failures, times: LatencyHistogram.sum(one.times, other.times) });
const less = (one: Counts, other: Counts): Counts => ({ calls: one.calls - other.calls, failures: one.failures - other.failures, times: one.times.map((count, index) => count - (other.times[index] ?? 0)) });
const scaled = (counts: Counts, part: number): Counts => ({ calls: counts.calls * part, failures: counts.failures * part, times: counts.times.map((count) => count * part) });
const bad = (counts: Counts, slowFrom: number): number => counts.failures + LatencyHistogram.from(counts.times, slowFrom);

/**
 * Compares a target version with the others over the same time, binding by binding, by a cumulative sum test: it finds a
 * version that was bad from the start as well as one that turns bad later. Nodes report totals, so a report that is lost or
 * comes twice changes nothing.
 */
export class RolloutEvidence {
  private readonly bindings = new Map<BindingId, Binding>();
  private readonly known = new Map<string, VersionTotals>();
  private readonly boots = new Map<NodeName, BootId>();
  private targetCalls = 0;
  private calls = 0;

  /** Requests that reached the target version, and all requests of the service, since the last call of `startStage`. */
  get seen(): { readonly target: number; readonly all: number } {
    return { target: this.targetCalls, all: this.calls };
  }

  startStage(): void {
    this.targetCalls = 0;
    this.calls = 0;
  }

  hear(node: NodeName, boot: BootId, progress: RolloutProgress): void {
    if (this.boots.get(node) !== boot) {
      this.boots.set(node, boot);
      for (const key of this.known.keys()) if (key.startsWith(`${node}/`)) this.known.delete(key);
    }
    for (const totals of progress.totals) this.add(`${node}/${totals.isTarget}/${totals.binding}`, totals);
  }

  /** Judges what came in since the last time; the reason if the target version is bad. */
  judge(): string | null {
    let reason: string | null = null;
    for (const [id, binding] of this.bindings) reason = this.judgeBinding(id, binding) ?? reason;
    return reason;
  }

  get isDoubtful(): boolean {
    return [...this.bindings.values()].some(({ score }) => score > DOUBTFUL_SCORE);
  }

  view(): readonly EvidenceView[] {
    return [...this.bindings].map(([binding, { baseline, score }]) => ({ binding, soundPart: this.soundPart(baseline).part, score: Math.round(score * 10) / 10 }));
  }

  private add(key: string, totals: VersionTotals): void {
    const former = this.known.get(key);
    if (former !== undefined && totals.calls <= former.calls) return;
    const news = less(totals, former ?? NONE);
    this.known.set(key, totals);
    const binding = this.bindings.get(totals.binding) ?? { baseline: NONE, fresh: NONE, freshTarget: NONE, score: 0 };
    this.bindings.set(totals.binding, binding);
    this.calls += news.calls;
    if (totals.isTarget) {
      this.targetCalls += news.calls;
      binding.freshTarget = sum(binding.freshTarget, news);
    } else binding.fresh = sum(binding.fresh, news);
  }

  private judgeBinding(id: BindingId, binding: Binding): string | null {
    const baseline = sum(binding.baseline, binding.fresh);
    binding.baseline = baseline.calls > BASELINE_CALLS ? scaled(baseline, BASELINE_CALLS / baseline.calls) : baseline;
    const target = binding.freshTarget;
    binding.fresh = NONE;
    binding.freshTarget = NONE;
    if (target.calls === 0) return null;
    const { part, slowFrom } = this.soundPart(binding.baseline);
    const badPart = part + BAD_MARGIN;
    const badCalls = Math.min(target.calls, bad(target, slowFrom));
    const moved = binding.score + badCalls * Math.log(badPart / part) + (target.calls - badCalls) * Math.log((1 - badPart) / (1 - part));
    binding.score = Math.max(0, moved);
    if (binding.score < BAD_SCORE) return null;
    return `${id}: ${Math.round(badCalls)} of the latest ${target.calls} answers failed or were slow, where ${part.toFixed(2)} would be sound`;
  }

  /** Which part of bad answers a sound version may have, and from which bucket on an answer is slow. */
  private soundPart(baseline: Counts): { readonly part: number; readonly slowFrom: number } {
    if (baseline.calls < LEAST_BASELINE_CALLS) return { part: UNKNOWN_SOUND_PART, slowFrom: Infinity };
    const slowFrom = LatencyHistogram.tailBucket(baseline.times, SLOW_TAIL_PART) + LatencyHistogram.bucketsADoubling;
    const part = SOUND_FACTOR * (bad(baseline, slowFrom) / baseline.calls) + SOUND_MARGIN;
    return { part: Math.min(MOST_SOUND_PART, Math.max(LEAST_SOUND_PART, part)), slowFrom };
  }
}
