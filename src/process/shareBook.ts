import type { BootId, Epoch, Instant, Millis, NodeName } from './brands.js';

/** A share is lent for so long, and counts as used for a whole window after that. */
export const SHARE_LEASE_MS = 5000 as Millis;
const WINDOW_MS = 10_000;

interface Reserve {
  readonly share: number;
  readonly freeAt: Instant;
}
interface Grant {
  readonly share: number;
  readonly wants: boolean;
  readonly until: Instant;
  readonly reserves: readonly Reserve[];
}

export interface ShareAsk {
  readonly node: NodeName;
  readonly boot: BootId;
  /** What the node still holds, lent by whoever had the duty before. */
  readonly carried: number;
  /** Whether it lately had repeats to make; the former release did not say. */
  readonly wants?: boolean;
  /** The smallest share that makes one whole repeat there; less would be of no use. */
  readonly least?: number;
}

/** One node's share, for operators. */
export interface ShareView {
  readonly holder: string;
  readonly share: number;
}

/**
 * Lends out the leased part of the allowance to the nodes that have repeats to make, whole repeats at least. The shares lent, or lent within the last window, never add up to
 * more than one: a node that was cut off may have used its share until the lease ended, and what it used counts
 * for ten seconds more. A new holder of the duty renews only what nodes carry until all unknown leases are past.
 */
export class ShareBook {
  private epoch: Epoch = 0 as Epoch;
  private grants: ReadonlyMap<string, Grant> = new Map();
  private settledAt: Instant = 0 as Instant;

  lend(ask: ShareAsk, epoch: Epoch, now: Instant): number {
    if (epoch !== this.epoch) {
      this.epoch = epoch;
      this.grants = new Map();
      this.settledAt = (now + SHARE_LEASE_MS + WINDOW_MS) as Instant;
    }
    this.grants = new Map([...this.grants].filter(([, grant]) => this.outstanding(grant, now) > 0));
    const key = `${ask.node}/${ask.boot}`;
    const known = this.grants.get(key);
    const isSettled = now >= this.settledAt;
    const current = known?.share ?? (isSettled ? 0 : ask.carried);
    const others = [...this.grants].filter(([other]) => other !== key);
    const outstanding = others.reduce((sum, [, grant]) => sum + this.outstanding(grant, now), 0);
    const wants = ask.wants ?? true;
    const least = ask.least ?? 0;
    const wanting = others.filter(([, grant]) => grant.wants && now < grant.until).length + 1;
    const target = wants ? Math.max(least, 1 / (wanting + 1)) : 0;
    const most = Math.max(0, Math.min(target, isSettled ? 1 - outstanding : current));
    const share = most < least ? 0 : most;
    const until = (now + SHARE_LEASE_MS) as Instant;
    const kept = (known?.reserves ?? []).filter((reserve) => reserve.freeAt > now);
    const lowered = share < current ? [{ share: current, freeAt: ((known?.until ?? until) + WINDOW_MS) as Instant }] : [];
    this.grants = new Map([...this.grants, [key, { share, wants, until, reserves: [...kept, ...lowered] }]]);
    return share;
  }

  views(now: Instant): readonly ShareView[] {
    return [...this.grants].map(([holder, grant]) => ({ holder, share: now < grant.until ? grant.share : 0 }));
  }

  /** The sum that is out, lent or still to be counted. */
  total(now: Instant): number {
    return [...this.grants.values()].reduce((sum, grant) => sum + this.outstanding(grant, now), 0);
  }

  private outstanding(grant: Grant, now: Instant): number {
    const lent = now < grant.until + WINDOW_MS ? grant.share : 0;
    return grant.reserves.filter((reserve) => reserve.freeAt > now).reduce((most, reserve) => Math.max(most, reserve.share), lent);
  }
}
