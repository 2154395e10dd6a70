import { pino } from 'pino';
import { Registry as Metrics } from 'prom-client';
import type { ListNews, NodeReport } from '../src/connection/nodeCalls.js';
import { Chance } from '../src/fleet/chance.js';
import type { Address, BootId, EndpointId, InstanceId, Instant, Millis, NodeName, Serial, ServiceName, ZoneName } from '../src/process/brands.js';
import { HostVoice } from '../src/process/hostVoice.js';
import { ListAgreement } from '../src/process/listAgreement.js';
import { LocalEndpoints } from '../src/process/localEndpoints.js';
import { Registry } from '../src/process/registry.js';
import type { EndpointSnapshot, EndpointRow } from '../src/version/snapshots.js';
import { HeldList, ListMark } from '../src/version/endpointList.js';

const TICK_MS = 50;
const BEAT_MS = 500;
/** Within so much the directories that reach one another have told each other of departures. */
const TOLD_MS = 5000;
export const names = <T extends string>(letter: string, count: number): readonly T[] => Array.from({ length: count }, (_, index) => `${letter}${index}` as T);

export interface Endpoint {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly instance: InstanceId;
  readonly address: Address;
  host: string;
  /** Beats; a departed one may do so for a while after its leave was acknowledged. */
  beatsUntil: number;
  departed: boolean;
}
export interface Host {
  readonly name: NodeName;
  boot: BootId;
  voice: HostVoice;
  local: LocalEndpoints;
  isUp: boolean;
  isDue: boolean;
  /** How far its time of day is off. */
  stepMs: number;
  /** When it comes back. */
  upAt: number;
  held: HeldList;
  snapshot: EndpointSnapshot | null;
  directory: number;
  answeredAt: number;
  /** Departed instances that a list which it was given had no longer, by the directory's own mark. */
  gone: Set<InstanceId>;
}
export interface Directory {
  readonly name: NodeName;
  registry: Registry;
  agreement: ListAgreement;
}

/** Directories, hosts and their endpoints over a network that is cut, delays and reorders; time moves by hand. */
export class World {
  now = 0;
  readonly chance: Chance;
  readonly hosts = new Map<string, Host>();
  readonly directories: readonly Directory[];
  readonly endpoints: Endpoint[] = [];
  private queue: { readonly at: number; readonly work: () => void }[] = [];
  private count = 0;
  /** A calm network loses nothing and is quick. */
  isCalm = false;
  private cut: (from: string, to: string) => boolean = () => false;
  /** When the network last changed or a directory was restarted. */
  private changedAt = 0;

  constructor(readonly seed: number, hostCount: number) {
    this.chance = new Chance(seed);
    this.directories = names<NodeName>('d', 3).map((name) => this.directory(name));
    for (const name of names<NodeName>('h', hostCount)) this.start(name);
    for (let count = 0; count < 2 * hostCount; count += 1) this.place(this.anyHost());
  }

  cutBy(cut: (from: string, to: string) => boolean): void {
    this.cut = cut;
    this.changedAt = this.now;
  }

  directory(name: NodeName): Directory {
    this.changedAt = this.now;
    const clock = { now: (): Instant => this.now as Instant };
    this.count += 1;
    const agreement: ListAgreement = new ListAgreement(name, clock, pino({ level: 'silent' }), new Metrics(), () => registry);
    const registry = new Registry(`${name}-${this.count}` as BootId, clock, 3000 as Millis, 1500 as Millis, () => undefined, (rows) => rows, (event) => agreement.note(event));
    return { name, registry, agreement };
  }

  start(name: NodeName): Host {
    const former = this.hosts.get(name);
    this.count += 1;
    const host: Host = {
      name, boot: `${name}-${this.chance.below(1e9)}-${this.count}` as BootId, voice: new HostVoice(1_000_000 + this.now + (former?.stepMs ?? 0)), isUp: true, isDue: true, stepMs: former?.stepMs ?? 0, upAt: Infinity,
      local: new LocalEndpoints({ now: () => this.now as Instant }, () => { host.isDue = true; }), held: HeldList.empty, snapshot: null, directory: this.chance.below(3), answeredAt: this.now, gone: new Set(),
    };
    this.hosts.set(name, host);
    this.endUnknown();
    return host;
  }

  anyHost(): Host {
    return this.chance.of([...this.hosts.values()].filter((host) => host.isUp));
  }

  place(host: Host, id = `e${this.count}`, address = `10.0.0.${this.count}:1`): void {
    this.count += 1;
    this.endpoints.push({ id: id as EndpointId, service: `s${this.chance.below(3)}` as ServiceName, instance: `i${this.count}` as InstanceId, address: address as Address, host: host.name, beatsUntil: Infinity, departed: false });
  }

  leave(endpoint: Endpoint): void {
    const host = this.hosts.get(endpoint.host);
    if (host === undefined || !host.isUp) return;
    void host.local.signOff(endpoint.id, endpoint.instance).then((left) => { if (left.isErr()) endpoint.departed = false; });
    endpoint.departed = true;
    endpoint.beatsUntil = this.now + (this.chance.happens(0.3) ? 20_000 : 0);
  }

  private knowsDeparture(registry: Registry, { instance }: Endpoint): boolean {
    return registry.adviceFor({ rows: [{ instance }] } as unknown as NodeReport).departed !== undefined;
  }

  /** A departure that no process remembers can't be upheld: neither its host since its restart, nor any directory. */
  private endUnknown(): void {
    for (const endpoint of this.endpoints) {
      const isKnown = this.hosts.get(endpoint.host)?.local.departedLately().includes(endpoint.instance) === true || this.directories?.some(({ registry }) => this.knowsDeparture(registry, endpoint));
      if (endpoint.departed && !isKnown) endpoint.beatsUntil = Math.min(endpoint.beatsUntil, this.now);
    }
  }

  /** One thing that happens to endpoints or hosts. */
  stir(): void {
    const standing = this.endpoints.filter((endpoint) => !endpoint.departed && endpoint.beatsUntil > this.now && this.hosts.get(endpoint.host)?.isUp === true && this.hosts.get(endpoint.host)?.local.has(endpoint.address) === true);
    const chosen = standing[this.chance.below(standing.length)];
    const kind = this.chance.below(10);
    const downs = [...this.hosts.values()].filter((host) => !host.isUp).length;
    if (kind === 0) this.place(this.anyHost());
    else if (kind === 1) this.anyHost().stepMs = (this.chance.below(2001) - 1000) * 3600;
    else if (kind === 2 && downs < this.hosts.size / 2 - 1) {
      const host = this.anyHost();
      if (this.chance.happens(0.5)) this.sayLast(host);
      host.isUp = false;
      host.upAt = this.now + this.chance.below(6000);
    } else if (kind === 3) {
      const index = this.chance.below(3);
      (this.directories as Directory[])[index] = this.directory(`d${index}` as NodeName);
      this.endUnknown();
    } else if (chosen === undefined) return;
    else if (kind === 4) chosen.beatsUntil = this.now;
    else {
      this.leave(chosen);
      const host = this.hosts.get(chosen.host) as Host;
      if (kind === 5) this.place(host, chosen.id);
      if (kind === 6) this.place(host, undefined, chosen.address);
      if (kind === 7) this.place(this.anyHost(), chosen.id);
    }
  }

  async pass(lengthMs: number, each: () => void = () => undefined): Promise<void> {
    const end = this.now + lengthMs;
    while (this.now < end) {
      this.now += TICK_MS;
      each();
      const due = this.queue.filter(({ at }) => at <= this.now).sort((one, other) => one.at - other.at);
      this.queue = this.queue.filter(({ at }) => at > this.now);
      due.forEach(({ work }) => work());
      for (const host of this.hosts.values()) this.tickHost(host);
      this.directories.forEach((directory, index) => this.tickDirectory(directory, index));
      await Promise.resolve();
    }
  }

  listsOf(): readonly (readonly string[])[] {
    const text = (rows: readonly EndpointRow[]): readonly string[] => rows.map((row) => `${row.service}/${row.id}/${row.instance}/${row.address}/${row.node}/${row.nodeBoot}`).sort();
    return [...this.directories.map(({ registry }) => text(registry.current()?.rows ?? [])), ...[...this.hosts.values()].filter((host) => host.isUp).map((host) => text(host.held.rows))];
  }

  truth(): readonly string[] {
    return this.endpoints.filter((endpoint) => !endpoint.departed && endpoint.beatsUntil > this.now)
      .map(({ service, id, instance, address, host }) => `${service}/${id}/${instance}/${address}/${host}/${this.hosts.get(host)?.boot}`).sort();
  }

  isSettled(): boolean {
    const truth = this.truth().join();
    return this.listsOf().every((list) => list.join() === truth);
  }

  private send(from: string, to: string, work: () => void): void {
    if (this.cut(from, to) || (!this.isCalm && this.chance.happens(0.01))) return;
    this.queue.push({ at: this.now + 1 + (this.isCalm ? 0 : this.chance.below(this.chance.happens(0.05) ? 1500 : 40)), work });
  }

  private rowsOf(host: Host): readonly EndpointRow[] {
    return host.local.listed().map(({ id, service, instance, address, leaving }) =>
      ({ id, service, instance, address, leaving, zone: 'z' as ZoneName, slots: 1, node: host.name, nodeBoot: host.boot, hop: `${host.name}:1` as Address }));
  }

  private reportOf(host: Host, rows: readonly EndpointRow[]): NodeReport {
    return { node: host.name, boot: host.boot, zone: 'z' as ZoneName, hop: `${host.name}:1` as Address, manifest: 1 as Serial, rows, ...host.voice.say(rows), departed: host.local.departedLately(), mark: ListMark.of(host.held.rows) };
  }

  private report(host: Host, rows = this.rowsOf(host)): void {
    const report = this.reportOf(host, rows);
    this.directories.forEach(({ name }, index) => this.send(host.name, name, () => {
      const { registry, agreement } = this.directories[index] as Directory;
      registry.hear(report);
      agreement.hearNode(report.node, report.mark ?? '');
      const advice = registry.adviceFor(report);
      this.send(name, host.name, () => {
        if (this.hosts.get(host.name) !== host || !host.isUp) return;
        host.local.endDeparted(advice.departed ?? []);
        if (host.voice.hear(advice)) host.isDue = true;
      });
    }));
  }

  private sayLast(host: Host): void {
    this.report(host, []);
  }

  private tickHost(host: Host): void {
    if (!host.isUp) {
      if (this.now >= host.upAt) this.start(host.name);
      return;
    }
    const isTurn = (every: number): boolean => (this.now + 7 * TICK_MS * Number(host.name.slice(1))) % every === 0;
    if (isTurn(BEAT_MS)) {
      host.local.sweep();
      for (const { id, service, instance, address, host: at, beatsUntil } of this.endpoints) {
        if (at !== host.name || beatsUntil <= this.now) continue;
        host.local.beat({ id, service, instance, address, zone: 'z' as ZoneName, probe: '/', slots: 1, leaving: false, nonce: '', fenced: true, sequence: null });
      }
    }
    if (isTurn(1000) || host.isDue) this.report(host);
    host.isDue = false;
    if (isTurn(1000)) this.poll(host);
  }

  private poll(host: Host): void {
    if (this.now - host.answeredAt > 1400) host.directory = (host.directory + 1 + this.chance.below(2)) % 3;
    const { name } = this.directories[host.directory] as Directory;
    const had = host.snapshot;
    this.send(host.name, name, () => {
      const { registry, agreement } = this.directories[Number(name.slice(1))] as Directory;
      const snapshot = registry.current();
      const isNews = snapshot !== null && (had?.directory !== snapshot.directory || had.serial !== snapshot.serial || agreement.takeResend(host.name));
      const departed = this.endpoints.filter((endpoint) => endpoint.departed && this.knowsDeparture(registry, endpoint));
      this.send(name, host.name, () => {
        if (this.hosts.get(host.name) !== host) return;
        host.answeredAt = this.now;
        if (!isNews || (host.snapshot?.directory === snapshot.directory && host.snapshot.serial > snapshot.serial)) return;
        host.snapshot = snapshot;
        host.held = HeldList.after(host.held, snapshot.rows, snapshot.without ?? [], this.now as Instant);
        const back = host.held.rows.find((row) => host.gone.has(row.instance));
        if (back !== undefined && this.now - this.changedAt > TOLD_MS) throw new Error(`seed ${this.seed}: ${host.name} lists ${back.instance} again, which had departed`);
        departed.forEach(({ instance }) => { if (!snapshot.rows.some((row) => row.instance === instance)) host.gone.add(instance); });
      });
    });
  }

  private tickDirectory({ name, registry, agreement }: Directory, index: number): void {
    if (this.now % 200 === 0) registry.sweep();
    if ((this.now + 6 * TICK_MS * index) % 1000 !== 0) return;
    agreement.watch();
    const hint = registry.hint();
    this.directories.forEach((other, otherIndex) => {
      if (other.name === name) return;
      const toBack = (news: ListNews): void => this.send(other.name, name, () => { this.directories[index]?.registry.learn(other.name, news); });
      this.send(name, other.name, () => {
        const there = this.directories[otherIndex] as Directory;
        const { reply, ask } = there.agreement.hearDirectory(name, hint);
        if (reply !== null) toBack(reply);
        if (ask !== null) this.send(other.name, name, () => {
          const news = (this.directories[index] as Directory).registry.answer(ask);
          this.send(name, other.name, () => { this.directories[otherIndex]?.registry.learn(name, news); });
        });
      });
    });
  }
}
