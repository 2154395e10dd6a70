import Joi from 'joi';
import { err, ok, type Result } from 'neverthrow';
import { Defect } from '../process/defect.js';
import type { Millis, Serial, ServiceName, VersionName } from '../process/brands.js';

export type RolloutState = 'running' | 'completed' | 'reverted';

/** The shift of one service's requests to endpoints of another version. */
export interface Rollout {
  /** The serial of the table in which it began: tells one rollout from another of the same version. */
  readonly begunAt: Serial;
  readonly target: VersionName;
  /** Within this time of its beginning it is completed or reverted. */
  readonly durationMs: Millis;
  /** How much of that had passed at its latest step. */
  readonly elapsedMs: Millis;
  readonly state: RolloutState;
  /** Counts its steps, from 0. */
  readonly stage: number;
  /** The share of the service's requests that goes to the target version. */
  readonly share: number;
  /** Why it came to its present stage. */
  readonly reason: string;
}

/** Which versions of one service may take requests. */
export interface ServiceVersions {
  readonly service: ServiceName;
  /** The version that is in use; null when the endpoints named several before any was noted. */
  readonly current: VersionName | null;
  /** The latest rollout, ended or not. */
  readonly rollout: Rollout | null;
}

/** The rollouts of all services: one key of the control state. */
export interface RolloutTable {
  readonly services: readonly ServiceVersions[];
}
export interface RolloutSnapshot {
  readonly serial: Serial;
  readonly table: RolloutTable;
}

/** What an operator asks for. */
export interface RolloutOrder {
  readonly service: ServiceName;
  readonly target: VersionName;
  readonly durationMs: Millis;
}

/** Another rollout of the service is under way. */
export class RolloutUnderWay extends Defect {
  readonly kind = 'rollout-under-way';
}

const LONGEST_MS = 7 * 24 * 3_600_000;
const name = Joi.string().max(128).required();
const whole = Joi.number().integer().min(0).required();
export const rolloutOrderShape = Joi.object({ service: Joi.string().min(1).max(63).required(), target: Joi.string().min(1).max(128).required(), durationMs: Joi.number().integer().min(1000).max(LONGEST_MS).required() });
const rolloutShape = Joi.object({
  begunAt: whole, target: name, durationMs: Joi.number().min(0).required(), elapsedMs: Joi.number().min(0).required(), state: Joi.string().valid('running', 'completed', 'reverted').required(),
  stage: whole, share: Joi.number().min(0).max(1).required(), reason: Joi.string().allow('').required(),
});
export const rolloutSnapshotShape = Joi.object({
  serial: whole,
  table: Joi.object({ services: Joi.array().max(100_000).required().items(Joi.object({ service: name, current: Joi.string().max(128).allow(null).required(), rollout: rolloutShape.allow(null).required() })) }).required(),
});

const isSameOrder = (rollout: Rollout, order: RolloutOrder): boolean => rollout.target === order.target && rollout.durationMs === order.durationMs;

export const RolloutTable = {
  empty: { services: [] } as RolloutTable,
  of: (table: RolloutTable, service: ServiceName): ServiceVersions | null => table.services.find((one) => one.service === service) ?? null,
  with: (table: RolloutTable, versions: ServiceVersions): RolloutTable => ({ services: [...table.services.filter((one) => one.service !== versions.service), versions] }),
  /** Whether an order asks for what the service's latest rollout is. */
  isRepeated: (table: RolloutTable, order: RolloutOrder): boolean => {
    const rollout = RolloutTable.of(table, order.service)?.rollout ?? null;
    return rollout !== null && isSameOrder(rollout, order);
  },
  /**
   * The table in which a rollout has begun, under the serial that it will have. `current` is the version in use as the
   * endpoints tell it, for a service of which none is noted yet.
   */
  begin: (table: RolloutTable, order: RolloutOrder, serial: Serial, current: VersionName | null): Result<RolloutTable, RolloutUnderWay> => {
    const known = RolloutTable.of(table, order.service);
    if (known?.rollout?.state === 'running') return err(new RolloutUnderWay(`${order.service} is being moved to ${known.rollout.target}`));
    const begun = { begunAt: serial, target: order.target, durationMs: order.durationMs, elapsedMs: 0 as Millis, stage: 0 };
    const isInUse = known !== null && known.current === order.target;
    const rollout: Rollout = isInUse ? { ...begun, state: 'completed', share: 1, reason: 'the version is in use already' } : { ...begun, state: 'running', share: 0, reason: 'begun' };
    return ok(RolloutTable.with(table, { service: order.service, current: known?.current ?? current, rollout }));
  },
  /** The table after a rollout's next step; null when that rollout is not at the stage that the step builds on. */
  step: (table: RolloutTable, service: ServiceName, from: Rollout, step: Pick<Rollout, 'state' | 'share' | 'elapsedMs' | 'reason'>): RolloutTable | null => {
    const known = RolloutTable.of(table, service);
    const rollout = known?.rollout ?? null;
    if (known === null || rollout === null || rollout.begunAt !== from.begunAt || rollout.stage !== from.stage || rollout.state !== 'running') return null;
    const current = step.state === 'completed' ? rollout.target : known.current;
    return RolloutTable.with(table, { service, current, rollout: { ...rollout, ...step, stage: rollout.stage + 1 } });
  },
} as const;
