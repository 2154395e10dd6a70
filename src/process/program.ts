import { randomBytes } from 'node:crypto';
import { statSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import type { Result, ResultAsync } from 'neverthrow';
import { pino, type Logger } from 'pino';
import { Counter, Gauge, Registry } from 'prom-client';
import { brand, type BootId } from './brands.js';
import { Clock } from './clock.js';
import { memoryCollector } from './collector.js';
import type { Defect } from './defect.js';
import { MemoryBudget } from './memoryBudget.js';
import { RELEASE } from './release.js';
import { SentBytes } from './sentBytes.js';
import { StallGuard } from './stall.js';
import { TICK_MS, Ticker } from './ticker.js';
import { helpText, readCommandLine, readSettings, type PlaceSettings, type SettingTable } from './settings.js';


/** What every part of a running program leans on. */
export interface Frame<S extends PlaceSettings> {
  readonly settings: S;
  readonly log: Logger;
  readonly boot: BootId;
  readonly clock: Clock;
  readonly stalls: StallGuard;
  /** Periodic work that needs no timer of its own. */
  readonly ticker: Ticker;
  readonly metrics: Registry;
  /** Counts what is sent to other processes. */
  readonly sent: SentBytes;
  /** What bodies and answers may take of this process's memory. */
  readonly memory: MemoryBudget;
}

/** A started program: how it is stopped, and how it takes changed settings. */
export interface Running<S> {
  stop(): Promise<void>;
  reload(settings: S): void;
}

export interface Program<S extends PlaceSettings> {
  readonly name: string;
  readonly about: string;
  readonly table: SettingTable;
  start(frame: Frame<S>): ResultAsync<Running<S>, Defect>;
}

const WATCH_MS = 2000;

const refuseToRun = (name: string, line: string, code: number): never => {
  process.stderr.write(`${name}: ${line.split('\n').map((part) => part.trim()).join(' ')}\n`);
  process.exit(code);
};

/** The library's own collection keeps a timer that fires a hundred times a second; these are read when they are asked for. */
const addProcessMetrics = (metrics: Registry): void => {
  new Gauge({ name: 'process_cpu_seconds_total', help: 'Processor time used', registers: [metrics], collect() { const { user, system } = process.cpuUsage(); this.set((user + system) / 1e6); } });
  new Gauge({ name: 'process_resident_memory_bytes', help: 'Memory in use', registers: [metrics], collect() { this.set(process.memoryUsage.rss()); } });
  new Gauge({ name: 'nodejs_heap_size_used_bytes', help: 'Heap in use', registers: [metrics], collect() { this.set(process.memoryUsage().heapUsed); } });
};

/** Calls back when a file's time or size has changed: a settings file may be laid anew without a signal. */
const watchFile = (file: string, changed: () => void): void => {
  const mark = (): string => {
    const found = statSync(file, { throwIfNoEntry: false });
    return found === undefined ? '' : `${found.mtimeMs}/${found.size}`;
  };
  let known = mark();
  setInterval(() => {
    const now = mark();
    if (now === known || now === '') return;
    known = now;
    changed();
  }, WATCH_MS).unref();
};

/** In a process that has started, a rejection that nobody waited for ends one piece of work alone: it is logged and counted. */
const guardRejections = (log: Logger, metrics: Registry): void => {
  const count = new Counter({ name: 'opalstair_unhandled_rejections_total', help: 'Pieces of work that ended with a fault of opalstair\'s own', registers: [metrics] });
  process.on('unhandledRejection', (reason) => {
    count.inc();
    log.error({ event: 'unhandled-rejection', error: reason instanceof Error ? reason.stack : String(reason) });
  });
};

/** Runs a daemon from its command line to its end: settings, logs, signals, exit codes. */
export const runProgram = async <S extends PlaceSettings>(program: Program<S>): Promise<void> => {
  const line = readCommandLine(program.table, process.argv.slice(2));
  if (line.isErr()) return refuseToRun(program.name, line.error.describe(), 2);
  if (line.value.help) {
    process.stdout.write(helpText(program.name, program.about, program.table));
    return;
  }
  if (line.value.version) {
    process.stdout.write(`${program.name} ${RELEASE}\n`);
    return;
  }
  const settingsOf = (): Result<S, Defect> => readSettings<S>(program.table, line.value);
  const settings = settingsOf();
  if (settings.isErr()) return refuseToRun(program.name, settings.error.describe(), 2);
  const boot = brand<BootId>(randomBytes(9).toString('base64url'));
  const log = pino({ level: settings.value.logLevel, base: { program: program.name, node: settings.value.node, boot } });
  const metrics = new Registry();
  addProcessMetrics(metrics);
  const ticker = new Ticker();
  const stalls = new StallGuard(Clock.monotonic, ticker);
  stalls.onStall((gap) => log.warn({ event: 'stall', gapMs: Math.round(gap) }, 'the process stood still'));
  const memory = MemoryBudget.ofProcess(settings.value.memoryMb, Clock.monotonic, metrics, memoryCollector());
  ticker.every(TICK_MS, () => memory.serveWaiters());
  const started = await program.start({ settings: settings.value, log, boot, clock: Clock.monotonic, stalls, ticker, metrics, sent: new SentBytes(metrics), memory });
  if (started.isErr()) return refuseToRun(program.name, started.error.describe(), 1);
  guardRejections(log, metrics);
  const running = started.value;
  let stopping = false;
  const stop = (signal: string): void => {
    if (stopping) return;
    stopping = true;
    log.info({ event: 'stopping', signal });
    void running.stop().then(() => {
      log.info({ event: 'stopped', uptimeMs: Math.round(performance.now()) });
      process.exit(0);
    }, (error: unknown) => refuseToRun(program.name, `could not stop in order: ${String(error)}`, 1));
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
  const reload = (): void => {
    settingsOf().match((fresh) => {
      log.info({ event: 'reloaded' });
      log.level = fresh.logLevel;
      running.reload(fresh);
    }, (defect) => log.error({ event: 'reload-turned-away', defect: defect.describe() }));
  };
  process.on('SIGHUP', reload);
  if (line.value.settingsFile !== null) watchFile(line.value.settingsFile, reload);
};
