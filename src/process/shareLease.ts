import Joi from 'joi';
import type { Result } from 'neverthrow';
import { Gauge } from 'prom-client';
import { NodePath } from '../connection/nodeCalls.js';
import type { WireClient, WireDefect } from '../connection/wire.js';
import type { Instant, NodeName } from './brands.js';
import type { Membership } from './membership.js';
import type { Frame } from './program.js';
import type { PlaceSettings } from './settings.js';
import { SHARE_LEASE_MS, type ShareAsk } from './shareBook.js';

const ASK_MS = 1000;
/** This part of every allowance is split evenly for good, so that repeats go on while no directory can be asked. */
const FLOOR_PART = 0.5;
/** Room for nodes that join. */
const SPARE_PART = 1.25;
const SEEN_MS = 120_000;

/** `share` is null when the directory that was asked does not hold the duty. */
export interface ShareAnswer {
  readonly share: number | null;
}
const shareAnswerShape = Joi.object({ share: Joi.number().min(0).max(1).allow(null).required() });

/** What a node needs of the lent part: whether it has repeats to make, and how many a service's whole allowance holds. */
export interface ShareNeed {
  readonly wants: boolean;
  readonly serviceShares: number;
}

/** This node's part of the allowances: a fixed floor, and a share lent by the directory that has the duty. */
export class ShareLease {
  private share = 0;
  private seen: { readonly count: number; readonly at: Instant } = { count: 0, at: 0 as Instant };
  private until: Instant = 0 as Instant;
  /** The directory that lent last: the others don't hold the duty. */
  private lender: NodeName | null = null;

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly membership: Membership, private readonly wire: WireClient, private readonly highestNodes: number, private readonly need: () => ShareNeed) {
    const part = (): number => this.part();
    new Gauge({ name: 'opalstair_allowance_share', help: 'This node\'s part of every allowance', registers: [frame.metrics], collect() { this.set(part()); } });
  }

  start(): void {
    this.count();
    this.membership.onChange(() => this.count());
    this.frame.ticker.every(ASK_MS, () => void this.ask());
  }

  /** The part of every branch's shares that this node may use now. */
  part(): number {
    const lent = this.frame.clock.now() < this.until ? this.share : 0;
    return FLOOR_PART / this.mostNodes() + (1 - FLOOR_PART) * lent;
  }

  /** The nodes that may share the floor: as the setting says, or more if more were seen. */
  private mostNodes(): number {
    return Math.max(this.highestNodes, this.seen.count);
  }

  /** Counts the nodes at each change and each second, not at each request; what a split hides stays counted for a while. */
  private count(): void {
    const now = this.frame.clock.now();
    const here = Math.ceil(this.membership.having('switchboard').length * SPARE_PART);
    if (here >= this.seen.count || now - this.seen.at > SEEN_MS) this.seen = { count: here, at: now };
  }

  private async ask(): Promise<void> {
    this.count();
    const start = this.frame.clock.now();
    const { wants, serviceShares } = this.need();
    if (!wants && start >= this.until) return;
    const least = Math.max(0, 1 / Math.max(1, serviceShares) - FLOOR_PART / this.mostNodes()) / (1 - FLOOR_PART);
    const ask: ShareAsk = { node: this.frame.settings.node, boot: this.frame.boot, carried: start < this.until ? this.share : 0, wants, least: least * (1 + 1e-6) };
    const directories = this.membership.having('directory');
    const known = directories.filter(({ name }) => name === this.lender);
    this.lender = null;
    await Promise.all((known.length > 0 ? known : directories).map(async (member) => {
      const answer: Result<ShareAnswer, WireDefect> = await this.wire.call<ShareAnswer>(member.wire, NodePath.shares, ask, ASK_MS, shareAnswerShape);
      if (answer.isErr() || answer.value.share === null) return;
      this.lender = member.name;
      this.share = answer.value.share;
      this.until = (start + SHARE_LEASE_MS) as Instant;
    }));
  }
}
