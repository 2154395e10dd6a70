import type { Millis } from '../process/brands.js';

/** Those who asked for news and wait for it. */
export class Pollers {
  private waiting: ReadonlySet<() => void> = new Set();

  /** Wakes everyone: something is new. */
  wake(): void {
    const woken = this.waiting;
    this.waiting = new Set();
    woken.forEach((wake) => wake());
  }

  /** Resolves at the next news, or when the time is up. */
  wait(most: Millis): Promise<void> {
    return new Promise((settle) => {
      const done = (): void => {
        clearTimeout(timer);
        this.waiting = new Set([...this.waiting].filter((one) => one !== done));
        settle();
      };
      const timer = setTimeout(done, most);
      this.waiting = new Set([...this.waiting, done]);
    });
  }

  /** Resolves as soon as the look finds something, or with the last look when the time is up. */
  async until<T>(look: () => T | null, most: Millis): Promise<T | null> {
    const end = performance.now() + most;
    for (;;) {
      const found = look();
      const left = end - performance.now();
      if (found !== null || left <= 0) return found;
      await this.wait(left as Millis);
    }
  }
}
