import { err, ok, type Result } from 'neverthrow';
import { Entry, type RosterMember } from '../version/entry.js';
import type { KeyName } from './brands.js';
import { Defect } from './defect.js';
import type { RegisterState } from './register.js';

/** Too few voters could be copied from. */
export class CopyFailed extends Defect {
  readonly kind = 'copy-failed';
}

/** All that one replica holds. */
export type Copies = ReadonlyMap<KeyName, RegisterState>;

/** The state that forgets nothing of either: the higher promise, the later entry. */
export const mergedState = (one: RegisterState, other: RegisterState): RegisterState => {
  const promise = one.promised >= other.promised ? one : other;
  const accepted = one.accepted !== null && Entry.isLater(one.accepted, other.accepted) ? one.accepted : other.accepted;
  return { promised: promise.promised, holder: promise.holder, accepted };
};

const mergedCopies = (all: readonly Copies[]): Copies =>
  all.reduce<Copies>((merged, copies) => {
    const next = new Map(merged);
    for (const [key, state] of copies) {
      const known = next.get(key);
      next.set(key, known === undefined ? state : mergedState(known, state));
    }
    return next;
  }, new Map());

/**
 * Reads every key from a majority of the voters. Keys are registers of their own, so a roster step moves none of
 * them: a disk that is to vote must first hold whatever an earlier majority may have stored. Settles once a majority has
 * answered: a voter that is silent is not waited for.
 */
export const copyFromMajority = (members: readonly RosterMember[], fetch: (member: RosterMember) => Promise<Result<Copies, Defect>>): Promise<Result<Copies, CopyFailed>> => {
  const needed = Math.floor(members.length / 2) + 1;
  return new Promise((settle) => {
    const got: Copies[] = [];
    let answered = 0;
    const hear = (answer: Result<Copies, Defect>): void => {
      answered += 1;
      if (answer.isOk()) got.push(answer.value);
      if (got.length >= needed) settle(ok(mergedCopies(got)));
      else if (answered === members.length) settle(err(new CopyFailed(`${got.length} of ${members.length} voters could be read`)));
    };
    if (members.length === 0) settle(err(new CopyFailed('there are no voters to be read')));
    for (const member of members) void fetch(member).then(hear);
  });
};
