import type { Logger } from 'pino';
import { Counter, Gauge, type Registry as Metrics } from 'prom-client';
import type { ListAsk, ListHint, ListNews } from '../connection/nodeCalls.js';
import type { Instant, NodeName } from './brands.js';
import type { Clock } from './clock.js';
import type { ListEvent, Registry } from './registry.js';

/** A list in flight differs for a moment: only a mark that differs in so many messages running is asked after; and a directory that was not there before. */
const UNLIKE_RUN = 2;
const FRESH_MS = 5000;
/** Marks that differ for less are news on their way. */
const NEWS_MS = 3000;
/** A node that holds another list under this directory's own serial is sent the list again, so often at most. */
const RESEND_MS = 5000;
const EVENTS_KEPT = 200;

interface Peer {
  readonly mark: string;
  readonly heardAt: Instant;
  readonly unlikeRun: number;
}
interface Holder {
  readonly mark: string;
  readonly heardAt: Instant;
  readonly unlikeSince: Instant | null;
}

/** What operators see of the lists that nodes and directories hold. */
export interface ListsView {
  readonly mark: string;
  readonly isAgreed: boolean;
  /** Since when it has been as `isAgreed` says. */
  readonly since: Date;
  readonly directories: readonly { readonly directory: NodeName; readonly mark: string }[];
  readonly nodes: readonly { readonly node: NodeName; readonly mark: string }[];
  readonly events: readonly (ListEvent & { readonly at: Date })[];
}

/** Compares this directory's list with those of the other directories and of the nodes, and says when one has to be asked. */
export class ListAgreement {
  private readonly peers = new Map<NodeName, Peer>();
  private readonly holders = new Map<NodeName, Holder>();
  private events: readonly (ListEvent & { readonly at: Date })[] = [];
  private unlikeSince: Instant | null = null;
  private isAgreed = true;
  private since = new Date();
  private readonly changes: Counter<'kind'>;

  constructor(private readonly self: NodeName, private readonly clock: Clock, private readonly log: Logger, metrics: Metrics, private readonly registry: () => Registry) {
    this.changes = new Counter({ name: 'opalstair_list_events_total', help: 'Hosts whose endpoints were joined from another directory, dropped for silence, returned by their word, or refused as departed', labelNames: ['kind'], registers: [metrics] });
    const agreed = (): number => (this.isAgreed ? 1 : 0);
    new Gauge({ name: 'opalstair_lists_agree', help: 'Whether every directory and node that is heard holds the same list of endpoints', registers: [metrics], collect() { this.set(agreed()); } });
  }

  note(event: ListEvent): void {
    this.changes.inc({ kind: event.kind });
    this.log.info({ event: `list-${event.kind}`, host: event.node, endpoints: event.endpoints, why: event.why });
    this.events = [...this.events, { ...event, at: new Date() }].slice(-EVENTS_KEPT);
  }

  /** Another directory's message: what it should be told of hosts that it does not hear, and what it is to be asked. */
  hearDirectory(from: NodeName, hint: ListHint): { readonly reply: ListNews | null; readonly ask: ListAsk | null } {
    if (hint.departed !== undefined || hint.leaving !== undefined) this.registry().learn(from, { words: [], departed: hint.departed ?? [], leaving: hint.leaving ?? [] });
    const isUnlike = hint.mark !== this.registry().listMark;
    const unlikeRun = isUnlike ? (this.peers.get(from)?.unlikeRun ?? 0) + 1 : 0;
    const isFirst = !this.peers.has(from);
    this.peers.set(from, { mark: hint.mark, heardAt: this.clock.now(), unlikeRun });
    return { reply: this.registry().heardInstead(hint.silent), ask: isFirst || unlikeRun >= UNLIKE_RUN ? this.registry().askFor(this.self) : null };
  }

  /** A node's report named the mark of its list. */
  hearNode(node: NodeName, mark: string): void {
    const now = this.clock.now();
    const unlikeSince = mark === this.registry().listMark ? null : this.holders.get(node)?.unlikeSince ?? now;
    this.holders.set(node, { mark, heardAt: now, unlikeSince });
  }

  /** Whether a node that has this directory's newest list should get it again all the same. */
  takeResend(node: NodeName): boolean {
    const now = this.clock.now();
    const holder = this.holders.get(node);
    if (holder === undefined || holder.unlikeSince === null || now - holder.unlikeSince < RESEND_MS) return false;
    this.holders.set(node, { ...holder, unlikeSince: now });
    return true;
  }

  /** Looks whether all hold one list; differences that last are logged, and their end. */
  watch(): void {
    const now = this.clock.now();
    for (const table of [this.peers, this.holders]) for (const [name, { heardAt }] of table) if (now - heardAt > FRESH_MS) table.delete(name);
    const marks = new Set([this.registry().listMark, ...[...this.peers.values(), ...this.holders.values()].map(({ mark }) => mark)]);
    this.unlikeSince = marks.size > 1 ? this.unlikeSince ?? now : null;
    const isAgreed = this.unlikeSince === null || (this.isAgreed && now - this.unlikeSince < NEWS_MS);
    if (isAgreed === this.isAgreed) return;
    this.isAgreed = isAgreed;
    this.since = new Date();
    this.log.info({ event: isAgreed ? 'lists-agree' : 'lists-differ', mark: this.registry().listMark, marks: marks.size });
  }

  view(): ListsView {
    return {
      mark: this.registry().listMark, isAgreed: this.isAgreed, since: this.since,
      directories: [{ directory: this.self, mark: this.registry().listMark }, ...[...this.peers].map(([directory, { mark }]) => ({ directory, mark }))],
      nodes: [...this.holders].map(([node, { mark }]) => ({ node, mark })), events: this.events,
    };
  }
}
