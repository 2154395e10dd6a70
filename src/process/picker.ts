import { Map as Table } from 'immutable';
import type { Load } from '../connection/hopCalls.js';
import { MaskSnapshot, rowKey, type EndpointRow } from '../version/snapshots.js';
import type { BindingId, BootId, Instant, NodeName, ServiceName, ZoneName } from './brands.js';
import type { Clock } from './clock.js';
import type { OutcomeBook } from './outcomeBook.js';

const PATH_REST_MS = 1000;
/** What a host said of its load counts for so long. */
const LOAD_FRESH_MS = 1000;
/** An endpoint that was slow is tried again: what was heard of its speed fades in this time. */
const MEAN_FADES_MS = 10_000;
/** What a host said of being full counts for so long. */
const FULL_FRESH_MS = 30;
/** So many endpoints are weighed against one another; of more, as many are drawn. */
const WEIGHED = 8;
/** What a request takes beside the endpoint's own time; differences of less than that say nothing. */
const WAY_MS = 10;
/** The own zone is kept to as long as another is not quicker by more than this part: bytes between zones are dear. */
const ZONE_PART = 0.3;
/** It is kept to as well as long as it takes no more than this part of the aim. */
const ZONE_AIM_PART = 0.4;
/** A nearly full endpoint is slower than its mean time tells. */
const CROWD_PART = 0.5;
/** How sharply the quicker is preferred; all keep a chance, so that callers with the same news don't all go to one endpoint. */
const SHARPNESS = 5;

/** Why an endpoint was not picked. */
export type PassedOver = 'tried' | 'leaving' | 'in a maintenance window' | 'not confirmed' | 'masked for all' | 'masked here' | 'path rests' | 'full' | 'slower or less free' | 'not drawn';

export interface Choice {
  readonly row: EndpointRow;
  readonly isTrial: boolean;
}
export interface Pick {
  readonly chosen: Choice | null;
  readonly passedOver: readonly { readonly row: EndpointRow; readonly why: PassedOver }[];
}

/** The tables that a pick looks at: snapshots that are swapped whole. */
export interface PickTables {
  readonly rows: readonly EndpointRow[];
  readonly mask: MaskSnapshot | null;
}

export interface PickQuery {
  readonly service: ServiceName;
  readonly isRepeatable: boolean;
  readonly tried: readonly EndpointRow[];
  /** Endpoints that just refused a request of the same binding for being full are passed over. */
  readonly binding: BindingId;
  /** Of the highest priority: only endpoints whose host was heard lately are tried while there is one. */
  readonly isUrgent?: boolean;
  /** The time within which an answer is of full use, in milliseconds; null when only the time limit counts. */
  readonly aimMs: number | null;
}

interface Known {
  /** Requests under way from here. */
  own: number;
  load: Load | null;
  heardAt: Instant;
  /** Requests that were under way from here when the load was heard. */
  ownThen: number;
  readonly fullAt: Map<BindingId, Instant>;
}

const keyOf = rowKey((row) => `${row.service}/${row.id}/${row.instance}/${row.nodeBoot}`);
const sameEndpoint = (one: EndpointRow, other: EndpointRow): boolean => one.id === other.id && keyOf(one) === keyOf(other);

/** Picks the endpoint that is expected to answer first: by the time its requests take, its load, and its zone. */
export class Picker {
  private readonly known = new Map<string, Known>();
  private resting: Table<NodeName, { readonly boot: BootId; readonly until: Instant }> = Table();
  private maskSeen: Table<string, Instant> = Table();

  constructor(private readonly zone: ZoneName, private readonly clock: Clock, private readonly book: OutcomeBook, private readonly random: () => number) {}

  pick(query: PickQuery, tables: PickTables, isTaken = true): Pick {
    const now = this.clock.now();
    const passedOver: { row: EndpointRow; why: PassedOver }[] = [];
    const passOver = (rows: readonly EndpointRow[], why: PassedOver): void => { rows.forEach((row) => passedOver.push({ row, why })); };
    const split = (rows: readonly EndpointRow[], why: PassedOver, isOut: (row: EndpointRow) => boolean): readonly EndpointRow[] => {
      passOver(rows.filter(isOut), why);
      return rows.filter((row) => !isOut(row));
    };
    const open = split(split(tables.rows, 'leaving', (row) => row.leaving), 'tried', (row) => query.tried.some((tried) => sameEndpoint(tried, row)));
    const isMaskedForAll = (row: EndpointRow): boolean => MaskSnapshot.holds(tables.mask ?? undefined, row);
    const trial = isTaken && query.isRepeatable ? open.find((row) => row.resting !== true && row.unconfirmed !== true && this.isTrialDue(row, isMaskedForAll(row))) : undefined;
    if (trial !== undefined) return { chosen: { row: trial, isTrial: true }, passedOver: open.filter((row) => row !== trial).map((row) => ({ row, why: 'not drawn' })) };
    const filters: readonly (readonly [PassedOver, (row: EndpointRow) => boolean])[] = [
      ['in a maintenance window', (row) => row.resting === true],
      ['not confirmed', (row) => row.unconfirmed === true && (query.isUrgent === true || !query.isRepeatable)],
           ['path rests', (row) => this.isResting(row, now)], ['masked for all', isMaskedForAll], ['masked here', (row) => this.book.maskOf(row) !== null],
    ];
    const fit = filters.reduce((rows, [why, isOut]) => (rows.every(isOut) ? rows : split(rows, why, isOut)), open);
    const roomy = split(fit, 'full', (row) => this.isFull(row, query.binding, now));
    const weighed = roomy.length <= WEIGHED ? roomy : this.drawn(roomy);
    const chosen = this.likely(weighed, query.aimMs, now);
    if (chosen === null) return { chosen: null, passedOver };
    passOver(weighed.filter((row) => row !== chosen), 'slower or less free');
    if (weighed !== roomy) passOver(roomy.filter((row) => !weighed.includes(row)), 'not drawn');
    return { chosen: { row: chosen, isTrial: false }, passedOver };
  }

  started(row: EndpointRow): void {
    this.knownOf(row).own += 1;
  }

  ended(row: EndpointRow, load: Load | null): void {
    const known = this.knownOf(row);
    known.own = Math.max(0, known.own - 1);
    if (load === null || load.slots <= 0) return;
    known.load = load;
    known.heardAt = this.clock.now();
    known.ownThen = known.own;
    if (load.running < load.slots) known.fullAt.clear();
  }

  /** Its host refused a request of this binding for being full. */
  full(row: EndpointRow, binding: BindingId): void {
    this.knownOf(row).fullAt.set(binding, this.clock.now());
  }

  /** The way to a machine broke: others are tried first for a while. */
  rest(row: EndpointRow): void {
    this.resting = this.resting.set(row.node, { boot: row.nodeBoot, until: (this.clock.now() + PATH_REST_MS) as Instant });
  }

  keepOnly(rows: readonly EndpointRow[]): void {
    const kept = new Set(rows.map(keyOf));
    for (const [key, { own }] of this.known) if (!kept.has(key) && own === 0) this.known.delete(key);
    this.maskSeen = this.maskSeen.filter((_since, key) => kept.has(key));
  }

  private isTrialDue(row: EndpointRow, isMaskedForAll: boolean): boolean {
    const local = this.book.maskOf(row);
    if (local === null && !isMaskedForAll) {
      this.maskSeen = this.maskSeen.delete(keyOf(row));
      return false;
    }
    return this.book.takeTrial(row, local?.since ?? this.firstSeenMasked(row));
  }

  private firstSeenMasked(row: EndpointRow): Instant {
    const seen = this.maskSeen.get(keyOf(row)) ?? this.clock.now();
    this.maskSeen = this.maskSeen.set(keyOf(row), seen);
    return seen;
  }

  private isResting(row: EndpointRow, now: Instant): boolean {
    const rest = this.resting.get(row.node);
    return rest !== undefined && rest.boot === row.nodeBoot && now < rest.until;
  }

  /** Some of many: the own zone's first, the others by lot. */
  private drawn(rows: readonly EndpointRow[]): readonly EndpointRow[] {
    const lots = rows.map((row) => ({ row, lot: this.random() + (row.zone === this.zone ? 0 : 0.5) }));
    return lots.sort((one, other) => one.lot - other.lot).slice(0, WEIGHED).map(({ row }) => row);
  }

  /** Draws one, the quicker the likelier; one of the own zone that is nearly as quick and has room goes first. */
  private likely(rows: readonly EndpointRow[], aimMs: number | null, now: Instant): EndpointRow | null {
    const entries = rows.map((row) => this.known.get(keyOf(row)));
    const freshness = entries.map((known) => (known === undefined || known.load === null || known.load.meanMs <= 0 ? 0 : Math.max(0, 1 - (now - known.heardAt) / MEAN_FADES_MS)));
    const sureness = freshness.reduce((sum, part) => sum + part, 0);
    const usualMs = sureness === 0 ? 1 : entries.reduce((sum, known, index) => sum + (known?.load?.meanMs ?? 0) * (freshness[index] ?? 0), 0) / sureness;
    const all = rows.map((row, index) => {
      const meanMs = usualMs + ((entries[index]?.load?.meanMs ?? usualMs) - usualMs) * (freshness[index] ?? 0);
      const { expectedMs, hasRoom } = this.expected(row, meanMs, now);
      return { row, expectedMs, hasRoom, weight: expectedMs ** -SHARPNESS };
    });
    const roomy = all.filter(({ hasRoom }) => hasRoom);
    const weighed = roomy.length > 0 ? roomy : all;
    let rest = this.random() * weighed.reduce((sum, { weight }) => sum + weight, 0);
    const drawn = weighed.find(({ weight }) => {
      rest -= weight;
      return rest < 0;
    }) ?? weighed.at(-1);
    if (drawn === undefined || drawn.row.zone === this.zone) return drawn?.row ?? null;
    const mostMs = Math.max(drawn.expectedMs * (1 + ZONE_PART), (aimMs ?? 0) * ZONE_AIM_PART);
    const near = weighed.filter(({ row, hasRoom, expectedMs }) => row.zone === this.zone && hasRoom && expectedMs <= mostMs);
    return near[Math.floor(this.random() * near.length)]?.row ?? drawn.row;
  }

  /** The time that a request would take: by the requests said or known to be there, it may have to wait for a slot. */
  private expected(row: EndpointRow, meanMs: number, now: Instant): { readonly expectedMs: number; readonly hasRoom: boolean } {
    const known = this.known.get(keyOf(row));
    const told = known !== undefined && known.load !== null && now - known.heardAt < LOAD_FRESH_MS ? known.load.running + known.load.waiting + known.own - known.ownThen : 0;
    const there = Math.max(known?.own ?? 0, told);
    const slots = Math.max(1, row.slots);
    const crowd = Math.min(1, there / slots);
    const waitMs = there < slots ? 0 : ((there - slots + 1) * meanMs) / slots;
    return { expectedMs: WAY_MS + meanMs * (1 + CROWD_PART * crowd * crowd) + waitMs, hasRoom: there < slots };
  }

  private isFull(row: EndpointRow, binding: BindingId, now: Instant): boolean {
    const fullAt = this.known.get(keyOf(row))?.fullAt.get(binding);
    return fullAt !== undefined && now - fullAt < FULL_FRESH_MS;
  }

  private knownOf(row: EndpointRow): Known {
    const key = keyOf(row);
    const known = this.known.get(key);
    if (known !== undefined) return known;
    const fresh: Known = { own: 0, load: null, heardAt: 0 as Instant, ownThen: 0, fullAt: new Map() };
    this.known.set(key, fresh);
    return fresh;
  }
}
