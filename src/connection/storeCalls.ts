import Joi from 'joi';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import type { Address, ChangeId, DiskId, KeyName, Serial } from '../process/brands.js';
import type { AcceptedSerials } from '../process/commitEvidence.js';
import type { Defect } from '../process/defect.js';
import type { ToldMoment } from '../process/moment.js';
import { DamagedKey } from '../process/replica.js';
import { DiskFull } from '../process/disk.js';
import { NoVote, OldRoster, type AskScope } from '../process/quorum.js';
import type { RegisterAsk, RegisterReply, RegisterState } from '../process/register.js';
import { entryShape, type Entry, type RosterMember, type Voters } from '../version/entry.js';
import { LostDefect } from '../process/defect.js';
import type { Copies } from '../process/spareCopy.js';
import type { WireClient, WireDefect } from './wire.js';
import { departureMarkShape, type DepartureMark } from '../version/departureMark.js';

/** The calls that a ratebook takes from other processes. */
export const StorePath = { ask: '/store/ask', identity: '/store/identity', change: '/store/change', read: '/store/read', committed: '/store/committed', poll: '/store/poll', replace: '/store/replace', dump: '/store/dump', copy: '/store/copy', keepMark: '/store/marks/keep', readMarks: '/store/marks/read' } as const;

const text = Joi.string().max(256).required();
const whole = Joi.number().integer().min(0).required();
export const votersShape = Joi.object({ serial: whole, members: Joi.array().items(Joi.object({ id: text, address: text })).max(16).required() });

/** An ask of one disk: what is asked of another by the address that they share in turn is refused. */
export interface AskMessage extends AskScope { readonly key: KeyName; readonly ask: RegisterAsk }
export const askShape = Joi.object({
  key: text, disk: Joi.string().max(256), rosterSerial: whole,
  ask: Joi.object({ kind: Joi.string().valid('show', 'inquire', 'claim', 'renew', 'accept', 'release').required(), epoch: whole, holder: text, leaseMs: Joi.number().min(0), isMending: Joi.boolean(), entry: entryShape }).required(),
});

export interface IdentityMessage {
  readonly id: DiskId;
  readonly isEmpty: boolean;
  readonly isSpare: boolean;
  /** Whether this disk was there at the first start; the former release does not say it. */
  readonly isFounder?: boolean;
  readonly voters: Voters | null;
  /** What this disk has accepted; the former release does not say it. */
  readonly accepted?: AcceptedSerials;
}
export const identityShape = Joi.object({ id: text, isEmpty: Joi.boolean().required(), isSpare: Joi.boolean().required(), isFounder: Joi.boolean(), voters: votersShape.allow(null).required(), accepted: Joi.object().pattern(Joi.string().max(256), Joi.number().integer().min(0)) });

export interface ChangeMessage { readonly key: KeyName; readonly base: Serial; readonly value: unknown; readonly id: ChangeId; readonly serial?: Serial }
export const changeShape = Joi.object({ key: text, base: whole, value: Joi.any().required(), id: Joi.string().max(128).required(), serial: Joi.number().integer().min(1) });

/** How a ratebook answers a change or a read. */
export type OwnerAnswer =
  | { readonly kind: 'acknowledged'; readonly serial: Serial }
  | { readonly kind: 'entry'; readonly entry: Entry | null }
  | { readonly kind: 'turnedAway'; readonly reason: 'stale-base' | 'not-above' | 'busy' | 'not-owner' | 'unavailable'; readonly detail: string; readonly serial: Serial }
  | { readonly kind: 'undecided'; readonly detail: string };
export const ownerAnswerShape = Joi.object({
  kind: Joi.string().valid('acknowledged', 'entry', 'turnedAway', 'undecided').required(), serial: Joi.number(), entry: entryShape.allow(null), reason: Joi.string(), detail: Joi.string().allow(''),
});

export interface KeyMessage { readonly key: KeyName }
export const keyShape = Joi.object({ key: text });

export interface ReplaceMessage { readonly lost: DiskId; readonly replacement: DiskId }
export const replaceShape = Joi.object({ lost: text, replacement: text });

/** What a spare disk is told to copy from before it may vote. */
export interface CopyMessage { readonly disk?: DiskId; readonly members: readonly RosterMember[] }
export const copyShape = Joi.object({ disk: Joi.string().max(256), members: votersShape.extract('members') });
export interface CopyAnswer { readonly copied: boolean; readonly detail: string }
const copyAnswerShape = Joi.object({ copied: Joi.boolean().required(), detail: Joi.string().allow('').required() });

/** All keys of one replica, and which disk it is on; the former release does not say it. */
export interface DumpAnswer { readonly disk?: DiskId; readonly states: readonly { readonly key: KeyName; readonly state: RegisterState }[] }
const dumpShape = Joi.object({
  disk: Joi.string().max(256),
  states: Joi.array().required().items(Joi.object({ key: text, state: Joi.object({ promised: whole, holder: Joi.string().allow('').required(), accepted: entryShape.allow(null).required() }).required() })),
});

export interface CommittedMessage { readonly key: KeyName; readonly entry: Entry }
export const committedShape = Joi.object({ key: text, entry: entryShape.required() });

/** `isCurrent` is what this ratebook said last: a change of it is news. */
export interface PollMessage { readonly manifest: Serial; readonly roster: Serial; /** Absent in asks of the former release, which takes no rollouts. */ readonly rollouts?: Serial; readonly waitMs: number; readonly isCurrent?: boolean }
export const pollShape = Joi.object({ manifest: whole, roster: whole, rollouts: Joi.number().integer().min(0), waitMs: Joi.number().min(0).max(30_000).required(), isCurrent: Joi.boolean() });
/** An entry and when this ratebook learned that it is committed; the former release does not say it. */
export interface CommittedNews extends CommittedMessage { readonly learnedAt?: ToldMoment }
/** Everything that was committed before `provenAt` is known to this ratebook; `isCurrent` says that this moment is not long ago. */
export interface PollAnswer {
  readonly entries: readonly CommittedNews[];
  readonly isCurrent: boolean;
  /** Absent when nothing was proven yet, and in answers of the former release. */
  readonly provenAt?: ToldMoment;
}
export const pollAnswerShape = Joi.object({ entries: Joi.array().items(committedShape.keys({ learnedAt: Joi.number() })).required(), isCurrent: Joi.boolean().required(), provenAt: Joi.number() });

/** What a ratebook says of the marks on its disk, beside which disk that is and who votes by the newest roster that it knows. */
interface MarkWord {
  readonly disk: DiskId;
  readonly voters: Voters | null;
}
const markWord = { disk: text, voters: votersShape.allow(null).required() };
/** Whether the mark is synced on this disk. */
export interface MarkKeptWord extends MarkWord { readonly isKept: boolean }
const markKeptWordShape = Joi.object({ ...markWord, isKept: Joi.boolean().required() });
/** The marks on this disk; all that count unless a file of them is damaged. */
export interface MarksWord extends MarkWord { readonly marks: readonly DepartureMark[]; readonly isWhole: boolean }
const marksWordShape = Joi.object({ ...markWord, marks: Joi.array().items(departureMarkShape).required(), isWhole: Joi.boolean().required() });

interface ReplyMessage { readonly reply?: RegisterReply; readonly defect?: string; readonly detail?: string }
const replyShape = Joi.object({ reply: Joi.object({ kind: Joi.string().required() }), defect: Joi.string(), detail: Joi.string().allow('') });

const defectOf = (message: ReplyMessage): Defect => {
  const detail = message.detail ?? '';
  switch (message.defect) {
    case 'disk-full': return new DiskFull(detail);
    case 'damaged-key': return new DamagedKey(detail);
    case 'no-vote': return new NoVote(detail);
    case 'old-roster': return new OldRoster(detail);
    default: return new LostDefect(`${message.defect ?? 'no reply'}: ${detail}`);
  }
};

const COPY_MS = 4000;
const DUMP_MS = 2000;
/** Whoever leaves goes on to another node after a second without an acknowledgement, in milliseconds. */
const KEEP_MARK_MS = 450;
const READ_MARKS_MS = 500;

/** Calls on ratebooks, for other ratebooks and for directories. */
export class StoreClient {
  constructor(private readonly wire: WireClient) {}

  async ask(address: Address, message: AskMessage, cutoffMs: number): Promise<Result<RegisterReply, Defect>> {
    const answer: Result<ReplyMessage, Defect> = await this.wire.call<ReplyMessage>(address, StorePath.ask, message, cutoffMs, replyShape);
    return answer.andThen((found) => (found.reply === undefined ? err(defectOf(found)) : answer.map(() => found.reply as RegisterReply)));
  }

  identity(address: Address): ResultAsync<IdentityMessage, WireDefect> {
    return this.wire.call(address, StorePath.identity, {}, 400, identityShape);
  }

  change(address: Address, message: ChangeMessage, cutoffMs: number): ResultAsync<OwnerAnswer, WireDefect> {
    return this.wire.call(address, StorePath.change, message, cutoffMs, ownerAnswerShape);
  }

  read(address: Address, key: KeyName, cutoffMs: number): ResultAsync<OwnerAnswer, WireDefect> {
    return this.wire.call(address, StorePath.read, { key }, cutoffMs, ownerAnswerShape);
  }

  replace(address: Address, message: ReplaceMessage, cutoffMs: number): ResultAsync<OwnerAnswer, WireDefect> {
    return this.wire.call(address, StorePath.replace, message, cutoffMs, ownerAnswerShape);
  }

  /** Has a spare disk copy all keys from the members. */
  async copy(spare: RosterMember, members: readonly RosterMember[]): Promise<Result<CopyAnswer, WireDefect>> {
    const message: CopyMessage = { disk: spare.id, members };
    return this.wire.call<CopyAnswer>(spare.address, StorePath.copy, message, COPY_MS, copyAnswerShape);
  }

  /** All keys of a voter's disk; what another disk at its address holds is none of them. */
  async dump(voter: RosterMember): Promise<Result<Copies, Defect>> {
    const answer: Result<DumpAnswer, Defect> = await this.wire.call<DumpAnswer>(voter.address, StorePath.dump, {}, DUMP_MS, dumpShape);
    return answer.andThen(({ disk, states }) => (disk === voter.id
      ? ok(new Map(states.map(({ key, state }) => [key, state])))
      : err(new NoVote(`disk ${voter.id} is asked for, ${disk ?? 'one that does not say its name'} answers`))));
  }

  /** Has a ratebook keep the mark of a departure on its disk. */
  keepMark(address: Address, mark: DepartureMark): ResultAsync<MarkKeptWord, WireDefect> {
    return this.wire.call(address, StorePath.keepMark, mark, KEEP_MARK_MS, markKeptWordShape);
  }

  /** The marks of departures on a ratebook's disk. */
  readMarks(address: Address): ResultAsync<MarksWord, WireDefect> {
    return this.wire.call(address, StorePath.readMarks, {}, READ_MARKS_MS, marksWordShape);
  }

  committed(address: Address, message: CommittedMessage): ResultAsync<object, WireDefect> {
    return this.wire.call(address, StorePath.committed, message, 1000);
  }

  poll(address: Address, message: PollMessage): ResultAsync<PollAnswer, WireDefect> {
    return this.wire.call(address, StorePath.poll, message, message.waitMs + 400, pollAnswerShape);
  }
}
