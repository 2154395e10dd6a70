import { randomBytes } from 'node:crypto';
import type { Result } from 'neverthrow';
import { NodePath, type NodeNews, type NodePoll, type NodeReport, type OutcomeReport } from '../connection/nodeCalls.js';
import { WireClient, type WireDefect } from '../connection/wire.js';
import type { Address, BootId, EndpointId, InstanceId, NodeName, Serial, ServiceName, ZoneName } from '../process/brands.js';
import type { ShareAsk } from '../process/shareBook.js';
import { EndpointSnapshot, MaskSnapshot, type EndpointRow } from '../version/snapshots.js';
import type { Chance } from './chance.js';

/** The pace of a switchboard: its list, its shares, the successes among its outcomes, a held poll and its silence. */
const LIST_MS = 1000;
const SHARES_MS = 1000;
const OUTCOMES_MS = 2000;
const HOLD_MS = 1000;
const SILENCE_MS = 400;
const CALL_MS = 1000;

export interface HollowPlace {
  readonly name: NodeName;
  readonly service: ServiceName;
  readonly zone: ZoneName;
  readonly hop: Address;
  readonly address: Address;
  readonly cluster: string;
  readonly localHost: string;
  readonly directories: readonly Address[];
  /** How many endpoints each outcome report names. */
  readonly outcomeRows: number;
}

/** When a node's poll was answered with a manifest. */
export interface Arrival {
  readonly serial: Serial;
  readonly at: number;
}

/** What one hollow node sent and heard. */
export interface HollowCounts {
  readonly calls: Readonly<Record<string, number>>;
  readonly failures: Readonly<Record<string, number>>;
  readonly manifests: number;
  readonly lists: number;
  readonly listRows: number;
  readonly masks: number;
}

/** The control side of a switchboard without doors, beats or orders: it speaks the real protocol over links of its own. */
export class HollowNode {
  readonly arrivals: Arrival[] = [];
  private readonly wire: WireClient;
  private readonly callCounts = new Map<string, number>();
  private readonly failureCounts = new Map<string, number>();
  private boot: BootId = randomBytes(9).toString('base64url') as BootId;
  private instance: InstanceId = randomBytes(6).toString('hex') as InstanceId;
  private life = Date.now();
  private sequence = 0;
  private manifest = 0 as Serial;
  private endpoints: EndpointSnapshot | null = null;
  private masks: ReadonlyMap<ServiceName, MaskSnapshot> = new Map();
  private directory: Address;
  private readonly heard = { manifests: 0, lists: 0, listRows: 0, masks: 0 };
  private timers: readonly NodeJS.Timeout[] = [];
  private isLeaving = false;
  private isStopping = false;

  constructor(private readonly place: HollowPlace, private readonly chance: Chance) {
    this.wire = new WireClient(place.cluster, place.localHost);
    this.directory = chance.of(place.directories);
  }

  get serial(): Serial {
    return this.manifest;
  }

  /** How many endpoints this node's list holds. */
  get listed(): number {
    return this.endpoints?.rows.length ?? 0;
  }

  counts(): HollowCounts {
    return { calls: Object.fromEntries(this.callCounts), failures: Object.fromEntries(this.failureCounts), ...this.heard };
  }

  /** Reports begin at once, polls after a while. */
  start(pollAfterMs: number): void {
    void this.sendList();
    setTimeout(() => void this.follow(), pollAfterMs);
    this.timers = [this.every(LIST_MS, () => this.sendList()), this.every(SHARES_MS, () => this.askShares()), this.every(OUTCOMES_MS, () => this.sendOutcomes())];
  }

  /** A planned restart: says that its endpoint leaves, forgets all that it knew and comes back under a new boot. */
  async restart(): Promise<void> {
    this.isLeaving = true;
    await this.sendList();
    this.isLeaving = false;
    this.boot = randomBytes(9).toString('base64url') as BootId;
    this.instance = randomBytes(6).toString('hex') as InstanceId;
    this.life = Date.now();
    this.sequence = 0;
    this.manifest = 0 as Serial;
    this.endpoints = null;
    this.masks = new Map();
    await this.sendList();
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    this.timers.forEach((timer) => clearInterval(timer));
    await this.wire.close();
  }

  private every(period: number, work: () => Promise<void>): NodeJS.Timeout {
    const begun = setTimeout(() => {
      if (this.isStopping) return;
      const timer = setInterval(() => void work(), period);
      this.timers = [...this.timers, timer];
    }, this.chance.below(period));
    return begun;
  }

  private row(): EndpointRow {
    const { name, service, zone, hop, address } = this.place;
    return { id: `${service}-${name}` as EndpointId, service, instance: this.instance, address, zone, slots: 100, leaving: this.isLeaving, node: name, nodeBoot: this.boot, hop };
  }

  private sendList(): Promise<void> {
    this.sequence += 1;
    const { name, zone, hop } = this.place;
    const report: NodeReport = { node: name, boot: this.boot, life: this.life, sequence: this.sequence, zone, hop, manifest: this.manifest, rows: [this.row()] };
    return this.tellAll(NodePath.report, report);
  }

  private sendOutcomes(): Promise<void> {
    const known = this.endpoints?.rows ?? [];
    if (known.length === 0) return Promise.resolve();
    this.sequence += 1;
    const chosen = Array.from({ length: this.place.outcomeRows }, () => this.chance.of(known));
    const rows = chosen.map(({ service, id, instance }) => ({ service, endpoint: id, instance, calls: this.sequence * 100, failures: 0, turnAways: 0, pathDefects: 0, recent: [{ agoMs: 5, failed: false }] }));
    const report: OutcomeReport = { node: this.place.name, boot: this.boot, life: this.life, sequence: this.sequence, rows };
    return this.tellAll(NodePath.outcomes, report);
  }

  private askShares(): Promise<void> {
    const ask: ShareAsk = { node: this.place.name, boot: this.boot, carried: 0, wants: false, least: 0 };
    return this.tellAll(NodePath.shares, ask);
  }

  private async tellAll(path: string, message: object): Promise<void> {
    await Promise.all(this.place.directories.map((address) => this.call(address, path, message, CALL_MS)));
  }

  /** One standing question to one directory, to another after silence or when that one hears no majority. */
  private async follow(): Promise<void> {
    while (!this.isStopping) {
      const boot = this.boot;
      const poll: NodePoll = {
        node: this.place.name, manifest: this.manifest, directory: this.endpoints?.directory ?? '', endpoints: this.endpoints?.serial ?? (0 as Serial), takesChanges: true,
        masks: [...this.masks.values()].map(({ service, epoch, serial }) => ({ service, epoch, serial })), waitMs: HOLD_MS,
      };
      const news = await this.call<NodeNews>(this.directory, NodePath.poll, poll, HOLD_MS + SILENCE_MS);
      if (news.isOk() && boot === this.boot) this.learn(news.value);
      if (news.isErr() || !news.value.isCurrent) {
        this.directory = this.chance.of(this.place.directories.filter((address) => address !== this.directory));
        await new Promise((settle) => { setTimeout(settle, news.isErr() ? 50 : 200); });
      }
    }
  }

  private learn(news: NodeNews): void {
    if (news.manifest !== null && news.manifest.serial > this.manifest) {
      this.manifest = news.manifest.serial;
      this.heard.manifests += 1;
      this.arrivals.push({ serial: this.manifest, at: performance.now() });
    }
    const later = news.masks.filter((mask) => MaskSnapshot.isLater(mask, this.masks.get(mask.service)));
    this.heard.masks += news.masks.length;
    if (later.length > 0) this.masks = new Map([...this.masks, ...later.map((mask) => [mask.service, mask] as const)]);
    const list = news.endpoints === null ? null : EndpointSnapshot.after(this.endpoints, news.endpoints);
    if (news.endpoints === null || list === null) return;
    this.endpoints = list;
    this.heard.lists += 1;
    this.heard.listRows += news.endpoints.rows.length;
  }

  private async call<T>(address: Address, path: string, message: object, cutoffMs: number): Promise<Result<T, WireDefect>> {
    this.callCounts.set(path, (this.callCounts.get(path) ?? 0) + 1);
    const answer: Result<T, WireDefect> = await this.wire.call<T>(address, path, message, cutoffMs);
    if (answer.isErr() && !this.isStopping) this.failureCounts.set(path, (this.failureCounts.get(path) ?? 0) + 1);
    return answer;
  }
}
