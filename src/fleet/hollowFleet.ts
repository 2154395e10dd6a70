import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { readFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { Address, type NodeName, type Serial, type ServiceName, type ZoneName } from '../process/brands.js';
import { Chance } from './chance.js';
import type { Daemon } from './daemon.js';
import { Fleet, PORTS } from './fleet.js';
import { HollowNode } from './hollowNode.js';

export interface HollowPlan {
  readonly nodes: number;
  readonly services: number;
  readonly routes: number;
  readonly seconds: number;
  readonly changesAMinute: number;
  readonly restartsAMinute: number;
  /** All nodes ask for lists from their first moment, as after a power cut; else they first report, then ask one after another. */
  readonly isStorm: boolean;
}

/** What one core process cost over the measured time; `heldMiB` is its highest memory since its start. */
export interface ProcessCost {
  readonly name: string;
  readonly role: 'directory' | 'ratebook';
  readonly cpuMsPerSecond: number;
  readonly rssMiB: number;
  readonly heldMiB: number;
}

/** One change of the manifest: from its acknowledgement to the poll answers that carry it. */
export interface ForceTime {
  readonly serial: number;
  readonly pushMs: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly worstMs: number;
  readonly missing: number;
}

export interface HollowFigures {
  readonly plan: HollowPlan;
  readonly warmUpMs: number;
  /** Whether every node had the whole list before the measured time began. */
  readonly isWarm: boolean;
  readonly warmUpBytesInPerNode: number;
  readonly measuredSeconds: number;
  readonly processes: readonly ProcessCost[];
  readonly perNode: { readonly bytesInPerSecond: number; readonly bytesOutPerSecond: number; readonly messagesPerSecond: number; readonly listsPerSecond: number; readonly manifestsPerSecond: number; readonly masksPerSecond: number };
  readonly messages: Readonly<Record<string, number>>;
  readonly failures: Readonly<Record<string, number>>;
  readonly restarts: number;
  /** Duties that a directory took within the measured time: in a steady state none. */
  readonly dutiesTaken: number;
  readonly changesFailed: number;
  readonly force: readonly ForceTime[];
  readonly forceOverAll: { readonly medianMs: number; readonly p99Ms: number; readonly worstMs: number };
  /** This process itself: near 1000 ms/s, or with long delays, times are its own. */
  readonly hollow: { readonly cpuMsPerSecond: number; readonly rssMiB: number; readonly loopDelayP99Ms: number; readonly loopDelayWorstMs: number };
}

interface Push {
  readonly serial: number;
  readonly pushMs: number;
  readonly acknowledgedAt: number;
}

const WARM_MS = 30_000;
const REPORTS_FIRST_MS = 2000;
const ASK_APART_MS = 5;
const FORCE_MS = 10_000;
const LOOK_MS = 50;
const TICK_MS = 10;
const LOCAL_LAST = 250;

const quantile = (sorted: readonly number[], part: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
const ascending = (values: readonly number[]): readonly number[] => [...values].sort((one, other) => one - other);
const pause = (millis: number): Promise<void> => new Promise((settle) => { setTimeout(settle, millis); });
const rounded = (value: number): number => Math.round(value * 100) / 100;

/** Processor time of a process so far, in milliseconds. */
const cpuMs = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /s, '').split(' ');
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
};
const memoryMiB = (pid: number, field: 'VmRSS' | 'VmHWM'): number => Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024;

/** Counts the bytes of every link that this process opens to a directory. */
class LinkBytes {
  private readonly open = new Set<Socket>();
  private closed = { in: 0, out: 0 };
  private readonly note = (message: unknown): void => {
    const { socket } = message as { readonly socket: Socket };
    socket.once('connect', () => { if (socket.remotePort === PORTS.directoryWire) this.open.add(socket); });
    socket.once('close', () => {
      if (this.open.delete(socket)) this.closed = { in: this.closed.in + socket.bytesRead, out: this.closed.out + socket.bytesWritten };
    });
  };

  start(): void {
    subscribe('net.client.socket', this.note);
  }

  stop(): void {
    unsubscribe('net.client.socket', this.note);
  }

  totals(): { readonly in: number; readonly out: number } {
    return [...this.open].reduce((sum, socket) => ({ in: sum.in + socket.bytesRead, out: sum.out + socket.bytesWritten }), this.closed);
  }
}

/** A manifest of so many services and routes; `mark` makes it another one. */
export const hollowManifest = ({ services, routes }: Pick<HollowPlan, 'services' | 'routes'>, mark: number): object => ({
  services: Array.from({ length: services }, (_, index) => ({ name: `service-${index + 1}` })),
  bindings: Array.from({ length: routes }, (_, index) => ({
    id: `route-${index + 1}`, service: `service-${(index % services) + 1}`, prefix: `/service-${(index % services) + 1}/${index + 1}`, cutoffMs: 1000 + (index === 0 ? mark : 0),
  })),
});

/** Real directories and ratebooks, and hollow nodes around them in this process. */
export class HollowFleet {
  private readonly bytes = new LinkBytes();
  private readonly chance = new Chance(7);
  private readonly pushes: Push[] = [];
  private nodes: readonly HollowNode[] = [];
  private mark = 0;
  private restarts = 0;
  private changesFailed = 0;

  private constructor(private readonly fleet: Fleet, private readonly plan: HollowPlan) {}

  /** Starts the core, adds the nodes, measures for the given time and ends all. */
  static async measure(plan: HollowPlan): Promise<HollowFigures> {
    const fleet = await Fleet.start({ switchboards: 0, zones: 3 });
    const hollow = new HollowFleet(fleet, plan);
    try {
      return await hollow.run();
    } finally {
      await Promise.all(hollow.nodes.map((node) => node.stop()));
      hollow.bytes.stop();
      await fleet.end();
    }
  }

  private async run(): Promise<HollowFigures> {
    const first = await this.fleet.push(hollowManifest(this.plan, this.mark));
    this.bytes.start();
    const begin = performance.now();
    this.nodes = Array.from({ length: this.plan.nodes }, (_, index) => this.makeNode(index));
    this.nodes.forEach((node, index) => node.start(this.plan.isStorm ? 0 : REPORTS_FIRST_MS + index * ASK_APART_MS));
    const isWhole = (): boolean => this.nodes.every((node) => node.listed === this.plan.nodes && node.serial >= first);
    while (!isWhole() && performance.now() - begin < WARM_MS) await pause(LOOK_MS);
    const warmUpMs = performance.now() - begin;
    const isWarm = isWhole();
    await pause(1000);
    const warmUpBytes = this.bytes.totals().in;
    return { ...(await this.measured()), warmUpMs: rounded(warmUpMs), isWarm, warmUpBytesInPerNode: Math.round(warmUpBytes / this.plan.nodes) };
  }

  private async measured(): Promise<Omit<HollowFigures, 'warmUpMs' | 'isWarm' | 'warmUpBytesInPerNode'>> {
    const daemons = this.daemons();
    const loop = monitorEventLoopDelay({ resolution: 5 });
    loop.enable();
    const start = performance.now();
    const cpuBefore = daemons.map(({ daemon }) => cpuMs(daemon.pid ?? 0));
    const ownBefore = process.cpuUsage();
    const bytesBefore = this.bytes.totals();
    const countsBefore = this.totals();
    const takenBefore = this.dutiesTaken();
    const end = start + this.plan.seconds * 1000;
    await Promise.all([this.repeatUntil(end, this.plan.changesAMinute, () => this.change()), this.repeatUntil(end, this.plan.restartsAMinute, () => this.restartOne()), pause(this.plan.seconds * 1000)]);
    const seconds = (performance.now() - start) / 1000;
    const counts = this.totals();
    const bytes = this.bytes.totals();
    const own = process.cpuUsage(ownBefore);
    const processes = daemons.map(({ name, role, daemon }, index): ProcessCost => {
      const pid = daemon.pid ?? 0;
      return { name, role, cpuMsPerSecond: rounded((cpuMs(pid) - (cpuBefore[index] ?? 0)) / seconds), rssMiB: rounded(memoryMiB(pid, 'VmRSS')), heldMiB: rounded(memoryMiB(pid, 'VmHWM')) };
    });
    loop.disable();
    const perNodeSecond = (value: number): number => rounded(value / this.plan.nodes / seconds);
    const sum = (record: Readonly<Record<string, number>>): number => Object.values(record).reduce((total, value) => total + value, 0);
    const less = (after: Readonly<Record<string, number>>, before: Readonly<Record<string, number>>): Readonly<Record<string, number>> => Object.fromEntries(Object.entries(after).map(([key, value]) => [key, value - (before[key] ?? 0)]));
    const messages = less(counts.calls, countsBefore.calls);
    return {
      plan: this.plan, measuredSeconds: rounded(seconds), processes,
      perNode: {
        bytesInPerSecond: perNodeSecond(bytes.in - bytesBefore.in), bytesOutPerSecond: perNodeSecond(bytes.out - bytesBefore.out), messagesPerSecond: perNodeSecond(sum(messages)),
        listsPerSecond: perNodeSecond(counts.lists - countsBefore.lists), manifestsPerSecond: perNodeSecond(counts.manifests - countsBefore.manifests), masksPerSecond: perNodeSecond(counts.masks - countsBefore.masks),
      },
      messages, failures: less(counts.failures, countsBefore.failures), restarts: this.restarts, dutiesTaken: this.dutiesTaken() - takenBefore, changesFailed: this.changesFailed, ...(await this.forceTimes()),
      hollow: { cpuMsPerSecond: rounded((own.user + own.system) / 1000 / seconds), rssMiB: rounded(process.memoryUsage.rss() / 1048576), loopDelayP99Ms: rounded(loop.percentile(99) / 1e6), loopDelayWorstMs: rounded(loop.max / 1e6) },
    };
  }

  /** Waits a while for the last change, then sets each node's arrival against each acknowledgement. */
  private async forceTimes(): Promise<Pick<HollowFigures, 'force' | 'forceOverAll'>> {
    const last = this.pushes.at(-1)?.serial ?? 0;
    const patience = performance.now() + FORCE_MS;
    while (!this.nodes.every((node) => node.serial >= last) && performance.now() < patience) await pause(LOOK_MS);
    const reached = this.pushes.map((push) => ascending(this.nodes.flatMap((node) => {
      const arrival = node.arrivals.find(({ serial, at }) => serial >= push.serial && at > push.acknowledgedAt - push.pushMs);
      return arrival === undefined ? [] : [Math.max(0, arrival.at - push.acknowledgedAt)];
    })));
    const summary = (sorted: readonly number[]): { readonly medianMs: number; readonly p99Ms: number; readonly worstMs: number } => ({ medianMs: rounded(quantile(sorted, 0.5)), p99Ms: rounded(quantile(sorted, 0.99)), worstMs: rounded(sorted.at(-1) ?? 0) });
    const force = this.pushes.map(({ serial, pushMs }, index): ForceTime => ({ serial, pushMs: rounded(pushMs), ...summary(reached[index] ?? []), missing: this.nodes.length - (reached[index]?.length ?? 0) }));
    return { force, forceOverAll: summary(ascending(reached.flat())) };
  }

  private async repeatUntil(end: number, perMinute: number, work: () => Promise<void>): Promise<void> {
    if (perMinute === 0) return;
    const period = 60_000 / perMinute;
    for (let next = performance.now() + Math.min(period, 500); next < end; next += period) {
      await pause(Math.max(0, next - performance.now()));
      await work();
    }
  }

  private async change(): Promise<void> {
    this.mark += 1;
    const start = performance.now();
    const serial = await this.fleet.push(hollowManifest(this.plan, this.mark)).catch(() => null);
    const acknowledgedAt = performance.now();
    if (serial === null) this.changesFailed += 1;
    else this.pushes.push({ serial: serial as Serial, pushMs: acknowledgedAt - start, acknowledgedAt });
  }

  private async restartOne(): Promise<void> {
    this.restarts += 1;
    await this.chance.of(this.nodes).restart();
  }

  private makeNode(index: number): HollowNode {
    const { block, cores } = this.fleet;
    const host = `${block}.${11 + (index % 200)}`;
    const port = PORTS.switchWire + 10 * Math.floor(index / 200);
    return new HollowNode({
      name: `node-${index + 1}` as NodeName, service: `service-${(index % this.plan.services) + 1}` as ServiceName, zone: `zone${(index % 3) + 1}` as ZoneName,
      hop: Address.of(host, port), address: Address.of(host, port + 1), cluster: block, localHost: `${block}.${LOCAL_LAST}`,
      directories: cores.map((core) => Address.of(core.advertised, PORTS.directoryWire)), outcomeRows: 3,
    }, new Chance(index + 1));
  }

  private daemons(): readonly { readonly name: string; readonly role: 'directory' | 'ratebook'; readonly daemon: Daemon }[] {
    return [...[...this.fleet.directories].map(([name, daemon]) => ({ name, role: 'directory' as const, daemon })), ...[...this.fleet.ratebooks].map(([name, daemon]) => ({ name, role: 'ratebook' as const, daemon }))];
  }

  private dutiesTaken(): number {
    return [...this.fleet.directories.values()].reduce((sum, daemon) => sum + daemon.lines.filter((line) => line.event === 'duty-taken').length, 0);
  }

  private totals(): { readonly calls: Record<string, number>; readonly failures: Record<string, number>; readonly lists: number; readonly manifests: number; readonly masks: number } {
    const all = this.nodes.map((node) => node.counts());
    const merged = (pick: 'calls' | 'failures'): Record<string, number> => {
      const sums: Record<string, number> = {};
      for (const counts of all) for (const [path, value] of Object.entries(counts[pick])) sums[path] = (sums[path] ?? 0) + value;
      return sums;
    };
    const summed = (pick: 'lists' | 'manifests' | 'masks'): number => all.reduce((total, counts) => total + counts[pick], 0);
    return { calls: merged('calls'), failures: merged('failures'), lists: summed('lists'), manifests: summed('manifests'), masks: summed('masks') };
  }
}
