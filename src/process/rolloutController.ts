import type { Logger } from 'pino';
import type { RolloutReport } from '../connection/nodeCalls.js';
import type { EndpointRow } from '../version/snapshots.js';
import { RolloutTable, type Rollout, type RolloutSnapshot, type ServiceVersions } from '../version/rollout.js';
import type { BootId, Instant, Millis, NodeName, Serial, ServiceName } from './brands.js';
import type { Clock } from './clock.js';
import { RolloutEvidence, type EvidenceView } from './rolloutEvidence.js';
import type { RolloutProgress } from './versionRouter.js';

/** What the controller of rollouts sees and does. */
export interface RolloutLinks {
  /** The newest committed table that is known here. */
  readonly table: () => RolloutSnapshot;
  /** Whether this directory has the care of a service, by a lease that runs. */
  readonly isSteering: (service: ServiceName) => boolean;
  /** The nodes that were lately heard. */
  readonly nodesInTouch: () => readonly { readonly node: NodeName; readonly boot: BootId }[];
  /** The services that are listed, once this directory has heard all nodes out. */
  readonly services: () => readonly ServiceName[];
  readonly rowsOf: (service: ServiceName) => readonly EndpointRow[];
  /** Puts a table in force on top of a serial; whether it was acknowledged. */
  readonly change: (base: Serial, table: RolloutTable) => Promise<boolean>;
}

/** A stage of a rollout, which may end once this part of the rollout's duration has passed. */
interface Stage {
  readonly share: number;
  readonly endPart: number;
}

/** What the present stage of a rollout looks like from here. */
export interface RolloutView extends ServiceVersions {
  readonly isSteeredHere: boolean;
  readonly missing: readonly NodeName[];
  readonly evidence: readonly EvidenceView[];
}

interface Steered {
  readonly stageOf: string;
  readonly learnedAt: Instant;
  readonly begunAt: Serial;
  readonly evidence: RolloutEvidence;
  /** When every node in touch had confirmed the stage; a node that starts later starts with it. */
  confirmedAt: Instant | null;
}

/**
 * Until the last stage the target version gets 0.065 of the requests of the whole duration, so that one that turns bad at any
 * share but the last is taken back before it got a tenth.
 */
const STAGES: readonly Stage[] = [
  { share: 0, endPart: 0 }, { share: 0.04, endPart: 0.3 }, { share: 0.1, endPart: 0.38 }, { share: 0.2, endPart: 0.46 }, { share: 0.4, endPart: 0.53 }, { share: 1, endPart: 0.53 },
];
const LEAST_STAGE_MS = 400;
/** A stage has been seen when so many requests reached the target, or half of what its share makes of a lesser traffic. */
const STAGE_CALLS = 20;
const LESSER_PART = 0.5;
/** The target must have this part of the slots that its share of the requests had in the version in use. */
const SLOTS_PART = 0.5;

/**
 * Steers the rollouts of the services in this directory's care: the next stage is put in force when every node in touch has
 * confirmed the last and the evidence suffices; a bad version is taken back at once, an unfinished one at its term.
 */
export class RolloutController {
  private readonly steered = new Map<ServiceName, Steered>();
  private reports: ReadonlyMap<NodeName, RolloutReport> = new Map();

  constructor(private readonly links: RolloutLinks, private readonly clock: Clock, private readonly log: Logger) {}

  hear(report: RolloutReport): void {
    const last = this.reports.get(report.node);
    if (last !== undefined && last.boot === report.boot && last.sequence >= report.sequence) return;
    this.reports = new Map([...this.reports, [report.node, report]]);
    for (const progress of report.rollouts) {
      const steered = this.steered.get(progress.service);
      if (steered?.begunAt === progress.begunAt) steered.evidence.hear(report.node, report.boot, progress);
    }
  }

  /** Looks at every rollout once, and puts the steps that are due in force. */
  async step(): Promise<void> {
    const { serial, table } = this.links.table();
    this.follow(table);
    let next = table;
    const steps: object[] = [];
    for (const versions of table.services) {
      const { service, rollout } = versions;
      if (rollout?.state !== 'running' || !this.links.isSteering(service)) continue;
      const due = this.due(versions, rollout);
      const stepped = due === null ? null : RolloutTable.step(next, service, rollout, due);
      if (stepped === null || due === null) continue;
      next = stepped;
      steps.push({ service, target: rollout.target, stage: rollout.stage + 1, ...due, evidence: this.steered.get(service)?.evidence.view() ?? [] });
    }
    next = this.noteCurrent(next);
    if (next === table) return;
    const isDone = await this.links.change(serial, next);
    for (const step of steps) this.log.warn({ event: 'rollout-step', isDone, ...step });
  }

  views(): readonly RolloutView[] {
    return this.links.table().table.services.map((versions) => ({
      ...versions, isSteeredHere: this.links.isSteering(versions.service), missing: versions.rollout?.state === 'running' ? this.missing(versions.service, versions.rollout) : [],
      evidence: this.steered.get(versions.service)?.evidence.view() ?? [],
    }));
  }

  /** Every directory keeps the time of every stage, so whoever takes a rollout over knows how long it runs. */
  private follow(table: RolloutTable): void {
    for (const { service, rollout } of table.services) {
      if (rollout?.state !== 'running') {
        this.steered.delete(service);
        continue;
      }
      const stageOf = `${rollout.begunAt}/${rollout.stage}`;
      const known = this.steered.get(service);
      if (known?.stageOf === stageOf) continue;
      const evidence = known?.begunAt === rollout.begunAt ? known.evidence : this.evidenceOf(service, rollout);
      evidence.startStage();
      this.steered.set(service, { stageOf, learnedAt: this.clock.now(), begunAt: rollout.begunAt, evidence, confirmedAt: null });
    }
  }

  private evidenceOf(service: ServiceName, rollout: Rollout): RolloutEvidence {
    const evidence = new RolloutEvidence();
    for (const report of this.reports.values()) {
      const progress = this.progressOf(report, service);
      if (progress?.begunAt === rollout.begunAt) evidence.hear(report.node, report.boot, progress);
    }
    return evidence;
  }

  /** The step that is due, if one is. */
  private due(versions: ServiceVersions, rollout: Rollout): Pick<Rollout, 'state' | 'share' | 'elapsedMs' | 'reason'> | null {
    const steered = this.steered.get(versions.service);
    if (steered === undefined) return null;
    const elapsedMs = Math.min(rollout.durationMs, rollout.elapsedMs + this.clock.now() - steered.learnedAt) as Millis;
    const reverted = (reason: string) => ({ state: 'reverted' as const, share: 0, elapsedMs, reason });
    const badReason = steered.evidence.judge();
    if (badReason !== null) return reverted(badReason);
    if (elapsedMs >= rollout.durationMs) return reverted(`not complete by its term, at share ${rollout.share}`);
    const stage = STAGES.find(({ share }) => share === rollout.share) as Stage;
    if (!this.isStageSeen(versions, rollout, stage, steered, elapsedMs)) return null;
    const next = STAGES[STAGES.indexOf(stage) + 1];
    if (next === undefined) return { state: 'completed', share: 1, elapsedMs, reason: 'every node sends all requests to it' };
    return this.hasSlots(versions, rollout, next.share) ? { state: 'running', share: next.share, elapsedMs, reason: 'confirmed by every node in touch' } : null;
  }

  private isStageSeen({ service }: ServiceVersions, rollout: Rollout, stage: Stage, steered: Steered, elapsedMs: number): boolean {
    const now = this.clock.now();
    if (steered.confirmedAt === null && this.missing(service, rollout).length === 0) steered.confirmedAt = now;
    if (steered.confirmedAt === null) return false;
    if (stage.share > 0 && now - steered.confirmedAt < LEAST_STAGE_MS) return false;
    const { target, all } = steered.evidence.seen;
    const isEnough = target >= Math.min(STAGE_CALLS, LESSER_PART * stage.share * all);
    return isEnough && !steered.evidence.isDoubtful && elapsedMs >= stage.endPart * rollout.durationMs;
  }

  private hasSlots({ service, current }: ServiceVersions, { target }: Rollout, share: number): boolean {
    const slots = (isMeant: (row: EndpointRow) => boolean): number => this.links.rowsOf(service).filter((row) => !row.leaving && isMeant(row)).reduce((total, row) => total + row.slots, 0);
    const ofTarget = slots((row) => row.version === target);
    return ofTarget > 0 && ofTarget >= SLOTS_PART * share * slots((row) => (current === null ? row.version !== target : row.version === current));
  }

  /** Nodes in touch that have not confirmed the present stage. */
  private missing(service: ServiceName, rollout: Rollout): readonly NodeName[] {
    return this.links.nodesInTouch().filter(({ node, boot }) => {
      const report = this.reports.get(node);
      const progress = report === undefined || report.boot !== boot ? undefined : this.progressOf(report, service);
      return progress?.begunAt !== rollout.begunAt || progress.stage !== rollout.stage || (rollout.share >= 1 && !progress.isDrained);
    }).map(({ node }) => node);
  }

  private progressOf(report: RolloutReport, service: ServiceName): RolloutProgress | undefined {
    return report.rollouts.find((progress) => progress.service === service);
  }

  /** Notes the version in use of services that have none yet: from then on another one takes requests only by a rollout. */
  private noteCurrent(table: RolloutTable): RolloutTable {
    return this.links.services().filter((service) => this.links.isSteering(service) && RolloutTable.of(table, service) === null).reduce((noted, service) => {
      const versions = new Set(this.links.rowsOf(service).map((row) => row.version));
      const [only] = versions;
      return versions.size === 1 && only !== undefined ? RolloutTable.with(noted, { service, current: only, rollout: null }) : noted;
    }, table);
  }
}
