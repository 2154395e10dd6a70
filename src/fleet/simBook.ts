import { err, ok, type Result } from 'neverthrow';
import type { Address, DiskId, Instant, KeyName, Serial } from '../process/brands.js';
import type { CopyAnswer } from '../connection/storeCalls.js';
import { CatchUp } from '../process/catchUp.js';
import { CommitEvidence, type AcceptedSerials } from '../process/commitEvidence.js';
import type { Defect } from '../process/defect.js';
import { KeyOwner } from '../process/keyOwner.js';
import { isFenced, isWithoutVote, NoVote, OldRoster, voteDefect, type VoterLink } from '../process/quorum.js';
import { Register, type Grant, type RegisterAsk, type RegisterReply, type RegisterState } from '../process/register.js';
import { RosterKeeper } from '../process/rosterKeeper.js';
import { copyFromMajority, mergedState, type Copies } from '../process/spareCopy.js';
import { MANIFEST_KEY, ROSTER_KEY, Roster, type Entry, type RosterMember, type Voters } from '../version/entry.js';

export const LEASE_MS = 2000;
/** A disk that was silent for so long counts as lost, in milliseconds. */
const REPLACE_AFTER_MS = 400;
const KEYS = [ROSTER_KEY, MANIFEST_KEY] as const;

/** What a simulated ratebook needs of the simulation around it. */
export interface SimWorld {
  now(): Instant;
  /** Sends a letter to whichever book is at an address when it arrives. */
  post<T>(from: SimBook, to: Address, act: (target: SimBook) => Result<T, Defect>): Promise<Result<T, Defect>>;
  /** Tells the other books of a committed entry; resolves with whether one of them knows it now. */
  spread(from: SimBook, key: KeyName, entry: Entry): Promise<boolean>;
  /** A book found out by itself that an entry is committed. */
  found(book: SimBook, key: KeyName, entry: Entry): void;
  /** How many disks vote. */
  readonly size: number;
}

/** A ratebook of the simulation: its disk survives a restart, its grants and owners do not. */
export class SimBook implements VoterLink {
  readonly disk = new Map<KeyName, RegisterState>();
  private grants = new Map<KeyName, Grant>();
  private graceUntil: Instant;
  private committed = new Map<KeyName, Entry>();
  private owners: ReadonlyMap<KeyName, KeyOwner>;
  catchUp: CatchUp;
  evidence: CommitEvidence;
  rosterKeeper: RosterKeeper;
  boot = 1;
  isDown = false;

  constructor(readonly member: RosterMember, private readonly sim: SimWorld) {
    this.graceUntil = sim.now();
    this.owners = this.makeOwners();
    this.catchUp = this.makeCatchUp();
    this.evidence = this.makeEvidence();
    this.rosterKeeper = this.makeRosterKeeper();
  }

  voters(): Voters | null {
    const entry = Roster.newest(this.committedEntry(ROSTER_KEY), this.disk.get(ROSTER_KEY)?.accepted ?? null);
    return entry === null ? null : { serial: entry.serial, members: (entry.value as Roster).members };
  }

  owner(key: KeyName): KeyOwner {
    const owner = this.owners.get(key);
    if (owner === undefined) throw new Error(`no owner of ${key}`);
    return owner;
  }

  learn(key: KeyName, entry: Entry): void {
    if (entry.serial <= (this.committed.get(key)?.serial ?? 0)) return;
    this.committed.set(key, entry);
    this.evidence.match();
  }

  committedEntry(key: KeyName): Entry | null {
    return this.committed.get(key) ?? null;
  }

  restart(): void {
    this.boot += 1;
    this.grants = new Map();
    this.committed = new Map();
    this.graceUntil = (this.sim.now() + LEASE_MS) as Instant;
    this.owners = this.makeOwners();
    this.catchUp = this.makeCatchUp();
    this.evidence = this.makeEvidence();
    this.rosterKeeper = this.makeRosterKeeper();
  }

  ask(voter: RosterMember, key: KeyName, rosterSerial: number, ask: RegisterAsk): Promise<Result<RegisterReply, Defect>> {
    return this.sim.post(this, voter.address, (target) => target.answer(voter.id, key, rosterSerial, ask));
  }

  answer(disk: DiskId, key: KeyName, rosterSerial: number, ask: RegisterAsk): Result<RegisterReply, Defect> {
    const noVote = voteDefect(this.member.id, this.voters(), { disk, rosterSerial });
    if (noVote !== null) return err(noVote);
    if (this.isFenced(key, rosterSerial)) return err(new OldRoster('replaced'));
    const step = Register.step(this.disk.get(key) ?? Register.empty, this.grants.get(key) ?? null, ask, this.sim.now(), this.graceUntil);
    if (step.store !== null) this.disk.set(key, step.store);
    if (step.grant === null) this.grants.delete(key);
    else this.grants.set(key, step.grant);
    return ok(step.reply);
  }

  isSpare(): boolean {
    return isWithoutVote(this.member.id, this.voters());
  }

  /** Takes over what a majority of the voters holds, as a spare disk does before it votes. */
  async copyFrom(members: readonly RosterMember[]): Promise<boolean> {
    if (!this.isSpare()) return false;
    const copied = await copyFromMajority(members, (member) => this.sim.post(this, member.address, (target) => target.dump(member.id)));
    if (copied.isErr()) return false;
    this.graceUntil = (this.sim.now() + LEASE_MS) as Instant;
    for (const [key, state] of copied.value) this.disk.set(key, mergedState(this.disk.get(key) ?? Register.empty, state));
    return true;
  }

  acceptedSerials(): AcceptedSerials {
    return Object.fromEntries(KEYS.map((key) => [key, this.disk.get(key)?.accepted?.serial ?? (0 as Serial)]));
  }

  /** Asks every voter what it has accepted; `each` is called with every answer that came. */
  compare(each: () => void): void {
    const { boot } = this;
    const voters = this.voters();
    if (voters === null) return;
    const asked = { askedAt: this.sim.now(), rosterSerial: voters.serial };
    for (const { address } of voters.members) {
      void this.sim.post(this, address, (target) => ok({ disk: target.member.id, voters: target.voters(), accepted: target.acceptedSerials() })).then((answer) => {
        if (this.boot !== boot || answer.isErr()) return;
        this.evidence.hear({ ...answer.value, ...asked });
        each();
      });
    }
  }

  private makeRosterKeeper(): RosterKeeper {
    return new RosterKeeper(this.owner(ROSTER_KEY), () => this.voters(), (spare, members) => this.haveCopied(spare, members), { now: () => this.sim.now() }, this.sim.size, REPLACE_AFTER_MS);
  }

  /** Has a spare disk copy all keys; a book that was restarted meanwhile never hears of it. */
  private async haveCopied(spare: RosterMember, members: readonly RosterMember[]): Promise<Result<CopyAnswer, Defect>> {
    const { boot } = this;
    const reached = await this.sim.post(this, spare.address, (target) => (target.member.id === spare.id ? ok(target) : err(new NoVote('another disk'))));
    if (reached.isErr()) return err(reached.error);
    const copied = await reached.value.copyFrom(members);
    return this.boot === boot ? ok({ copied, detail: '' }) : new Promise(() => undefined);
  }

  private makeEvidence(): CommitEvidence {
    return new CommitEvidence(KEYS, (key) => this.committed.get(key)?.serial ?? (0 as Serial));
  }

  private dump(disk: DiskId): Result<Copies, Defect> {
    return disk === this.member.id ? ok(new Map(this.disk)) : err(new NoVote('another disk'));
  }

  private isFenced(key: KeyName, rosterSerial: number): boolean {
    const committedSerial = this.committed.get(ROSTER_KEY)?.serial ?? 0;
    return isFenced(key, rosterSerial, committedSerial, Math.max(committedSerial, this.disk.get(ROSTER_KEY)?.accepted?.serial ?? 0));
  }

  private makeCatchUp(): CatchUp {
    return new CatchUp(this, `${this.member.id}@${this.boot}`, [ROSTER_KEY, MANIFEST_KEY], {
      accepted: (key) => this.disk.get(key)?.accepted ?? null, committedSerial: (key) => this.committed.get(key)?.serial ?? 0, learn: (key, entry) => this.sim.found(this, key, entry),
    });
  }

  private makeOwners(): ReadonlyMap<KeyName, KeyOwner> {
    const make = (key: KeyName): KeyOwner => new KeyOwner(key, `${this.member.id}@${this.boot}`, this, { now: () => this.sim.now() }, (entry) => this.sim.spread(this, key, entry), () => undefined,
      key === ROSTER_KEY ? (entry) => (entry.value as Roster).members : undefined);
    return new Map([MANIFEST_KEY, ROSTER_KEY].map((key) => [key, make(key)]));
  }
}
