import { err, type Result } from 'neverthrow';
import type { Address, ChangeId, DiskId, Epoch, Instant, KeyName, Serial } from '../process/brands.js';
import { LostDefect, type Defect } from '../process/defect.js';
import type { ChangeDefect } from '../process/keyOwner.js';
import type { Present } from '../process/rosterKeeper.js';
import { MANIFEST_KEY, ROSTER_KEY, type Entry, type Roster, type RosterMember } from '../version/entry.js';
import type { Chance } from './chance.js';
import { LEASE_MS, SimBook, type SimWorld } from './simBook.js';

const DEFAULT_SIZE = 3;
/** The longest time between two steps. */
const STEP_MS = 30;
/** How likely a step delivers a letter that is on its way, and how likely one that does not does harm. */
const DELIVERING = 0.9;
const HARMING = 0.06;
/** How likely the machines that are down change places with others when a disk is lost. */
const OVERLAPPING = 0.7;
/** How likely an empty disk is at the address of the lost one, and not at a new machine's. */
const SAME_ADDRESS = 0.7;
/** A change of the roster that takes longer than this was lost with its owner, in milliseconds. */
const ROSTER_STEP_MS = 10_000;
/** How many calm steps the roster may take until all its disks are there again. */
const ROSTER_STEPS = 6000;

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

/** What a run may do: how many disks vote, how many are lost in all, how often machines go down and miss changes, and how many are replaced as planned. */
export interface SimPlan {
  readonly wipes: number;
  readonly size?: number;
  readonly outages?: number;
  readonly replacements?: number;
}

/** Drives the real owners and registers through random orders of messages, losses, restarts and wiped disks. */
export class StoreSim implements SimWorld {
  readonly told: Told[] = [];
  readonly history = new Map<number, unknown>();
  private readonly rosters = new Map<number, unknown>();
  /** How often a book found an entry committed by itself, and how often one had caught up. */
  foundCount = 0;
  caughtUpCount = 0;
  /** How often a book could prove up to when it knows all commits. */
  provenCount = 0;
  /** When each serial was seen to be committed. */
  private readonly committedAt = new Map<number, number>();
  readonly faults: string[] = [];
  /** The books beside its owner's that were told of a serial. */
  private readonly knownBy = new Map<number, ReadonlySet<DiskId>>();
  private books: SimBook[];
  private readonly letters: Letter[] = [];
  private time = 0;
  private changeCount = 0;
  private diskCount: number;
  readonly size: number;
  private readonly lostAtOnce: number;
  private lostCount = 0;
  private outageCount = 0;
  private replacedCount = 0;
  private readonly rosterSteps = new Set<{ readonly startedAt: number }>();

  constructor(private readonly chance: Chance, private readonly most: SimPlan) {
    this.size = most.size ?? DEFAULT_SIZE;
    this.diskCount = this.size;
    this.lostAtOnce = (this.size - 1) / 2;
    this.books = Array.from({ length: this.size }, (_, index) => new SimBook(this.memberOf(index + 1), this));
    const founding: Entry = { epoch: 1 as Epoch, serial: 1 as Serial, value: { members: this.books.map((book) => book.member) } satisfies Roster, changes: [] };
    this.books.forEach((book) => book.disk.set(ROSTER_KEY, { promised: founding.epoch, holder: 'founding', accepted: founding }));
  }

  now(): Instant {
    return this.time as Instant;
  }

  /** Sends a letter to whichever book is at an address when it arrives; one that is down gets none. */
  post<T>(from: SimBook, to: Address, act: (target: SimBook) => Result<T, Defect>): Promise<Result<T, Defect>> {
    const boot = from.boot;
    return new Promise((settle) => {
      const lost = (): void => settle(err(new LostDefect('lost on the way')));
      const answer = (reply: Result<T, Defect>): void => {
        this.letters.push({ run: () => { if (from.boot === boot) settle(reply); }, lose: lost });
      };
      this.letters.push({
        run: () => {
          const target = this.books.find((book) => book.member.address === to);
          if (target === undefined || target.isDown) lost();
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
    if (key === MANIFEST_KEY && !this.committedAt.has(entry.serial)) this.committedAt.set(entry.serial, this.time);
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
          if (book.isDown) return hear(false);
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
    this.time += this.chance.below(STEP_MS);
    if (this.running.length === 0) this.books.forEach((book) => this.bringBack(book));
    if (this.letters.length > 0 && this.chance.happens(DELIVERING)) this.deliver(calm);
    else if (!calm && this.chance.happens(HARMING)) this.harm();
    else this.act();
    await new Promise((settle) => { setImmediate(settle); });
  }

  /** Something that a running book does by itself. */
  private act(): void {
    const dice = this.chance.next();
    const book = this.chance.of(this.running);
    if (dice < 0.35) this.propose();
    else if (dice < 0.55) this.takeOver(book);
    else if (dice < 0.75) this.renew(book);
    else if (dice < 0.85) this.tendRoster(this.servingOr(ROSTER_KEY, book));
    else if (dice < 0.91) this.lookAround(book);
    else if (dice < 0.96) book.compare(() => this.checkEvidence(book));
    else this.gossip();
  }

  private harm(): void {
    const dice = this.chance.next();
    if (dice < 0.2) this.chance.of(this.running).restart();
    else if (dice < 0.4) this.time += LEASE_MS;
    else if (dice < 0.55 && this.mayReplace) this.replaceMachine();
    else if (dice < 0.7) this.wipe();
    else this.takeDownOrBack();
  }

  /** A book that serves the key, mostly, or another. */
  private servingOr(key: KeyName, other: SimBook): SimBook {
    const serving = this.running.filter((book) => book.owner(key).serving);
    return serving.length > 0 && this.chance.happens(0.9) ? this.chance.of(serving) : other;
  }

  /** Books rarely claim what another serves. */
  private takeOver(book: SimBook): void {
    const key = this.chance.happens(0.6) ? MANIFEST_KEY : ROSTER_KEY;
    const isServed = this.running.some((other) => other.owner(key).serving);
    if (!isServed || this.chance.happens(0.1)) void book.owner(key).takeOver();
  }

  private get running(): readonly SimBook[] {
    return this.books.filter((book) => !book.isDown);
  }

  /** Delivers everything until the newest value can be read back through an owner. */
  async readBack(): Promise<Entry | null> {
    this.books.forEach((book) => this.bringBack(book));
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

  private propose(): void {
    const book = this.servingOr(MANIFEST_KEY, this.chance.of(this.running));
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

  /** A book that proves up to when it knows all commits knows every one that was seen before then. */
  private checkEvidence(book: SimBook): void {
    const moment = book.evidence.asOf(book.voters());
    if (moment === -Infinity) return;
    this.provenCount += 1;
    const known = book.committedEntry(MANIFEST_KEY)?.serial ?? 0;
    for (const [serial, at] of this.committedAt) {
      if (at < moment && serial > known) this.faults.push(`${book.member.id} knew serial ${known} and all up to ${moment}, when ${serial} had been committed at ${at}`);
    }
  }

  private gossip(): void {
    const [from, to] = [this.chance.of(this.running), this.chance.of(this.running)];
    for (const key of [MANIFEST_KEY, ROSTER_KEY]) {
      const entry = from.committedEntry(key);
      if (entry !== null) to.learn(key, entry);
    }
  }

  /** A machine goes down and misses what happens, or all that are down come back. */
  private takeDownOrBack(): void {
    const down = this.books.filter((book) => book.isDown);
    if (down.length > 0 && this.chance.happens(0.5)) return down.forEach((book) => this.bringBack(book));
    if (this.outageCount >= (this.most.outages ?? 0)) return;
    this.takeDown(this.chance.of(this.books));
  }

  /** Those that missed something come back while others that did not go down: outages may overlap without bound, as no disk is lost by them. */
  private turnAbout(lost: SimBook): void {
    const down = this.books.filter((book) => book.isDown);
    const up = this.running.filter((book) => book !== lost);
    down.forEach((book) => this.bringBack(book));
    up.filter(() => this.chance.happens(0.7)).forEach((book) => this.takeDown(book));
  }

  private takeDown(book: SimBook): void {
    this.outageCount += 1;
    book.restart();
    book.isDown = true;
  }

  private bringBack(book: SimBook): void {
    if (!book.isDown) return;
    book.restart();
    book.isDown = false;
  }

  /** How many votes no running or stopped machine has, by the newest committed roster or any later one that a disk has accepted. */
  private get missingVotes(): number {
    const committed = Math.max(0, ...this.books.map((book) => book.committedEntry(ROSTER_KEY)?.serial ?? 0));
    const rosters = this.books.flatMap((book) => [book.committedEntry(ROSTER_KEY), book.disk.get(ROSTER_KEY)?.accepted ?? null]).filter((entry) => entry !== null && entry.serial >= committed);
    const voting = rosters.map((entry) => (entry?.value as Roster).members.filter((member) => this.isThere(member)).length);
    return this.size - Math.min(this.size, ...voting);
  }

  /** How many disks were lost in this run. */
  get lostDisks(): number {
    return this.lostCount;
  }

  /** How often a disk that had lost its vote was given one again. */
  get votesRegained(): number {
    const inOrder = [...this.rosters].sort(([one], [other]) => one - other).map(([, value]) => (value as Roster).members.map(({ id }) => id));
    const isRegained = (id: DiskId, place: number): boolean => place > 0 && inOrder[place - 1]?.includes(id) === false && inOrder.slice(0, place - 1).some((ids) => ids.includes(id));
    return inOrder.reduce((count, ids, place) => count + ids.filter((id) => isRegained(id, place)).length, 0);
  }

  private isThere(member: RosterMember): boolean {
    return this.books.some((book) => book.member.id === member.id);
  }

  private get mayReplace(): boolean {
    return this.books.length > this.size || this.replacedCount < (this.most.replacements ?? 0);
  }

  /** A planned replacement: first a new machine with an empty disk, later any machine is removed for good. */
  private replaceMachine(): void {
    if (this.books.length > this.size) {
      if (this.missingVotes >= this.lostAtOnce || this.isRosterChanging) return;
      const removed = this.chance.of(this.books);
      removed.restart();
      this.books = this.books.filter((book) => book !== removed);
      return;
    }
    this.replacedCount += 1;
    this.diskCount += 1;
    this.books = [...this.books, new SimBook(this.memberOf(this.diskCount), this)];
  }

  /** Calm steps until every vote belongs to a disk that is there: each loss to be borne finds as many voters as there can be. */
  async settleRoster(): Promise<void> {
    for (let step = 1; step <= ROSTER_STEPS; step += 1) {
      await this.step(true);
      if (step % 100 === 0) this.time += LEASE_MS + 1;
      if (this.missingVotes === 0) return;
    }
    this.faults.push(`${this.missingVotes} of ${this.size} votes belong to nobody although ${this.books.length} disks are there`);
  }

  /** A disk is lost for good, and an empty one comes in its place or at a new machine; no more are missing at once than the votes bear. */
  private wipe(): void {
    if (this.missingVotes >= this.lostAtOnce || this.isRosterChanging || this.lostCount >= this.most.wipes) return;
    this.lostCount += 1;
    const lost = this.chance.of(this.books);
    this.diskCount += 1;
    const fresh = this.memberOf(this.diskCount);
    const address = this.chance.happens(SAME_ADDRESS) ? lost.member.address : fresh.address;
    lost.restart();
    if (this.outageCount < (this.most.outages ?? 0) && this.chance.happens(OVERLAPPING)) this.turnAbout(lost);
    this.books = [...this.books.filter((book) => book !== lost), new SimBook({ ...fresh, address }, this)];
  }

  private tendRoster(book: SimBook): void {
    if (!book.owner(ROSTER_KEY).serving) return;
    const present: readonly Present[] = this.running.map((one) => ({ identity: { id: one.member.id, isEmpty: false, isSpare: one.isSpare(), voters: null }, member: one.member }));
    book.rosterKeeper.meet(present);
    const step = { startedAt: this.time };
    this.rosterSteps.add(step);
    void book.rosterKeeper.tend().then(() => this.rosterSteps.delete(step));
  }

  /**
   * Between the two writes of a swap all but one of the other disks are needed. When the swap is made for a machine that is only
   * silent, a disk that is lost in these moments can take the majority: no disk is lost in them here.
   */
  private get isRosterChanging(): boolean {
    return [...this.rosterSteps].some(({ startedAt }) => this.time - startedAt < ROSTER_STEP_MS);
  }

  private memberOf(number: number): RosterMember {
    return { id: `disk${number}` as DiskId, address: `10.0.0.${number}:1` as RosterMember['address'] };
  }
}

