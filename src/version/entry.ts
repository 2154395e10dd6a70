import Joi from 'joi';
import type { Address, ChangeId, DiskId, Epoch, KeyName, Serial } from '../process/brands.js';

/** A change that the register remembers, so that an operator may ask for it again. */
export interface KnownChange {
  readonly id: ChangeId;
  readonly serial: Serial;
}

/** One version of a key of the control state. */
export interface Entry {
  readonly epoch: Epoch;
  readonly serial: Serial;
  readonly value: unknown;
  readonly changes: readonly KnownChange[];
}

/** Who votes on the control state. */
export interface Roster {
  readonly members: readonly RosterMember[];
}
export interface RosterMember {
  readonly id: DiskId;
  readonly address: Address;
}
export interface Voters {
  readonly serial: Serial;
  readonly members: readonly RosterMember[];
}

/** How many changes a register remembers by id. */
export const CHANGES_KEPT = 64;

export const MANIFEST_KEY = 'manifest' as KeyName;
export const ROSTER_KEY = 'roster' as KeyName;
export const ROLLOUTS_KEY = 'rollouts' as KeyName;

const whole = Joi.number().integer().min(0).required();
export const entryShape = Joi.object({
  epoch: whole, serial: whole, value: Joi.any().required(),
  changes: Joi.array().items(Joi.object({ id: Joi.string().max(128).required(), serial: whole })).max(CHANGES_KEPT).required(),
});

export const Roster = {
  /** The roster to go by: the later of what is known to be committed and what the own disk has accepted. */
  newest: (committed: Entry | null, accepted: Entry | null): Entry | null => (committed === null || (accepted !== null && accepted.serial > committed.serial) ? accepted : committed),
} as const;

export const Entry = {
  /** Whether one version is later than another, which may lack. */
  isLater: (one: Entry, other: Entry | null): boolean =>
    other === null || one.epoch > other.epoch || (one.epoch === other.epoch && one.serial > other.serial),
  /** The version after another; `named` is the serial that its author gave it, above the former one. */
  next: (former: Entry | null, epoch: Epoch, value: unknown, id: ChangeId, named: Serial | null = null): Entry => {
    const serial = named ?? (((former?.serial ?? 0) + 1) as Serial);
    return { epoch, serial, value, changes: [...(former?.changes ?? []), { id, serial }].slice(-CHANGES_KEPT) };
  },
} as const;
