import type { AllowanceRules } from '../version/manifest.js';
import type { BindingId, Instant, ServiceName } from './brands.js';
import type { Clock } from './clock.js';

const WINDOW_MS = 10_000;
/** Most of a node's share may be saved up, at least one whole token; the rest trickles in over one window. */
const SAVED_PART = 0.8;
/** A node that had a repeat to make counts as needing more for so long. */
const WANTED_MS = 30_000;
const savedOf = (share: number): number => Math.max(SAVED_PART * share, Math.min(1, share));

interface Bucket {
  readonly tokens: number;
  readonly at: Instant;
}

/** What is left at one branch of the tree, for operators. */
export interface BranchView {
  readonly branch: string;
  readonly tokens: number;
  readonly cap: number;
}

/**
 * The shared tree of allowances as one node draws on it: fleet, service, binding. Each branch has a bucket that
 * starts empty, earns a part of each first order and its share's trickle, and holds the rest of the share at most. So
 * in any window the repeats of a branch stay below `earn` of its orders plus the shares of all nodes.
 */
export class Allowance {
  private readonly buckets = new Map<string, Bucket>();
  private wantedAt: Instant = -Infinity as Instant;

  constructor(private readonly clock: Clock, private readonly rulesNow: () => AllowanceRules, private readonly shareOf: () => number) {}

  /** A first order came: each of its branches earns. */
  earn(service: ServiceName, binding: BindingId): void {
    const { earn } = this.rulesNow();
    this.each(service, binding, (branch, cap) => Math.min(cap, this.level(branch, cap) + earn));
  }

  /** Takes a token at every level, or none at all. */
  take(service: ServiceName, binding: BindingId): boolean {
    this.wantedAt = this.clock.now();
    const enough = this.branches(service, binding).every(({ branch, cap }) => this.level(branch, cap) >= 1);
    if (enough) this.each(service, binding, (branch, cap) => this.level(branch, cap) - 1);
    return enough;
  }

  /** Whether a repeat was lately to be made here. */
  isWanted(): boolean {
    return this.clock.now() - this.wantedAt < WANTED_MS;
  }

  views(): readonly BranchView[] {
    return [...this.buckets.keys()].map((branch) => {
      const cap = this.capOf(branch);
      return { branch, cap, tokens: this.level(branch, cap) };
    });
  }

  private each(service: ServiceName, binding: BindingId, next: (branch: string, cap: number) => number): void {
    const at = this.clock.now();
    for (const { branch, cap } of this.branches(service, binding)) this.buckets.set(branch, { tokens: next(branch, cap), at });
  }

  private branches(service: ServiceName, binding: BindingId): readonly { readonly branch: string; readonly cap: number }[] {
    return ['fleet', `service/${service}`, `binding/${binding}`].map((branch) => ({ branch, cap: this.capOf(branch) }));
  }

  private shareAt(branch: string): number {
    const rules = this.rulesNow();
    const shares = branch === 'fleet' ? rules.fleetShares : branch.startsWith('service/') ? rules.serviceShares : rules.bindingShares;
    return shares * this.shareOf();
  }

  private capOf(branch: string): number {
    return savedOf(this.shareAt(branch));
  }

  private level(branch: string, cap: number): number {
    const bucket = this.buckets.get(branch);
    const now = this.clock.now();
    if (bucket === undefined) {
      this.buckets.set(branch, { tokens: 0, at: now });
      return 0;
    }
    const trickle = (this.shareAt(branch) - cap) * ((now - bucket.at) / WINDOW_MS);
    return Math.min(cap, bucket.tokens + trickle);
  }
}
