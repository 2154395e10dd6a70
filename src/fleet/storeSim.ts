import { err, ok, type Result } from 'neverthrow';
import type { ChangeId, DiskId, Epoch, Instant, KeyName, Serial } from '../process/brands.js';
import { LostDefect, type Defect } from '../process/defect.js';
import { KeyOwner, type ChangeDefect } from '../process/keyOwner.js';
import { hasVote, isFenced, NoVote, OldRoster, type VoterLink } from '../process/quorum.js';
import { CatchUp } from '../process/catchUp.js';
import { Register, type Grant, type RegisterAsk, type RegisterReply, type RegisterState } from '../process/register.js';
import { copyFromMajority, mergedState } from '../process/spareCopy.js';
import { nextRosterStep, type Present } from '../process/rosterKeeper.js';
import { MANIFEST_KEY, ROSTER_KEY, Roster, type Entry, type RosterMember, type Voters } from '../version/entry.js';
import type { Chance } from './chance.js';

const LEASE_MS = 2000;
const SIZE = 3;

interface Letter {
  readonly run: () => void;
  readonly lose: () => void;
}

/** What one operator was told of one change. */
export interface Told {
  readonly id: ChangeId;
  readonly base: Serial;
  readonly outcome: 'acknowledged' | 'turned away' | 'undecided';
  readonly serial: number;
}

/** A ratebook of the simulation: its disk survives a restart, its grants and owners do not. */
class SimBook implements VoterLink {
  readonly disk = new Map<KeyName, RegisterState>();
  private grants = new Map<KeyName, Grant>();
  private graceUntil: Instant;
  private committed = new Map<KeyName, Entry>();
  private owners: ReadonlyMap<KeyName, KeyOwner>;
  catchUp: CatchUp;
  boot = 1;

  constructor(readonly member: RosterMember, private readonly sim: StoreSim) {
    this.graceUntil = sim.now();
    this.owners = this.makeOwners();
    this.catchUp = this.makeCatchUp();
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
    if (entry.serial > (this.committed.get(key)?.serial ?? 0)) this.committed.set(key, entry);
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
  }

  ask(voter: RosterMember, key: KeyName, rosterSerial: number, ask: RegisterAsk): Promise<Result<RegisterReply, Defect>> {
    return this.sim.post(this, voter.id, (target) => target.answer(key, rosterSerial, ask));
  }

  answer(key: KeyName, rosterSerial: number, ask: RegisterAsk): Result<RegisterReply, Defect> {
    if (!hasVote(this.voters(), this.member.id, rosterSerial)) return err(new NoVote('on no roster'));
    if (this.isFenced(key, rosterSerial)) return err(new OldRoster('replaced'));
    const step = Register.step(this.disk.get(key) ?? Register.empty, this.grants.get(key) ?? null, ask, this.sim.now(), this.graceUntil);
    if (step.store !== null) this.disk.set(key, step.store);
    if (step.grant === null) this.grants.delete(key);
    else this.grants.set(key, step.grant);
    return ok(step.reply);
  }

  isSpare(): boolean {
    const roster = this.disk.get(ROSTER_KEY)?.accepted?.value as Roster | undefined;
    return roster === undefined || !roster.members.some((member) => member.id === this.member.id);
  }

  /** Takes over what a majority of the voters holds, as a spare disk does before it votes. */
  async copyFrom(members: readonly RosterMember[]): Promise<boolean> {
    const copied = await copyFromMajority(members, (member) => this.sim.post(this, member.id, (target) => ok(new Map(target.disk))));
    if (copied.isErr()) return false;
    this.graceUntil = (this.sim.now() + LEASE_MS) as Instant;
    for (const [key, state] of copied.value) this.disk.set(key, mergedState(this.disk.get(key) ?? Register.empty, state));
    return true;
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

/** Drives the real owners and registers through random orders of messages, losses, restarts and wiped disks. */
export class StoreSim {
  readonly told: Told[] = [];
  readonly history = new Map<number, unknown>();
  private readonly rosters = new Map<number, unknown>();
  /** How often a book found an entry committed by itself, and how often one had caught up. */
  foundCount = 0;
  caughtUpCount = 0;
  readonly faults: string[] = [];
  /** The books beside its owner's that were told of a serial. */
  private readonly knownBy = new Map<number, ReadonlySet<DiskId>>();
  private books: SimBook[];
  private readonly letters: Letter[] = [];
  private time = 0;
  private changeCount = 0;
  private diskCount = SIZE;
  private lostCount = 0;

  constructor(private readonly chance: Chance, private readonly most: { readonly wipes: number }) {
    this.books = Array.from({ length: SIZE }, (_, index) => new SimBook(this.memberOf(index + 1), this));
    const founding: Entry = { epoch: 1 as Epoch, serial: 1 as Serial, value: { members: this.books.map((book) => book.member) } satisfies Roster, changes: [] };
    this.books.forEach((book) => book.disk.set(ROSTER_KEY, { promised: founding.epoch, holder: 'founding', accepted: founding }));
  }

  now(): Instant {
    return this.time as Instant;
  }

  post<T>(from: SimBook, to: DiskId, act: (target: SimBook) => Result<T, Defect>): Promise<Result<T, Defect>> {
    const boot = from.boot;
    return new Promise((settle) => {
      const lost = (): void => settle(err(new LostDefect('lost on the way')));
      const answer = (reply: Result<T, Defect>): void => {
        this.letters.push({ run: () => { if (from.boot === boot) settle(reply); }, lose: lost });
      };
      this.letters.push({
        run: () => {
          const target = this.books.find((book) => book.member.id === to);
          if (target === undefined) lost();
          else answer(act(target));
        },
        lose: lost,
      });
    });
  }

  /** A book found out by itself that an entry is committed. */
  found(book: SimBook, key: KeyName, entry: Entry): void {
    this.foundCount += 1;
    this.note(key, entry);
    book.learn(key, entry);
  }

  /** What is committed under one serial is so for good. */
  private note(key: KeyName, entry: Entry): void {
    const history = key === MANIFEST_KEY ? this.history : this.rosters;
    const known = history.get(entry.serial);
    if (known !== undefined && JSON.stringify(known) !== JSON.stringify(entry.value)) this.faults.push(`${key} ${entry.serial} was committed as ${JSON.stringify(known)} and as ${JSON.stringify(entry.value)}`);
    history.set(entry.serial, entry.value);
  }

  /** Tells the other books of a committed entry; resolves once one knows it, or when all the letters were lost. */
  spread(from: SimBook, key: KeyName, entry: Entry): Promise<boolean> {
    this.note(key, entry);
    from.learn(key, entry);
    return new Promise((settle) => {
      const others = this.books.filter((book) => book !== from);
      let silent = others.length;
      const boot = from.boot;
      const hear = (isTold: boolean): void => {
        silent -= 1;
        if (from.boot === boot && (isTold || silent === 0)) settle(isTold);
      };
      for (const book of others) {
        const learn = (): void => {
          book.learn(key, entry);
          if (key === MANIFEST_KEY) this.knownBy.set(entry.serial, new Set([...(this.knownBy.get(entry.serial) ?? []), book.member.id]));
          this.letters.push({ run: () => hear(true), lose: () => hear(false) });
        };
        this.letters.push({ run: learn, lose: () => hear(false) });
      }
    });
  }

  /** One random step; `calm` loses nothing and breaks nothing. */
  async step(calm: boolean): Promise<void> {
    const dice = this.chance.next();
    this.time += this.chance.below(120);
    const serving = this.books.filter((book) => book.owner(MANIFEST_KEY).serving);
    if (dice < 0.7 && this.letters.length > 0) this.deliver(calm);
    else if (dice < 0.8) this.propose(this.chance.of(serving.length > 0 && this.chance.happens(0.9) ? serving : this.books));
    else if (dice < 0.88) void this.chance.of(this.books).owner(this.chance.happens(0.7) ? MANIFEST_KEY : ROSTER_KEY).takeOver();
    else if (dice < 0.93) this.renew(this.chance.of(this.books));
    else if (dice < 0.96) this.tendRoster(this.chance.of(this.books));
    else if (!calm && dice < 0.967) this.chance.of(this.books).restart();
    else if (!calm && dice < 0.972) this.time += LEASE_MS;
    else if (!calm && dice < 0.99) this.wipe();
    else if (this.chance.happens(0.6)) this.lookAround(this.chance.of(this.books));
    else this.gossip();
    await new Promise((settle) => { setImmediate(settle); });
  }

  /** Delivers everything until the newest value can be read back through an owner. */
  async readBack(): Promise<Entry | null> {
    for (let round = 0; round < 5000; round += 1) {
      await this.step(true);
      if (round % 100 !== 99) continue;
      this.time += LEASE_MS + 1;
      const book = this.chance.of(this.books);
      let found: Entry | null | undefined;
      const taken = book.owner(MANIFEST_KEY).takeOver().then((done) => (done.isOk() ? book.owner(MANIFEST_KEY).read() : null)).then((read) => { if (read?.isOk() === true) found = read.value; });
      for (let wait = 0; wait < 50 && found === undefined; wait += 1) {
        while (this.letters.length > 0) this.letters.shift()?.run();
        await new Promise((settle) => { setImmediate(settle); });
      }
      void taken;
      if (found !== undefined) return found;
    }
    this.faults.push('nothing could be read back');
    return null;
  }

  private deliver(calm: boolean): void {
    const index = this.chance.below(Math.min(this.letters.length, this.chance.happens(0.2) ? 40 : 6));
    const [letter] = this.letters.splice(index, 1);
    if (!calm && this.chance.happens(0.07)) letter?.lose();
    else letter?.run();
  }

  private propose(book: SimBook): void {
    this.changeCount += 1;
    const known = book.committedEntry(MANIFEST_KEY)?.serial ?? (0 as Serial);
    const retried = this.told.filter((one) => one.outcome === 'undecided');
    const again = retried.length > 0 && this.chance.happens(0.3) ? this.chance.of(retried) : null;
    const id = again?.id ?? (`change-${this.changeCount}` as ChangeId);
    const base = again?.base ?? known;
    void book.owner(MANIFEST_KEY).change({ base, id, value: id }).then((answer: Result<Serial, ChangeDefect>) => {
      const outcome = answer.match(() => 'acknowledged' as const, (defect) => (defect.kind === 'change-undecided' ? 'undecided' as const : 'turned away' as const));
      const serial = answer.unwrapOr(0 as Serial);
      const isSeen = [...this.knownBy.keys()].some((known) => known >= serial);
      if (outcome === 'acknowledged' && !isSeen) this.faults.push(`${id} was acknowledged as serial ${serial} and only its owner knew of it`);
      this.told.push({ id, base, outcome, serial });
    });
  }

  private renew(book: SimBook): void {
    for (const key of [MANIFEST_KEY, ROSTER_KEY]) if (book.owner(key).serving) void book.owner(key).renew();
  }

  /** A book that says it has caught up knows all that was acknowledged before it asked. */
  private lookAround(book: SimBook): void {
    const acknowledged = Math.max(0, ...this.told.filter((one) => one.outcome === 'acknowledged').map(({ serial }) => serial));
    book.catchUp.forget();
    void book.catchUp.look().then((isDone) => {
      if (!isDone) return;
      this.caughtUpCount += 1;
      const known = book.committedEntry(MANIFEST_KEY)?.serial ?? 0;
      if (known < acknowledged) this.faults.push(`${book.member.id} had caught up with serial ${known} after ${acknowledged} was acknowledged`);
    });
  }

  private gossip(): void {
    const [from, to] = [this.chance.of(this.books), this.chance.of(this.books)];
    for (const key of [MANIFEST_KEY, ROSTER_KEY]) {
      const entry = from.committedEntry(key);
      if (entry !== null) to.learn(key, entry);
    }
  }

  /** A disk is lost for good; a machine with an empty one takes its place, and is lost only once the roster is whole again. */
  private wipe(): void {
    const rosters = this.books.map((book) => book.committedEntry(ROSTER_KEY)).filter((entry) => entry !== null);
    const newest = rosters.sort((one, other) => other.serial - one.serial)[0];
    const members = newest === undefined ? [] : (newest.value as Roster).members;
    const isWhole = members.length === SIZE && members.every((member) => this.books.some((book) => book.member.id === member.id));
    if (!isWhole || this.lostCount >= this.most.wipes) return;
    this.lostCount += 1;
    const lost = this.chance.of(this.books);
    this.diskCount += 1;
    this.books = [...this.books.filter((book) => book !== lost), new SimBook(this.memberOf(this.diskCount), this)];
  }

  private tendRoster(book: SimBook): void {
    const owner = book.owner(ROSTER_KEY);
    const voters = book.voters();
    if (voters === null || !owner.serving) return;
    const present: readonly Present[] = this.books.map((one) => ({ identity: { id: one.member.id, isEmpty: false, isSpare: one.isSpare(), voters: null }, member: one.member }));
    const step = nextRosterStep(voters.members, present, (member) => !this.books.some((one) => one.member.id === member.id), SIZE);
    if (step === null) return;
    const members = step.kind === 'drop' ? voters.members.filter((member) => member.id !== step.id) : [...voters.members, step.member];
    this.changeCount += 1;
    const spare = step.kind === 'admit' ? this.books.find((one) => one.member.id === step.member.id) : undefined;
    const isReady = spare === undefined ? Promise.resolve(true) : spare.copyFrom(voters.members);
    const number = this.changeCount;
    void isReady.then(async (ready) => { if (ready) await owner.change({ base: voters.serial, id: `roster-${number}` as ChangeId, value: { members } satisfies Roster }); });
  }

  private memberOf(number: number): RosterMember {
    return { id: `disk${number}` as DiskId, address: `10.0.0.${number}:1` as RosterMember['address'] };
  }
}

