import { mock } from 'node:test';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import * as assert from 'uvu/assert';
import { acknowledgeBeat, acknowledgeDeparture, type BeatDesk } from '../src/connection/beatDoor.js';
import { NodePath, type MarkAsk, type NodeReport } from '../src/connection/nodeCalls.js';
import type { StoreClient } from '../src/connection/storeCalls.js';
import type { WireClient, WireDefect } from '../src/connection/wire.js';
import { Chance } from '../src/fleet/chance.js';
import type { Announcement } from '../src/process/announcement.js';
import type { Address, BootId, DiskId, EndpointId, InstanceId, Instant, Millis, NodeName, Serial, ServiceName, ZoneName } from '../src/process/brands.js';
import { LostDefect } from '../src/process/defect.js';
import { HostVoice } from '../src/process/hostVoice.js';
import { LocalEndpoints } from '../src/process/localEndpoints.js';
import type { DamagedFile, Disk, DiskDefect, StoreDefect } from '../src/process/disk.js';
import { MarkDisks } from '../src/process/markDisks.js';
import { MarkLog } from '../src/process/markLog.js';
import { MarkReplicas } from '../src/process/markReplicas.js';
import type { Member, Role } from '../src/process/members.js';
import { Registry } from '../src/process/registry.js';
import type { Voters } from '../src/version/entry.js';
import type { EndpointRow } from '../src/version/snapshots.js';
import { suite } from './harness.js';
import type { DepartureMark } from '../src/version/departureMark.js';

const { test, run } = suite('mark replicas');

const SEEDS = Number(process.env['SEEDS'] ?? 100);
const STEPS = 200;
const HOSTS = ['app1', 'app2', 'app3', 'app4', 'app5'] as const;
const DIRECTORIES = ['core1', 'core2', 'core3'] as const;
const DISKS = ['disk1', 'disk2', 'disk3'] as const;
/** How late a heartbeat may come, how long a directory listens before it answers for all, and the longest step: in milliseconds. */
const MOST_LATE_MS = 9000;
const WARM_MS = 1500 as Millis;
const STEP_MS = 400;
/** A heartbeat is made about this often. */
const BEAT_MS = 1500;
/** After this long in calm every sound endpoint is listed. */
const CALM_MS = 15_000;
const SERVICE = 'line' as ServiceName;

interface Endpoint {
  readonly instance: string;
  readonly host: string;
  sequence: number;
  state: 'ready' | 'leaving' | 'departed';
  beatAt: number;
}
interface Host {
  local: LocalEndpoints;
  marks: MarkReplicas;
  voice: HostVoice;
  boot: number;
}
/** A ratebook's disk and what its process has read of it; null while the process starts. */
interface MarkDisk {
  readonly disk: KeptDisk;
  log: MarkLog | null;
}

/** A disk in memory: what was put there outlives the process. */
class KeptDisk implements Disk {
  private readonly files = new Map<string, Uint8Array>();

  put(folder: string, name: string, bytes: Uint8Array): Promise<Result<void, StoreDefect>> {
    this.files.set(`${folder}/${name}`, bytes);
    return Promise.resolve(ok(undefined));
  }

  list(folder: string): Promise<Result<readonly string[], DiskDefect>> {
    return Promise.resolve(ok([...this.files.keys()].filter((path) => path.startsWith(`${folder}/`)).map((path) => path.slice(folder.length + 1))));
  }

  get(folder: string, name: string): Promise<Result<Uint8Array, DiskDefect | DamagedFile>> {
    return Promise.resolve(ok(this.files.get(`${folder}/${name}`) as Uint8Array));
  }

  drop(folder: string, name: string): Promise<void> {
    this.files.delete(`${folder}/${name}`);
    return Promise.resolve();
  }
}

interface Letter {
  readonly at: number;
  readonly host: string;
  readonly beat: Announcement;
}

/** Hosts, directories and endpoints; processes are killed, cut off and started again at any moment. */
class World {
  now = 0;
  readonly faults: string[] = [];
  readonly acknowledged = new Map<string, { readonly state: DepartureMark['state']; readonly by: string }>();
  private readonly hosts = new Map<string, Host>();
  private readonly directories = new Map<string, Registry>();
  private readonly disks = new Map<string, MarkDisk>();
  private readonly cut = new Set<string>();
  /** How often every process ended at once. */
  fallCount = 0;
  private endpoints: Endpoint[] = [];
  private late: Letter[] = [];
  private count = 0;
  private boots = 0;

  constructor(private readonly chance: Chance) {
    for (const name of DISKS) this.disks.set(name, { disk: new KeptDisk(), log: null });
    for (const name of DISKS) this.startDisk(name);
    for (const name of DIRECTORIES) this.startDirectory(name);
    for (const name of HOSTS) {
      this.startHost(name);
      this.addEndpoint(name);
    }
  }

  /** One step; in `calm` nothing is harmed, nobody leaves and no heartbeat is late. */
  async step(isCalm = false): Promise<void> {
    const length = 1 + this.chance.below(STEP_MS);
    this.now += length;
    mock.timers.tick(length);
    for (const endpoint of this.endpoints) if (this.now >= endpoint.beatAt) this.makeBeat(endpoint, isCalm);
    if (!isCalm) this.harmOrLeave();
    await this.deliverLate();
    await this.settle();
    for (const { marks } of this.hosts.values()) void marks.repair();
    await this.settle();
    for (const name of DIRECTORIES) void this.readMarks(name);
    await this.settle();
    for (const name of HOSTS) this.report(name);
    this.check();
  }

  /** After a calm time every endpoint that has not left is listed by its host. */
  async calmDown(): Promise<void> {
    this.cut.clear();
    for (const until = this.now + CALM_MS; this.now < until;) await this.step(true);
    for (const { instance, host, state } of this.endpoints) {
      const isListed = this.listedAt(host).some((row) => row.instance === instance && !row.leaving);
      if (state === 'ready' && !isListed) this.faults.push(`${instance} is sound and not listed at ${host}`);
    }
  }

  private makeBeat(endpoint: Endpoint, isCalm: boolean): void {
    endpoint.beatAt = this.now + BEAT_MS;
    if (endpoint.state === 'departed') return;
    endpoint.sequence += 1;
    const beat: Announcement = {
      id: endpoint.instance as EndpointId, instance: endpoint.instance as InstanceId, service: SERVICE, address: `${endpoint.host}:9` as Address, zone: 'z' as ZoneName, probe: '/', slots: 4,
      leaving: endpoint.state === 'leaving', nonce: '', fenced: true, sequence: endpoint.sequence,
    };
    const isLate = !isCalm && this.chance.happens(0.4);
    this.late.push({ at: this.now + (isLate ? this.chance.below(MOST_LATE_MS) : 0), host: endpoint.host, beat });
    if (!isCalm && this.chance.happens(0.2)) this.late.push({ at: this.now + this.chance.below(MOST_LATE_MS), host: endpoint.host, beat });
  }

  private async deliverLate(): Promise<void> {
    const due = this.late.filter(({ at }) => at <= this.now);
    this.late = this.late.filter(({ at }) => at > this.now);
    for (const { host, beat } of due) {
      void acknowledgeBeat(this.desk(host), beat).then((answer) => {
        if (answer.isOk() && beat.leaving && !this.acknowledged.has(beat.instance)) this.acknowledged.set(beat.instance, { state: 'leaving', by: host });
      });
      await this.settle();
    }
  }

  private harmOrLeave(): void {
    const dice = this.chance.next();
    const endpoint = this.chance.of(this.endpoints);
    if (dice < 0.04 && endpoint.state === 'ready') endpoint.state = 'leaving';
    else if (dice < 0.14) this.depart(endpoint);
    else if (dice < 0.2) this.startHost(this.chance.of(HOSTS));
    else if (dice < 0.24) DIRECTORIES.forEach((name) => this.startDirectory(name));
    else if (dice < 0.27) this.startDirectory(this.chance.of(DIRECTORIES));
    else if (dice < 0.3 && this.cut.size === 0) this.killHostAndCore();
    else if (dice < 0.34 && this.cut.size === 0) this.cut.add(this.chance.of([...HOSTS, ...DIRECTORIES, ...DISKS]));
    else if (dice < 0.4) this.cut.clear();
    else if (dice < 0.42) this.startDisk(this.chance.of(DISKS));
    else if (dice < 0.45) this.killAll();
  }

  /** Every process ends at once and is started again; the disks are kept. */
  private killAll(): void {
    this.fallCount += 1;
    DISKS.forEach((name) => this.startDisk(name));
    DIRECTORIES.forEach((name) => this.startDirectory(name));
    HOSTS.forEach((name) => this.startHost(name));
  }

  private startDisk(name: string): void {
    const known = this.disks.get(name) as MarkDisk;
    const started: MarkDisk = { disk: known.disk, log: null };
    this.disks.set(name, started);
    void MarkLog.open(known.disk, { now: () => this.now as Instant }).then((log) => { started.log = log._unsafeUnwrap(); });
  }

  /** A started directory reads the marks on the disks until a majority could be read. */
  private async readMarks(name: string): Promise<void> {
    const registry = this.directories.get(name) as Registry;
    if (registry.knowsMarks) return;
    const marks = await new MarkDisks(() => DISKS as unknown as readonly Address[], this.storeOf(() => this.cut.has(name))).read();
    if (marks !== null) registry.learnMarks(marks);
  }

  private storeOf(isCutOff: () => boolean): Pick<StoreClient, 'keepMark' | 'readMarks'> {
    const voters = { serial: 1 as Serial, members: DISKS.map((id) => ({ id: id as unknown as DiskId, address: id as unknown as Address })) };
    const ask = <T>(address: Address, answer: (log: MarkLog) => Promise<T>): ResultAsync<T & { readonly disk: DiskId; readonly voters: Voters }, WireDefect> => {
      const found = this.disks.get(address);
      const lost: Result<never, WireDefect> = err(new LostDefect('lost on the way'));
      if (found === undefined || found.log === null || isCutOff() || this.cut.has(address)) return new ResultAsync(Promise.resolve(lost));
      return new ResultAsync(answer(found.log).then((word) => (this.disks.get(address) === found ? ok({ ...word, disk: address as unknown as DiskId, voters }) : lost)));
    };
    return {
      keepMark: (address, mark) => ask(address, async (log) => ({ isKept: await log.keep(mark) })),
      readMarks: (address) => ask(address, (log) => Promise.resolve({ marks: log.marks(), isWhole: log.isWhole })),
    };
  }

  /** An endpoint reports its departure, to another machine's node now and then; acknowledged, it is replaced by a new one. */
  private depart(endpoint: Endpoint): void {
    const asked = this.chance.happens(0.3) ? this.chance.of(HOSTS) : endpoint.host;
    const host = this.hosts.get(asked);
    endpoint.state = 'departed';
    void acknowledgeDeparture(this.desk(asked), endpoint.instance as EndpointId, endpoint.instance as InstanceId).then((left) => {
      if (left.isErr() || host !== this.hosts.get(asked)) return;
      this.acknowledged.set(endpoint.instance, { state: 'departed', by: asked });
      if (this.endpoints.includes(endpoint)) this.addEndpoint(endpoint.host);
      this.endpoints = this.endpoints.filter((one) => one !== endpoint);
    });
  }

  /** The whole core and one switchboard end at once: what is acknowledged by then is held by others. */
  private killHostAndCore(): void {
    DIRECTORIES.forEach((name) => this.startDirectory(name));
    this.startHost(this.chance.of(HOSTS));
  }

  private addEndpoint(host: string): void {
    this.count += 1;
    this.endpoints.push({ instance: `i-${this.count}`, host, sequence: 0, state: 'ready', beatAt: this.now });
  }

  private startDirectory(name: string): void {
    this.boots += 1;
    this.directories.set(name, new Registry(`b${this.boots}` as BootId, { now: () => this.now as Instant }, 3000 as Millis, WARM_MS, () => undefined));
  }

  private startHost(name: string): void {
    this.boots += 1;
    const clock = { now: (): Instant => this.now as Instant };
    const boot = this.boots;
    const store = this.storeOf(() => this.cut.has(name) || this.hosts.get(name)?.boot !== boot);
    const marks: MarkReplicas = new MarkReplicas({
      self: name, clock, disks: new MarkDisks(() => DISKS as unknown as readonly Address[], store), replicas: 1, isFirstStart: false, held: () => this.hosts.get(name)?.local.marks() ?? [], wire: this.wireOf(name, this.boots), having: (role) => this.membersOf(role), rowOf: (instance) => this.rowOf(instance), isServing: ({ instance }) => Promise.resolve(this.isServing(name, instance)),
    });
    this.hosts.set(name, { marks, boot: this.boots, voice: new HostVoice(this.boots), local: new LocalEndpoints(clock, () => undefined, () => undefined, 0, (said) => marks.find(said)) });
  }

  private desk(name: string): BeatDesk {
    const host = this.hosts.get(name) as Host;
    return { endpoints: host.local, marks: host.marks, ownHosts: [], checkStall: () => undefined, turnedAway: () => undefined };
  }

  /** A sound endpoint may deny that it is, and one that left may say that it serves; at a host that is cut off nobody can tell. */
  private isServing(host: string, instance: string): boolean {
    const endpoint = this.endpoints.find((one) => one.instance === instance);
    return endpoint?.state === 'ready' ? this.chance.happens(0.7) : !this.cut.has(host) && this.chance.happens(0.3);
  }

  private membersOf(role: Role): readonly Member[] {
    const names: readonly string[] = role === 'directory' ? DIRECTORIES : role === 'switchboard' ? HOSTS : [];
    return names.map((name) => ({ name, role, wire: name, boot: `b${this.hosts.get(name)?.boot}` }) as unknown as Member);
  }

  /** The row of an instance in the list of any directory: nodes follow one of them. */
  private rowOf(instance: InstanceId): EndpointRow | null {
    return [...this.directories.values()].flatMap((registry) => registry.rowsOf(SERVICE)).find((row) => row.instance === instance) ?? null;
  }

  private wireOf(from: string, boot: number): Pick<WireClient, 'call'> {
    const answer = (to: string, path: string, message: unknown): object | null => {
      if (this.cut.has(from) || this.cut.has(to) || this.hosts.get(from)?.boot !== boot) return null;
      const target = this.hosts.get(to)?.local ?? this.directories.get(to);
      if (target === undefined) return null;
      if (path === NodePath.findMark) return target.markOf((message as MarkAsk).instance);
      const kept = target.keepMark(message as DepartureMark);
      return typeof kept === 'boolean' ? { isKept: true } : kept;
    };
    const call = (to: Address, path: string, message: unknown): ResultAsync<object, WireDefect> => {
      const found = answer(to, path, message);
      return new ResultAsync(Promise.resolve<Result<object, WireDefect>>(found === null ? err(new LostDefect('lost on the way')) : ok(found)));
    };
    return { call: call as unknown as WireClient['call'] };
  }

  private report(name: string): void {
    const host = this.hosts.get(name) as Host;
    const boot = `b${host.boot}` as BootId;
    const rows = host.local.listed().map(({ id, service, instance, address, zone, slots, leaving }) => ({ id, service, instance, address, zone, slots, leaving, node: name as NodeName, nodeBoot: boot, hop: name as Address }));
    const report: NodeReport = { node: name as NodeName, boot, zone: 'z' as ZoneName, hop: name as Address, manifest: 1 as Serial, rows, ...host.voice.say(rows), departed: host.local.departedLately(), leaving: host.local.leavingLately() };
    for (const [core, registry] of this.directories) {
      if (this.cut.has(name) || this.cut.has(core)) continue;
      registry.hear(report);
      const advice = registry.adviceFor(report);
      host.local.endDeparted(advice.departed ?? []);
      host.local.keepLeaving(advice.leaving ?? []);
      host.voice.hear(advice);
    }
  }

  private listedAt(name: string): ReturnType<LocalEndpoints['listed']> {
    return this.hosts.get(name)?.local.listed() ?? [];
  }

  /** A host that is cut off is not in touch: it can't know what another node acknowledged, and nobody else can reach its endpoints. */
  private check(): void {
    for (const name of HOSTS) {
      for (const { instance, leaving } of this.listedAt(name)) {
        const acknowledged = this.acknowledged.get(instance);
        if (acknowledged === undefined || leaving || (this.cut.has(name) && acknowledged.by !== name)) continue;
        this.faults.push(`${instance} is listed as ready at ${name} at ${this.now}, acknowledged as ${acknowledged.state} by ${acknowledged.by}`);
      }
    }
  }

  /** Lets everything that waits for answers go on. */
  private async settle(): Promise<void> {
    await new Promise((settle) => { setImmediate(settle); });
  }
}

// Guards against an acknowledged leaving that is lost with the processes that knew of it, and against sound endpoints kept out.
test(`${SEEDS} seeded runs with killed, cut off and restarted processes revive nobody who left, and list everybody who did not`, async () => {
  const seen = { leaving: 0, departed: 0 };
  let falls = 0;
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new World(new Chance(seed));
      for (let count = 0; count < STEPS; count += 1) await world.step();
      await world.calmDown();
      assert.equal(world.faults.slice(0, 3), [], `seed ${seed}`);
      for (const { state } of world.acknowledged.values()) seen[state] += 1;
      falls += world.fallCount;
    }
  } finally {
    mock.timers.reset();
  }
  assert.ok(falls > SEEDS, `${falls} times every process ended at once`);
  assert.ok(seen.departed > 10 * SEEDS && seen.leaving > 0, `${seen.departed} departures and ${seen.leaving} leavings were acknowledged`);
});

/** A host that has just started, beside a directory that answers from some moment on. */
const startedHost = (answerOf: (time: number) => { readonly state: DepartureMark['state'] | null; readonly isComplete: boolean } | null): MarkReplicas => {
  const wire = { call: (): ResultAsync<object, WireDefect> => {
    const answer = answerOf(Date.now());
    return new ResultAsync(Promise.resolve<Result<object, WireDefect>>(answer === null ? err(new LostDefect('nobody is there')) : ok(answer)));
  } } as unknown as Pick<WireClient, 'call'>;
  return new MarkReplicas({
    self: 'app1', clock: { now: () => Date.now() as Instant }, wire, disks: { keep: () => Promise.resolve('out-of-reach') }, replicas: 1, isFirstStart: false, held: () => [],
    having: (role) => (role === 'directory' ? [{ name: 'core1', role, wire: 'core1', boot: 'b1' } as unknown as Member] : []), rowOf: () => null, isServing: () => Promise.resolve(true),
  });
};

/** What the host finds of an instance whose own word is that it serves, and after how many milliseconds. */
const foundBy = async (answerOf: Parameters<typeof startedHost>[0]): Promise<{ readonly state: DepartureMark['state'] | null; readonly afterMs: number }> => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'] });
  try {
    let found: DepartureMark['state'] | null | undefined;
    const said = { instance: 'i-1' as InstanceId, service: SERVICE, address: 'app1:9' as Address };
    void startedHost(answerOf).find(said).then((state) => { found = state; });
    for (;;) {
      await new Promise((settle) => { setImmediate(settle); });
      if (found !== undefined) return { state: found, afterMs: Date.now() };
      mock.timers.tick(100);
    }
  } finally {
    mock.timers.reset();
  }
};

// Guards against the word of an endpoint that has left and serves on, taken while the core that knows better is just starting again.
test('a host that starts waits for the core, which may come back, before it goes by what an endpoint says of itself', async () => {
  const late = await foundBy((time) => (time < 2000 ? null : { state: 'departed', isComplete: true }));
  assert.is(late.state, 'departed');
  const incomplete = await foundBy((time) => (time < 4000 ? { state: null, isComplete: false } : { state: 'departed', isComplete: true }));
  assert.is(incomplete.state, 'departed', 'a directory that has not read the disks yet is waited for');
  const alone = await foundBy(() => null);
  assert.ok(alone.state === null && alone.afterMs >= 3000 && alone.afterMs < 5000, `${alone.afterMs} ms: the core stays away`);
  const unread = await foundBy(() => ({ state: null, isComplete: false }));
  assert.ok(unread.state === null && unread.afterMs >= 10_000, `${unread.afterMs} ms: no majority of the disks comes back`);
});

run();
