import { PORTS, type Fleet } from './fleet.js';
import type { ChangeLog, DepartureLog, HarmLog } from './checker.js';
import type { Chance } from './chance.js';
import type { Daemon } from './daemon.js';
import { callJson } from './fleet.js';
import type { Home } from './homes.js';
import { StandInEndpoint, type Behaviour } from './standInEndpoint.js';
import { Manifest } from '../version/manifest.js';

/** Orders under it go wherever the manifest of the moment says. */
export const MOVING_PREFIX = '/moving';
/** Each version has one route below it that no other version has. */
export const MARK_PREFIX = '/mark/';
const BROKEN: readonly Behaviour[] = ['fails', 'garbage', 'diesBefore', 'diesAfterRun', 'diesDuring', 'extraBytes', 'shortLength', 'truncatedChunks'];
const STOP_ALLOWANCE_MS = 6000;
/** Between two faults there is so long, in milliseconds, and up to the spread more. */
const LEAST_REST_MS = 200;
const REST_SPREAD_MS = 800;
const MOST_AT_ONCE = 3;
const pause = (millis: number): Promise<void> => new Promise((settle) => { setTimeout(settle, millis); });

export const FAULTS = [
  'roll-endpoint', 'leave-by-beat', 'remove-endpoint', 'leave-hastily', 'kill-endpoint', 'reuse-address', 'freeze-endpoint', 'break-endpoint', 'kill-switchboard', 'freeze-switchboard', 'stop-switchboard',
  'kill-directory', 'freeze-directory', 'stop-directory', 'kill-ratebook', 'freeze-ratebook', 'stop-ratebook', 'lose-disk', 'lose-core', 'kill-zone', 'kill-all',
  'push', 'push-invalid', 'push-rivals', 'push-storm', 'cut', 'cut-from-all', 'cut-from-core', 'cut-from-neighbours', 'split-core', 'split-core-push', 'split-core-three', 'cut-core',
] as const;
/** What platforms and operators do every day: nothing may be lost by it. */
export const PLANNED: readonly FaultName[] = ['roll-endpoint', 'leave-by-beat', 'remove-endpoint', 'stop-switchboard', 'stop-directory', 'stop-ratebook', 'push', 'push-invalid', 'push-rivals', 'push-storm'];
export type FaultName = (typeof FAULTS)[number];

/** Causes the brief's failures on a running fleet and logs what was said and done. */
export class FaultMaker {
  readonly departures: DepartureLog[] = [];
  readonly changes: ChangeLog[] = [];
  readonly harms: HarmLog[] = [];
  private readonly harmed = new Set<string>();
  private readonly busyCores = new Set<string>();
  private readonly stopping = new Set<string>();
  private readonly busy = new Set<StandInEndpoint>();
  private pushCount = 0;

  constructor(private readonly fleet: Fleet, private readonly home: Home, private readonly chance: Chance) {}

  /** The machines whose switchboard should answer. */
  sound(): readonly string[] {
    return this.fleet.machines.map((machine) => machine.name).filter((name) => !this.harmed.has(name));
  }

  /** Causes faults for so many seconds, drawn one after the other, three at a time at most; gives how often each was caused. */
  async causeAny(faults: readonly FaultName[], seconds: number, chance: Chance): Promise<ReadonlyMap<FaultName, number>> {
    const caused = new Map<FaultName, number>();
    const causing = new Set<Promise<void>>();
    const end = performance.now() + seconds * 1000;
    while (performance.now() < end) {
      await pause(LEAST_REST_MS + chance.below(REST_SPREAD_MS));
      if (faults.length === 0 || causing.size >= MOST_AT_ONCE) continue;
      const fault = chance.of(faults);
      caused.set(fault, (caused.get(fault) ?? 0) + 1);
      const done = this.cause(fault).then(() => { causing.delete(done); });
      causing.add(done);
    }
    await Promise.all(causing);
    return caused;
  }

  async cause(fault: FaultName): Promise<void> {
    const acts: Readonly<Record<FaultName, () => Promise<void>>> = {
      'roll-endpoint': () => this.rollEndpoint(true),
      'leave-by-beat': () => this.leaveByBeat(true),
      'leave-hastily': () => this.harming(null, () => this.leaveByBeat(false)),
      'remove-endpoint': () => this.rollEndpoint(false),
      'kill-endpoint': () => this.harming(null, () => this.killEndpoint(false)),
      'reuse-address': () => this.harming(null, () => this.killEndpoint(true)),
      'freeze-endpoint': () => this.harming(null, () => this.freezeEndpoint()),
      'break-endpoint': () => this.harming(null, () => this.breakEndpoint()),
      'kill-switchboard': () => this.harmSwitchboard('SIGKILL'),
      'freeze-switchboard': () => this.harmSwitchboard('SIGSTOP'),
      'stop-switchboard': () => this.platformStop(),
      'kill-directory': () => this.harmCore(this.fleet.directories, 'SIGKILL'),
      'freeze-directory': () => this.harmCore(this.fleet.directories, 'SIGSTOP'),
      'stop-directory': () => this.harmCore(this.fleet.directories, 'SIGTERM'),
      'kill-ratebook': () => this.harmCore(this.fleet.ratebooks, 'SIGKILL'),
      'freeze-ratebook': () => this.harmCore(this.fleet.ratebooks, 'SIGSTOP'),
      'stop-ratebook': () => this.harmCore(this.fleet.ratebooks, 'SIGTERM'),
      'lose-disk': () => this.loseAtAcknowledgement('disk'),
      'lose-core': () => this.loseAtAcknowledgement(this.chance.of(['SIGKILL', 'SIGSTOP', 'cut'] as const)),
      'kill-zone': () => this.killZone(),
      'kill-all': async () => void (await this.herd()),
      push: () => this.push(1),
      'push-rivals': () => this.push(4),
      'push-storm': async () => { for (let count = 0; count < 8; count += 1) await this.push(1); },
      'push-invalid': () => this.pushInvalid(),
      cut: () => this.cut(() => [[this.appName()], [this.appName()]], false),
      'cut-from-all': () => this.cut((one) => [[one], [...this.coreNames(), ...this.appNames().filter((name) => name !== one)]], true),
      'cut-from-core': () => this.cut((one) => [[one], this.coreNames()], false),
      'cut-from-neighbours': () => this.cut((one) => [[one], this.appNames().filter((name) => name !== one)], false),
      'split-core': () => this.splitCore((one, rest) => this.fleet.relay.split([one], rest)),
      'split-core-push': () => this.splitCore((one, rest) => {
        this.fleet.relay.split([one], rest);
        return this.push(1, [this.nextManifest()], this.chance.of(rest));
      }),
      'split-core-three': () => this.splitCore((one, rest) => {
        this.fleet.relay.split([one], rest);
        this.fleet.relay.split(rest.slice(0, 1), rest.slice(1));
      }),
      'cut-core': () => this.splitCore(() => this.fleet.relay.split(this.coreNames(), this.appNames())),
    };
    return acts[fault]();
  }

  /** A fresh manifest: the home's own, a binding that moves between the services or is withdrawn, and one that makes it unlike all others. */
  nextManifest(): object {
    this.pushCount += 1;
    const services = this.home.manifest.services;
    const target = this.chance.below(services.length + 1);
    const moving = target === services.length ? [] : [{ id: 'moving', service: services[target]?.name, prefix: MOVING_PREFIX }];
    return { ...this.home.manifest, bindings: [...this.home.manifest.bindings, ...moving, { id: `mark-${this.pushCount}`, service: services[0]?.name, prefix: `${MARK_PREFIX}${this.pushCount}` }] };
  }

  /** Pushes manifests on one base, all at once, and logs what each was told. */
  async push(rivals: number, manifests: readonly object[] = Array.from({ length: rivals }, () => this.nextManifest()), core = this.chance.of(this.fleet.cores).name): Promise<void> {
    const read = await callJson<{ readonly serial?: number }>('GET', `${this.fleet.operator(core)}/v1/manifest`).catch(() => null);
    if (read === null || read.status !== 200) return;
    const base = read.body.serial ?? 0;
    await Promise.all(manifests.map(async (manifest, index) => {
      const content = Manifest.check(manifest).map((checked) => Manifest.fingerprint(checked)).unwrapOr('invalid');
      const through = manifests.length === 1 ? core : this.fleet.cores[index % this.fleet.cores.length]?.name;
      const sentAt = Date.now();
      const answer = await callJson<{ readonly outcome?: string; readonly serial?: number }>('PUT', `${this.fleet.operator(through)}/v1/manifest`, { base, manifest }).catch(() => null);
      const outcome = answer?.status === 200 ? 'acknowledged' : answer?.body.outcome === 'turned-away' ? 'turned away' : 'undecided';
      this.changes.push({ base, outcome, serial: outcome === 'acknowledged' ? answer?.body.serial ?? 0 : 0, content, sentAt, at: Date.now(), routes: content === 'invalid' ? [] : (manifest as Home['manifest']).bindings });
    }));
  }

  /** Kills every process at once and starts them again. */
  async herd(daemons = this.fleet.daemons(), machines = this.appNames()): Promise<number> {
    if (this.busyCores.size > 0 || this.harmed.size > 0) return 0;
    machines.forEach((name) => this.harmed.add(name));
    this.busyCores.add('herd');
    const from = Date.now();
    const opened = machines.map((name) => this.harms.push({ machine: name, from, until: Infinity }) - 1);
    await Promise.all(daemons.map((daemon) => daemon.end('SIGKILL')));
    await Promise.all(daemons.map((daemon) => daemon.start()));
    const backAt = Date.now();
    await Promise.all(daemons.map((daemon) => this.fleet.ready(daemon)));
    opened.forEach((index) => { this.harms[index] = { ...(this.harms[index] as HarmLog), until: Date.now() }; });
    machines.forEach((name) => this.harmed.delete(name));
    this.busyCores.delete('herd');
    return backAt;
  }

  private async killZone(): Promise<void> {
    const { zone } = this.chance.of(this.fleet.machines);
    const names = this.fleet.machines.filter((machine) => machine.zone === zone).map((machine) => machine.name);
    await this.herd(names.flatMap((name) => this.fleet.switchboards.get(name) ?? []), names);
  }

  private appNames(): readonly string[] {
    return this.fleet.machines.map((machine) => machine.name);
  }

  private appName(): string {
    return this.chance.of(this.fleet.machines).name;
  }

  private coreNames(): readonly string[] {
    return this.fleet.cores.map((core) => core.name);
  }

  /** Notes a harm for as long as the work lasts. */
  private async harming<T>(machine: string | null, work: () => Promise<T>): Promise<T> {
    const index = this.harms.push({ machine, from: Date.now(), until: Infinity }) - 1;
    try {
      return await work();
    } finally {
      this.harms[index] = { ...(this.harms[index] as HarmLog), until: Date.now() };
    }
  }

  private async rollEndpoint(isReplaced: boolean): Promise<void> {
    const endpoint = this.takeEndpoint();
    if (endpoint === null) return;
    const status = await endpoint.signOff().catch(() => 0);
    if (status === 200) this.departures.push({ instance: endpoint.instance, acknowledgedAt: Date.now() });
    await endpoint.die();
    if (isReplaced) return this.revive(endpoint);
    const elsewhere = this.fleet.machine(this.chance.of(this.sound()));
    const fresh = await StandInEndpoint.start({ ...endpoint.place, host: elsewhere.host, zone: elsewhere.zone, id: `${endpoint.place.service}-new-${this.fleet.endpoints.length}` }).catch(() => null);
    if (fresh !== null) this.fleet.endpoints.push(fresh);
    this.busy.delete(endpoint);
  }

  /** Says in a beat that it is leaving, and goes when its switchboard says that nothing runs there any more, or at once. */
  private async leaveByBeat(waits: boolean): Promise<void> {
    const endpoint = this.takeEndpoint();
    if (endpoint === null) return;
    const heard = await endpoint.announceLeaving();
    if (heard) this.departures.push({ instance: endpoint.instance, acknowledgedAt: Date.now() });
    while (waits && heard && endpoint.toldRunning > 0) {
      await pause(20);
      if (!(await endpoint.beat())) break;
    }
    await endpoint.die();
    await this.revive(endpoint);
  }

  private async freezeEndpoint(): Promise<void> {
    const endpoint = this.takeEndpoint();
    if (endpoint === null) return;
    const thaw = endpoint.freeze();
    await pause(500 + this.chance.below(3000));
    thaw();
    this.busy.delete(endpoint);
  }

  /** A core machine is lost at the moment of an acknowledgement that it gave: its disk, its processes or its cables. */
  private async loseAtAcknowledgement(how: 'disk' | 'SIGKILL' | 'SIGSTOP' | 'cut'): Promise<void> {
    const core = this.chance.of(this.fleet.cores).name;
    if (this.busyCores.size > 0 || (how === 'cut' && this.fleet.plan.relayed !== true)) return;
    this.busyCores.add(core);
    const processes = [this.fleet.ratebooks.get(core), this.fleet.directories.get(core)].filter((daemon) => daemon !== undefined);
    await this.push(1, [this.nextManifest()], core);
    await this.harming(null, async () => {
      if (how === 'cut') this.fleet.relay.split([core], [...this.coreNames().filter((name) => name !== core), ...this.appNames()]);
      else if (how === 'SIGSTOP') processes.forEach((daemon) => daemon.signal('SIGSTOP'));
      else await Promise.all(processes.map((daemon) => daemon.end('SIGKILL')));
      await pause(1000 + this.chance.below(4000));
      if (how === 'cut') this.fleet.relay.heal();
      else if (how === 'SIGSTOP') processes.forEach((daemon) => daemon.signal('SIGCONT'));
      else {
        if (how === 'disk') this.fleet.wipe(core);
        await Promise.all(processes.map((daemon) => daemon.start()));
      }
      await Promise.all(processes.map((daemon) => this.fleet.ready(daemon)));
    });
    this.busyCores.delete(core);
  }

  private async killEndpoint(reuse: boolean): Promise<void> {
    const endpoint = this.takeEndpoint();
    if (endpoint === null) return;
    const port = Number(endpoint.address.split(':')[1]);
    await endpoint.die();
    await pause(2000 + this.chance.below(500));
    if (!reuse) return this.revive(endpoint);
    const other = this.chance.of(this.home.services.filter((service) => service.name !== endpoint.place.service)).name;
    const taker = await StandInEndpoint.start({ ...endpoint.place, service: other, id: `${other}-taker-${this.pushCount}-${port}`, port }).catch(() => null);
    if (taker !== null) {
      this.fleet.endpoints.push(taker);
      await pause(1500);
      const status = await taker.signOff().catch(() => 0);
      if (status === 200) this.departures.push({ instance: taker.instance, acknowledgedAt: Date.now() });
      await taker.die();
    }
    await this.revive(endpoint);
  }

  private async breakEndpoint(): Promise<void> {
    const endpoint = this.takeEndpoint();
    if (endpoint === null) return;
    const broken = this.chance.of(BROKEN);
    endpoint.behaviour = () => broken;
    await pause(1000 + this.chance.below(3000));
    endpoint.behaviour = () => 'serves';
    this.busy.delete(endpoint);
  }

  /** One machine whose switchboard may be harmed while all others are sound. */
  private takeSwitchboard(): readonly [string, Daemon] | null {
    const sound = this.sound();
    if (sound.length < this.fleet.machines.length - 1) return null;
    const name = this.chance.of(sound);
    const daemon = this.fleet.switchboards.get(name);
    return daemon === undefined ? null : [name, daemon];
  }

  private async harmSwitchboard(signal: 'SIGKILL' | 'SIGSTOP'): Promise<void> {
    const taken = this.takeSwitchboard();
    if (taken === null) return;
    const [name, daemon] = taken;
    this.harmed.add(name);
    await this.harming(name, async () => {
      await this.harm(daemon, signal);
      await this.fleet.ready(daemon);
    });
    this.harmed.delete(name);
  }

  /** As the users' platform stops a machine: callers leave when a look, one a second, finds it unready; after 6 s it is killed. */
  private async platformStop(): Promise<void> {
    const taken = this.takeSwitchboard();
    if (taken === null || this.stopping.has(taken[0])) return;
    const [name, daemon] = taken;
    this.stopping.add(name);
    const gone = daemon.end('SIGTERM');
    const kill = setTimeout(() => daemon.signal('SIGKILL'), STOP_ALLOWANCE_MS);
    await pause(this.chance.below(1000));
    while (daemon.isRunning && (await this.fleet.isReady(daemon))) await pause(1000);
    this.harmed.add(name);
    await gone;
    clearTimeout(kill);
    await daemon.start();
    await this.fleet.ready(daemon);
    this.harmed.delete(name);
    this.stopping.delete(name);
  }

  private async harmCore(daemons: ReadonlyMap<string, Daemon>, signal: NodeJS.Signals): Promise<void> {
    const name = this.chance.of(this.fleet.cores).name;
    const daemon = daemons.get(name);
    if (daemon === undefined || this.busyCores.size > 0) return;
    this.busyCores.add(name);
    await this.harm(daemon, signal);
    await this.fleet.ready(daemon);
    this.busyCores.delete(name);
  }

  private async harm(daemon: Daemon, signal: NodeJS.Signals): Promise<void> {
    if (signal === 'SIGSTOP') {
      daemon.signal('SIGSTOP');
      await pause(700 + this.chance.below(3000));
      daemon.signal('SIGCONT');
      return;
    }
    await daemon.end(signal);
    await pause(this.chance.below(1500));
    await daemon.start();
  }

  private async pushInvalid(): Promise<void> {
    const good = this.nextManifest() as { readonly bindings: readonly object[] };
    const bad = this.chance.of<object>([{ ...good, bindings: [...good.bindings, { id: 'stray', service: 'nowhere', prefix: '/stray' }] }, { ...good, shade: 'blue' }, { services: 7 }]);
    await this.push(1, [bad]);
  }

  /** Cuts the ways between two sides for a while; `isLost` when the one machine then has nobody left. */
  private async cut(sides: (one: string) => readonly [readonly string[], readonly string[]], isLost: boolean): Promise<void> {
    if (this.fleet.plan.relayed !== true || this.harmed.size > 0 || this.busyCores.size > 0) return;
    const one = this.appName();
    const [side, other] = sides(one);
    if (side.some((name) => other.includes(name))) return;
    this.harmed.add(one);
    this.busyCores.add('cut');
    await this.harming(isLost ? one : null, async () => {
      this.fleet.relay.split(side, other);
      await pause(500 + this.chance.below(3500));
      this.fleet.relay.heal();
    });
    this.busyCores.delete('cut');
    this.harmed.delete(one);
  }

  /** Splits the core machines for a while that begins when the split is done, with whatever is done in it at once. */
  private async splitCore(split: (one: string, rest: readonly string[]) => Promise<void> | void): Promise<void> {
    if (this.fleet.plan.relayed !== true || this.busyCores.size > 0) return;
    const one = this.chance.of(this.fleet.cores).name;
    this.busyCores.add(one);
    await split(one, this.coreNames().filter((core) => core !== one));
    await pause(1000 + this.chance.below(4000));
    this.fleet.relay.heal();
    this.busyCores.delete(one);
  }

  /** An endpoint that may be harmed: one at a time of each service. */
  private takeEndpoint(): StandInEndpoint | null {
    const busyServices = new Set([...this.busy].map((endpoint) => endpoint.place.service));
    const free = this.fleet.endpoints.filter((endpoint) => endpoint.isAlive && !busyServices.has(endpoint.place.service) && !this.harmed.has(this.fleet.nameOf(endpoint.place.host)));
    if (free.length === 0) return null;
    const chosen = this.chance.of(free);
    this.busy.add(chosen);
    return chosen;
  }

  /** A new instance takes the place, now and then at the very address of the former one. */
  private async revive(endpoint: StandInEndpoint): Promise<void> {
    const port = this.chance.happens(0.5) ? Number(endpoint.listenedAt.split(':')[1]) : 0;
    const fresh = await StandInEndpoint.start({ ...endpoint.place, beatPort: PORTS.beat, port }).catch(() => StandInEndpoint.start({ ...endpoint.place, beatPort: PORTS.beat, port: 0 }));
    this.fleet.endpoints.push(fresh);
    this.busy.delete(endpoint);
  }
}
