import type { EndpointRow } from '../version/snapshots.js';
import { LatencyHistogram } from '../version/latencyHistogram.js';
import { RolloutTable, type Rollout, type RolloutSnapshot, type ServiceVersions } from '../version/rollout.js';
import type { BindingId, Serial, ServiceName, VersionName } from './brands.js';

/** What one attempt tells of a version: whether it succeeded, and the endpoint's own time, where it counts. */
export interface VersionOutcome {
  readonly failed: boolean;
  readonly tookMs: number | null;
}

/** What this node has sent to the two sides of a rollout since it learned of it, for one binding. */
export interface VersionTotals {
  readonly binding: BindingId;
  readonly isTarget: boolean;
  readonly calls: number;
  readonly failures: number;
  readonly times: readonly number[];
}

/** How far this node has come with a running rollout. */
export interface RolloutProgress {
  readonly service: ServiceName;
  readonly begunAt: Serial;
  readonly stage: number;
  /** Nothing sent from here runs any more at a version that this stage sends nothing to. */
  readonly isDrained: boolean;
  readonly totals: readonly VersionTotals[];
}

interface Account {
  readonly binding: BindingId;
  readonly isTarget: boolean;
  calls: number;
  failures: number;
  readonly times: number[];
}
interface Watched {
  readonly begunAt: Serial;
  stage: number;
  /** Since the stage began, for this node's own brake. */
  stageCalls: number;
  stageFailures: number;
  readonly accounts: Map<string, Account>;
}
interface Sides {
  readonly rows: readonly EndpointRow[];
  readonly versions: ServiceVersions;
  readonly target: readonly EndpointRow[];
  readonly others: readonly EndpointRow[];
}

/**
 * A node that has seen this part of its own requests fail, and so many in all, sends no more to the target at this stage:
 * few when no directory can tell it to stop, otherwise enough for whoever steers the rollout to judge by.
 */
const BRAKE_PART = 0.3;
const BRAKE_FAILURES = { outOfTouch: 5, inTouch: 20 } as const;

/** Sends each request to the versions of its service that may take it, and counts what comes of it while a rollout runs. */
export class VersionRouter {
  private held: RolloutSnapshot = { serial: 0 as Serial, table: RolloutTable.empty };
  private byService: ReadonlyMap<ServiceName, ServiceVersions> = new Map();
  private readonly sides = new Map<ServiceName, Sides>();
  private readonly watched = new Map<ServiceName, Watched>();
  private readonly running = new Map<ServiceName, Map<VersionName | undefined, number>>();

  /** `onChange` is told when a later table came; `isInTouch` says whether a current directory has lately answered. */
  constructor(private readonly onChange: () => void, private readonly isInTouch: () => boolean) {}

  get serial(): Serial {
    return this.held.serial;
  }

  get snapshot(): RolloutSnapshot {
    return this.held;
  }

  /** Takes a later table; an earlier one changes nothing. */
  learn(snapshot: RolloutSnapshot): void {
    if (snapshot.serial <= this.held.serial) return;
    this.held = snapshot;
    this.byService = new Map(snapshot.table.services.map((versions) => [versions.service, versions] as const));
    this.sides.clear();
    for (const { service, rollout } of snapshot.table.services) this.watch(service, rollout);
    this.onChange();
  }

  /**
   * The endpoints that a request may go to. `lot` lies from 0 up to 1 and is drawn once for each request; one that has been
   * to the target version and failed there goes to the others.
   */
  rowsFor(service: ServiceName, rows: readonly EndpointRow[], lot: number, tried: readonly EndpointRow[]): readonly EndpointRow[] {
    const versions = this.byService.get(service);
    if (versions === undefined) return rows;
    const { target, others } = this.sidesOf(service, versions, rows);
    const { rollout } = versions;
    if (rollout === null || rollout.state === 'reverted') return others;
    if (rollout.state === 'completed') return target;
    const hasTriedTarget = tried.some((row) => row.version === rollout.target);
    if (rollout.share >= 1 && !this.isBraked(service)) return target;
    const isDrawn = lot < rollout.share && !hasTriedTarget && !this.isBraked(service) && target.some((row) => !row.leaving);
    return isDrawn ? target : others;
  }

  /** Whether endpoints of this version must not take requests, whoever sends them. */
  isReverted(service: ServiceName, version: VersionName | undefined): boolean {
    const rollout = this.byService.get(service)?.rollout ?? null;
    return rollout !== null && rollout.state === 'reverted' && version === rollout.target;
  }

  started(row: EndpointRow): void {
    const counts = this.running.get(row.service) ?? new Map<VersionName | undefined, number>();
    counts.set(row.version, (counts.get(row.version) ?? 0) + 1);
    this.running.set(row.service, counts);
  }

  ended(row: EndpointRow): void {
    const counts = this.running.get(row.service);
    counts?.set(row.version, Math.max(0, (counts.get(row.version) ?? 0) - 1));
  }

  /** Counts an attempt that an endpoint answered, or failed to answer. */
  note(row: EndpointRow, binding: BindingId, { failed, tookMs }: VersionOutcome): void {
    const watched = this.watched.get(row.service);
    const target = this.byService.get(row.service)?.rollout?.target;
    if (watched === undefined || target === undefined) return;
    const isTarget = row.version === target;
    const key = `${binding}/${isTarget}`;
    const account = watched.accounts.get(key) ?? { binding, isTarget, calls: 0, failures: 0, times: LatencyHistogram.empty() };
    watched.accounts.set(key, account);
    account.calls += 1;
    account.failures += Number(failed);
    if (tookMs !== null) {
      const bucket = LatencyHistogram.bucketOf(tookMs);
      account.times[bucket] = (account.times[bucket] ?? 0) + 1;
    }
    if (!isTarget) return;
    watched.stageCalls += 1;
    watched.stageFailures += Number(failed);
  }

  /** What whoever steers the running rollouts needs to know of this node. */
  progress(): readonly RolloutProgress[] {
    return [...this.watched].map(([service, { begunAt, stage, accounts }]) => ({
      service, begunAt, stage, isDrained: this.isDrained(service), totals: [...accounts.values()].map((account) => ({ ...account, times: [...account.times] })),
    }));
  }

  private watch(service: ServiceName, rollout: Rollout | null): void {
    if (rollout === null || rollout.state !== 'running') {
      this.watched.delete(service);
      return;
    }
    const known = this.watched.get(service);
    if (known === undefined || known.begunAt !== rollout.begunAt) {
      this.watched.set(service, { begunAt: rollout.begunAt, stage: rollout.stage, stageCalls: 0, stageFailures: 0, accounts: new Map() });
    } else if (known.stage !== rollout.stage) {
      known.stage = rollout.stage;
      known.stageCalls = 0;
      known.stageFailures = 0;
    }
  }

  private isBraked(service: ServiceName): boolean {
    const watched = this.watched.get(service);
    const least = this.isInTouch() ? BRAKE_FAILURES.inTouch : BRAKE_FAILURES.outOfTouch;
    return watched !== undefined && watched.stageFailures >= least && watched.stageFailures > BRAKE_PART * watched.stageCalls;
  }

  private isDrained(service: ServiceName): boolean {
    const rollout = this.byService.get(service)?.rollout ?? null;
    if (rollout === null || rollout.share < 1 || this.isBraked(service)) return false;
    return [...(this.running.get(service) ?? [])].every(([version, count]) => version === rollout.target || count === 0);
  }

  /** The rows of a list by the side that they are on; made once for each list and table. */
  private sidesOf(service: ServiceName, versions: ServiceVersions, rows: readonly EndpointRow[]): Sides {
    const known = this.sides.get(service);
    if (known !== undefined && known.rows === rows && known.versions === versions) return known;
    const { current, rollout } = versions;
    const others = this.othersOf(rows, current, rollout?.state === 'completed' ? null : rollout);
    const fresh: Sides = { rows, versions, target: rollout?.state === 'completed' ? others : rows.filter((row) => row.version === rollout?.target), others };
    this.sides.set(service, fresh);
    return fresh;
  }

  /** A version that no rollout named takes nothing as long as there are endpoints of the one in use. */
  private othersOf(rows: readonly EndpointRow[], current: VersionName | null, rollout: Rollout | null): readonly EndpointRow[] {
    const isEnded = rollout === null || rollout.state !== 'running';
    const isOther = ({ version }: EndpointRow): boolean => version !== undefined && version !== current;
    /** Right after a restart of its host an endpoint's version is not known: as long as others are about, it may be one of them. */
    const mayBeUnknown = rollout === null || (isEnded && !rows.some(isOther));
    const mayTake = rows.filter(({ version }) => (version === undefined ? mayBeUnknown : version !== rollout?.target));
    if (current === null) return mayTake;
    const ofCurrent = mayTake.filter((row) => !isOther(row));
    if (ofCurrent.length === rows.length) return rows;
    return ofCurrent.length === 0 && isEnded ? mayTake : ofCurrent;
  }
}
