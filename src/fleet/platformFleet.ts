import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { err, ok, Result } from 'neverthrow';
import { Defect } from '../process/defect.js';
import { Daemon } from './daemon.js';
import { callJson, freeBlock, until, type JsonAnswer, type NodeState } from './fleet.js';
import { PlatformEndpoint, type PlatformPlace } from './platformEndpoint.js';

/** The ports of every machine, as the platform hands them out. */
export const PLATFORM_PORTS = { internal: 17400, outbound: 17410, inbound: 17411, control: 17412, readiness: 17413, application: 17414 } as const;

const distFolder = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const templateFolder = join(distFolder, '..', 'deploy');
const GAP = /\{\{([A-Za-z0-9_.]+)(\|json)?\}\}/g;
const SLOTS = 4;
/** Enough to see it done; the platform's own settings ask for more. */
export const REHEARSED = 20;

/** What a machine may use, in the platform's words. */
export const MACHINE_LIMITS = { memory_mb: 250, file_descriptors: 4100, disk_space_mb: 256 };

/** The options of Node that the deploy file runs a program with. */
const deployedOptions = (program: string): readonly string[] =>
  new RegExp(`^run = "node (.*) target/${program}\\.cjs`, 'm').exec(readFileSync(join(templateFolder, 'system.toml'), 'utf8'))?.[1]?.split(' ') ?? [];

/** A template that asks for a field that the platform does not give. */
export class EmptyGap extends Defect {
  readonly kind = 'empty-gap';
}

type Fields = Readonly<Record<string, unknown>>;

const lookUp = (fields: Fields, path: string): unknown =>
  path.split('.').reduce<unknown>((found, step) => (typeof found === 'object' && found !== null ? (found as Fields)[step] : undefined), fields);

/** Fills the gaps of a settings template from the platform's fields: `{{a.b}}` bare, `{{a|json}}` as JSON. */
export const fillTemplate = (text: string, fields: Fields): Result<string, EmptyGap> => {
  const missing = [...text.matchAll(GAP)].map((gap) => gap[1] as string).filter((path) => lookUp(fields, path) === undefined);
  if (missing.length > 0) return err(new EmptyGap(missing.join(', ')));
  return ok(text.replace(GAP, (_gap, path: string, asJson: string | undefined) => {
    const value = lookUp(fields, path);
    return asJson !== undefined ? JSON.stringify(value) : String(value);
  }));
};

export interface PlatformPlan {
  /** The service of each sidecar's machine. */
  readonly services: readonly string[];
  readonly cores?: number;
  /** How many requests endpoints get beyond their slots; none if not given, whatever the platform's settings say. */
  readonly backlog?: number;
  /** The limits of every machine, in the platform's words, where they differ from `MACHINE_LIMITS`. */
  readonly limits?: Partial<typeof MACHINE_LIMITS>;
  /** Whether processes run with the options of the deploy file and no more descriptors than their limit. */
  readonly isConfined?: boolean;
}

export interface PlatformMachine {
  readonly name: string;
  readonly host: string;
  /** The service whose endpoint runs here; empty on core machines. */
  readonly service: string;
}

/** What a client sends beside method and path. */
export interface ClientRequest {
  readonly host?: string;
  readonly id?: string;
  readonly leftMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** A whole mesh as the platform runs it: its own entry points, and settings files filled from the templates. */
export class PlatformFleet {
  readonly cores: readonly PlatformMachine[];
  readonly machines: readonly PlatformMachine[];
  readonly directories = new Map<string, Daemon>();
  readonly ratebooks = new Map<string, Daemon>();
  readonly sidecars = new Map<string, Daemon>();
  readonly endpoints: PlatformEndpoint[] = [];
  private requestCount = 0;
  /** Lays the settings files of all processes as they are after the first start. */
  private readonly layAnew: (() => void)[] = [];

  private readonly backlog: number;

  private constructor(private readonly plan: PlatformPlan, block: string, readonly folder: string) {
    this.backlog = plan.backlog ?? 0;
    this.cores = Array.from({ length: plan.cores ?? 3 }, (_, index) => ({ name: `core${index + 1}`, host: `${block}.${index + 1}`, service: '' }));
    this.machines = plan.services.map((service, index) => ({ name: `app${index + 1}`, host: `${block}.${index + 11}`, service }));
  }

  /** Starts every process and resolves when all listen and the core can take a configuration. */
  static async start(plan: PlatformPlan): Promise<PlatformFleet> {
    const fleet = new PlatformFleet(plan, await freeBlock(), mkdtempSync(join(tmpdir(), 'opalstair-platform-')));
    const { internal } = PLATFORM_PORTS;
    for (const core of fleet.cores) {
      fleet.directories.set(core.name, fleet.daemon('core', 'directory', core, internal + 1));
      fleet.ratebooks.set(core.name, fleet.daemon('ratebook', 'ratebook', core, internal + 3));
    }
    for (const machine of fleet.machines) fleet.sidecars.set(machine.name, fleet.daemon('sidecar', 'switchboard', machine, internal + 1));
    await Promise.all(fleet.daemons().map((daemon) => daemon.start()));
    await Promise.all([...fleet.ratebooks.values(), ...fleet.directories.values()].map((daemon) =>
      until(`${daemon.program} ${daemon.adminAddress} ready`, () => callJson('GET', `http://${daemon.adminAddress}/ready`).then((answer) => answer.status === 200, () => false))));
    await until('an owner of the configuration', async () => (await fleet.read()).status === 404);
    fleet.layAnew.forEach((lay) => lay());
    return fleet;
  }

  daemons(): readonly Daemon[] {
    return [...this.ratebooks.values(), ...this.directories.values(), ...this.sidecars.values()];
  }

  /** Empties the data folder of a core machine whose ratebook does not run. */
  wipe(core: string): void {
    rmSync(join(this.folder, core), { recursive: true, force: true });
  }

  /** The ids of the disks that vote, by the word of a core machine's directory. */
  async votingDisks(core: string): Promise<readonly string[]> {
    const answer = await callJson<{ readonly voters: { readonly members: readonly { readonly id: string }[] } | null }>('GET', `http://${this.directories.get(core)?.adminAddress}/v1/roster`);
    return (answer.body.voters?.members ?? []).map(({ id }) => id);
  }

  /** How many ratebooks have the mark of an instance's departure on their disks. */
  async disksWithMark(instance: string): Promise<number> {
    const answers = await Promise.all([...this.ratebooks.values()].map((daemon) => callJson<{ readonly marks: readonly { readonly instance: string }[] }>('GET', `http://${daemon.adminAddress}/v1/departures`).catch(() => null)));
    return answers.filter((answer) => answer?.body.marks.some((mark) => mark.instance === instance)).length;
  }

  machine(name: string): PlatformMachine {
    const found = [...this.machines, ...this.cores].find((one) => one.name === name);
    if (found === undefined) throw new Error(`no machine ${name}`);
    return found;
  }

  /** The fields that the platform fills templates from, for one machine. */
  fields(machine: PlatformMachine, isInitialStart = true): Fields {
    const at = (port: number): string => `${machine.host}:${port}`;
    const { internal, outbound, inbound, control, readiness } = PLATFORM_PORTS;
    return {
      node_name: machine.name, zone: 'zone1', ip_address: machine.host, service: machine.service, application: at(PLATFORM_PORTS.application), seed_nodes: this.cores.map((core) => `${core.host}:${control}`),
      internal_ports: [internal, internal + 9], listen_addresses: { outbound: at(outbound), inbound: at(inbound), control_plane: at(control), readiness: at(readiness) },
      data_directory: join(this.folder, machine.name), limits: { ...MACHINE_LIMITS, ...this.plan.limits }, fault_tolerance: { machine_losses: 1 }, initial_start: isInitialStart,
      bounds: { config_apply: '2000ms', retry_budget_ratio: 0.2, retry_allowance: 60 },
    };
  }

  /** Puts a whole configuration on top of a base, word for word when it is a text. */
  replace(base: number | string, configuration: unknown, core = 'core1'): Promise<JsonAnswer<{ readonly error_message?: string }>> {
    const text = typeof configuration === 'string' ? configuration : JSON.stringify(configuration);
    return this.operator('POST', '/-/configuration/replace', core, { 'base-version': String(base), 'content-type': 'application/json' }, text);
  }

  /** Reads the configuration back as the bytes that came. */
  async read(core = 'core1'): Promise<{ readonly status: number; readonly text: string }> {
    const answer = await fetch(`http://${this.machine(core).host}:${PLATFORM_PORTS.control}/-/configuration/read`);
    return { status: answer.status, text: await answer.text() };
  }

  /** Orders a rollout, of any core machine's node. */
  beginRollout(order: { readonly service: string; readonly target_version: string; readonly duration: string }, core = 'core1'): Promise<JsonAnswer<{ readonly error_message?: string }>> {
    return this.operator('POST', '/-/rollouts/begin', core, { 'content-type': 'application/json' }, JSON.stringify(order));
  }

  /** Reads a service's latest rollout. */
  async readRollout(service: string, core = 'core1'): Promise<JsonAnswer<{ readonly state?: string; readonly target_version?: string }>> {
    return callJson('GET', `http://${this.machine(core).host}:${PLATFORM_PORTS.control}/-/rollouts/${service}/read`);
  }

  /** Puts a configuration in force everywhere; fails when it is not taken. */
  async enforce(base: number, configuration: { readonly version: number }): Promise<void> {
    const answer = await this.replace(base, configuration);
    if (answer.status !== 200) throw new Error(`replace: ${answer.status} ${JSON.stringify(answer.body)}`);
    await this.inForce(configuration.version);
  }

  /** Waits until every sidecar that runs has the version in force. */
  async inForce(version: number): Promise<void> {
    await Promise.all([...this.sidecars].filter(([, daemon]) => daemon.isRunning).map(([name, daemon]) => until(`version ${version} at ${name}`, async () =>
      (await callJson<NodeState>('GET', `http://${daemon.adminAddress}/v1/state`).catch(() => null))?.body.manifest === version)));
  }

  async readiness(machine: string): Promise<number> {
    return fetch(`http://${this.machine(machine).host}:${PLATFORM_PORTS.readiness}/-/readiness`).then((answer) => answer.status, () => 0);
  }

  /** One request of a client of a machine. */
  request<T>(machine: string, method: string, path: string, given: ClientRequest = {}): Promise<JsonAnswer<T>> {
    this.requestCount += 1;
    const headers = { host: given.host ?? 'shop.example', 'attempt-id': given.id ?? `a${this.requestCount}`, 'deadline-remaining': String(given.leftMs ?? 5000), ...given.headers };
    return callJson<T>(method, `http://${this.machine(machine).host}:${PLATFORM_PORTS.outbound}${path}`, given.body, headers);
  }

  /** Waits until a machine has saved enough of the allowance for one repeat of a route; requests that go well earn it. */
  async saved(machine: string, route: string, earn: () => Promise<unknown>): Promise<void> {
    const daemon = this.sidecars.get(machine);
    await until(`a repeat of ${route} at ${machine}`, async () => {
      await earn();
      const state = await callJson<{ readonly allowance: readonly { readonly branch: string; readonly tokens: number }[] }>('GET', `http://${daemon?.adminAddress}/v1/state`);
      const branches = state.body.allowance.filter(({ branch }) => branch === 'fleet' || branch.startsWith('service/') || branch === `binding/${route}`);
      return branches.length >= 3 && branches.every(({ tokens }) => tokens >= 1);
    });
  }

  /** Starts an endpoint beside a machine's sidecar, of that machine's service. */
  async endpoint(machine: string, more: Partial<PlatformPlace> = {}): Promise<PlatformEndpoint> {
    const { host, service } = this.machine(machine);
    const endpoint = await PlatformEndpoint.start({ host, zone: 'zone1', beatPort: PLATFORM_PORTS.control, service, slots: SLOTS, ...more });
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Waits until every sidecar that runs would pick among exactly these endpoints of a service. */
  async listed(service: string, endpoints: readonly PlatformEndpoint[]): Promise<void> {
    const wanted = endpoints.map((endpoint) => endpoint.instance).sort().join();
    await Promise.all([...this.sidecars].filter(([, daemon]) => daemon.isRunning).map(([name, daemon]) => until(`${service} at ${name}: ${wanted}`, async () => {
      const answer = await callJson<{ readonly rows: readonly { readonly instance: string; readonly leaving: boolean }[] }>('GET', `http://${daemon.adminAddress}/v1/services/${service}`).catch(() => null);
      return answer !== null && answer.status === 200 && answer.body.rows.filter((row) => !row.leaving).map((row) => row.instance).sort().join() === wanted;
    })));
  }

  /** Brings every process back into service, whatever was left frozen, ending or ended; endpoints that are not kept depart, the others serve again. */
  async restore(kept: readonly PlatformEndpoint[]): Promise<void> {
    this.endpoints.forEach((endpoint) => endpoint.refresh());
    this.daemons().forEach((daemon) => daemon.signal('SIGCONT'));
    await Promise.all(this.daemons().filter((daemon) => daemon.isEnding).map((daemon) => daemon.end('SIGKILL')));
    await Promise.all(this.daemons().filter((daemon) => !daemon.isRunning).map((daemon) => daemon.start()));
    await Promise.all(this.daemons().map((daemon) =>
      until(`${daemon.program} ${daemon.adminAddress} ready`, () => callJson('GET', `http://${daemon.adminAddress}/ready`).then((answer) => answer.status === 200, () => false))));
    for (const endpoint of this.endpoints.filter((one) => one.isAlive && !kept.includes(one))) {
      await endpoint.depart();
      await endpoint.die();
    }
  }

  /** Ends everything and removes the data. */
  async end(): Promise<void> {
    this.endpoints.forEach((endpoint) => endpoint.stopBeating());
    await Promise.all([...this.daemons().map((daemon) => daemon.end('SIGKILL')), ...this.endpoints.filter((endpoint) => endpoint.isAlive).map((endpoint) => endpoint.die())]);
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async operator<T>(method: string, path: string, core: string, headers: Readonly<Record<string, string>>, body: string): Promise<JsonAnswer<T>> {
    const answer = await fetch(`http://${this.machine(core).host}:${PLATFORM_PORTS.control}${path}`, { method, headers, body });
    return { status: answer.status, headers: Object.fromEntries(answer.headers), body: await answer.json().catch(() => null) as T };
  }

  /** Lays a process's settings file as the platform does, and makes the process; its log says when it listens. */
  private daemon(program: 'core' | 'sidecar' | 'ratebook', template: string, machine: PlatformMachine, adminPort: number): Daemon {
    const file = join(this.folder, `${machine.name}-${template}.json`);
    const lay = (isInitialStart: boolean): void => {
      const filled = fillTemplate(readFileSync(join(templateFolder, `${template}.json`), 'utf8'), this.fields(machine, isInitialStart));
      if (filled.isErr()) throw new Error(filled.error.describe());
      writeFileSync(file, filled.value);
    };
    lay(true);
    this.layAnew.push(() => lay(false));
    const few = program === 'sidecar' ? ['--rehearsed-orders', String(REHEARSED), '--endpoint-backlog', String(this.backlog)] : [];
    const daemon = new Daemon(program, ['--settings', file, '--log-level', 'info', ...few], `${machine.host}:${adminPort}`);
    if (program !== 'ratebook') daemon.programs = join(distFolder, 'platform');
    if (this.plan.isConfined === true) {
      daemon.nodeOptions = deployedOptions(template);
      daemon.descriptors = this.plan.limits?.file_descriptors ?? MACHINE_LIMITS.file_descriptors;
    }
    return daemon;
  }
}
