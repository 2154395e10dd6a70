import type { Millis } from './brands.js';

/** The grid on which all periodic work of a process lies. */
export const TICK_MS = 250 as Millis;

interface Job {
  readonly everyTicks: number;
  readonly work: () => void;
}

/** Runs the periodic work of a process on one timer: each wake-up of a process that is mostly idle costs more than the work itself. */
export class Ticker {
  private jobs: readonly Job[] = [];
  private ticks = 0;

  constructor() {
    setInterval(() => this.tick(), TICK_MS).unref();
  }

  /** Calls back each so often, a multiple of the grid. */
  every(periodMs: number, work: () => void): void {
    this.jobs = [...this.jobs, { everyTicks: Math.max(1, Math.round(periodMs / TICK_MS)), work }];
  }

  private tick(): void {
    this.ticks += 1;
    for (const { everyTicks, work } of this.jobs) if (this.ticks % everyTicks === 0) work();
  }
}
