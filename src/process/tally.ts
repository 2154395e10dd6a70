import { Counter, type Registry } from 'prom-client';

/** A counter by up to two labels that costs one look-up a count: the library's own checks and joins the labels each time. */
export class Tally {
  private readonly counts = new Map<string, Map<string, number>>();

  constructor(metrics: Registry, name: string, help: string, labelNames: readonly [string] | readonly [string, string]) {
    const { counts } = this;
    const [firstName, secondName] = labelNames;
    new Counter({
      name, help, labelNames, registers: [metrics],
      collect() {
        this.reset();
        counts.forEach((row, first) => row.forEach((count, second) => this.inc({ [firstName]: first, ...(secondName === undefined ? {} : { [secondName]: second }) }, count)));
      },
    });
  }

  add(first: string, second = ''): void {
    let row = this.counts.get(first);
    if (row === undefined) this.counts.set(first, row = new Map());
    row.set(second, (row.get(second) ?? 0) + 1);
  }
}
