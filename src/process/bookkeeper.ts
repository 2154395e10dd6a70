import { err, ok, type Result } from 'neverthrow';
import { Counter, Gauge } from 'prom-client';
import { Pollers } from '../connection/pollers.js';
import type { AskMessage, ChangeMessage, CommittedMessage, CopyAnswer, CopyMessage, DumpAnswer, IdentityMessage, OwnerAnswer, PollAnswer, PollMessage, ReplaceMessage, StoreClient } from '../connection/storeCalls.js';
import { MANIFEST_KEY, ROLLOUTS_KEY, ROSTER_KEY, Roster, type Entry, type RosterMember, type Voters } from '../version/entry.js';
import { CatchUp } from './catchUp.js';
import { CommitEvidence, CURRENT_MS, type DiskReport } from './commitEvidence.js';
import { Address, type DiskId, type Epoch, type Instant, type KeyName, type Millis, type Serial } from './brands.js';
import type { Defect } from './defect.js';
import type { Founders } from './founders.js';
import { Founding, FOUNDING_KEY, type PresentFounder } from './founding.js';
import { LEASE } from './keyHolder.js';
import { MarkHolder } from './markHolder.js';
import type { MarkLog } from './markLog.js';
import { Moment, type ToldMoment } from './moment.js';
import { KeyOwner, type ChangeDefect } from './keyOwner.js';
import { KeyTakeover } from './keyTakeover.js';
import type { Membership } from './membership.js';
import type { Frame } from './program.js';
import { isFenced, isWithoutVote, OldRoster, voteDefect, type VoterLink } from './quorum.js';
import type { RegisterReply } from './register.js';
import { repeat } from './repeat.js';
import type { Replica } from './replica.js';
import { RosterKeeper } from './rosterKeeper.js';
import { copyFromMajority } from './spareCopy.js';
import type { PlaceSettings } from './settings.js';

const ASK_MS = 1000;
const INQUIRE_MS = 300;
/** How long a stopping ratebook waits for another disk to take its vote over, in milliseconds: a platform gives it some seconds in all. */
const HAND_OVER_VOTE_MS = 2000;
const CATCH_UP_MS = 50;
const CATCH_UP_MOST_MS = 400;
const OWNED_KEYS: readonly KeyName[] = [ROSTER_KEY, MANIFEST_KEY, ROLLOUTS_KEY];

/** Answers a register's ask: the reply, or the type and words of the defect. */
export type AskAnswer = { readonly reply: RegisterReply } | { readonly defect: string; readonly detail: string };

const ownerAnswer = (defect: ChangeDefect): OwnerAnswer =>
  (defect.kind === 'change-undecided' ? { kind: 'undecided', detail: defect.detail }
    : { kind: 'turnedAway', reason: defect.reason, detail: defect.detail, serial: defect.serial });

/** How the roster is founded and kept. */
export interface RosterRules {
  readonly replaceAfterMs: number;
  /** How many disks vote. */
  readonly size: number;
  /** Who founds the mesh; null when this disk takes no part in it. */
  readonly founders: Founders | null;
}

/** One ratebook's part in the control state: its replica, the keys that it owns, what it knows to be committed. */
export class Bookkeeper implements VoterLink {
  private committedEntries: ReadonlyMap<KeyName, Entry> = new Map();
  private readonly learnedAt = new Map<KeyName, Instant>();
  private readonly owners: ReadonlyMap<KeyName, KeyOwner>;
  private readonly rosterOwner: KeyOwner;
  private readonly rosterKeeper: RosterKeeper;
  private readonly founding: Founding | null;
  private addresses: ReadonlyMap<DiskId, Address> = new Map();
  private readonly evidence = new CommitEvidence(OWNED_KEYS, (key) => this.serialOf(key));
  private readonly takeover: KeyTakeover;
  private isStopping = false;
  private isCatchingUp = false;
  private isSweeping = false;
  private readonly catchUp: CatchUp;
  private readonly pollers = new Pollers();
  /** The marks of departures on this disk. */
  readonly marks: MarkHolder;
  private readonly defects: Counter<'kind'>;

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly replica: Replica, log: MarkLog, private readonly membership: Membership, private readonly store: StoreClient, rules: RosterRules) {
    this.marks = new MarkHolder(log, replica.id, () => this.voters(), store);
    const registers = [frame.metrics];
    const mended = new Counter({ name: 'opalstair_copies_mended_total', help: 'Old copies that were written anew', registers });
    this.defects = new Counter({ name: 'opalstair_disk_defects_total', help: 'Writes to the disk that failed', labelNames: ['kind'], registers });
    const holder = `${frame.settings.node}/${replica.id}@${frame.boot}`;
    this.owners = new Map(OWNED_KEYS.map((key) => [key, new KeyOwner(key, holder, this, frame.clock, (entry) => this.spread(key, entry), () => mended.inc(), key === ROSTER_KEY ? (entry) => (entry.value as Roster).members : undefined)]));
    this.founding = rules.founders === null ? null : new Founding(rules.founders, { seed: Address.of(frame.settings.host, frame.settings.memberPort), holder, clock: frame.clock, random: Math.random, ask: (voter, key, serial, ask) => this.ask(voter, key, serial, ask) });
    this.catchUp = new CatchUp(this, holder, OWNED_KEYS, { accepted: (key) => replica.accepted(key), committedSerial: (key) => this.serialOf(key), learn: (key, entry) => this.learn({ key, entry }) });
    frame.stalls.onStall(() => this.fallBehind());
    this.takeover = new KeyTakeover(this.owners, replica, frame.clock, frame.log);
    this.rosterOwner = this.owners.get(ROSTER_KEY) as KeyOwner;
    this.rosterKeeper = new RosterKeeper(this.rosterOwner, () => this.voters(), (spare, members) => this.store.copy(spare, members), frame.clock, rules.size, rules.replaceAfterMs);
    const owners = this.owners;
    new Gauge({ name: 'opalstair_key_owned', help: '1 when this ratebook owns the key', labelNames: ['key'], registers, collect() { owners.forEach((owner, key) => this.set({ key }, owner.serving ? 1 : 0)); } });
    new Gauge({ name: 'opalstair_key_epoch', help: 'The epoch that this replica has promised', labelNames: ['key'], registers, collect() { replica.keys().forEach((key) => this.set({ key }, replica.promised(key).promised)); } });
    new Gauge({ name: 'opalstair_key_serial', help: 'The newest committed serial known here', labelNames: ['key'], registers, collect: function collect(this: Gauge) { OWNED_KEYS.forEach((key) => this.set({ key }, committed(key))); } });
    new Gauge({ name: 'opalstair_spare_disks', help: 'Disks that are there without a vote and may be given one', registers, collect: function collect(this: Gauge) { this.set(spares().length); } });
    const spares = (): readonly RosterMember[] => this.rosterKeeper.spares();
    const committed = (key: KeyName): number => this.committedEntries.get(key)?.serial ?? 0;
  }

  /** Starts the duties that go on in the background. */
  start(): void {
    const every = (period: number, work: () => Promise<void>): void => repeat({ firstAfter: period, period, isOver: () => this.isStopping }, work);
    every(100, () => this.tendKeys());
    every(500, () => this.renewAll());
    every(500, () => this.meetOthers());
    every(2000, () => this.sweep());
    void this.catchUpSoon();
  }

  /** The roster was reached: this ratebook knows who votes. */
  get isReady(): boolean {
    return this.voters() !== null;
  }

  voters(): Voters | null {
    const entry = Roster.newest(this.committedEntries.get(ROSTER_KEY) ?? null, this.replica.accepted(ROSTER_KEY));
    if (entry === null) return null;
    const members = (entry.value as Roster).members.map((member) => ({ ...member, address: this.addresses.get(member.id) ?? member.address }));
    return { serial: entry.serial, members };
  }

  async ask(voter: RosterMember, key: KeyName, rosterSerial: number, ask: AskMessage['ask']): Promise<Result<RegisterReply, Defect>> {
    const message: AskMessage = { key, disk: voter.id, rosterSerial, ask };
    if (voter.id === this.replica.id) return this.askHere(message);
    const answer = await this.store.ask(voter.address, message, ask.kind === 'inquire' || ask.kind === 'show' ? INQUIRE_MS : ASK_MS);
    return answer;
  }

  /** An ask of any owner on this disk's copy. */
  async answerAsk(message: AskMessage): Promise<AskAnswer> {
    const answer = await this.askHere(message);
    return answer.match<AskAnswer>((reply) => ({ reply }), (defect) => ({ defect: defect.kind, detail: defect.detail }));
  }

  identity(): IdentityMessage {
    return { id: this.replica.id, isEmpty: this.replica.isEmpty, isSpare: this.isSpare, isFounder: this.founding !== null, voters: this.voters(), accepted: this.replica.acceptedSerials(OWNED_KEYS) };
  }

  async change(message: ChangeMessage): Promise<OwnerAnswer> {
    const owner = this.owners.get(message.key);
    if (owner === undefined || this.isStopping) return { kind: 'turnedAway', reason: 'not-owner', detail: 'not taken here', serial: 0 as Serial };
    const changed = await owner.change(message);
    return changed.match<OwnerAnswer>((serial) => ({ kind: 'acknowledged', serial }), ownerAnswer);
  }

  async read(key: KeyName): Promise<OwnerAnswer> {
    const owner = this.owners.get(key);
    if (owner === undefined) return { kind: 'turnedAway', reason: 'not-owner', detail: 'no such key', serial: 0 as Serial };
    const found = await owner.read();
    return found.match<OwnerAnswer>((entry) => ({ kind: 'entry', entry }), ownerAnswer);
  }

  /** Puts an empty disk in the place of a lost one at an operator's word. */
  async replace(message: ReplaceMessage): Promise<OwnerAnswer> {
    const changed = await this.rosterKeeper.replace(message.lost, message.replacement);
    return changed.match<OwnerAnswer>((serial) => ({ kind: 'acknowledged', serial }), ownerAnswer);
  }

  /** Whether this disk may be given a vote: it has none, no damaged copy, and stays. What it promised and accepted under an earlier vote it keeps. */
  private get isSpare(): boolean {
    const isDamaged = this.replica.damagedKeys.some((key) => key !== FOUNDING_KEY);
    return !this.isStopping && !isDamaged && isWithoutVote(this.replica.id, this.voters());
  }

  /** Readies this spare disk for a vote: takes over what a majority of the voters holds. */
  async copyFrom(message: CopyMessage): Promise<CopyAnswer> {
    if (message.disk !== undefined && message.disk !== this.replica.id) return { copied: false, detail: `disk ${message.disk} is meant, this is ${this.replica.id}` };
    if (!this.isSpare) return { copied: false, detail: 'this disk has a vote, or a damaged copy' };
    const copied = await copyFromMajority(message.members, (member) => this.store.dump(member));
    const adopted: Result<void, Defect> = copied.isErr() ? err(copied.error) : await this.replica.adopt(copied.value, GRACE_MS);
    if (adopted.isOk() && !(await this.marks.copyFrom(message.members))) return { copied: false, detail: 'the marks of departures could not be copied' };
    return adopted.match<CopyAnswer>(() => ({ copied: true, detail: '' }), (defect) => ({ copied: false, detail: defect.describe() }));
  }

  dump(): DumpAnswer {
    return { disk: this.replica.id, states: [...this.replica.dump()].filter(([key]) => key !== FOUNDING_KEY).map(([key, state]) => ({ key, state })) };
  }

  /** Another ratebook tells of a committed version. */
  learn(message: CommittedMessage): void {
    const known = this.committedEntries.get(message.key);
    if (known !== undefined && known.serial >= message.entry.serial) return;
    this.committedEntries = new Map([...this.committedEntries, [message.key, message.entry]]);
    this.learnedAt.set(message.key, this.frame.clock.now());
    this.evidence.match();
    this.pollers.wake();
  }

  /** Answers those who ask with the serials that they have, at once if there is news. */
  async poll(message: PollMessage): Promise<PollAnswer> {
    const look = (): readonly CommittedMessage[] | null => {
      const news = this.newsFor(message);
      return news.length > 0 || this.isStopping || message.isCurrent === !this.isCurrent() ? news : null;
    };
    const readAt = this.frame.clock.now();
    await this.pollers.until(look, message.waitMs as Millis);
    const learnedAt = (key: KeyName): ToldMoment => Moment.tell(this.learnedAt.get(key) ?? readAt, readAt);
    const provenAt = this.provenAt();
    return { entries: this.newsFor(message).map((news) => ({ ...news, learnedAt: learnedAt(news.key) })), isCurrent: this.isCurrent(), ...(Number.isFinite(provenAt) ? { provenAt: Moment.tell(provenAt, readAt) } : {}) };
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    this.pollers.wake();
    const timeIsUp = new Promise<void>((settle) => { setTimeout(settle, HAND_OVER_VOTE_MS).unref(); });
    await Promise.race([this.handOverVote(), timeIsUp]);
    await this.handAllOver();
  }

  /** A planned end with a spare disk at hand costs no vote: whoever owns the roster puts that disk in this one's place. */
  private async handOverVote(): Promise<void> {
    const successor = this.rosterKeeper.successor();
    if (successor === null || isWithoutVote(this.replica.id, this.voters())) return;
    const message: ReplaceMessage = { lost: this.replica.id, replacement: successor.id };
    const asked = [this.replace(message), ...this.others().map(async (address) => (await this.store.replace(address, message, HAND_OVER_VOTE_MS)).unwrapOr(null))];
    const isDone = await new Promise<boolean>((settle) => {
      for (const answering of asked) void answering.then((answer) => { if (answer?.kind === 'acknowledged') settle(true); });
      void Promise.all(asked).then(() => settle(false));
    });
    this.frame.log.info({ event: 'vote-handed-over', successor, isDone });
  }

  private async handAllOver(): Promise<void> {
    await Promise.all([...this.owners.values()].map((owner) => owner.handOver()));
  }

  private async askHere(message: AskMessage): Promise<Result<RegisterReply, Defect>> {
    const refusal = this.askDefect(message);
    if (refusal !== null) return err(refusal);
    const answer = await this.replica.ask(message.key, message.ask);
    if (answer.isErr()) {
      this.defects.inc({ kind: answer.error.kind });
      this.frame.log.error({ event: 'disk-defect', key: message.key, defect: answer.error.describe() });
    }
    return answer;
  }

  /** Why this disk must not answer an ask; null when it may. */
  private askDefect(message: AskMessage): Defect | null {
    if (message.key === FOUNDING_KEY) return Founding.askDefect(this.replica.id, this.founding !== null, message.disk);
    const noVote = voteDefect(this.replica.id, this.voters(), message);
    if (noVote !== null) return noVote;
    const known = Math.max(this.serialOf(ROSTER_KEY), this.replica.accepted(ROSTER_KEY)?.serial ?? 0);
    return isFenced(message.key, message.rosterSerial, this.serialOf(ROSTER_KEY), known) ? new OldRoster(`roster ${message.rosterSerial} was replaced by ${known}`) : null;
  }

  private newsFor(have: Pick<PollMessage, 'manifest' | 'roster' | 'rollouts'>): readonly CommittedMessage[] {
    const serials: ReadonlyMap<KeyName, number> = new Map([[MANIFEST_KEY, have.manifest], [ROSTER_KEY, have.roster], [ROLLOUTS_KEY, have.rollouts ?? Infinity]]);
    return [...this.committedEntries].filter(([key, entry]) => entry.serial > (serials.get(key) ?? Infinity)).map(([key, entry]) => ({ key, entry }));
  }

  private isCurrent(): boolean {
    return this.frame.clock.now() - this.provenAt() < CURRENT_MS;
  }

  /** The moment before which everything that was committed is known here. */
  private provenAt(): Instant {
    const voters = this.voters();
    this.evidence.hear({ disk: this.replica.id, askedAt: this.frame.clock.now(), rosterSerial: voters?.serial ?? (0 as Serial), voters, accepted: this.replica.acceptedSerials(OWNED_KEYS) });
    return this.evidence.asOf(voters);
  }

  /** Something may have been committed meanwhile that was not heard of here. */
  private fallBehind(): void {
    this.catchUp.forget();
    void this.catchUpSoon();
  }

  private async catchUpSoon(): Promise<void> {
    if (this.isCatchingUp) return;
    this.isCatchingUp = true;
    for (let rest = CATCH_UP_MS; !this.isStopping && !(await this.lookAtOthers()); rest = Math.min(2 * rest, CATCH_UP_MOST_MS)) {
      if (rest > CATCH_UP_MS) void this.sweep();
      await new Promise((settle) => { setTimeout(settle, rest).unref(); });
    }
    this.isCatchingUp = false;
    this.pollers.wake();
  }

  private async lookAtOthers(): Promise<boolean> {
    const askedAt = this.frame.clock.now();
    const isCaughtUp = await this.catchUp.look();
    if (isCaughtUp) this.evidence.prove(askedAt);
    return isCaughtUp;
  }

  private others(): readonly Address[] {
    return this.membership.having('ratebook').map((member) => member.wire).filter((wire) => wire !== `${this.frame.settings.host}:${this.frame.settings.wirePort}`);
  }

  /** Tells the other ratebooks of a committed entry; resolves once one of them knows it, or when none could be told. */
  private spread(key: KeyName, entry: Entry): Promise<boolean> {
    this.learn({ key, entry });
    const voters = this.voters()?.members ?? [];
    const own = Address.of(this.frame.settings.host, this.frame.settings.wirePort);
    const others = [...new Set([...this.others(), ...voters.map((member) => member.address)])].filter((address) => address !== own);
    if (others.length === 0) return Promise.resolve(true);
    return new Promise((settle) => {
      let silent = others.length;
      for (const address of others) {
        void this.store.committed(address, { key, entry }).then((answer) => {
          silent -= 1;
          if (answer.isOk()) settle(true);
          else if (silent === 0) settle(false);
        });
      }
    });
  }

  /** Only a voter owns keys: one that has lost its vote hands them over, the others take over what nobody holds. */
  private async tendKeys(): Promise<void> {
    const voters = this.voters();
    if (voters === null || this.isStopping) return;
    if (isWithoutVote(this.replica.id, voters)) await this.handAllOver();
    else await this.takeover.tend(voters.members);
  }

  private async renewAll(): Promise<void> {
    await Promise.all([...this.owners.values()].filter((owner) => owner.serving).map((owner) => owner.renew()));
  }

  /** Learns where the disks are; a founder takes part in the founding when none that answers knows of a roster. */
  private async meetOthers(): Promise<void> {
    const met = await Promise.all(this.membership.having('ratebook').map(async (member) => {
      const own = member.boot === this.frame.boot;
      const asked = { askedAt: this.frame.clock.now(), rosterSerial: this.voters()?.serial ?? (0 as Serial) };
      const identity: Result<IdentityMessage, Defect> = own ? ok(this.identity()) : await this.store.identity(member.wire);
      identity.map(({ id, voters, accepted }) => this.hearReport({ ...asked, disk: id, voters, accepted: accepted ?? null }));
      return identity.match((found) => [{ ...found, member }], () => []);
    }));
    const present = met.flat();
    if (!this.isCurrent()) this.fallBehind();
    this.addresses = new Map([...this.addresses, ...present.map(({ id, member }) => [id, member.wire] as const)]);
    this.rosterKeeper.meet(present.map(({ member, ...identity }) => ({ identity, member: { id: identity.id, address: member.wire } })));
    if (this.voters() !== null) return this.tendRoster();
    const named = present.find(({ voters }) => voters !== null && voters.serial === 1 && voters.members.some((member) => member.id === this.replica.id));
    if (named?.voters) return this.found(named.voters.members);
    const isFounded = present.some(({ voters }) => voters !== null);
    if (isFounded) return;
    const founders = present.filter(({ isFounder }) => isFounder === true).map(({ id, member }): PresentFounder => ({ seed: member.member, member: { id, address: member.wire } }));
    const agreed = await this.founding?.settle(founders);
    if (agreed?.some(({ id }) => id === this.replica.id)) await this.found(agreed);
  }

  /** A disk told what it has accepted: what is not known here to be committed may have been, and the word of it may be lost. */
  private hearReport(report: DiskReport): void {
    this.evidence.hear(report);
    const isVoter = this.voters()?.members.some(({ id }) => id === report.disk) === true;
    if (isVoter && !this.evidence.covers(report.accepted)) void this.sweep();
  }

  private async tendRoster(): Promise<void> {
    const tended = await this.rosterKeeper.tend();
    if (tended !== null) this.frame.log.info({ event: 'roster-step', step: tended.step, outcome: tended.outcome.match(() => 'done', (defect) => defect.describe()) });
  }

  private async found(members: readonly RosterMember[]): Promise<void> {
    const entry: Entry = { epoch: 1 as Epoch, serial: 1 as Serial, value: { members } satisfies Roster, changes: [] };
    const founded = await this.replica.found(ROSTER_KEY, entry);
    this.frame.log.info({ event: 'founded', members, outcome: founded.match(() => 'done', (defect) => defect.describe()) });
  }

  /** Finds what a lost message would have told: asks the others for anything newer. */
  private async sweep(): Promise<void> {
    if (this.isSweeping) return;
    this.isSweeping = true;
    const have = { manifest: this.serialOf(MANIFEST_KEY), roster: this.serialOf(ROSTER_KEY), rollouts: this.serialOf(ROLLOUTS_KEY), waitMs: 0 };
    await Promise.all(this.others().map(async (address) => {
      const answer = await this.store.poll(address, have);
      answer.map(({ entries }) => entries.forEach((message) => this.learn(message)));
    }));
    this.isSweeping = false;
  }

  private serialOf(key: KeyName): Serial {
    return this.committedEntries.get(key)?.serial ?? (0 as Serial);
  }
}

/** A restarted replica grants nothing until the leases that it may have forgotten have run out. */
export const GRACE_MS = LEASE.leaseMs;
