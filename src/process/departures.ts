import { err, ok, type Result } from 'neverthrow';
import type { InstanceId, Instant } from './brands.js';
import type { Clock } from './clock.js';
import { Defect } from './defect.js';

/** As many as one report may name. */
const MOST_KEPT = 10_000;
/** Heartbeats may come seconds late; no later one is expected after this, in milliseconds. */
const KEPT_MS = 60_000;

/** More instances departed lately than can be remembered. */
export class TooManyDepartures extends Defect {
  readonly kind = 'too-many-departures';
}

/** The instances of this machine that lately said that they leave or that they are gone, whether they were known or not. */
export class Departures {
  private readonly leavingAt = new Map<InstanceId, Instant>();
  private readonly departedAt = new Map<InstanceId, Instant>();

  constructor(private readonly clock: Clock) {}

  /** The instance takes no new request from now on. */
  noteLeaving(instance: InstanceId): Result<void, TooManyDepartures> {
    return this.note(this.leavingAt, instance);
  }

  /** The instance is gone for good. */
  noteDeparted(instance: InstanceId): Result<void, TooManyDepartures> {
    return this.note(this.departedAt, instance).map(() => { this.leavingAt.delete(instance); });
  }

  isLeaving(instance: InstanceId): boolean {
    return this.leavingAt.has(instance);
  }

  hasDeparted(instance: InstanceId): boolean {
    return this.departedAt.has(instance);
  }

  leaving(): readonly InstanceId[] {
    this.forgetOld(this.leavingAt);
    return [...this.leavingAt.keys()];
  }

  departed(): readonly InstanceId[] {
    this.forgetOld(this.departedAt);
    return [...this.departedAt.keys()];
  }

  private note(table: Map<InstanceId, Instant>, instance: InstanceId): Result<void, TooManyDepartures> {
    if (!table.has(instance) && table.size >= MOST_KEPT) this.forgetOld(table);
    if (!table.has(instance) && table.size >= MOST_KEPT) return err(new TooManyDepartures(`${MOST_KEPT} instances departed in the last ${KEPT_MS} ms`));
    table.delete(instance);
    table.set(instance, this.clock.now());
    return ok(undefined);
  }

  /** Entries stand in the order of their time. */
  private forgetOld(table: Map<InstanceId, Instant>): void {
    const oldest = this.clock.now() - KEPT_MS;
    for (const [instance, at] of table) {
      if (at >= oldest) return;
      table.delete(instance);
    }
  }
}
