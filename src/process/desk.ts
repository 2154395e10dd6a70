import { Gauge, Histogram } from 'prom-client';
import { Pollers } from '../connection/pollers.js';
import type { AliveAnswer, AliveMessage, ListAsk, ListNews, MarkAnswer, MarkAsk, MarkKept, MaskMessage, NodeNews, NodePoll, NodeReport, OutcomeReport, ReportAnswer } from '../connection/nodeCalls.js';
import { MaskSnapshot, type EndpointRow } from '../version/snapshots.js';
import { Windows } from '../version/windows.js';
import { Manifest, type HealthRules } from '../version/manifest.js';
import type { Epoch, Instant, KeyName, Millis, NodeName, ServiceName } from './brands.js';
import type { Duties } from './duties.js';
import { ListAgreement } from './listAgreement.js';
import { MaskDuty } from './maskDuty.js';
import { Moment } from './moment.js';
import { OutcomeMerger } from './outcomeMerger.js';
import type { Frame } from './program.js';
import { Registry } from './registry.js';
import { repeat } from './repeat.js';
import type { PlaceSettings } from './settings.js';
import { ShareBook, type ShareAsk, type ShareView } from './shareBook.js';
import type { ShareAnswer } from './shareLease.js';
import type { StoreFollower } from './storeFollower.js';
import type { DepartureMark } from '../version/departureMark.js';

export interface DeskRules {
  readonly lapseMs: Millis;
  readonly warmMs: Millis;
  readonly probeEveryMs: Millis;
}

/** What a directory asks of the other processes. */
export interface DeskLinks {
  readonly probe: (row: EndpointRow) => Promise<boolean>;
  readonly tellDirectories: (message: MaskMessage) => void;
  /** What another directory has that this one lacks; null when it does not answer. */
  readonly askList: (directory: NodeName, ask: ListAsk) => Promise<ListNews | null>;
  /** The marks of departures on a majority of the ratebooks' disks; null while no majority can be read. */
  readonly readMarks: () => Promise<readonly DepartureMark[] | null>;
  /** The masks that the named nodes have, or some of all nodes. */
  readonly masksOf: (nodes: readonly string[] | null) => Promise<readonly MaskSnapshot[]>;
}

const CALENDAR_FRESH_MS = 5000;
const DESK_MS = 200;
const JUDGE_MS = 2000;
/** How often the marks on the disks are asked for until a majority could be read, in milliseconds. */
const READ_MARKS_MS = 100;
const RELAY_MS = 250 as Millis;
const NO_RULES: HealthRules = Manifest.check({ services: [], bindings: [] })._unsafeUnwrap().health;

/** The key whose lease lets a directory lend out shares of the allowances. */
const SHARES_KEY = 'duty.shares' as KeyName;

/** The key whose lease gives a directory the care of one service's mask. */
export const maskDutyKey = (service: ServiceName): KeyName => `duty.mask.${service}` as KeyName;

/** A directory's front desk for nodes: takes their reports and answers them when there is news. */
export class Desk {
  readonly registry: Registry;
  readonly masks: MaskDuty;
  readonly agreement: ListAgreement;
  private readonly merger: OutcomeMerger;
  private readonly shares = new ShareBook();
  private readonly news = new Pollers();
  private readonly warmUntil: number;
  private readonly forceTimes: Histogram;
  private noted: { readonly serial: number; readonly at: number; readonly nodes: ReadonlySet<string> } = { serial: 0, at: 0, nodes: new Set() };
  private learnedUnder: ReadonlyMap<ServiceName, Epoch> = new Map();
  private isStopping = false;
  private hasNews = true;
  private judgedAt = 0;
  private windows = Windows.none;
  private calendars: ReadonlyMap<NodeName, { readonly fingerprint: string; readonly heardAt: number }> = new Map();

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly follower: StoreFollower, private readonly duties: Duties, private readonly rules: DeskRules, private readonly links: DeskLinks) {
    const rulesNow = (): HealthRules => follower.manifest()?.manifest.health ?? NO_RULES;
    this.registry = new Registry(frame.boot, frame.clock, rules.lapseMs, rules.warmMs, () => this.news.wake(), (rows) => this.windows.mark(rows, new Date()), (event) => this.agreement.note(event));
    this.agreement = new ListAgreement(frame.settings.node, frame.clock, frame.log, frame.metrics, () => this.registry);
    this.merger = new OutcomeMerger(frame.clock, rulesNow);
    this.masks = new MaskDuty(this.registry, this.merger, { self: frame.settings.node, epochOf: (service) => this.epochOf(service) }, frame.clock, frame.log, rulesNow, links.probe, (changed) => {
      this.news.wake();
      links.tellDirectories({ masks: changed });
    });
    const marks = (): number => new Set(this.calendarViews().map((view) => view.fingerprint)).size;
    new Gauge({ name: 'opalstair_calendars', help: 'Unlike sets of calendars among the directories; more than 1 is a mistake', registers: [frame.metrics], collect() { this.set(marks()); } });
    this.forceTimes = new Histogram({ name: 'opalstair_force_seconds', help: 'From a committed manifest being known here to a node asking with its serial', registers: [frame.metrics], buckets: [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 5] });
    this.warmUntil = frame.clock.now() + rules.warmMs;
  }

  /** Swaps the maintenance windows for others. */
  keepWindows(windows: Windows): void {
    this.windows = windows;
  }

  /** The mark of each directory's calendars, this one's first; all are alike when they read the same files. */
  calendarViews(): readonly { readonly directory: NodeName; readonly fingerprint: string }[] {
    const fresh = [...this.calendars].filter(([, { heardAt }]) => this.frame.clock.now() - heardAt < CALENDAR_FRESH_MS);
    return [{ directory: this.frame.settings.node, fingerprint: this.windows.fingerprint }, ...fresh.map(([directory, { fingerprint }]) => ({ directory, fingerprint }))];
  }

  openWindows(): readonly string[] {
    return this.windows.openAt(new Date());
  }

  start(): void {
    const every = (period: number, work: () => Promise<void>): void => repeat({ firstAfter: 0, period, isOver: () => this.isStopping }, work);
    every(DESK_MS, async () => {
      this.registry.sweep();
      if (this.frame.clock.now() >= this.warmUntil) {
        await this.duties.strive([SHARES_KEY, ...this.registry.services().map(maskDutyKey)]);
        await this.learnBeforeJudging();
        this.judgeIfDue();
      }
    });
    void this.readMarks();
    every(500, () => this.masks.probeMasked(this.rules.probeEveryMs));
    every(1000, async () => {
      this.agreement.watch();
      this.tellAll();
    });
    void this.relayCommits();
  }

  private tellAll(): void {
    this.links.tellDirectories({
      masks: this.masks.all().filter((mask) => this.epochOf(mask.service) === mask.epoch), from: this.frame.settings.node, calendar: this.windows.fingerprint, list: this.registry.hint(),
    });
  }

  /** Lends a node its share of the allowances, if this directory has that duty. */
  lend(ask: ShareAsk): ShareAnswer {
    const epoch = this.duties.epochOf(SHARES_KEY);
    return { share: epoch === null ? null : this.shares.lend(ask, epoch, this.frame.clock.now()) };
  }

  shareViews(): readonly ShareView[] {
    return this.duties.epochOf(SHARES_KEY) === null ? [] : this.shares.views(this.frame.clock.now());
  }

  report(message: NodeReport): ReportAnswer {
    if (this.registry.hear(message)) this.hasNews = true;
    if (message.mark !== undefined) this.agreement.hearNode(message.node, message.mark);
    return this.registry.adviceFor(message);
  }

  /** A node's word that its list is what it was. */
  alive(message: AliveMessage): AliveAnswer {
    const report = this.registry.reportOf(message);
    return report === null ? { isKnown: false } : { ...this.report(report), isKnown: true };
  }

  keepMark(mark: DepartureMark): MarkKept {
    if (this.registry.keepMark(mark)) this.hasNews = true;
    return { isKept: true };
  }

  /** Reads the marks of departures from the ratebooks' disks, until a majority could be read: later ones are told to every directory. */
  private async readMarks(): Promise<void> {
    while (!this.isStopping) {
      const marks = await this.links.readMarks();
      if (marks !== null) {
        if (this.registry.learnMarks(marks)) this.hasNews = true;
        return;
      }
      await new Promise((settle) => { setTimeout(settle, READ_MARKS_MS).unref(); });
    }
  }

  markOf({ instance }: MarkAsk): MarkAnswer {
    return this.registry.markOf(instance);
  }

  /** Another directory's words on hosts. */
  learnList(from: NodeName, news: ListNews): void {
    if (this.registry.learn(from, news)) this.hasNews = true;
  }

  answerList(ask: ListAsk): ListNews {
    return this.registry.answer(ask);
  }

  outcomes(message: OutcomeReport): object {
    this.merger.hear(message);
    if (message.rows.some((row) => row.failures > 0 || row.pathDefects > 0)) this.hasNews = true;
    return {};
  }

  learnMasks(message: MaskMessage): object {
    if (message.from !== undefined) this.calendars = new Map([...this.calendars, [message.from, { fingerprint: message.calendar ?? '', heardAt: this.frame.clock.now() }]]);
    this.masks.learn(message.masks);
    this.news.wake();
    const { from, list } = message;
    if (from === undefined || list === undefined) return {};
    const { reply, ask } = this.agreement.hearDirectory(from, list);
    if (ask !== null) void this.links.askList(from, ask).then((news) => { if (news !== null) this.learnList(from, news); });
    return reply === null ? {} : { list: reply };
  }

  /** Answers a node when there is news; one that starts, when this directory is in touch with a majority. */
  async poll(message: NodePoll): Promise<NodeNews> {
    const readAt = this.frame.clock.now();
    this.noteForce(message);
    if (message.masks.some((had) => this.isUnknown(had))) this.masks.learn(await this.links.masksOf([message.node]));
    const look = (): NodeNews | null => {
      const news = this.newsFor(message, readAt);
      const hasNews = news.manifest !== null || news.endpoints !== null || news.masks.length > 0 || news.rollouts !== undefined;
      const isEnough = news.isCurrent ? hasNews : message.manifest > 0;
      return isEnough || this.isStopping ? news : null;
    };
    return (await this.news.until(look, message.waitMs as Millis)) ?? this.newsFor(message, readAt);
  }

  stop(): void {
    this.isStopping = true;
    this.news.wake();
  }

  /** Judges when something was heard that could change a mask, and now and then all the same. */
  private judgeIfDue(): void {
    const now = this.frame.clock.now();
    if (!this.hasNews && now - this.judgedAt < JUDGE_MS) return;
    this.hasNews = false;
    this.judgedAt = now;
    this.masks.judgeAll();
  }

  /** A new holder of a duty first learns the mask in force from nodes: it may be one that none of them asks. */
  private async learnBeforeJudging(): Promise<void> {
    const epochs = new Map(this.registry.services().flatMap((service) => {
      const epoch = this.epochOf(service);
      return epoch === null ? [] : [[service, epoch] as const];
    }));
    if ([...epochs].some(([service, epoch]) => this.learnedUnder.get(service) !== epoch)) {
      this.masks.learn(await this.links.masksOf(null));
      this.hasNews = true;
    }
    this.learnedUnder = epochs;
  }

  private epochOf(service: ServiceName): Epoch | null {
    return this.duties.epochOf(maskDutyKey(service));
  }

  private isUnknown(had: NodePoll['masks'][number]): boolean {
    const known = this.masks.all().find((mask) => mask.service === had.service);
    return known === undefined || had.epoch > known.epoch || (had.epoch === known.epoch && had.serial > known.serial);
  }

  private newsFor(message: NodePoll, readAt: Instant): NodeNews {
    const manifest = this.follower.manifest();
    const committedAt = this.follower.manifestLearnedAt();
    const provenAt = this.follower.provenAt();
    const rollouts = this.follower.rollouts();
    const warm = this.registry.current();
    const hasNone = message.directory === '' || message.directory === this.frame.boot;
    const endpoints = message.wantsList === false ? null : warm ?? (hasNone ? this.registry.early() : null);
    const hasOurs = endpoints !== null && message.directory === endpoints.directory;
    const hasEndpoints = endpoints === null || (hasOurs && message.endpoints === endpoints.serial && !this.agreement.takeResend(message.node));
    const difference = hasOurs && message.takesChanges === true && message.endpoints !== endpoints.serial ? this.registry.since(message.endpoints) : null;
    const masks = this.masks.all().filter((mask) => {
      const had = message.masks.find((one) => one.service === mask.service);
      return had === undefined || mask.epoch > had.epoch || (mask.epoch === had.epoch && mask.serial > had.serial);
    });
    return { manifest: manifest !== null && manifest.serial > message.manifest ? { serial: manifest.serial, manifest: { ...manifest.manifest, source: null } } : null, endpoints: hasEndpoints ? null : difference ?? endpoints, masks, isCurrent: this.follower.isCurrent(), isWarming: warm === null, ...(committedAt === null ? {} : { committedAt: Moment.tell(committedAt, readAt) }), ...(Number.isFinite(provenAt) ? { provenAt: Moment.tell(provenAt, readAt) } : {}),
      ...(rollouts !== null && message.rollouts !== undefined && rollouts.serial > message.rollouts ? { rollouts } : {}) };
  }

  /** A node asks with the newest serial for the first time: from now on it is known to be in force there. */
  private noteForce(message: NodePoll): void {
    if (this.noted.serial === 0 || message.manifest !== this.noted.serial || this.noted.nodes.has(message.node)) return;
    this.noted = { ...this.noted, nodes: new Set([...this.noted.nodes, message.node]) };
    this.forceTimes.observe((this.frame.clock.now() - this.noted.at) / 1000);
  }

  private async relayCommits(): Promise<void> {
    let wasCurrent = false;
    let toldRollouts = 0;
    while (!this.isStopping) {
      await this.follower.news.wait(RELAY_MS);
      const newest = this.follower.manifest()?.serial ?? 0;
      const rollouts = this.follower.rollouts()?.serial ?? 0;
      const isCurrent = this.follower.isCurrent();
      if (newest === this.noted.serial && rollouts === toldRollouts && isCurrent === wasCurrent) continue;
      wasCurrent = isCurrent;
      toldRollouts = rollouts;
      if (newest !== this.noted.serial) this.noted = { serial: newest, at: this.frame.clock.now(), nodes: new Set() };
      this.news.wake();
    }
  }
}
