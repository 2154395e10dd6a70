import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { CopyAnswer, IdentityMessage } from '../connection/storeCalls.js';
import { type Roster, type RosterMember, type Voters } from '../version/entry.js';
import type { ChangeId, DiskId, Instant, Serial } from './brands.js';
import type { Clock } from './clock.js';
import type { Defect } from './defect.js';
import { ChangeTurnedAway, type ChangeDefect, type KeyOwner } from './keyOwner.js';

/** A ratebook that answered, and what it said of its disk. */
export interface Present {
  readonly identity: IdentityMessage;
  readonly member: RosterMember;
}

/** The next change of the roster: an empty vote is given to a spare disk, or a lost disk's vote is handed to one. */
export type RosterStep = { readonly kind: 'admit'; readonly member: RosterMember } | { readonly kind: 'swap'; readonly lost: DiskId; readonly replacement: RosterMember };

/** What the step would be taken for: the disks that count as lost, those first that are surely gone. */
export type LostMembers = readonly RosterMember[];

/** The disks that are there without a vote and may be given one, in an order that all agree on. */
const sparesOf = (members: readonly RosterMember[], present: readonly Present[]): readonly RosterMember[] =>
  present.filter(({ identity, member }) => identity.isSpare && !members.some((known) => known.id === member.id)).map(({ member }) => member).sort((one, other) => (one.id < other.id ? -1 : 1));

/**
 * Decides on the roster's next step. A lost disk is dropped first and a spare one admitted after that: each write
 * changes one member, so any majority before it and any after it share a disk. The spare copies all keys first.
 */
export const nextRosterStep = (members: readonly RosterMember[], present: readonly Present[], lostMembers: LostMembers, size: number): RosterStep | null => {
  const spares = sparesOf(members, present);
  const [firstSpare] = spares;
  if (firstSpare === undefined) return null;
  if (members.length < size) return { kind: 'admit', member: firstSpare };
  const [lost] = lostMembers;
  if (lost === undefined) return null;
  return { kind: 'swap', lost: lost.id, replacement: spares.find(({ address }) => address === lost.address) ?? firstSpare };
};

/** Keeps the roster at its size while this ratebook owns it. */
export class RosterKeeper {
  private seenAt: ReadonlyMap<DiskId, Instant> = new Map();
  private present: readonly Present[] = [];

  constructor(private readonly owner: KeyOwner, private readonly voters: () => Voters | null, private readonly copy: (spare: RosterMember, members: readonly RosterMember[]) => Promise<Result<CopyAnswer, Defect>>, private readonly clock: Clock, private readonly size: number, private readonly replaceAfterMs: number) {}

  /** Takes note of who answered just now. */
  meet(present: readonly Present[]): void {
    const now = this.clock.now();
    this.present = present;
    const known = this.voters()?.members ?? [];
    this.seenAt = new Map([...known.filter((member) => !this.seenAt.has(member.id)).map((member) => [member.id, now] as const), ...this.seenAt, ...present.map(({ member }) => [member.id, now] as const)]);
  }

  /** One step towards a whole roster, if one is due, and what came of it. */
  async tend(): Promise<{ readonly step: RosterStep; readonly outcome: Result<Serial, ChangeDefect> } | null> {
    const voters = this.voters();
    if (voters === null || !this.owner.serving || this.replaceAfterMs === 0) return null;
    const step = nextRosterStep(voters.members, this.present, this.lostMembers(voters), this.size);
    if (step === null) return null;
    const outcome = step.kind === 'admit' ? await this.admit(step.member, voters) : await this.swap(step.lost, step.replacement, voters);
    return { step, outcome };
  }

  /** The disks that could take over a vote now. */
  spares(): readonly RosterMember[] {
    return sparesOf(this.voters()?.members ?? [], this.present);
  }

  /** The disk that a stopping ratebook hands its vote to; null when there is none, or when only operators move votes. */
  successor(): RosterMember | null {
    return this.replaceAfterMs === 0 ? null : this.spares()[0] ?? null;
  }

  /** Puts a spare disk in the place of another, at the word of an operator or of the other's own ratebook, which stops. */
  async replace(lost: DiskId, replacement: DiskId): Promise<Result<Serial, ChangeDefect>> {
    const voters = this.voters();
    const turnAway = (detail: string): Result<Serial, ChangeDefect> => err(new ChangeTurnedAway('unavailable', detail, (voters?.serial ?? 0) as Serial));
    const spare = this.present.find(({ member }) => member.id === replacement);
    if (voters === null || !this.owner.serving) return err(new ChangeTurnedAway('not-owner', 'the roster is not owned here', 0 as Serial));
    if (!voters.members.some((member) => member.id === lost)) return turnAway(`${lost} is not on the roster`);
    if (voters.members.some((member) => member.id === replacement)) return turnAway(`${replacement} is on the roster already`);
    if (spare === undefined || !spare.identity.isSpare) return turnAway(`${replacement} is not here with a disk that may be given a vote`);
    return this.swap(lost, spare.member, voters);
  }

  /**
   * Drops one disk and admits another at once. The replacement has copied everything before the vote is taken from the other,
   * so that a replacement that can't copy costs no vote, and copies again what was stored until then.
   */
  private async swap(lost: DiskId, replacement: RosterMember, voters: Voters): Promise<Result<Serial, ChangeDefect>> {
    const remaining = voters.members.filter(({ id }) => id !== lost);
    const isReady = await this.ready(replacement, { ...voters, members: remaining });
    if (isReady.isErr()) return err(isReady.error);
    const dropped = await this.write(remaining, voters.serial);
    if (dropped.isErr()) return dropped;
    return this.admit(replacement, { serial: dropped.value, members: remaining });
  }

  private async admit(spare: RosterMember, voters: Voters): Promise<Result<Serial, ChangeDefect>> {
    const isReady = await this.ready(spare, voters);
    if (isReady.isErr()) return err(isReady.error);
    return this.write([...voters.members, spare], voters.serial);
  }

  /** Has a spare disk copy what a majority of the voters holds. */
  private async ready(spare: RosterMember, { serial, members }: Voters): Promise<Result<void, ChangeTurnedAway>> {
    const copied = await this.copy(spare, members);
    if (copied.isOk() && copied.value.copied) return ok(undefined);
    return err(new ChangeTurnedAway('unavailable', copied.match((answer) => answer.detail, (defect) => defect.describe()), serial));
  }

  private write(members: readonly RosterMember[], base: Serial): Promise<Result<Serial, ChangeDefect>> {
    return this.owner.change({ base, value: { members } satisfies Roster, id: randomUUID() as ChangeId });
  }

  /** The members that count as lost: those whose address has another disk now first, then the longest silent. */
  private lostMembers({ members }: Voters): LostMembers {
    const now = this.clock.now();
    const silentMs = (member: RosterMember): number => (this.isReplaced(member) ? Infinity : now - (this.seenAt.get(member.id) ?? now));
    return members.filter((member) => silentMs(member) > this.replaceAfterMs).sort((one, other) => (silentMs(one) === silentMs(other) ? 0 : silentMs(other) - silentMs(one)));
  }

  private isReplaced(member: RosterMember): boolean {
    return this.present.some((one) => one.member.address === member.address && one.member.id !== member.id);
  }
}
