import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Agent, request } from 'undici';
import { Daemon } from './daemon.js';
import type { Home } from './homes.js';
import { Relay } from './relay.js';
import type { RunLog } from './checker.js';
import { StandInEndpoint, type EndpointPlace, type RunRecord } from './standInEndpoint.js';

export const PORTS = {
  order: 7083, beat: 7084, switchAdmin: 7081, switchWire: 7080, switchMember: 7082, directoryWire: 7180, directoryAdmin: 7181, directoryMember: 7182,
  ratebookWire: 7280, ratebookAdmin: 7281, ratebookMember: 7282,
} as const;

export interface FleetPlan {
  readonly switchboards: number;
  readonly zones: number;
  readonly cores?: number;
  /** Machines advertise addresses of a relay that can cut and delay them. */
  readonly relayed?: boolean;
  /** The folder of another build's programs, to start from. */
  readonly programs?: string;
  /** Flags for every switchboard, directory or ratebook. */
  readonly flags?: Partial<Record<'switchboard' | 'directory' | 'ratebook' | 'all', readonly string[]>>;
}

export interface Machine {
  readonly name: string;
  /** Where its processes listen. */
  readonly host: string;
  /** Where others reach them: the relay, or the same. */
  readonly advertised: string;
  readonly zone: string;
}

export interface NodeState {
  readonly boot: string;
  readonly manifest: number;
  readonly fingerprint: string;
  readonly endpoints: readonly unknown[];
}

export interface JsonAnswer<T> {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: T;
}

const POLL_MS = 20;
const PATIENCE_MS = Number(process.env['PATIENCE_MS'] ?? 60_000);
const agent = new Agent({ pipelining: 0, connections: 512 });

/** Waits until the look finds something; fails loudly after a minute, even when the look itself hangs. */
export const until = async <T>(what: string, look: () => Promise<T | null | false> | T | null | false): Promise<T> => {
  let isOver = false;
  let timer: NodeJS.Timeout | undefined;
  const over = new Promise<never>((_settle, fail) => {
    timer = setTimeout(() => {
      isOver = true;
      fail(new Error(`waited in vain: ${what}`));
    }, PATIENCE_MS);
  });
  const search = async (): Promise<T> => {
    for (;;) {
      const found = await look();
      if ((found !== null && found !== false) || isOver) return found as T;
      await new Promise((settle) => { setTimeout(settle, POLL_MS); });
    }
  };
  return Promise.race([search(), over]).finally(() => clearTimeout(timer));
};

/** One JSON call. */
export const callJson = async <T>(method: string, url: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<JsonAnswer<T>> => {
  const answer = await request(url, {
    method: method as 'GET', dispatcher: agent, headers: { ...(body === undefined ? {} : { 'content-type': 'application/json' }), ...headers }, body: body === undefined ? null : JSON.stringify(body),
  });
  const text = await answer.body.text();
  let parsed: unknown = text;
  try {
    parsed = text === '' ? null : JSON.parse(text);
  } catch {
    parsed = text;
  }
  return { status: answer.statusCode, headers: answer.headers, body: parsed as T };
};

const isFree = (host: string, port: number): Promise<boolean> => new Promise((settle) => {
  const server = createServer();
  server.once('error', () => settle(false));
  server.listen(port, host, () => server.close(() => settle(true)));
});

/** A block of loopback addresses that nobody uses; each machine of a fleet gets one of them. */
export const freeBlock = async (): Promise<string> => {
  for (;;) {
    const pick = (from: number, to: number): number => from + Math.floor(Math.random() * (to - from));
    const block = `127.${pick(64, 250)}.${pick(1, 255)}`;
    if ((await Promise.all([PORTS.order, PORTS.switchWire, PORTS.ratebookAdmin].map((port) => isFree(`${block}.1`, port)))).every(Boolean)) return block;
  }
};

/** A whole mesh on one machine: each "machine" is a loopback address with its processes. */
export class Fleet {
  readonly cores: readonly Machine[];
  readonly machines: readonly Machine[];
  readonly directories = new Map<string, Daemon>();
  readonly ratebooks = new Map<string, Daemon>();
  readonly switchboards = new Map<string, Daemon>();
  readonly endpoints: StandInEndpoint[] = [];
  readonly relay = new Relay();

  private constructor(readonly plan: FleetPlan, readonly block: string, readonly folder: string) {
    const zoneOf = (index: number): string => `zone${(index % plan.zones) + 1}`;
    const make = (name: string, last: number, zone: string): Machine => ({ name, host: `${block}.${last}`, advertised: `${block}.${plan.relayed === true ? last + 100 : last}`, zone });
    this.cores = Array.from({ length: plan.cores ?? 3 }, (_, index) => make(`core${index + 1}`, index + 1, zoneOf(index)));
    this.machines = Array.from({ length: plan.switchboards }, (_, index) => make(`app${index + 1}`, index + 11, zoneOf(index)));
  }

  /** Starts every process and resolves when all are ready but for the manifest. */
  static async start(plan: FleetPlan, logLine: (line: string) => void = () => undefined): Promise<Fleet> {
    const fleet = new Fleet(plan, await freeBlock(), mkdtempSync(join(tmpdir(), 'opalstair-')));
    writeFileSync(join(fleet.folder, 'seeds.json'), JSON.stringify({ seeds: fleet.seeds() }));
    for (const core of fleet.cores) {
      fleet.ratebooks.set(core.name, fleet.daemon('ratebook', core, PORTS.ratebookAdmin, ['--data-folder', join(fleet.folder, core.name)], logLine));
      fleet.directories.set(core.name, fleet.daemon('directory', core, PORTS.directoryAdmin, [], logLine));
    }
    for (const machine of fleet.machines) {
      fleet.switchboards.set(machine.name, fleet.daemon('switchboard', machine, PORTS.switchAdmin, [], logLine));
    }
    if (plan.programs !== undefined) for (const daemon of fleet.daemons()) daemon.programs = plan.programs;
    if (plan.relayed === true) await Promise.all([...fleet.cores, ...fleet.machines].map((machine) => fleet.relayTo(machine)));
    await Promise.all(fleet.daemons().map((daemon) => daemon.start()));
    await Promise.all([...fleet.ratebooks.values(), ...fleet.directories.values()].map((daemon) => fleet.ready(daemon)));
    await until('an owner of the manifest', async () => (await callJson('GET', `${fleet.operator()}/v1/manifest`)).status === 200);
    return fleet;
  }

  /** Puts the relay before a machine. */
  async relayTo(machine: Machine): Promise<void> {
    const tcp = machine.name.startsWith('core') ? [PORTS.directoryWire, PORTS.ratebookWire] : [PORTS.switchWire];
    const udp = machine.name.startsWith('core') ? [PORTS.directoryMember, PORTS.ratebookMember] : [PORTS.switchMember];
    await this.relay.open(machine.name, machine.advertised, machine.host, tcp, udp, (address) => this.nameOf(address));
  }

  private seeds(): readonly string[] {
    return this.cores.map((core) => `${core.advertised}:${PORTS.ratebookMember}`);
  }

  /** Changes the seed list of every process that runs, by its settings file and a reload. */
  async reseed(seeds: readonly string[]): Promise<void> {
    writeFileSync(join(this.folder, 'seeds.json'), JSON.stringify({ seeds }));
    await Promise.all(this.daemons().filter((daemon) => daemon.isRunning).map((daemon) => {
      const reloaded = daemon.next('reloaded');
      daemon.signal('SIGHUP');
      return reloaded;
    }));
  }

  /** Empties the data folder of a core machine whose ratebook does not run. */
  wipe(core: string): void {
    rmSync(join(this.folder, core), { recursive: true, force: true });
  }

  nameOf(address: string): string {
    return [...this.cores, ...this.machines].find((one) => one.host === address)?.name ?? address;
  }

  daemons(): readonly Daemon[] {
    return [...this.ratebooks.values(), ...this.directories.values(), ...this.switchboards.values()];
  }

  /** Makes a process of a machine, not yet started. */
  daemon(program: 'switchboard' | 'directory' | 'ratebook', machine: Machine, adminPort: number, more: readonly string[], logLine: (line: string) => void = () => undefined): Daemon {
    const seeds = more.includes('--settings') ? this.seeds().flatMap((seed) => ['--seed', seed]) : ['--settings', join(this.folder, 'seeds.json')];
    const chosen = [...(this.plan.flags?.all ?? []), ...(this.plan.flags?.[program] ?? [])];
    const flags = ['--node', machine.name, '--zone', machine.zone, '--host', machine.advertised, '--listen-host', machine.host, '--cluster', this.block, ...seeds, ...more, ...chosen];
    return new Daemon(program, flags, `${machine.host}:${adminPort}`, logLine);
  }

  async ready(daemon: Daemon): Promise<void> {
    await until(`${daemon.program} ${daemon.adminAddress} ready`, () => this.isReady(daemon));
  }

  async isReady(daemon: Daemon): Promise<boolean> {
    return callJson('GET', `http://${daemon.adminAddress}/ready`).then((answer) => answer.status === 200, () => false);
  }

  /** Where operators call: the directory of a core machine. */
  operator(core = 'core1'): string {
    return `http://${this.directories.get(core)?.adminAddress}`;
  }

  /** The core machine whose ratebook owns a key now; waits for one. */
  ownerOf(key: string): Promise<string> {
    return until(`an owner of ${key}`, async () => {
      for (const [name, daemon] of this.ratebooks) {
        const metrics = await callJson<string>('GET', `http://${daemon.adminAddress}/metrics`).catch(() => null);
        if (metrics !== null && metrics.body.includes(`opalstair_key_owned{key="${key}"} 1`)) return name;
      }
      return null;
    });
  }

  orderUrl(machine: string, path: string): string {
    return `http://${this.machine(machine).host}:${PORTS.order}${path}`;
  }

  machine(name: string): Machine {
    const found = [...this.machines, ...this.cores].find((one) => one.name === name);
    if (found === undefined) throw new Error(`no machine ${name}`);
    return found;
  }

  /** Pushes a manifest on top of what is in force; gives its serial. */
  async push(manifest: unknown, core = 'core1'): Promise<number> {
    const base = await callJson<{ readonly serial: number }>('GET', `${this.operator(core)}/v1/manifest`);
    const answer = await callJson<{ readonly serial: number }>('PUT', `${this.operator(core)}/v1/manifest`, { base: base.body.serial, manifest });
    if (answer.status !== 200) throw new Error(`push: ${answer.status} ${JSON.stringify(answer.body)}`);
    return answer.body.serial;
  }

  /** Waits until every switchboard that runs has the serial in force. */
  async inForce(serial: number, names: readonly string[] = [...this.switchboards.keys()]): Promise<void> {
    await Promise.all(names.map((name) => until(`serial ${serial} at ${name}`, async () => (await this.state(name))?.manifest === serial)));
  }

  async state(name: string): Promise<NodeState | null> {
    const address = this.switchboards.get(name)?.adminAddress;
    return callJson<NodeState>('GET', `http://${address}/v1/state`).then((answer) => answer.body, () => null);
  }

  /** Starts a stand-in endpoint on a machine. */
  async endpoint(machine: string, service: string, id: string, more: Partial<EndpointPlace> = {}): Promise<StandInEndpoint> {
    const { host, zone } = this.machine(machine);
    const endpoint = await StandInEndpoint.start({ host, zone, beatPort: PORTS.beat, service, id, slots: 9, ...more });
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Waits until a switchboard would pick among exactly these endpoints of a service. */
  async listed(service: string, ids: readonly string[], names: readonly string[] = [...this.switchboards.keys()]): Promise<void> {
    const wanted = [...ids].sort().join();
    await Promise.all(names.map((name) => until(`${service} at ${name}: ${wanted}`, async () => {
      const address = this.switchboards.get(name)?.adminAddress;
      const answer = await callJson<{ readonly rows: readonly { readonly id: string; readonly leaving: boolean }[] }>('GET', `http://${address}/v1/services/${service}`).catch(() => null);
      return answer !== null && answer.status === 200 && answer.body.rows.filter((row) => !row.leaving).map((row) => row.id).sort().join() === wanted;
    })));
  }

  /** Puts a home's manifest in force and starts its endpoints, spread over the machines. */
  async furnish(home: Home): Promise<void> {
    await this.inForce(await this.push(home.manifest));
    await this.staff(home);
  }

  /** Starts a home's endpoints and waits until every switchboard lists them. */
  async staff(home: Home): Promise<void> {
    const places = home.services.flatMap(({ name, endpoints }) => Array.from({ length: endpoints }, (_, index) => ({ service: name, id: `${name}-${index + 1}` })));
    await Promise.all(places.map(({ service, id }, index) => this.endpoint(this.machines[index % this.machines.length]?.name ?? '', service, id, { slots: home.slots })));
    await Promise.all(home.services.map(({ name }) => this.listed(name, places.filter(({ service }) => service === name).map(({ id }) => id))));
  }

  /** What the stand-in endpoints logged, as the checker takes it. */
  logs(of: (endpoint: StandInEndpoint) => readonly RunRecord[]): readonly RunLog[] {
    return this.endpoints.flatMap((endpoint) => of(endpoint).map((record) => ({ ...record, machine: this.nameOf(endpoint.place.host), at: record.at.getTime() })));
  }

  /** Rolls every process to this build, one after another, as planned stops. */
  async upgrade(): Promise<void> {
    for (const daemon of this.daemons()) {
      daemon.upgrade();
      await daemon.end('SIGTERM');
      await daemon.start();
      await this.ready(daemon);
    }
  }

  /** Brings every process back into service, whatever was left frozen, cut off, ending or ended; endpoints serve again. */
  async restore(): Promise<void> {
    this.relay.heal();
    for (const endpoint of this.endpoints) {
      endpoint.behaviour = () => 'serves';
      endpoint.onRun = () => undefined;
    }
    this.daemons().forEach((daemon) => daemon.signal('SIGCONT'));
    await Promise.all(this.daemons().filter((daemon) => daemon.isEnding).map((daemon) => daemon.end('SIGKILL')));
    await Promise.all(this.daemons().filter((daemon) => !daemon.isRunning).map((daemon) => daemon.start()));
    await Promise.all(this.daemons().map((daemon) => this.ready(daemon)));
  }

  /** Ends everything and removes the data. */
  async end(): Promise<void> {
    this.endpoints.forEach((endpoint) => endpoint.stopBeating());
    this.daemons().forEach((daemon) => daemon.signal('SIGCONT'));
    await Promise.all([...this.daemons().map((daemon) => daemon.end('SIGKILL')), ...this.endpoints.map((endpoint) => endpoint.die().catch(() => undefined))]);
    await this.relay.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
