import { Maybe } from 'true-myth';
import type { OutcomeReport, OutcomeRow } from '../connection/nodeCalls.js';
import type { EndpointRow } from '../version/snapshots.js';
import type { HealthRules } from '../version/manifest.js';
import type { BootId, Instant, NodeName } from './brands.js';
import type { Clock } from './clock.js';
import { judge, recentNeeded, type Outcome } from './health.js';

interface Totals {
  readonly calls: number;
  readonly failures: number;
  readonly pathDefects: number;
}
interface CallerRow {
  readonly boot: BootId;
  readonly totals: Totals;
  readonly base: Totals;
  readonly recent: readonly Outcome[];
}
interface Subject {
  readonly cycleStart: Instant;
  /** Outcomes from before the endpoint proved that it serves again do not count. */
  readonly forgivenAt: Instant;
  readonly callers: ReadonlyMap<NodeName, CallerRow>;
}

const NONE: Totals = { calls: 0, failures: 0, pathDefects: 0 };
type SubjectName = Pick<EndpointRow, 'service' | 'id' | 'instance'>;
const subjectKey = (name: SubjectName): string => `${name.service}/${name.id}/${name.instance}`;

/**
 * Merges what the callers count. Reports carry totals since the caller's boot, so a repeated report adds
 * nothing and a lost one is made good by the next.
 */
export class OutcomeMerger {
  private subjects: ReadonlyMap<string, Subject> = new Map();
  private sequences: ReadonlyMap<NodeName, { readonly life: number; readonly sequence: number }> = new Map();

  constructor(private readonly clock: Clock, private readonly rulesNow: () => HealthRules) {}

  hear(report: OutcomeReport): void {
    const last = this.sequences.get(report.node);
    if (last !== undefined && (report.life < last.life || (report.life === last.life && report.sequence <= last.sequence))) return;
    this.sequences = new Map([...this.sequences, [report.node, { life: report.life, sequence: report.sequence }]]);
    const subjects = new Map(this.subjects);
    for (const row of report.rows) {
      const key = subjectKey({ service: row.service, id: row.endpoint, instance: row.instance });
      subjects.set(key, this.merged(subjects.get(key), report, row));
    }
    this.subjects = subjects;
  }

  /** Starts the count anew: the endpoint has proven that it serves again. */
  forgive(name: SubjectName): void {
    const subject = this.subjects.get(subjectKey(name));
    if (subject === undefined) return;
    const callers = new Map([...subject.callers].map(([node, row]) => [node, { ...row, base: row.totals, recent: [] }] as const));
    this.subjects = new Map([...this.subjects, [subjectKey(name), { cycleStart: this.clock.now(), forgivenAt: this.clock.now(), callers }]]);
  }

  /** Drops what is known of endpoints that are no longer listed. */
  keepOnly(names: readonly SubjectName[]): void {
    const kept = new Set(names.map(subjectKey));
    if ([...this.subjects.keys()].some((key) => !kept.has(key))) this.subjects = new Map([...this.subjects].filter(([key]) => kept.has(key)));
  }

  /** Why the endpoint should be masked for all callers, if it should. */
  verdict(name: SubjectName): Maybe<string> {
    const subject = this.subjects.get(subjectKey(name));
    if (subject === undefined) return Maybe.nothing();
    const rules = this.rulesNow();
    const rows = [...subject.callers.values()];
    const inCycle = rows.map((row) => ({ calls: row.totals.calls - row.base.calls, failures: row.totals.failures - row.base.failures, pathDefects: row.totals.pathDefects - row.base.pathDefects }));
    const users = inCycle.filter((row) => row.calls + row.pathDefects > 0);
    const cutOff = users.filter((row) => row.pathDefects >= rules.leastFailures && row.pathDefects > row.calls);
    if (cutOff.length >= 2 && cutOff.length > users.length / 2) return Maybe.just(`${cutOff.length} of ${users.length} callers can't reach its machine`);
    const failing = inCycle.filter((row) => row.failures > 0).length;
    if (failing < Math.min(2, users.length) || failing === 0) return Maybe.nothing();
    const recent = rows.flatMap((row) => row.recent).sort((one, other) => one.at - other.at);
    const sum = (pick: (row: Totals) => number): number => inCycle.reduce((total, row) => total + pick(row), 0);
    return judge({ calls: sum((row) => row.calls), failures: sum((row) => row.failures), recent }, rules, this.clock.now());
  }

  private merged(former: Subject | undefined, report: OutcomeReport, row: OutcomeRow): Subject {
    const now = this.clock.now();
    const rules = this.rulesNow();
    const isNewCycle = former === undefined || now - former.cycleStart >= rules.cycleMs;
    const callers = new Map([...(former?.callers ?? [])].map(([node, known]) => [node, isNewCycle ? { ...known, base: known.totals } : known] as const));
    const forgivenAt = former?.forgivenAt ?? (-Infinity as Instant);
    const known = callers.get(report.node);
    const sameBoot = known !== undefined && known.boot === report.boot;
    callers.set(report.node, {
      boot: report.boot,
      totals: { calls: row.calls, failures: row.failures, pathDefects: row.pathDefects },
      base: sameBoot ? known.base : NONE,
      recent: row.recent.slice(-recentNeeded(rules)).map(({ agoMs, failed }) => ({ at: (now - agoMs) as Instant, failed })).filter(({ at }) => at > forgivenAt),
    });
    return { cycleStart: isNewCycle ? now : former.cycleStart, forgivenAt, callers };
  }
}
