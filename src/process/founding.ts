import { randomUUID } from 'node:crypto';
import { err, type Result } from 'neverthrow';
import type { Roster, RosterMember, Voters } from '../version/entry.js';
import type { Address, ChangeId, DiskId, Instant, KeyName, Serial } from './brands.js';
import type { Clock } from './clock.js';
import { UnreachableDefect, type Defect } from './defect.js';
import type { Founders } from './founders.js';
import { KeyOwner } from './keyOwner.js';
import { NoVote, type VoterLink } from './quorum.js';
import type { Holder, RegisterAsk, RegisterReply } from './register.js';

/** The register in which the founders agree on the first roster. */
export const FOUNDING_KEY = 'founding' as KeyName;
/** A founder that is not heard for so long after a majority was first heard may be left out, in milliseconds. */
const LEAVE_OUT_AFTER_MS = 3000;
/** The later a founder comes in the order of the seeds, the longer it lets others propose, in milliseconds a place. */
const TURN_MS = 600;

/** A founder that answered just now. */
export interface PresentFounder {
  /** Its place among the seeds. */
  readonly seed: Address;
  readonly member: RosterMember;
}

/** What the founding needs of the ratebook that takes part. */
export interface FoundingPlace {
  /** The seed that this ratebook listens at. */
  readonly seed: Address;
  readonly holder: Holder;
  readonly clock: Clock;
  /** A number from 0 up to 1, another one each time. */
  readonly random: () => number;
  readonly ask: VoterLink['ask'];
}

/**
 * How the founders agree on the first roster: one value, chosen once by a majority of the seeds (single-decree Paxos, by the register and
 * the owner of any other key). The acceptor at a seed is the disk that was there at the first start and no other: one that was lost
 * since leaves its place silent for good. The value names the founders that were heard; the others are admitted later as spare disks are.
 */
export class Founding implements VoterLink {
  private readonly owner: KeyOwner;
  private heard: ReadonlyMap<Address, RosterMember> = new Map();
  private majorityAt: Instant | null = null;
  private nextTryAt = -Infinity;

  constructor(private readonly founders: Founders, private readonly place: FoundingPlace) {
    this.owner = new KeyOwner(FOUNDING_KEY, place.holder, this, place.clock, () => Promise.resolve(true), () => undefined);
  }

  /** The founders as voters: a seed whose disk was not heard yet counts in the majority and is not reached. */
  voters(): Voters {
    return { serial: 0 as Serial, members: this.founders.seeds.map((seed) => this.heard.get(seed) ?? { id: `unheard ${seed}` as DiskId, address: seed }) };
  }

  ask(voter: RosterMember, key: KeyName, rosterSerial: number, ask: RegisterAsk): Promise<Result<RegisterReply, Defect>> {
    const isHeard = [...this.heard.values()].some(({ id }) => id === voter.id);
    return isHeard ? this.place.ask(voter, key, rosterSerial, ask) : Promise.resolve(err(new UnreachableDefect(`no founder was heard at ${voter.address}`)));
  }

  /** Why a disk must not answer an ask of the founding; null when it may. */
  static askDefect(own: DiskId, isFounder: boolean, asked: DiskId | undefined): NoVote | null {
    return isFounder && asked === own ? null : new NoVote('this disk is not the founder that is asked');
  }

  /** Proposes those that are present, or finishes what another has proposed, when it is this founder's turn; the first roster once it is agreed on. */
  async settle(present: readonly PresentFounder[]): Promise<readonly RosterMember[] | null> {
    const founders = present.filter(({ seed }) => this.founders.seeds.includes(seed));
    this.heard = new Map([...this.heard, ...founders.map(({ seed, member }) => [seed, member] as const)]);
    if (!this.isDue(founders.length)) return null;
    const agreed = await this.agree(founders.map(({ member }) => member));
    await this.owner.handOver();
    if (agreed === null) this.nextTryAt = this.place.clock.now() + TURN_MS * this.place.random();
    return agreed;
  }

  private isDue(presentCount: number): boolean {
    const now = this.place.clock.now();
    const { seeds, isMajorityEnough } = this.founders;
    const turnMs = TURN_MS * Math.max(0, seeds.indexOf(this.place.seed));
    if (presentCount <= seeds.length / 2) return false;
    this.majorityAt ??= now;
    const isWhole = presentCount === seeds.length;
    if (!isWhole && !isMajorityEnough) return false;
    return now >= this.nextTryAt && now - this.majorityAt >= turnMs + (isWhole ? 0 : LEAVE_OUT_AFTER_MS);
  }

  private async agree(members: readonly RosterMember[]): Promise<readonly RosterMember[] | null> {
    const taken = await this.owner.takeOver();
    if (taken.isErr()) return null;
    const found = await this.owner.read();
    if (found.isErr()) return null;
    if (found.value !== null) return (found.value.value as Roster).members;
    const sorted = [...members].sort((one, other) => (one.id < other.id ? -1 : 1));
    const proposed = await this.owner.change({ base: 0 as Serial, value: { members: sorted } satisfies Roster, id: randomUUID() as ChangeId });
    return proposed.isOk() ? sorted : null;
  }
}
