import { randomBytes } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Load, TurnAwayCause } from '../connection/hopCalls.js';
import type { MarkAnswer, MarkKept } from '../connection/nodeCalls.js';
import { Departed, MET_SEQUENCE, type Announcement, type BeatAnswer, type FindMark } from './announcement.js';
import type { Address, EndpointId, InstanceId, Instant, ServiceName, VersionName } from './brands.js';
import type { Clock } from './clock.js';
import { Departures, type TooManyDepartures } from './departures.js';
import { RequestTimes } from './requestTimes.js';
import type { DepartureMark } from '../version/departureMark.js';

/**
 * A beat proves that the endpoint was there when the nonce that it echoes was given out; no order starts later than
 * this after that moment. An address may be another service's 2 s after its endpoint's end: the rest is margin.
 */
export const PROOF_MS = 1700;
const NONCES_KEPT = 4;
const LAPSE_MS = 3000;
const QUEUE_PER_SLOT = 4;
/** An endpoint that is its own fence stays listed through this much silence: what is sent to a later holder of its address it turns away. */
const FENCED_SILENCE_MS = 6000;
const REFUSED_MOST = 2;
/** By how much one step of priority counts against the time that a request takes. */
const PRIORITY_STEP = 2;
/** It goes after those that are new: what is served at the second try earns less, and whoever waits longest is worth least. */
const RETRIED_STEP = 4;

interface Waiter {
  readonly rank: number;
  /** How long requests of its kind take, in milliseconds. */
  readonly meanMs: number;
  readonly wake: (isFree: boolean) => void;
}
interface Nonce {
  readonly nonce: string;
  readonly givenAt: Instant;
}
interface Standing {
  said: Announcement;
  /** The latest moment at which it is known to have been there. */
  provenAt: Instant;
  given: readonly Nonce[];
  leaving: boolean;
  /** Whether others were asked for a mark of its leaving that was given before this host heard of it. */
  isConfirmed: boolean;
  running: number;
  /** By rank, then as they came. */
  waiters: readonly Waiter[];
  ended: readonly (() => void)[];
  /** How long its requests lately took, by kind. */
  readonly times: RequestTimes;
  /** Connections refused in a row. */
  refused: number;
  /** Until when it is slow from its start. */
  coldUntil: Instant;
}

/** How a request waits for a seat: who goes first, and how long it may. */
export interface Waiting {
  /** 0 goes first. */
  readonly priority: number;
  readonly mostMs: number;
  /** Requests of one kind take a like time; one that takes much less than most here goes before them and may wait longer. */
  readonly kind?: string;
  readonly mostMsIfSmall?: number;
  /** How long its caller gave it in all, in milliseconds. */
  readonly givenMs?: number;
}

/** What an order must find at its endpoint. */
export interface Wanted {
  readonly service: ServiceName;
  readonly endpoint: EndpointId;
  readonly instance: InstanceId;
}

/** The right to run one order at an endpoint; `recheck` speaks at the moment of sending. */
export interface Seat {
  readonly address: Address;
  /** Whether the endpoint is still slow from its start. */
  readonly isCold: boolean;
  recheck(): TurnAwayCause | null;
  /** Gives the seat back; a request that was served says how long it took. */
  leave(tookMs?: number): void;
}

/**
 * The endpoints of this machine: their beats, slots and departures. Only this table decides whether one may run an order.
 * `backlog` is how many requests each is given beyond its slots, so that it need not wait for the next one.
 */
export class LocalEndpoints {
  private readonly standing = new Map<EndpointId, Standing>();
  private readonly departures: Departures;

  constructor(private readonly clock: Clock, private readonly onChange: () => void, private readonly onRemoved: (said: Announcement) => void = () => undefined, private readonly backlog = 0, private readonly findMark: FindMark | null = null) {
    this.departures = new Departures(clock);
  }

  beat(said: Announcement): Result<BeatAnswer, Departed | TooManyDepartures> {
    if (this.departures.hasDeparted(said.instance)) return err(new Departed(`instance ${said.instance} has signed off`));
    const now = this.clock.now();
    for (const [id, other] of this.standing) {
      if (id !== said.id && other.said.address === said.address) this.remove(id);
    }
    const known = this.standing.get(said.id);
    if (known !== undefined && known.said.instance === said.instance && said.sequence !== null && said.sequence <= (known.said.sequence ?? -2)) {
      return ok({ nonce: '', counted: false, leaving: known.leaving, running: known.running });
    }
    if (said.leaving) {
      const noted = this.departures.noteLeaving(said.instance);
      if (noted.isErr()) return err(noted.error);
    }
    const isSame = known !== undefined && known.said.instance === said.instance && known.said.service === said.service && known.said.address === said.address;
    if (known !== undefined && !isSame) this.remove(said.id);
    const spot: Standing = isSame ? known : { said, provenAt: -Infinity as Instant, given: [], leaving: false, isConfirmed: !this.needsMark(said), running: 0, waiters: [], ended: [], times: new RequestTimes(this.clock), refused: 0, coldUntil: now };
    const before = this.view(spot, now);
    spot.said = said;
    spot.coldUntil = (now + (said.coldMs ?? 0)) as Instant;
    spot.leaving = spot.leaving || this.departures.isLeaving(said.instance);
    const echoed = spot.given.find((one) => one.nonce === said.nonce);
    const counted = said.fenced || (echoed !== undefined && now - echoed.givenAt <= PROOF_MS);
    if (said.fenced) {
      spot.provenAt = now;
      spot.refused = 0;
    } else if (counted) spot.provenAt = Math.max(spot.provenAt, (echoed as Nonce).givenAt) as Instant;
    const nonce = said.fenced ? '' : randomBytes(8).toString('hex');
    if (!said.fenced) spot.given = [...spot.given, { nonce, givenAt: now }].slice(-NONCES_KEPT);
    this.standing.set(said.id, spot);
    if (spot.leaving) this.turnWaitersAway(spot);
    if (!isSame && !spot.isConfirmed) void this.confirm(spot);
    if (!isSame || before !== this.view(spot, now)) this.onChange();
    return ok({ nonce, counted, leaving: spot.leaving, running: spot.running });
  }

  /** Keeps a mark that another switchboard is about to acknowledge, of an endpoint of this machine or of any other. */
  keepMark({ instance, state }: DepartureMark): MarkKept {
    const noted = state === 'departed' ? this.departures.noteDeparted(instance) : this.departures.noteLeaving(instance);
    if (noted.isErr()) return { isKept: false };
    if (state === 'departed') this.endDeparted([instance]);
    else this.keepLeaving([instance]);
    this.onChange();
    return { isKept: true };
  }

  /** Every mark that this host holds, its own endpoints' and others'. */
  marks(): readonly DepartureMark[] {
    return [...this.leavingLately().map((instance) => ({ instance, state: 'leaving' as const })), ...this.departedLately().map((instance) => ({ instance, state: 'departed' as const }))];
  }

  /** The mark that this host holds of an instance; it knows of no other host's. */
  markOf(instance: InstanceId): MarkAnswer {
    const state = this.departures.hasDeparted(instance) ? 'departed' : this.departures.isLeaving(instance) ? 'leaving' : null;
    return { state, isComplete: false };
  }

  /** A heartbeat that proves by its nonce when it was made, or an endpoint that was just asked, can't be one of before a departure. */
  private needsMark(said: Announcement): boolean {
    return this.findMark !== null && said.fenced && said.sequence !== MET_SEQUENCE;
  }

  /** Until others were asked for its mark, an endpoint that this host has just heard of takes no request. */
  private async confirm(spot: Standing): Promise<void> {
    const { id, instance } = spot.said;
    const state = await this.findMark?.(spot.said);
    if (this.standing.get(id) !== spot) return;
    spot.isConfirmed = true;
    if (state === 'departed') this.endDeparted([instance]);
    else if (state === 'leaving') this.keepLeaving([instance]);
    this.onChange();
  }

  /** Whether an endpoint at this address has announced itself. */
  has(address: Address): boolean {
    return [...this.standing.values()].some((spot) => spot.said.address === address);
  }

  /** It took no connection: until its next beat it counts as silent, and the directories hear of it at once; a fenced one after two in a row. */
  doubt(id: EndpointId, instance: InstanceId): void {
    const spot = this.standing.get(id);
    if (spot === undefined || spot.said.instance !== instance || spot.provenAt === -Infinity) return;
    spot.refused += 1;
    if (spot.said.fenced && spot.refused < REFUSED_MOST) return;
    spot.provenAt = -Infinity as Instant;
    spot.given = [];
    this.onChange();
  }

  /**
   * Takes no new order of an instance from now on, known here or not: its earlier beats may still come. Resolves once the
   * running ones have ended, or the time is up. A departure that can't be kept is an error, not an acknowledgement.
   */
  async signOff(id: EndpointId, instance: InstanceId, mostMs = Infinity): Promise<Result<void, TooManyDepartures>> {
    if (this.departures.hasDeparted(instance)) return ok(undefined);
    const found = this.standing.get(id);
    const spot = found?.said.instance === instance ? found : undefined;
    if (spot !== undefined) {
      const leaving = this.markLeaving(spot);
      if (leaving.isErr()) return leaving;
      this.onChange();
      await this.runningEnded(spot, mostMs);
    }
    const departed = this.departures.noteDeparted(instance);
    if (departed.isErr()) return departed;
    if (spot !== undefined && this.standing.get(id) === spot) this.remove(id);
    else this.onChange();
    return ok(undefined);
  }

  /** Instances that signed off here lately. */
  departedLately(): readonly InstanceId[] {
    return this.departures.departed();
  }

  /** Instances that lately said that they leave, and have not signed off yet. */
  leavingLately(): readonly InstanceId[] {
    return this.departures.leaving();
  }

  /** Others know that these signed off, at an earlier boot of this switchboard perhaps: they are no longer here. */
  endDeparted(instances: readonly InstanceId[]): void {
    for (const [id, spot] of this.standing) {
      if (instances.includes(spot.said.instance) && this.departures.noteDeparted(spot.said.instance).isOk()) this.remove(id);
    }
  }

  /** Others know that these said they leave, at an earlier boot of this switchboard perhaps: they take no new order. */
  keepLeaving(instances: readonly InstanceId[]): void {
    const spots = [...this.standing.values()].filter((spot) => !spot.leaving && instances.includes(spot.said.instance));
    const marked = spots.filter((spot) => this.markLeaving(spot).isOk());
    if (marked.length > 0) this.onChange();
  }

  /** All leave: the machine's switchboard stops. */
  closeAll(): void {
    for (const spot of this.standing.values()) {
      spot.leaving = true;
      this.turnWaitersAway(spot);
    }
    this.onChange();
  }

  /** Drops endpoints that have long been silent. */
  sweep(): void {
    const now = this.clock.now();
    for (const [id, spot] of this.standing) {
      if (now - spot.provenAt > (spot.said.fenced ? FENCED_SILENCE_MS : LAPSE_MS) && spot.running === 0) this.remove(id);
    }
  }

  /** The endpoints whose beat is fresh, for the report to the directories. */
  listed(): readonly (Announcement & { readonly leaving: boolean })[] {
    const now = this.clock.now();
    return [...this.standing.values()].filter((spot) => this.isProven(spot, now)).map((spot) => ({ ...spot.said, leaving: spot.leaving }));
  }

  versionOf(id: EndpointId): VersionName | undefined {
    return this.standing.get(id)?.said.version;
  }

  load(id: EndpointId): Load {
    const spot = this.standing.get(id);
    return spot === undefined ? { running: 0, waiting: 0, slots: 0, meanMs: 0 } : { running: spot.running, waiting: spot.waiters.length, slots: spot.said.slots, meanMs: Math.round(spot.times.meanMs * 10) / 10 };
  }

  /**
   * Finds a seat for an order. When all slots are taken it waits a bounded time in a bounded queue, if by the time that
   * requests take here a seat will be free by then; otherwise it is turned away at once.
   */
  async seat(wanted: Wanted, waiting: Waiting): Promise<Result<Seat, TurnAwayCause>> {
    const fault = this.faultOf(wanted);
    if (fault !== null) return err(fault);
    const spot = this.standing.get(wanted.endpoint) as Standing;
    const kind = spot.times.kindOf(waiting.kind);
    const isRetried = spot.times.isRetried(kind, waiting.givenMs);
    if (spot.running >= spot.said.slots + this.backlog) {
      const kindMs = kind.meanMs > 0 ? kind.meanMs : spot.times.meanMs;
      const isSmall = spot.times.isSmall(kind);
      const rank = kindMs * PRIORITY_STEP ** waiting.priority * (isRetried && !isSmall ? RETRIED_STEP : 1);
      const mostMs = isSmall ? waiting.mostMsIfSmall ?? waiting.mostMs : waiting.mostMs;
      if (spot.waiters.length >= spot.said.slots * QUEUE_PER_SLOT || mostMs <= 0 || this.expectedWaitMs(spot, rank) > mostMs) return err('full');
      if (!(await this.waitTurn(spot, rank, kindMs, mostMs))) return err(this.faultOf(wanted) ?? 'full');
    }
    else spot.running += 1;
    const late = this.faultOf(wanted);
    if (late !== null) {
      this.leave(spot);
      return err(late);
    }
    return ok({ address: spot.said.address, isCold: this.clock.now() < spot.coldUntil, recheck: () => this.faultOf(wanted), leave: (tookMs) => {
      if (tookMs !== undefined) spot.times.learn(kind, tookMs);
      this.leave(spot);
    } });
  }

  /** The address and path of a probe, if the endpoint is still there. */
  probeTarget(wanted: Wanted): Result<{ readonly address: Address; readonly path: string }, TurnAwayCause> {
    const fault = this.faultOf(wanted);
    if (fault !== null) return err(fault);
    const { said } = this.standing.get(wanted.endpoint) as Standing;
    return ok({ address: said.address, path: said.probe });
  }

  private faultOf(wanted: Wanted): TurnAwayCause | null {
    const spot = this.standing.get(wanted.endpoint);
    if (spot === undefined) return 'not-here';
    if (spot.said.service !== wanted.service) return 'other-service';
    if (spot.said.instance !== wanted.instance) return 'other-instance';
    if (spot.leaving) return 'leaving';
    return this.isProven(spot, this.clock.now()) ? null : 'stale-beat';
  }

  /** How long a request of this rank would wait: the next seat comes free soon, and those ahead go first. */
  private expectedWaitMs(spot: Standing, rank: number): number {
    const { slots } = spot.said;
    const aheadMs = spot.waiters.reduce((sum, waiter) => (waiter.rank <= rank ? sum + waiter.meanMs : sum), 0);
    return aheadMs / slots + spot.times.meanMs / (slots + 1);
  }

  private waitTurn(spot: Standing, rank: number, meanMs: number, mostMs: number): Promise<boolean> {
    return new Promise((settle) => {
      const waiter: Waiter = {
        rank, meanMs,
        wake: (isFree) => {
          clearTimeout(timer);
          spot.waiters = spot.waiters.filter((one) => one !== waiter);
          settle(isFree);
        },
      };
      const timer = setTimeout(() => waiter.wake(false), mostMs);
      const place = spot.waiters.findIndex((other) => other.rank > rank);
      spot.waiters = place < 0 ? [...spot.waiters, waiter] : [...spot.waiters.slice(0, place), waiter, ...spot.waiters.slice(place)];
    });
  }

  /** A seat that comes free is handed on to the next who waits, so `running` stays as it is. */
  private leave(spot: Standing): void {
    const next = spot.waiters[0];
    if (next !== undefined && spot.running <= spot.said.slots + this.backlog) {
      next.wake(true);
      return;
    }
    spot.running -= 1;
    if (spot.running > 0) return;
    spot.ended.forEach((tell) => tell());
    spot.ended = [];
  }

  private turnWaitersAway(spot: Standing): void {
    spot.waiters.forEach((waiter) => waiter.wake(false));
  }

  private markLeaving(spot: Standing): Result<void, TooManyDepartures> {
    return this.departures.noteLeaving(spot.said.instance).map(() => {
      spot.leaving = true;
      this.turnWaitersAway(spot);
    });
  }

  private runningEnded(spot: Standing, mostMs: number): Promise<void> {
    if (spot.running === 0) return Promise.resolve();
    return new Promise((settle) => {
      spot.ended = [...spot.ended, settle];
      if (mostMs !== Infinity) setTimeout(settle, mostMs).unref();
    });
  }

  private remove(id: EndpointId): void {
    const spot = this.standing.get(id);
    if (spot === undefined) return;
    this.standing.delete(id);
    this.onRemoved(spot.said);
    this.turnWaitersAway(spot);
    this.onChange();
  }

  private isProven(spot: Standing, now: Instant): boolean {
    return spot.isConfirmed && now - spot.provenAt <= (spot.said.fenced ? FENCED_SILENCE_MS : PROOF_MS);
  }

  private view(spot: Standing, now: Instant): string {
    return JSON.stringify([spot.said.service, spot.said.instance, spot.said.address, spot.said.slots, spot.said.version, spot.leaving, this.isProven(spot, now)]);
  }
}

