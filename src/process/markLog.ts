import { BSON } from 'bson';
import { err, ok, type Result } from 'neverthrow';
import type { InstanceId, Instant } from './brands.js';
import type { Clock } from './clock.js';
import { DamagedFile, type Disk, type DiskDefect, type StoreDefect } from './disk.js';
import type { DepartureMark } from '../version/departureMark.js';

const FOLDER = 'marks';
/** Heartbeats may come seconds late; a mark is kept for so long after it was given, in milliseconds of this process's life. */
const KEPT_MS = 60_000;
/** A mark that outlived so many restarts is older than any late heartbeat: where processes restart all the time, no mark stays for ever. */
const MOST_LIVES = 32;
/** More than this is not kept at once: the one that reports its departure is told so. */
const MOST_MARKS = 10_000;
/** After so many files what still counts is written into one. */
const MOST_FILES = 32;

/** A mark as it lies on the disk; `lives` counts the restarts since it was given. */
interface StoredMark extends DepartureMark {
  readonly lives: number;
}
interface MarkFile {
  readonly marks: readonly StoredMark[];
}
interface KnownMark {
  readonly stored: StoredMark;
  readonly learnedAt: Instant;
}
interface PendingMark {
  readonly mark: DepartureMark;
  readonly settle: (isKept: boolean) => void;
}

const fileName = (fileNumber: number): string => String(fileNumber).padStart(12, '0');

/**
 * The marks of departures on the disk of one ratebook. Marks that arrive while a write is under way are written together by the
 * next one, so that many departures share a sync. No time of day is used: a mark's age is counted in each life of the process.
 */
export class MarkLog {
  private known: ReadonlyMap<InstanceId, KnownMark> = new Map();
  private files: readonly string[] = [];
  private fileNumber = 0;
  private pending: readonly PendingMark[] = [];
  private isWriting = false;
  private damagedFiles: readonly string[] = [];
  private readonly openedAt: Instant;

  private constructor(private readonly disk: Disk, private readonly clock: Clock) {
    this.openedAt = clock.now();
  }

  /** Reads the marks that an earlier life has left; each has outlived one more restart. */
  static async open(disk: Disk, clock: Clock): Promise<Result<MarkLog, DiskDefect>> {
    const log = new MarkLog(disk, clock);
    const listed = await disk.list(FOLDER);
    if (listed.isErr()) return err(listed.error);
    for (const name of [...listed.value].sort()) {
      const read = await log.readFile(name);
      if (read.isErr()) return err(read.error);
    }
    if (log.files.length > 0) void log.writeInTurn(true);
    return ok(log);
  }

  /** Whether every mark that still counts could be read: what a damaged file held does not count for longer than others do. */
  get isWhole(): boolean {
    return this.damagedFiles.length === 0 || this.clock.now() - this.openedAt > KEPT_MS;
  }

  /** The marks that still count. */
  marks(): readonly DepartureMark[] {
    return this.counting().map(({ stored: { instance, state } }) => ({ instance, state }));
  }

  /** Resolves once the mark is synced, with false when the disk did not take it. */
  keep(mark: DepartureMark): Promise<boolean> {
    const known = this.known.get(mark.instance)?.stored.state;
    if (known === 'departed' || known === mark.state) return Promise.resolve(true);
    if (this.known.size + this.pending.length >= MOST_MARKS && this.counting().length + this.pending.length >= MOST_MARKS) return Promise.resolve(false);
    return new Promise((settle) => {
      this.pending = [...this.pending, { mark, settle }];
      void this.writeInTurn(false);
    });
  }

  private async readFile(name: string): Promise<Result<void, DiskDefect>> {
    const bytes = await this.disk.get(FOLDER, name);
    this.fileNumber = Math.max(this.fileNumber, Number(name));
    if (bytes.isErr() && !(bytes.error instanceof DamagedFile)) return err(bytes.error);
    if (bytes.isErr()) {
      this.damagedFiles = [...this.damagedFiles, name];
      return ok(undefined);
    }
    this.files = [...this.files, name];
    this.learn((BSON.deserialize(bytes.value) as unknown as MarkFile).marks.map((mark) => ({ ...mark, lives: mark.lives + 1 })));
    return ok(undefined);
  }

  /** A departure stands above a leaving, whichever came first. */
  private learn(marks: readonly StoredMark[]): void {
    const learnedAt = this.clock.now();
    const later = marks.filter(({ instance, lives }) => lives <= MOST_LIVES && this.known.get(instance)?.stored.state !== 'departed');
    this.known = new Map([...this.known, ...later.map((stored) => [stored.instance, { stored, learnedAt }] as const)]);
  }

  /** One write at a time: marks that come meanwhile are written by the one after it. */
  private async writeInTurn(isGathering: boolean): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    if (isGathering) await this.write([]);
    while (this.pending.length > 0) await this.writePending();
    this.isWriting = false;
  }

  private async writePending(): Promise<void> {
    const batch = this.pending;
    this.pending = [];
    const written = await this.write(batch.map(({ mark: { instance, state } }) => ({ instance, state, lives: 0 })));
    batch.forEach(({ settle }) => settle(written.isOk()));
  }

  /** Writes new marks; at the start and after many files, those that still count are written with them into one. */
  private async write(fresh: readonly StoredMark[]): Promise<Result<void, StoreDefect>> {
    const isGathering = fresh.length === 0 || this.files.length >= MOST_FILES;
    const marks = isGathering ? [...this.counting().map(({ stored }) => stored), ...fresh] : fresh;
    const name = fileName(this.fileNumber + 1);
    this.fileNumber += 1;
    const put = await this.disk.put(FOLDER, name, BSON.serialize({ marks } satisfies MarkFile));
    if (put.isErr()) return err(put.error);
    this.learn(fresh);
    const former = this.files;
    this.files = isGathering ? [name] : [...former, name];
    if (isGathering) await this.drop(former);
    return ok(undefined);
  }

  private async drop(former: readonly string[]): Promise<void> {
    const damaged = this.isWhole ? this.damagedFiles : [];
    for (const name of [...former, ...damaged]) await this.disk.drop(FOLDER, name);
    if (damaged.length > 0) this.damagedFiles = [];
  }

  /** Forgets the marks that are older than any late heartbeat, and gives the others. */
  private counting(): readonly KnownMark[] {
    const oldest = this.clock.now() - KEPT_MS;
    this.known = new Map([...this.known].filter(([, { learnedAt }]) => learnedAt >= oldest));
    return [...this.known.values()];
  }
}
