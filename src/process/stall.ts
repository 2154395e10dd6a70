import type { Instant, Millis } from './brands.js';
import type { Clock } from './clock.js';
import { TICK_MS, type Ticker } from './ticker.js';

const STALL_MS = 500;

/**
 * Notices that the process stood still. The first event read after a thaw comes before any timer,
 * so whoever is about to act on old knowledge calls `check` itself.
 */
export class StallGuard {
  private lastTick: Instant;
  private listeners: readonly ((gap: Millis) => void)[] = [];

  constructor(private readonly clock: Clock, ticker: Ticker) {
    this.lastTick = clock.now();
    ticker.every(TICK_MS, () => this.check());
  }

  /** Tells listeners first if the process has just come back from standing still. */
  check(): void {
    const now = this.clock.now();
    const gap = (now - this.lastTick) as Millis;
    this.lastTick = now;
    if (gap > STALL_MS) this.listeners.forEach((listener) => listener(gap));
  }

  onStall(listener: (gap: Millis) => void): void {
    this.listeners = [...this.listeners, listener];
  }
}
