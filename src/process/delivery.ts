import { Gauge, Histogram } from 'prom-client';
import { Pollers } from '../connection/pollers.js';
import { NodePath, nodeNewsShape, type SnapshotAsk, type NodeNews, type NodePoll } from '../connection/nodeCalls.js';
import type { WireClient, WireDefect } from '../connection/wire.js';
import { EndpointSnapshot, MaskSnapshot, type EndpointRow, type ManifestSnapshot } from '../version/snapshots.js';
import { HeldList, ListMark } from '../version/endpointList.js';
import { Manifest, type AllowanceRules, type Binding, type HealthRules } from '../version/manifest.js';
import { Matcher } from '../version/matcher.js';
import type { RolloutSnapshot } from '../version/rollout.js';
import type { Address, BootId, InstanceId, Instant, Millis, Serial, ServiceName } from './brands.js';
import { Freshness, UNSURE_MS } from './freshness.js';
import type { Member } from './members.js';
import { Moment } from './moment.js';
import type { Membership } from './membership.js';
import type { Frame } from './program.js';
import type { PickTables } from './picker.js';
import type { PlaceSettings } from './settings.js';
import { COMMIT_BUCKETS } from './storeFollower.js';
import type { Result } from 'neverthrow';

/**
 * A directory that died at an acknowledgement is noticed after both, and all others are asked at once. Evidence also grows
 * older by the first of them before the next comes: together with `CURRENT_MS` it must stay below the time to apply a manifest.
 */
export const HOLD_MS = 700;
const SILENCE_MS = 400;
const REACH_MS = 500;
const ASK_ONCE_MS = 300;
/** After a shorter stall the next poll is soon enough to hear of a change before it must be in force. */
const LONG_STALL_MS = 1000;
/** A node that starts asks all directories at once, so long at a time; each answers as soon as it is current. */
const FIRST_HOLD_MS = 300;
const FIRST_REST_MS = 50;
const NEIGHBOURS_MS = 250;
/** A directory of this zone that failed is passed over for so long. */
const FAR_MS = 10_000;
const NEIGHBOURS_ASKED = 5;
/** So many more are asked in each turn by a node that starts, until it has asked all: a mesh of which every node starts must not ask itself whole at once. */
const STARTING_ASKED = 16;
/** When the whole mesh starts for the first time nobody can know anything yet. */
const FIRST_ASKED = 1;
/** A list is many times as long as all else that a neighbour tells, and the links may be full already. */
const LISTS_ASKED = 1;
const NEIGHBOUR_ANSWER_MS = 500;

/** What delivery is told of the deployment. */
export interface DeliverySettings extends PlaceSettings {
  /** Within so many milliseconds of its acknowledgement a manifest must be in force. */
  readonly applyWithinMs: Millis;
  readonly firstStart?: boolean;
}

/** One manifest in force, made ready for use. */
export interface InForce {
  readonly serial: Serial;
  readonly manifest: Manifest;
  readonly matcher: Matcher;
  readonly bindings: ReadonlyMap<string, Binding>;
  readonly probes: ReadonlyMap<ServiceName, string | null>;
}

const EMPTY = Manifest.check({ services: [], bindings: [] })._unsafeUnwrap();

export const InForce = {
  of: ({ serial, manifest }: ManifestSnapshot): InForce => ({
    serial, manifest, matcher: new Matcher(manifest), bindings: new Map(manifest.bindings.map((binding) => [binding.id, binding])), probes: new Map(manifest.services.map(({ name, probe }) => [name, probe])),
  }),
} as const;

/** Keeps this node's snapshots: asks a directory with the serials it has, and never goes back to a lower one. */
export class Delivery {
  private inForce: InForce = InForce.of({ serial: 0 as Serial, manifest: EMPTY });
  private endpoints: EndpointSnapshot | null = null;
  /** The list as its directory has it: what its differences build on. */
  private told: EndpointSnapshot | null = null;
  private readonly failedAt = new Map<Address, Instant>();
  private held = HeldList.empty;
  private mark = '';
  private rowsOf: ReadonlyMap<ServiceName, readonly EndpointRow[]> = new Map();
  private masks: ReadonlyMap<ServiceName, MaskSnapshot> = new Map();
  private readonly news = new Pollers();
  private chosenDirectory: Address | null = null;
  private refreshed: Promise<void> = Promise.resolve();
  private rollouts: RolloutSnapshot | null = null;
  private isStopping = false;
  private isAsking = false;
  /** The boots of neighbours that this node has asked since its start. */
  private readonly met = new Set<BootId>();
  private isAskingNeighbours = false;
  private readonly startedAt: Instant;
  private readonly freshness: Freshness;
  private hasBeenReady = false;
  private hasLostTouch = false;
  private readonly lastDefects = new Map<Address, string>();
  private readonly pollTime: Histogram;
  private readonly commitTimes: Histogram;

  constructor(private readonly frame: Frame<DeliverySettings>, private readonly membership: Membership, private readonly wire: WireClient, private readonly onEndpoints: (rows: readonly EndpointRow[]) => void, private readonly onUnmasked: (rows: readonly EndpointRow[]) => void, private readonly onRollouts: (rollouts: RolloutSnapshot) => void = () => undefined) {
    const registers = [frame.metrics];
    this.startedAt = frame.clock.now();
    this.freshness = new Freshness(frame.clock, frame.settings.applyWithinMs);
    const silentMs = (): number => this.freshness.silentMs;
    new Gauge({ name: 'opalstair_directory_silence_seconds', help: 'Time since a directory that is in touch with the ratebooks\' majority last answered', registers, collect() { this.set(silentMs() / 1000); } });
    const ageMs = (): number => this.freshness.ageMs;
    new Gauge({ name: 'opalstair_evidence_age_seconds', help: 'Time since the moment before which all commits are known here; beyond the time to apply a manifest, unknown paths are answered with 503', registers, collect() { this.set(ageMs() / 1000); } });
    const serial = (): number => this.inForce.serial;
    new Gauge({ name: 'opalstair_manifest_serial', help: 'Serial of the manifest in force here', registers, collect() { this.set(serial()); } });
    const masked = (): ReadonlyMap<ServiceName, MaskSnapshot> => this.masks;
    new Gauge({ name: 'opalstair_masked_endpoints', help: 'Endpoints masked for all callers', labelNames: ['service'], registers, collect() { masked().forEach((mask, service) => this.set({ service }, mask.entries.length)); } });
    this.pollTime = new Histogram({ name: 'opalstair_poll_seconds', help: 'Time that a directory took to answer, held questions included', registers, buckets: [0.01, 0.1, 0.5, 1, 2] });
    this.commitTimes = new Histogram({ name: 'opalstair_commit_force_seconds', help: 'From a commit being known at a ratebook to its being in force here, the way of the question included', registers, buckets: COMMIT_BUCKETS });
    frame.stalls.onStall((gap) => {
      if (gap >= LONG_STALL_MS) this.freshness.lose();
      this.refreshed = this.askOnce();
    });
    membership.onChange(() => this.news.wake());
  }

  start(): void {
    this.frame.ticker.every(NEIGHBOURS_MS, () => {
      this.noteTouch();
      void this.askNeighbours();
    });
    void this.meetDirectories().then(() => this.follow());
  }

  /** A snapshot is in force: orders can be matched and endpoints picked. */
  get isReady(): boolean {
    return this.hasSnapshots && !this.isUnsure;
  }

  private get hasSnapshots(): boolean {
    return this.inForce.serial > 0 && this.endpoints !== null;
  }

  /** Whether the manifest that this node started with, or kept over a long stall, may be older than one that is acknowledged. */
  get isUnsure(): boolean {
    return this.freshness.isUnsure;
  }

  /** Milliseconds since the moment before which all commits are known here. */
  get evidenceAgeMs(): number {
    return this.freshness.ageMs;
  }

  /** Whether no manifest can be missing that must be in force by now: only then does a path without a binding have none. */
  get isVouchedFor(): boolean {
    return this.freshness.isProven;
  }

  /** Resolves once a manifest is in force that this node may go by, or at the stop. */
  async begun(): Promise<void> {
    while (!this.isStopping && (this.inForce.serial === 0 || this.isUnsure)) await this.news.wait(100 as Millis);
  }

  now(): InForce {
    return this.inForce;
  }

  /** The manifest in force, asked for anew first if the process has just stood still. */
  async proven(): Promise<InForce> {
    await this.refreshed;
    return this.inForce;
  }

  healthRules(): HealthRules {
    return this.inForce.manifest.health;
  }

  allowanceRules(): AllowanceRules {
    return this.inForce.manifest.allowance;
  }

  tables(service: ServiceName): PickTables {
    return { rows: this.rowsOf.get(service) ?? [], mask: this.masks.get(service) ?? null };
  }

  /** The row of an instance in the list that this node goes by. */
  rowOf(instance: InstanceId): EndpointRow | null {
    return this.endpoints?.rows.find((row) => row.instance === instance) ?? null;
  }

  /** What a neighbour that hears no directory, or a directory that lost its memory, may copy. */
  snapshot(ask: SnapshotAsk): NodeNews {
    const hasOne = ask.listMark !== undefined && ask.listMark !== '';
    const isListNews = ask.wantsList !== false && !(hasOne && (ask.listMark === this.mark || !this.freshness.hearsDirectory));
    return { manifest: this.inForce.serial > (ask.manifest ?? 0) ? { serial: this.inForce.serial, manifest: this.inForce.manifest } : null, endpoints: isListNews ? this.endpoints : null, masks: [...this.masks.values()], isCurrent: this.freshness.hearsDirectory,
      ...(this.rollouts !== null && this.rollouts.serial > (ask.rollouts ?? Infinity) ? { rollouts: this.rollouts } : {}) };
  }

  /** The mark of the list of endpoints that this node goes by; empty before the first. */
  listMark(): string {
    return this.mark;
  }

  serial(): Serial {
    return this.inForce.serial;
  }

  bindingOf(id: string): Binding | null {
    return this.inForce.bindings.get(id) ?? null;
  }

  probeOf(service: ServiceName): string | null {
    return this.inForce.probes.get(service) ?? null;
  }

  /** Resolves once the serial is in force here, or after a short while; asks every directory if it is not. */
  async reach(serial: Serial): Promise<boolean> {
    if (this.inForce.serial < serial && !this.isAsking) {
      this.isAsking = true;
      void this.askOnce().then(() => { this.isAsking = false; });
    }
    return (await this.news.until(() => (this.inForce.serial >= serial ? true : null), REACH_MS as Millis)) === true;
  }

  stop(): void {
    this.isStopping = true;
    this.news.wake();
  }

  /** At the start every directory is asked: the first that is current is followed. */
  private async meetDirectories(): Promise<void> {
    const isOver = (): boolean => this.isStopping || this.freshness.isSure || this.frame.clock.now() - this.startedAt >= UNSURE_MS;
    const asked = new Set<Address>();
    const meet = async (directory: Address): Promise<void> => {
      while (!isOver()) {
        await this.ask(directory, FIRST_HOLD_MS);
        if (!isOver()) await new Promise((settle) => { setTimeout(settle, FIRST_REST_MS); });
      }
    };
    while (!isOver()) {
      const fresh = this.membership.having('directory').filter(({ wire }) => !asked.has(wire));
      for (const { wire } of fresh) {
        asked.add(wire);
        void meet(wire);
      }
      await this.news.wait(100 as Millis);
    }
  }

  private async follow(): Promise<void> {
    while (!this.isStopping) {
      const directory = this.chosenDirectory ?? this.nextDirectory(null);
      if (directory === null) {
        await this.news.wait(100 as Millis);
        continue;
      }
      this.chosenDirectory = directory;
      const news = await this.ask(directory, this.freshness.hearsDirectory ? HOLD_MS : FIRST_HOLD_MS);
      const isFailed = news.isErr() || !news.value.isCurrent;
      if (news.isErr() || (isFailed && this.freshness.hearsDirectory)) void this.askOnce();
      if (isFailed) {
        this.failedAt.set(directory, this.frame.clock.now());
        this.chosenDirectory = this.nextDirectory(directory);
        await this.news.wait((news.isErr() ? 50 : 200) as Millis);
      } else if (!this.isNear(directory)) this.chosenDirectory = this.nearDirectory(directory) ?? directory;
    }
  }

  /** One question to a directory. What it answers is taken, be it too late for whoever waits: over a slow link every answer may be. */
  private async ask(directory: Address, waitMs: number, wantsList = true): Promise<Result<NodeNews, WireDefect>> {
    const endTimer = this.pollTime.startTimer();
    const askedAt = this.frame.clock.now();
    const poll: NodePoll = {
      node: this.frame.settings.node, manifest: this.inForce.serial, directory: this.told?.directory ?? '', endpoints: this.told?.serial ?? (0 as Serial), takesChanges: true,
      masks: [...this.masks.values()].map(({ service, epoch, serial }) => ({ service, epoch, serial })), waitMs, rollouts: this.rollouts?.serial ?? (0 as Serial), ...(wantsList ? {} : { wantsList }),
    };
    const answer: Result<NodeNews, WireDefect> = await this.wire.call<NodeNews>(directory, NodePath.poll, poll, waitMs + SILENCE_MS, nodeNewsShape, (late) => this.hear(late, directory, askedAt, askedAt));
    endTimer();
    this.lastDefects.set(directory, answer.match((news) => (news.isCurrent ? '' : 'not in touch with the ratebooks\' majority'), (defect) => defect.describe()));
    answer.map((news) => this.hear(news, directory, askedAt, this.frame.clock.now()));
    return answer;
  }

  private isNear(directory: Address): boolean {
    return this.membership.having('directory').some(({ zone, wire }) => wire === directory && zone === this.frame.settings.zone);
  }

  private nextDirectory(former: Address | null): Address | null {
    const known = this.membership.having('directory').map((member) => member.wire);
    const others = known.filter((address) => address !== former);
    const pool = others.length > 0 ? others : known;
    return this.nearDirectory(former) ?? pool[Math.floor(Math.random() * pool.length)] ?? null;
  }

  /** A directory of this zone that has lately not failed: bytes between zones are dear. */
  private nearDirectory(former: Address | null): Address | null {
    const now = this.frame.clock.now();
    const near = this.membership.having('directory').filter(({ zone, wire }) => zone === this.frame.settings.zone && wire !== former && now - (this.failedAt.get(wire) ?? -Infinity) > FAR_MS);
    return near[Math.floor(Math.random() * near.length)]?.wire ?? null;
  }

  /** Logs when no current directory answers any more, with what became of the last question to each, and when one does again. */
  private noteTouch(): void {
    const isLost = !this.freshness.hearsDirectory;
    if (isLost === this.hasLostTouch) return;
    this.hasLostTouch = isLost;
    if (!isLost) return this.frame.log.warn({ event: 'directory-heard', serial: this.inForce.serial });
    const directories = this.membership.having('directory').map(({ name, wire }) => ({ name, last: this.lastDefects.get(wire) ?? 'not asked' }));
    this.frame.log.warn({ event: 'no-current-directory', silentMs: Math.round(this.freshness.silentMs), serial: this.inForce.serial, directories });
  }

  /** One question to every directory, for all but the list; whoever waits, waits for the first current answer, a short while at most. */
  private askOnce(): Promise<void> {
    return new Promise((settle) => {
      setTimeout(settle, ASK_ONCE_MS);
      for (const { wire } of this.membership.having('directory')) {
        void this.ask(wire, 0, false).then((answer) => answer.map((news) => { if (news.isCurrent) settle(); }));
      }
    });
  }

  /**
   * While no current directory answers, neighbours tell what they have. A node that starts asks all of them and goes
   * by the newest; their lists of endpoints count only from those that hear a directory, or when there is none yet.
   */
  private async askNeighbours(): Promise<void> {
    if (this.isAskingNeighbours || this.isStopping || this.freshness.hearsDirectory) return;
    this.isAskingNeighbours = true;
    const others = this.membership.having('switchboard').filter((member) => member.boot !== this.frame.boot);
    const asked = this.neighboursToAsk(others);
    const learn = (news: NodeNews): void => this.learn({ ...news, endpoints: news.isCurrent || this.endpoints === null ? news.endpoints : null }, false);
    const isStarting = !this.hasSnapshots;
    const answers = await Promise.all(asked.map(async ({ wire }, index): Promise<readonly NodeNews[]> => {
      const ask: SnapshotAsk = { manifest: this.inForce.serial, rollouts: this.rollouts?.serial ?? (0 as Serial), listMark: this.mark, wantsList: isStarting || index < LISTS_ASKED };
      const answer: Result<NodeNews, WireDefect> = await this.wire.call<NodeNews>(wire, NodePath.snapshot, ask, NEIGHBOUR_ANSWER_MS, nodeNewsShape);
      if (answer.isOk() && !isStarting) learn(answer.value);
      return answer.match((news) => [news], () => []);
    }));
    const newestFirst = [...answers.flat()].sort((one, other) => (other.manifest?.serial ?? 0) - (one.manifest?.serial ?? 0));
    if (isStarting) newestFirst.forEach(learn);
    this.isAskingNeighbours = false;
  }

  /** Some at random; for a node that starts, those first that it has not asked yet. */
  private neighboursToAsk(others: readonly Member[]): readonly Member[] {
    const shuffled = [...others].sort(() => Math.random() - 0.5);
    if (this.hasSnapshots && !this.isUnsure) return shuffled.slice(0, NEIGHBOURS_ASKED);
    if (this.frame.settings.firstStart === true) return shuffled.slice(0, FIRST_ASKED);
    const fresh = shuffled.filter(({ boot }) => !this.met.has(boot)).slice(0, STARTING_ASKED);
    fresh.forEach(({ boot }) => this.met.add(boot));
    return fresh.length > 0 ? fresh : shuffled.slice(0, NEIGHBOURS_ASKED);
  }

  /** A directory's answer; the list of one that is still warming counts only from the one that is followed. */
  private hear(news: NodeNews, directory: Address, askedAt: Instant, heardAt: Instant): void {
    const provenAt = news.provenAt ?? (news.isCurrent ? 0 : null);
    if (provenAt !== null) this.freshness.prove(Moment.heard(provenAt, askedAt));
    if (news.isCurrent && this.freshness.hear(askedAt, heardAt)) this.chosenDirectory = directory;
    this.learn(news.isWarming === true && directory !== this.chosenDirectory ? { ...news, endpoints: null } : news, true, news.committedAt === undefined ? null : Moment.heard(news.committedAt, askedAt));
  }

  private enforce(manifest: ManifestSnapshot, committedAt: Instant | null): void {
    this.inForce = InForce.of(manifest);
    const sinceCommitMs = committedAt === null ? null : this.frame.clock.now() - committedAt;
    if (sinceCommitMs !== null) this.commitTimes.observe(sinceCommitMs / 1000);
    this.frame.log.info({ event: 'manifest-in-force', serial: manifest.serial, ...(sinceCommitMs === null ? {} : { sinceCommitMs: Math.round(sinceCommitMs) }) });
  }

  /** Takes what is later; a neighbour's list is no base for a directory's differences. */
  private learn(news: NodeNews, isDirectory: boolean, committedAt: Instant | null = null): void {
    if (news.manifest !== null && news.manifest.serial > this.inForce.serial) this.enforce(news.manifest, committedAt);
    if (news.rollouts !== undefined && news.rollouts.serial > (this.rollouts?.serial ?? 0)) {
      this.rollouts = news.rollouts;
      this.onRollouts(news.rollouts);
    }
    const later = news.masks.filter((mask) => MaskSnapshot.isLater(mask, this.masks.get(mask.service)));
    const lifted = later.flatMap((mask) => this.tables(mask.service).rows.filter((row) => MaskSnapshot.holds(this.masks.get(mask.service), row) && !MaskSnapshot.holds(mask, row)));
    if (later.length > 0) this.masks = new Map([...this.masks, ...later.map((mask) => [mask.service, mask] as const)]);
    if (lifted.length > 0) this.onUnmasked(lifted);
    const endpoints = news.endpoints === null ? null : EndpointSnapshot.after(this.told, news.endpoints);
    if (endpoints !== null && !(this.endpoints?.directory === endpoints.directory && this.endpoints.serial > endpoints.serial)) {
      this.told = isDirectory ? endpoints : null;
      this.held = HeldList.after(this.held, endpoints.rows, endpoints.without ?? [], this.frame.clock.now());
      const { rows } = this.held;
      this.endpoints = { ...endpoints, rows };
      this.mark = ListMark.of(rows);
      const rowsOf = new Map<ServiceName, EndpointRow[]>();
      for (const row of rows) rowsOf.set(row.service, [...(rowsOf.get(row.service) ?? []), row]);
      this.rowsOf = rowsOf;
      this.onEndpoints(rows);
    }
    if (!this.hasBeenReady && this.isReady) {
      this.hasBeenReady = true;
      this.frame.log.info({ event: 'ready', afterMs: Math.round(this.frame.clock.now() - this.startedAt) });
    }
    this.news.wake();
  }
}

/** What a request's way asks of the tables in force. */
export type TablesInForce = Pick<Delivery, 'proven' | 'isUnsure' | 'isVouchedFor' | 'evidenceAgeMs' | 'now' | 'tables' | 'reach'>;
