/** A small seeded source of chance (mulberry32), so that a run can be repeated. */
export class Chance {
  constructor(private state: number) {}

  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  of<T>(items: readonly T[]): T {
    const chosen = items[this.below(items.length)];
    if (chosen === undefined) throw new Error('nothing to choose from');
    return chosen;
  }

  happens(probability: number): boolean {
    return this.next() < probability;
  }
}
