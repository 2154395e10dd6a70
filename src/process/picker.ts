import { Map as Table } from 'immutable';
import type { Load } from '../connection/hopCalls.js';
import { MaskDigest, type EndpointRow } from '../version/digests.js';
import type { BootId, Instant, NodeName, ServiceName, ZoneName } from './brands.js';
import type { Clock } from './clock.js';
import type { OutcomeBook } from './outcomeBook.js';

const PATH_REST_MS = 1000;
const FULL_PART = 0.8;
const LOAD_FRESH_MS = 1000;

/** Why an endpoint was not picked. */
export type PassedOver = 'tried' | 'leaving' | 'in a maintenance window' | 'masked for all' | 'masked here' | 'path rests' | 'other zone' | 'less free' | 'not drawn';

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
  readonly mask: MaskDigest | null;
}

export interface PickQuery {
  readonly service: ServiceName;
  readonly isRepeatable: boolean;
  readonly tried: readonly EndpointRow[];
}

interface Heard {
  readonly load: Load;
  readonly at: Instant;
}

const keyOf = (row: EndpointRow): string => `${row.service}/${row.id}/${row.instance}/${row.nodeBoot}`;
const sameEndpoint = (one: EndpointRow, other: EndpointRow): boolean => keyOf(one) === keyOf(other);

/** Picks an endpoint: two drawn at random from the own zone, the less occupied one taken. */
export class Picker {
  private inFlight: Table<string, number> = Table();
  private heard: Table<string, Heard> = Table();
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
    const isMaskedForAll = (row: EndpointRow): boolean => MaskDigest.holds(tables.mask ?? undefined, row);
    const trial = isTaken && query.isRepeatable ? open.find((row) => row.resting !== true && this.isTrialDue(row, isMaskedForAll(row))) : undefined;
    if (trial !== undefined) return { chosen: { row: trial, isTrial: true }, passedOver: open.filter((row) => row !== trial).map((row) => ({ row, why: 'not drawn' })) };
    const filters: readonly (readonly [PassedOver, (row: EndpointRow) => boolean])[] = [
      ['in a maintenance window', (row) => row.resting === true],
           ['path rests', (row) => this.isResting(row, now)], ['masked for all', isMaskedForAll], ['masked here', (row) => this.book.maskOf(row) !== null],
    ];
    const fit = filters.reduce((rows, [why, isOut]) => (rows.every(isOut) ? rows : split(rows, why, isOut)), open);
    const own = fit.filter((row) => row.zone === this.zone);
    const roomy = own.filter((row) => this.fullness(row, now) < FULL_PART);
    const near = roomy.length > 0 ? own : fit;
    if (near === own) passOver(fit.filter((row) => row.zone !== this.zone), 'other zone');
    const first = near[Math.floor(this.random() * near.length)];
    if (first === undefined) return { chosen: null, passedOver };
    const rest = near.filter((row) => row !== first);
    const second = rest[Math.floor(this.random() * rest.length)];
    const chosen = second !== undefined && this.fullness(second, now) < this.fullness(first, now) ? second : first;
    passOver(near.filter((row) => row === first || row === second).filter((row) => row !== chosen), 'less free');
    passOver(near.filter((row) => row !== first && row !== second), 'not drawn');
    return { chosen: { row: chosen, isTrial: false }, passedOver };
  }

  started(row: EndpointRow): void {
    this.shift(row, 1);
  }

  ended(row: EndpointRow, load: Load | null): void {
    this.shift(row, -1);
    if (load !== null && load.slots > 0) this.heard = this.heard.set(keyOf(row), { load, at: this.clock.now() });
  }

  /** The way to a machine broke: others are tried first for a while. */
  rest(row: EndpointRow): void {
    this.resting = this.resting.set(row.node, { boot: row.nodeBoot, until: (this.clock.now() + PATH_REST_MS) as Instant });
  }

  keepOnly(rows: readonly EndpointRow[]): void {
    const kept = new Set(rows.map(keyOf));
    this.heard = this.heard.filter((_heard, key) => kept.has(key));
    this.inFlight = this.inFlight.filter((count, key) => kept.has(key) || count > 0);
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

  private fullness(row: EndpointRow, now: Instant): number {
    const own = this.inFlight.get(keyOf(row)) ?? 0;
    const heard = this.heard.get(keyOf(row));
    const told = heard !== undefined && now - heard.at < LOAD_FRESH_MS ? heard.load.running + heard.load.waiting : 0;
    return Math.max(own, told) / Math.max(1, row.slots);
  }

  private shift(row: EndpointRow, by: number): void {
    this.inFlight = this.inFlight.update(keyOf(row), 0, (count) => Math.max(0, count + by));
  }
}
