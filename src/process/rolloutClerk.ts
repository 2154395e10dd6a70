import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { ROLLOUTS_KEY } from '../version/entry.js';
import { RolloutTable, type RolloutOrder, type RolloutSnapshot, type RolloutUnderWay, type ServiceVersions } from '../version/rollout.js';
import type { ChangeId, Instant, Serial, ServiceName, VersionName } from './brands.js';
import type { Clock } from './clock.js';
import { ChangeUndecided } from './keyOwner.js';
import type { ClerkDefect, StoreClerk } from './storeClerk.js';

/** An order that comes again within this time of its rollout's end is a late copy, later it is a new one. */
const REPEATED_MS = 15_000;
/** Orders that meet others on their way build on what those left, so often at most. */
const MOST_TRIES = 5;

/** Takes operators' orders of rollouts, and the steps of those who steer them, to the store. */
export class RolloutClerk {
  private readonly endedAt = new Map<string, Instant>();

  /** `versionInUse` is the one version that the endpoints of a service name beside the target, if it is one. */
  constructor(private readonly store: StoreClerk, private readonly clock: Clock, private readonly versionInUse: (service: ServiceName, target: VersionName) => VersionName | null) {}

  async read(): Promise<Result<RolloutSnapshot, ClerkDefect>> {
    const found = await this.store.read(ROLLOUTS_KEY);
    return found.map(({ serial, value }) => ({ serial, table: (value as RolloutTable | null) ?? RolloutTable.empty }));
  }

  /** Begins a rollout; an order that was taken before is acknowledged again. */
  async begin(order: RolloutOrder): Promise<Result<ServiceVersions, ClerkDefect | RolloutUnderWay>> {
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
      const found = await this.read();
      if (found.isErr()) return err(found.error);
      const { serial, table } = found.value;
      const next = this.isTaken(table, order) ? ok(table) : RolloutTable.begin(table, order, (serial + 1) as Serial, this.versionInUse(order.service, order.target));
      if (next.isErr()) return err(next.error);
      // A table that stays as it is is written all the same: what was read may be known to its owner alone.
      const changed = await this.change(serial, next.value);
      if (changed.isOk()) return ok(RolloutTable.of(next.value, order.service) as ServiceVersions);
      const isOvertaken = changed.error.kind === 'change-turned-away' && changed.error.reason === 'stale-base';
      if (!isOvertaken) return err(changed.error);
    }
    return err(new ChangeUndecided('other changes of the rollouts came first each time'));
  }

  change(base: Serial, table: RolloutTable): Promise<Result<Serial, ClerkDefect>> {
    return this.store.change(ROLLOUTS_KEY, { base, value: table, id: randomUUID() as ChangeId });
  }

  /** Takes note of the rollouts that have ended, as the committed table tells it. */
  follow(table: RolloutTable): void {
    for (const { service, rollout } of table.services) {
      if (rollout === null || rollout.state === 'running') continue;
      const key = `${service}/${rollout.begunAt}`;
      if (!this.endedAt.has(key)) this.endedAt.set(key, this.clock.now());
    }
    const kept = new Set(table.services.map(({ service, rollout }) => `${service}/${rollout?.begunAt ?? 0}`));
    for (const key of this.endedAt.keys()) if (!kept.has(key)) this.endedAt.delete(key);
  }

  private isTaken(table: RolloutTable, order: RolloutOrder): boolean {
    const rollout = RolloutTable.of(table, order.service)?.rollout ?? null;
    if (rollout === null || !RolloutTable.isRepeated(table, order)) return false;
    const endedAt = this.endedAt.get(`${order.service}/${rollout.begunAt}`);
    return rollout.state === 'running' || endedAt === undefined || this.clock.now() - endedAt < REPEATED_MS;
  }
}
