import type { AnswerLog, ChangeLog } from './checker.js';
import { Chance } from './chance.js';
import type { Fleet } from './fleet.js';
import { MARK_PREFIX } from './faults.js';
import type { Home } from './homes.js';
import { Load } from './load.js';

const PROBE_MS = 100;

/**
 * Asks every switchboard, again and again, for the route that the newest acknowledged change added and for the one that it
 * dropped: the answers, and the arrivals at endpoints, tell by which version a switchboard goes.
 */
export class VersionProbe {
  private readonly load: Load;
  private readonly underWay = new Set<string>();
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly fleet: Fleet, home: Home, private readonly changes: () => readonly ChangeLog[]) {
    this.load = new Load(fleet, home, new Chance(0), 0, () => [], 'probe');
  }

  get answers(): readonly AnswerLog[] {
    return this.load.answers;
  }

  /** How many were told that the switchboard can't be sure of having the newest version. */
  get notCurrent(): number {
    return this.answers.filter(({ reason }) => reason === 'not-current').length;
  }

  start(): void {
    this.timer = setInterval(() => { for (const name of this.fleet.switchboards.keys()) void this.probe(name); }, PROBE_MS);
  }

  /** Sends no more and waits for the last answer. */
  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
    await this.load.stop();
  }

  /** One question for each route; a switchboard that has not answered yet, as it may be frozen, is not asked again. */
  private async probe(name: string): Promise<void> {
    if (this.underWay.has(name)) return;
    this.underWay.add(name);
    await Promise.all(this.newestRoutes().map((prefix) => this.load.send(name, 'GET', `${prefix}/probe`)));
    this.underWay.delete(name);
  }

  /** The routes that only the newest two acknowledged versions have. */
  private newestRoutes(): readonly string[] {
    const acknowledged = this.changes().filter(({ outcome }) => outcome === 'acknowledged');
    const newest = [...acknowledged].sort((one, other) => other.serial - one.serial).slice(0, 2);
    return newest.flatMap(({ routes }) => routes.filter(({ prefix }) => prefix.startsWith(MARK_PREFIX)).map(({ prefix }) => prefix));
  }
}
