import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ownPrograms = join(dirname(fileURLToPath(import.meta.url)), '..', 'programs');
const running = new Set<ChildProcess>();
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** One line of a daemon's log. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly event?: string };

/** A program of opalstair run as a process of its own. */
export class Daemon {
  readonly lines: LogLine[] = [];
  /** Where its program lies: this build, or another to be compared with. */
  programs = ownPrograms;
  /** Options of Node itself. */
  nodeOptions: readonly string[] = [];
  /** The most descriptors that the process may open; the user's own limit when null. */
  descriptors: number | null = null;
  private child: ChildProcess | null = null;
  private isTold = false;
  private ended: Promise<number | null> = Promise.resolve(null);
  private watchers: readonly { readonly event: string; readonly settle: (line: LogLine) => void }[] = [];
  private stderrText = '';

  constructor(readonly program: string, readonly flags: string[], readonly adminAddress: string, private readonly logLine: (line: string) => void = () => undefined) {}

  get pid(): number | null {
    return this.child?.pid ?? null;
  }

  /** Goes over to this build at its next start. */
  upgrade(): void {
    this.programs = ownPrograms;
  }

  get isRunning(): boolean {
    return this.child !== null && this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Whether it runs although it was told to end. */
  get isEnding(): boolean {
    return this.isTold && this.isRunning;
  }

  get errors(): string {
    return this.stderrText;
  }

  /** Starts the process; resolves when it listens, rejects when it ends before that. */
  async start(): Promise<void> {
    const command = [process.execPath, ...this.nodeOptions, join(this.programs, `${this.program}.js`), ...this.flags];
    const [program, ...words] = this.descriptors === null ? command as [string, ...string[]] : ['/bin/sh', '-c', `ulimit -n ${this.descriptors} && exec "$@"`, 'sh', ...command] as const;
    const child = spawn(program, words, { stdio: ['ignore', 'pipe', 'pipe'] });
    this.child = child;
    this.isTold = false;
    running.add(child);
    this.ended = new Promise((settle) => {
      child.once('close', (code) => {
        running.delete(child);
        settle(code);
      });
    });
    child.stderr.on('data', (chunk: Buffer) => { this.stderrText += chunk.toString('utf8'); });
    createInterface({ input: child.stdout }).on('line', (line) => this.hear(line));
    const listening = this.next('listening');
    const gone = this.ended.then((code) => { throw new Error(`${this.program} ended with ${code}: ${this.stderrText}`); });
    gone.catch(() => undefined);
    await Promise.race([listening, gone]);
  }

  /** Resolves with the next log line of that event. */
  next(event: string): Promise<LogLine> {
    return new Promise((settle) => { this.watchers = [...this.watchers, { event, settle }]; });
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Ends the process and waits for its end. */
  async end(name: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    this.isTold = true;
    if (this.isRunning) this.signal(name);
    return this.ended;
  }

  private hear(text: string): void {
    this.logLine(text);
    let line: LogLine;
    try {
      line = JSON.parse(text) as LogLine;
    } catch {
      return;
    }
    this.lines.push(line);
    const woken = this.watchers.filter((watcher) => watcher.event === line.event);
    this.watchers = this.watchers.filter((watcher) => watcher.event !== line.event);
    woken.forEach((watcher) => watcher.settle(line));
  }
}
