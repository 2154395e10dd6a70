import type { AliveMessage, ListAsk, ListHint, ListNews, MarkAnswer, MarkedInstance, NodeReport, PassedWord, ReportAnswer } from '../connection/nodeCalls.js';
import type { EndpointSnapshot, EndpointRow } from '../version/snapshots.js';
import { ListChanges } from '../version/listChanges.js';
import { EndpointList, ListMark, type HostWord, type ListedWord, type ServiceMarks } from '../version/endpointList.js';
import type { Address, BootId, EndpointId, InstanceId, Instant, Millis, NodeName, Serial, ServiceName, ZoneName } from './brands.js';
import type { Clock } from './clock.js';
import type { DepartureMark } from '../version/departureMark.js';

/** Words that list nothing and marks of departure are kept so long; a silent host is listed half of it at most. */
export const MARKS_KEPT_MS = 3_600_000;
const SILENT_LISTED_MS = MARKS_KEPT_MS / 2;
/** A host counts as heard for this part of the lapse: others pass its word on before it would be dropped. */
const HEARD_PART = 0.5;
/** A departure is told to other directories at once and for so long; one that was not heard for longer asks for all. */
const DEPARTED_TOLD_MS = 15_000;
/** Hosts that nobody hears are asked after each second at first, then now and then. */
const ASKED_EACH_MS = 60_000;
const SELDOM = 10;

/** One switchboard as the directory sees it. */
export interface NodeView {
  readonly node: NodeName;
  readonly boot: BootId;
  readonly manifest: Serial;
  readonly silentMs: number;
  readonly endpoints: number;
}

/** Something that became of the list, and why. */
export interface ListEvent {
  readonly kind: 'joined' | 'dropped' | 'returned' | 'refused';
  readonly node: NodeName;
  readonly endpoints: readonly EndpointId[];
  readonly why: string;
}

const wordOf = ({ node, boot, life, sequence, changed, manifest, rows, isDropped }: HostWord): HostWord => ({ node, boot, life, sequence, changed, manifest, rows, isDropped });

/** The endpoints of all machines, joined from the switchboards' reports and other directories' words; in memory only. */
export class Registry {
  private list = EndpointList.empty;
  private readonly roseAt = new Map<NodeName, Instant>();
  private readonly reportedAt = new Map<NodeName, Instant>();
  private readonly departedAt = new Map<InstanceId, Instant>();
  private readonly leavingAt = new Map<InstanceId, Instant>();
  private readonly hadRows = new Set<NodeName>();
  private unconfirmed: ReadonlySet<NodeName> = new Set();
  private serial = 0;
  private snapshot: EndpointSnapshot;
  private changes = ListChanges.none;
  private serviceMarks: ServiceMarks = {};
  private wholeMark = ListMark.of([]);
  private readonly startedAt: Instant;
  private markedAt = 0;
  private hints = 0;
  private hasReadMarks = false;

  constructor(private readonly boot: BootId, private readonly clock: Clock, private readonly lapseMs: Millis, private readonly warmMs: Millis, private readonly onChange: () => void, private readonly mark: (rows: readonly EndpointRow[]) => readonly EndpointRow[] = (rows) => rows, private readonly tell: (event: ListEvent) => void = () => undefined) {
    this.startedAt = clock.now();
    this.snapshot = { directory: boot, serial: 0 as Serial, rows: [] };
  }

  /** Takes a report unless a later one of that node was heard; whether it changed the list. */
  hear(report: NodeReport): boolean {
    const { node, boot, life, sequence, manifest } = report;
    report.leaving?.filter((instance) => !this.leavingAt.has(instance)).forEach((instance) => this.leavingAt.set(instance, this.clock.now()));
    const rows = report.rows.map((row) => (this.isRevived(row) ? { ...row, leaving: true } : row));
    const known = this.list.word(node);
    const canNotRise = report.changed === undefined && known !== undefined && known.boot !== boot && this.isSilent(node);
    if (canNotRise) this.list = this.list.forget([node], []);
    this.reportedAt.set(node, this.clock.now());
    const word: HostWord = { node, boot, life, sequence, changed: report.changed ?? null, manifest, rows, isDropped: false };
    return this.take({ words: [{ ...word, silentMs: 0 }], departed: (report.departed ?? []).map((instance) => ({ instance, agoMs: 0 })) }, null);
  }

  /** The report that a host's word stands for that its list is what it was; null when that list is not known here. */
  reportOf({ node, boot, life, sequence, manifest, changed, mark }: AliveMessage): NodeReport | null {
    const known = this.list.word(node);
    if (known === undefined || known.isDropped || known.boot !== boot || known.life !== life || known.changed !== changed) return null;
    const [row] = known.rows;
    return { node, boot, life, sequence, manifest, changed, mark, rows: known.rows, zone: row?.zone ?? ('' as ZoneName), hop: row?.hop ?? ('' as Address) };
  }

  /** Keeps a mark that a switchboard is about to acknowledge; whether it changed the list. */
  keepMark({ instance, state }: DepartureMark): boolean {
    if (!this.leavingAt.has(instance)) this.leavingAt.set(instance, this.clock.now());
    return state === 'departed' && this.take({ words: [], departed: [{ instance, agoMs: 0 }] }, null);
  }

  /** Takes the marks that a majority of the disks holds: from now on this directory knows of every leaving that was acknowledged with their help. */
  learnMarks(marks: readonly DepartureMark[]): boolean {
    this.hasReadMarks = true;
    return marks.map((mark) => this.keepMark(mark)).some(Boolean);
  }

  /** Whether the marks on the disks were read. */
  get knowsMarks(): boolean {
    return this.hasReadMarks;
  }

  /** The mark of an instance; a directory that has read the marks on the disks has them all. */
  markOf(instance: InstanceId): MarkAnswer {
    const state = this.list.hasDeparted(instance) ? 'departed' : this.leavingAt.has(instance) ? 'leaving' : null;
    return { state, isComplete: this.hasReadMarks };
  }

  /** What a host should know after its report. */
  adviceFor(report: NodeReport): ReportAnswer {
    const known = this.list.word(report.node);
    const isBelow = known !== undefined && known.boot !== report.boot && known.life >= report.life;
    const departed = report.rows.filter((row) => this.list.hasDeparted(row.instance)).map((row) => row.instance);
    const leaving = report.rows.filter((row) => this.isRevived(row)).map((row) => row.instance);
    return { ...(isBelow ? { above: known.life } : {}), ...(departed.length > 0 ? { departed } : {}), ...(leaving.length > 0 ? { leaving } : {}) };
  }

  /** An endpoint that said that it leaves, and is listed as ready by a host that forgot it. */
  private isRevived(row: EndpointRow): boolean {
    return !row.leaving && this.leavingAt.has(row.instance);
  }

  /** Unlists the endpoints of nodes that fell silent, unless most are no longer heard: then it is this directory that is cut off. Reports come at different moments, so half of the lapse tells. */
  sweep(): void {
    this.remark();
    const listed = this.list.words().filter((word) => !word.isDropped).map((word) => word.node);
    const silent = listed.filter((node) => this.isSilent(node));
    const unheard = listed.filter((node) => this.silentMs(node) > this.lapseMs * HEARD_PART);
    const isCutOff = listed.length > 2 && unheard.length > listed.length / 2;
    const due = isCutOff ? silent.filter((node) => this.silentMs(node) > SILENT_LISTED_MS) : silent;
    due.forEach((node) => this.note('dropped', node, isCutOff ? 'silent for as long as a silent host is listed' : 'silent, while most hosts are heard'));
    const unconfirmed = silent.filter((node) => !due.includes(node));
    const isSame = unconfirmed.length === this.unconfirmed.size && unconfirmed.every((node) => this.unconfirmed.has(node));
    this.unconfirmed = new Set(unconfirmed);
    this.list = this.list.drop(due);
    this.forgetOld();
    if (due.length > 0 || !isSame) this.refresh();
  }

  /** The present list; null while a freshly started directory has not yet heard the nodes out. */
  current(): EndpointSnapshot | null {
    return this.clock.now() - this.startedAt < this.warmMs ? null : this.snapshot;
  }

  /** The list for one that has this directory's list of an earlier serial: what changed since, where that is still known. */
  since(serial: Serial): EndpointSnapshot | null {
    const snapshot = this.current();
    return snapshot === null ? null : this.changes.since(snapshot, serial);
  }

  /** The same at every process that holds the same list. */
  get listMark(): string {
    return this.wholeMark;
  }

  /** What was heard so far, for nodes that have no other list; null while that is nothing. */
  early(): EndpointSnapshot | null {
    return this.snapshot.rows.length === 0 ? null : this.snapshot;
  }

  rowsOf(service: ServiceName): readonly EndpointRow[] {
    return this.snapshot.rows.filter((row) => row.service === service);
  }

  services(): readonly ServiceName[] {
    return [...new Set(this.snapshot.rows.map((row) => row.service))];
  }

  nodeViews(): readonly NodeView[] {
    return this.list.words().filter((word) => !word.isDropped).map((word) => ({
      node: word.node, boot: word.boot, manifest: word.manifest, silentMs: Math.round(this.silentMs(word.node)), endpoints: this.list.rowsOf(word).length,
    }));
  }

  /** What the other directories are told each second. */
  hint(): ListHint {
    this.hints += 1;
    const now = this.clock.now();
    const mostMs = this.hints % SELDOM === 0 ? MARKS_KEPT_MS : ASKED_EACH_MS;
    const isUnheard = (node: NodeName): boolean => now - (this.reportedAt.get(node) ?? -Infinity) > this.lapseMs * HEARD_PART;
    const isNew = ({ agoMs }: MarkedInstance): boolean => agoMs < DEPARTED_TOLD_MS;
    const departed = this.marked(this.departedAt).filter(isNew);
    const leaving = this.marked(this.leavingAt).filter(isNew);
    return { mark: this.wholeMark, ...(departed.length > 0 ? { departed } : {}), ...(leaving.length > 0 ? { leaving } : {}), silent: this.list.words().filter(({ node }) => isUnheard(node) && this.silentMs(node) <= mostMs).map(({ node }) => node) };
  }

  /** The words that this directory has itself from hosts that another does not hear; null when there are none. */
  heardInstead(silent: readonly NodeName[]): ListNews | null {
    const now = this.clock.now();
    const words = silent.flatMap((node) => {
      const word = this.list.word(node);
      return word === undefined || now - (this.reportedAt.get(node) ?? -Infinity) > this.lapseMs * HEARD_PART ? [] : [this.passed(word)];
    });
    return words.length === 0 ? null : { words, departed: [] };
  }

  askFor(from: NodeName): ListAsk {
    return { from, services: this.serviceMarks };
  }

  /** What a directory with other marks lacks. */
  answer(ask: ListAsk): ListNews {
    return { words: this.list.wordsFor(ListMark.unlike(this.serviceMarks, ask.services)).map((word) => this.passed(word)), departed: this.marked(this.departedAt), leaving: this.marked(this.leavingAt) };
  }

  /** Joins what another directory has; whether it changed the list. */
  learn(from: NodeName, news: ListNews): boolean {
    const now = this.clock.now();
    for (const { instance, agoMs } of news.leaving ?? []) {
      if (agoMs < MARKS_KEPT_MS && !this.leavingAt.has(instance)) this.leavingAt.set(instance, (now - agoMs) as Instant);
    }
    return this.take(news, from);
  }

  private take(news: ListNews, from: NodeName | null): boolean {
    const now = this.clock.now();
    const later = news.words.filter((word) => this.list.isLater(word));
    const departed = news.departed.filter(({ instance, agoMs }) => agoMs < MARKS_KEPT_MS && !this.list.hasDeparted(instance));
    if (later.length === 0 && departed.length === 0) return false;
    const former = this.list;
    this.list = former.join(later.map(wordOf), departed.map(({ instance }) => instance));
    departed.forEach(({ instance, agoMs }) => this.departedAt.set(instance, (now - agoMs) as Instant));
    later.forEach((word) => this.roseAt.set(word.node, (now - word.silentMs) as Instant));
    const changed = later.filter((word) => this.isOther(former, word));
    changed.forEach((word) => this.noteChange(former.word(word.node), word, from));
    if (changed.length === 0 && departed.length === 0) return false;
    this.refresh();
    return true;
  }

  private isOther(former: EndpointList, word: HostWord): boolean {
    const known = former.word(word.node);
    return known === undefined || known.isDropped !== word.isDropped || known.life !== word.life || JSON.stringify(former.rowsOf(known)) !== JSON.stringify(this.list.rowsOf(word));
  }

  private noteChange(known: HostWord | undefined, word: HostWord, from: NodeName | null): void {
    const refused = word.rows.filter((row) => this.list.hasDeparted(row.instance));
    if (refused.length > 0) this.note('refused', word.node, `departed: ${refused.map((row) => row.instance).join()}`);
    if (known?.isDropped === true && !word.isDropped) return this.note('returned', word.node, from === null ? 'its host was heard' : `its host is heard by ${from}`);
    if (from !== null && word.isDropped) return this.note('dropped', word.node, `${from} hears most hosts, this one not`);
    if (from !== null) this.note('joined', word.node, `a later word of the host, known to ${from}`);
  }

  private note(kind: ListEvent['kind'], node: NodeName, why: string): void {
    this.tell({ kind, node, why, endpoints: (this.list.word(node)?.rows ?? []).map((row) => row.id) });
  }

  private marked(table: ReadonlyMap<InstanceId, Instant>): readonly MarkedInstance[] {
    const now = this.clock.now();
    return [...table].map(([instance, at]) => ({ instance, agoMs: now - at }));
  }

  private passed(word: HostWord): PassedWord {
    return { ...word, silentMs: Math.min(MARKS_KEPT_MS, Math.max(0, this.silentMs(word.node))) };
  }

  private silentMs(node: NodeName): number {
    return this.clock.now() - (this.roseAt.get(node) ?? -Infinity);
  }

  private isSilent(node: NodeName): boolean {
    return this.silentMs(node) > this.lapseMs;
  }

  private forgetOld(): void {
    const now = this.clock.now();
    const nodes = this.list.words().filter((word) => word.rows.length === 0 && this.silentMs(word.node) > MARKS_KEPT_MS).map((word) => word.node);
    const departed = [...this.departedAt].filter(([, at]) => now - at > MARKS_KEPT_MS).map(([instance]) => instance);
    this.list = this.list.forget(nodes, departed);
    nodes.forEach((node) => [this.roseAt, this.reportedAt, this.hadRows].forEach((table) => table.delete(node)));
    departed.forEach((instance) => this.departedAt.delete(instance));
    for (const [instance, at] of this.leavingAt) if (now - at > MARKS_KEPT_MS) this.leavingAt.delete(instance);
  }

  /** Windows open and close with time alone: their marks are looked at once a second. */
  private remark(): void {
    const now = this.clock.now();
    if (now - this.markedAt < 1000) return;
    this.markedAt = now;
    this.refresh();
  }

  private refresh(): void {
    const listed = this.list.rows();
    const told = this.list.words().flatMap((word) => this.list.rowsOf(word).map((row) => ({
      ...row, ...(word.changed === null ? {} : { life: word.life, changed: word.changed }), ...(this.unconfirmed.has(word.node) ? { unconfirmed: true } : {}),
    })));
    const rows = [...this.mark(told)].sort((one, other) => (`${one.service}/${one.id}/${one.node}` < `${other.service}/${other.id}/${other.node}` ? -1 : 1));
    if (JSON.stringify(rows) === JSON.stringify(this.snapshot.rows)) return;
    this.serial += 1;
    rows.forEach((row) => this.hadRows.add(row.node));
    const without = this.list.words().flatMap((word): readonly ListedWord[] =>
      (word.changed !== null && !word.isDropped && this.hadRows.has(word.node) && this.list.rowsOf(word).length === 0 ? [{ node: word.node, boot: word.boot, life: word.life, changed: word.changed }] : []));
    this.changes = this.changes.after(this.snapshot.rows, rows, this.serial as Serial);
    this.snapshot = { directory: this.boot, serial: this.serial as Serial, rows, without };
    this.serviceMarks = ListMark.byService(listed);
    this.wholeMark = ListMark.whole(this.serviceMarks);
    this.onChange();
  }
}
