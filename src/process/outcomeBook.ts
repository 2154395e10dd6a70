import { Map as Table } from 'immutable';
import type { OutcomeRow } from '../connection/nodeCalls.js';
import { rowKey, type EndpointRow } from '../version/snapshots.js';
import type { HealthRules } from '../version/manifest.js';
import type { Instant } from './brands.js';
import type { Clock } from './clock.js';
import { judge, recentNeeded, type Outcome } from './health.js';
import type { Frame } from './program.js';
import type { PlaceSettings } from './settings.js';
import { Tally } from './tally.js';

/** What one attempt said about the endpoint. */
export type AttemptOutcome = 'served' | 'failed' | 'turnedAway' | 'pathDefect';

/** A local mask: this caller alone found the endpoint failing. */
export interface LocalMask {
  readonly reason: string;
  readonly since: Instant;
  readonly triedAt: Instant;
}
interface Account {
  readonly row: EndpointRow;
  readonly calls: number;
  readonly failures: number;
  readonly turnAways: number;
  readonly pathDefects: number;
  readonly cycleStart: Instant;
  readonly baseCalls: number;
  readonly baseFailures: number;
  readonly recent: readonly Outcome[];
  readonly mask: LocalMask | null;
  readonly changed: boolean;
  /** Whether something other than success was noted since the last report. */
  readonly hasFailed: boolean;
}

/** Outcomes without a failure tell no more than the latest of them, which ends a run of failures seen elsewhere. */
const telling = (recent: readonly Outcome[]): readonly Outcome[] => (recent.some(({ failed }) => failed) ? recent : recent.slice(-1));

const keyOf = rowKey((row) => `${row.service}/${row.id}/${row.instance}`);

/**
 * Counts the outcome of every attempt against its endpoint, for the report to the directories, and masks by the
 * same two rules on this caller's own evidence at once.
 */
export class OutcomeBook {
  private readonly accounts = new Map<string, Account>();
  private trials: Table<string, Instant> = Table();
  private readonly tally: Tally;
  private readonly clock: Clock;

  constructor(frame: Frame<PlaceSettings>, private readonly rulesNow: () => HealthRules) {
    this.clock = frame.clock;
    this.tally = new Tally(frame.metrics, 'opalstair_rounds_total', 'Rounds by service and outcome', ['service', 'outcome']);
  }

  note(row: EndpointRow, outcome: AttemptOutcome): void {
    this.tally.add(row.service, outcome);
    const now = this.clock.now();
    const rules = this.rulesNow();
    const former = this.accounts.get(keyOf(row)) ?? this.blank(row, now);
    const isNewCycle = now - former.cycleStart >= rules.cycleMs;
    const isCall = outcome === 'served' || outcome === 'failed';
    const failed = outcome === 'failed';
    const next: Account = {
      ...former, changed: true, hasFailed: former.hasFailed || outcome !== 'served',
      calls: former.calls + Number(isCall), failures: former.failures + Number(failed),
      turnAways: former.turnAways + Number(outcome === 'turnedAway'), pathDefects: former.pathDefects + Number(outcome === 'pathDefect'),
      cycleStart: isNewCycle ? now : former.cycleStart, baseCalls: isNewCycle ? former.calls : former.baseCalls, baseFailures: isNewCycle ? former.failures : former.baseFailures,
      recent: isCall ? [...former.recent, { at: now, failed }].slice(-recentNeeded(rules)) : former.recent,
    };
    this.put(this.masked(next, outcome, rules, now));
  }

  /** The endpoint served a trial: it starts with a clean count. */
  forgive(row: EndpointRow): void {
    const account = this.accounts.get(keyOf(row));
    if (account !== undefined) this.put({ ...account, mask: null, recent: [], baseCalls: account.calls, baseFailures: account.failures, cycleStart: this.clock.now() });
  }

  maskOf(row: EndpointRow): LocalMask | null {
    return this.accounts.get(keyOf(row))?.mask ?? null;
  }

  /** Whether a masked endpoint is due for another try; from now on it counts as tried. */
  takeTrial(row: EndpointRow, since: Instant): boolean {
    const account = this.accounts.get(keyOf(row)) ?? this.blank(row, this.clock.now());
    const last = Math.max(account.mask?.triedAt ?? since, this.trials.get(keyOf(row)) ?? since);
    if (this.clock.now() - last < this.rulesNow().retryMs) return false;
    this.trials = this.trials.set(keyOf(row), this.clock.now());
    return true;
  }

  /** Locally masked endpoints that no order tried for two retry periods; from now on they count as tried. */
  overdue(): readonly EndpointRow[] {
    const now = this.clock.now();
    const due = [...this.accounts.values()].filter(({ row, mask }) => mask !== null && now - Math.max(mask.triedAt, this.trials.get(keyOf(row)) ?? mask.since) >= 2 * this.rulesNow().retryMs);
    due.forEach(({ row }) => { this.trials = this.trials.set(keyOf(row), now); });
    return due.map(({ row }) => row);
  }

  /** The rows that changed since they were last told, or only the failing ones of them; totals make good any report that was lost. */
  report(which: 'all' | 'changed' | 'failing'): readonly OutcomeRow[] {
    const now = this.clock.now();
    const isDue = (account: Account): boolean => which === 'all' || (account.changed && (which === 'changed' || account.hasFailed));
    const due = [...this.accounts.values()].filter(isDue);
    if (due.length === 0) return [];
    for (const account of due) if (account.changed) this.put({ ...account, changed: false, hasFailed: false });
    return due.map((account) => ({
      service: account.row.service, endpoint: account.row.id, instance: account.row.instance, calls: account.calls, failures: account.failures,
      turnAways: account.turnAways, pathDefects: account.pathDefects, recent: telling(account.recent).map(({ at, failed }) => ({ agoMs: now - at, failed })),
    }));
  }

  /** Drops the accounts of endpoints that are no longer listed. */
  keepOnly(rows: readonly EndpointRow[]): void {
    const kept = new Set(rows.map(keyOf));
    for (const key of this.accounts.keys()) if (!kept.has(key)) this.accounts.delete(key);
    this.trials = this.trials.filter((_at, key) => kept.has(key));
  }

  private masked(account: Account, outcome: AttemptOutcome, rules: HealthRules, now: Instant): Account {
    if (account.mask !== null) {
      if (outcome === 'served') return { ...account, mask: null, recent: [], baseCalls: account.calls, baseFailures: account.failures, cycleStart: now };
      return outcome === 'failed' ? { ...account, mask: { ...account.mask, triedAt: now } } : account;
    }
    const evidence = { calls: account.calls - account.baseCalls, failures: account.failures - account.baseFailures, recent: account.recent };
    return judge(evidence, rules, now).mapOr(account, (reason) => ({ ...account, mask: { reason, since: now, triedAt: now } }));
  }

  private blank(row: EndpointRow, now: Instant): Account {
    return { row, calls: 0, failures: 0, turnAways: 0, pathDefects: 0, cycleStart: now, baseCalls: 0, baseFailures: 0, recent: [], mask: null, changed: true, hasFailed: false };
  }

  private put(account: Account): void {
    this.accounts.set(keyOf(account.row), account);
  }
}
