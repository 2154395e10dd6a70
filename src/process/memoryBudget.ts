import { Counter, Gauge, type Registry } from 'prom-client';
import type { Instant } from './brands.js';
import type { Clock } from './clock.js';

const MIB = 1024 * 1024;
/** The part of a process's memory that bodies and answers may take; the rest is for code, heap and copies on their way. */
const BUDGET_SHARE = 0.3;
/** The part of the budget that is kept for exchanges that hold little. */
const SMALL_SHARE = 0.125;
/** An exchange that holds no more than this, in bytes, is a small one. */
export const SMALL_BYTES = 64 * 1024;
/**
 * After long bodies have left so many bytes behind, memory that is of no use any more is collected:
 * the runtime counts blocks as little, and would keep several times the budget.
 */
const COLLECT_AFTER_BYTES = 2 * MIB;
/** What ordinary requests leave behind the runtime collects by itself. */
const LEAST_COUNTED_BYTES = 32 * 1024;
/** Bodies of very many small pieces that may be read at once: each piece costs processor time. */
const MOST_IN_SMALL_PIECES = 2;
/** Whoever has made no progress for so long, in milliseconds, is let go first when memory runs short. */
export const STALL_MS = 1000;

interface Waiter {
  readonly holding: Holding;
  readonly bytes: number;
  readonly settle: (isGranted: boolean) => void;
}

/** The bytes of one exchange: taken as they come, given back all at once when it ends. */
export class Holding {
  private heldBytes = 0;
  private isClosed = false;
  private yieldFrom = Infinity;
  private yield: () => void = () => undefined;
  private abandoned = false;
  private isInSmallPieces = false;
  private onAbandon: readonly (() => void)[] = [];

  constructor(private readonly budget: MemoryBudget) {}

  get bytes(): number {
    return this.heldBytes;
  }

  /** From when on this exchange may be let go, on the clock of the budget. */
  get mayYieldFrom(): number {
    return this.yieldFrom;
  }

  /** Takes more, or nothing when there is no room. */
  take(bytes: number): boolean {
    if (this.isClosed || !this.budget.grant(this, bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  /** Takes more as soon as there is room; false when the exchange ends before that. */
  async takeSoon(bytes: number): Promise<boolean> {
    if (this.isClosed || this.abandoned) return false;
    return this.take(bytes) || this.budget.wait(this, bytes);
  }

  /** From then on the exchange may be let go for others: `letGo` ends it, and must close this holding. */
  yieldAt(from: number, letGo: () => void): void {
    this.yieldFrom = from;
    this.yield = letGo;
  }

  /** The exchange has made progress: it may be let go only from a later moment on. */
  progressed(from: number): void {
    this.yieldFrom = from;
  }

  /** The exchange is not to be let go any more. */
  keep(): void {
    this.yieldFrom = Infinity;
  }

  letGo(): void {
    this.yieldFrom = Infinity;
    this.yield();
    this.close();
  }

  turnedOver(bytes: number): void {
    this.budget.turnOver(bytes);
  }

  /** Nobody waits for what this exchange would bring: it no longer waits for room. What it holds it gives back when it ends. */
  abandon(): void {
    if (this.isClosed || this.abandoned) return;
    this.abandoned = true;
    this.budget.forget(this);
    this.onAbandon.forEach((tell) => tell());
  }

  whenAbandoned(tell: () => void): void {
    if (this.abandoned) tell();
    else this.onAbandon = [...this.onAbandon, tell];
  }

  /** Whether the exchange may go on reading a body of very many small pieces. */
  readSmallPieces(): boolean {
    this.isInSmallPieces ||= this.budget.admitSmallPieces();
    return this.isInSmallPieces;
  }

  /** Gives everything back; nothing more is granted. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    if (this.isInSmallPieces) this.budget.endSmallPieces();
    const bytes = this.heldBytes;
    this.heldBytes = 0;
    this.budget.forget(this);
    this.budget.giveBack(this, bytes);
  }
}

/**
 * Counts the bytes of all bodies and answers that a process holds, so that no crowd of callers can fill its memory. Who
 * holds little has a part for itself: ordinary requests are served while long ones find no room.
 */
export class MemoryBudget {
  private readonly holdings = new Set<Holding>();
  private waiters: Waiter[] = [];
  private usedBytes = 0;
  private inSmallPieces = 0;
  private turnedOverBytes = 0;
  /** What is given back meanwhile is for whom room is made. */
  private isMakingRoom = false;
  private readonly shortages: Counter<'cause'> | null;

  constructor(readonly totalBytes: number, private readonly clock: Clock, metrics: Registry | null = null, private readonly collect: () => void = () => undefined) {
    const used = (): number => this.usedBytes;
    this.shortages = metrics === null ? null : new Counter({ name: 'opalstair_memory_shortages_total', help: 'Exchanges that were refused or let go because bodies and answers had taken their part of the memory', labelNames: ['cause'], registers: [metrics] });
    if (metrics === null) return;
    new Gauge({ name: 'opalstair_held_bytes', help: 'Bytes of bodies and answers that this process holds', registers: [metrics], collect() { this.set(used()); } });
    new Gauge({ name: 'opalstair_held_bytes_limit', help: 'The most bytes of bodies and answers that this process holds', registers: [metrics], collect() { this.set(totalBytes); } });
  }

  /** The budget of a process that may use so much memory, in MB. */
  static ofProcess(memoryMb: number, clock: Clock, metrics: Registry, collect: () => void): MemoryBudget {
    return new MemoryBudget(Math.floor(memoryMb * MIB * BUDGET_SHARE), clock, metrics, collect);
  }

  /** The most that one exchange can ever hold, in bytes. */
  get mostBytes(): number {
    return Math.floor(this.totalBytes * (1 - SMALL_SHARE));
  }

  open(): Holding {
    return new Holding(this);
  }

  /** Whether so many bytes are granted; those that stand still make room for others. */
  grant(holding: Holding, bytes: number): boolean {
    const wanted = holding.bytes + bytes;
    const limit = wanted <= SMALL_BYTES ? this.totalBytes : this.mostBytes;
    if (this.usedBytes + bytes > limit && !this.makeRoom(holding, this.usedBytes + bytes - limit)) return false;
    this.usedBytes += bytes;
    this.holdings.add(holding);
    return true;
  }

  admitSmallPieces(): boolean {
    if (this.inSmallPieces >= MOST_IN_SMALL_PIECES) return false;
    this.inSmallPieces += 1;
    return true;
  }

  endSmallPieces(): void {
    this.inSmallPieces -= 1;
  }

  /** Counts an exchange that was refused for want of room. */
  noteRefusal(): void {
    this.shortages?.inc({ cause: 'refused' });
  }

  wait(holding: Holding, bytes: number): Promise<boolean> {
    return new Promise((settle) => { this.waiters.push({ holding, bytes, settle }); });
  }

  giveBack(holding: Holding, bytes: number): void {
    this.usedBytes -= bytes;
    this.holdings.delete(holding);
    this.turnOver(bytes);
    if (this.waiters.length > 0 && !this.isMakingRoom) this.serveWaiters();
  }

  /** Asks again for those who wait: who stands in their way may meanwhile be let go. */
  serveWaiters(): void {
    const waiting = this.waiters;
    this.waiters = [];
    for (const waiter of waiting) {
      if (waiter.holding.take(waiter.bytes)) waiter.settle(true);
      else this.waiters.push(waiter);
    }
  }

  /** An exchange has ended: whatever it waited for it no longer needs. */
  forget(holding: Holding): void {
    const ended = this.waiters.filter((waiter) => waiter.holding === holding);
    if (ended.length === 0) return;
    this.waiters = this.waiters.filter((waiter) => waiter.holding !== holding);
    ended.forEach(({ settle }) => settle(false));
  }

  /** So many bytes are of no use any more. */
  turnOver(bytes: number): void {
    if (bytes < LEAST_COUNTED_BYTES) return;
    this.turnedOverBytes += bytes;
    if (this.turnedOverBytes < COLLECT_AFTER_BYTES) return;
    this.turnedOverBytes = 0;
    this.collect();
  }

  private makeRoom(forWhom: Holding, bytes: number): boolean {
    const now: Instant = this.clock.now();
    const yielding = [...this.holdings].filter((one) => one !== forWhom && one.mayYieldFrom <= now).sort((one, other) => one.mayYieldFrom - other.mayYieldFrom);
    if (yielding.reduce((sum, one) => sum + one.bytes, 0) < bytes) return false;
    this.isMakingRoom = true;
    let freed = 0;
    for (const one of yielding) {
      if (freed >= bytes) break;
      freed += one.bytes;
      this.shortages?.inc({ cause: 'let-go' });
      one.letGo();
    }
    this.isMakingRoom = false;
    return true;
  }
}
