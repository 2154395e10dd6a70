import type { NodeReport } from '../connection/nodeCalls.js';
import type { EndpointDigest, EndpointRow } from '../version/digests.js';
import type { BootId, Instant, Millis, NodeName, Serial, ServiceName } from './brands.js';
import type { Clock } from './clock.js';

interface NodeRow {
  readonly report: NodeReport;
  readonly heardAt: Instant;
}

/** One switchboard as the directory sees it. */
export interface NodeView {
  readonly node: NodeName;
  readonly boot: BootId;
  readonly manifest: Serial;
  readonly silentMs: number;
  readonly endpoints: number;
}

/** The endpoints of all machines, merged from the switchboards' reports; in memory only. */
export class Registry {
  private nodes = new Map<NodeName, NodeRow>();
  private serial = 0;
  private digest: EndpointDigest;
  private readonly startedAt: Instant;
  private markedAt = 0;

  constructor(private readonly boot: BootId, private readonly clock: Clock, private readonly lapseMs: Millis, private readonly warmMs: Millis, private readonly onChange: () => void, private readonly mark: (rows: readonly EndpointRow[]) => readonly EndpointRow[] = (rows) => rows) {
    this.startedAt = clock.now();
    this.digest = { directory: boot, serial: 0 as Serial, rows: [] };
  }

  /** Takes a report unless a later one of that node was heard; whether it changed the list. */
  hear(report: NodeReport): boolean {
    const known = this.nodes.get(report.node)?.report;
    const isLater = known === undefined || report.life > known.life || (report.boot === known.boot && report.sequence > known.sequence);
    if (!isLater) return false;
    const isSame = known !== undefined && JSON.stringify(known.rows) === JSON.stringify(report.rows);
    this.nodes.set(report.node, { report, heardAt: this.clock.now() });
    if (!isSame) this.refresh();
    return !isSame;
  }

  /** Unlists the endpoints of nodes that fell silent, unless most fell silent at once: then it is this directory that is cut off. */
  sweep(): void {
    this.remark();
    const silent = [...this.nodes].filter(([, row]) => this.clock.now() - row.heardAt > this.lapseMs).map(([node]) => node);
    if (silent.length === 0 || (this.nodes.size > 2 && silent.length > this.nodes.size / 2)) return;
    this.nodes = new Map([...this.nodes].filter(([node]) => !silent.includes(node)));
    this.refresh();
  }

  /** The present list; null while a freshly started directory has not yet heard the nodes out. */
  current(): EndpointDigest | null {
    return this.clock.now() - this.startedAt < this.warmMs ? null : this.digest;
  }

  /** What was heard so far, for nodes that have no other list; null while that is nothing. */
  early(): EndpointDigest | null {
    return this.digest.rows.length === 0 ? null : this.digest;
  }

  rowsOf(service: ServiceName): readonly EndpointRow[] {
    return this.digest.rows.filter((row) => row.service === service);
  }

  services(): readonly ServiceName[] {
    return [...new Set(this.digest.rows.map((row) => row.service))];
  }

  nodeViews(): readonly NodeView[] {
    const now = this.clock.now();
    return [...this.nodes.values()].map(({ report, heardAt }) => ({
      node: report.node, boot: report.boot, manifest: report.manifest, silentMs: Math.round(now - heardAt), endpoints: report.rows.length,
    }));
  }

  /** Windows open and close with time alone: their marks are looked at once a second. */
  private remark(): void {
    const now = this.clock.now();
    if (now - this.markedAt < 1000) return;
    this.markedAt = now;
    this.refresh();
  }

  private refresh(): void {
    const rows = [...this.mark([...this.nodes.values()].flatMap(({ report }) => report.rows))]
      .sort((one, other) => (`${one.service}/${one.id}/${one.node}` < `${other.service}/${other.id}/${other.node}` ? -1 : 1));
    if (JSON.stringify(rows) === JSON.stringify(this.digest.rows)) return;
    this.serial += 1;
    this.digest = { directory: this.boot, serial: this.serial as Serial, rows };
    this.onChange();
  }
}
