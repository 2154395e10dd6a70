import { err, ok, type Result } from 'neverthrow';
import { ROSTER_KEY, type RosterMember, type Voters } from '../version/entry.js';
import type { DiskId, KeyName } from './brands.js';
import { Defect } from './defect.js';
import type { RegisterAsk, RegisterReply } from './register.js';

/** A replica that knows a later roster than the asker did not act. */
export class OldRoster extends Defect {
  readonly kind = 'old-roster';
}

export class NoMajority extends Defect {
  readonly kind = 'no-majority';
  /** `isProvenNothing` when every voter is known not to have acted. */
  constructor(detail: string, readonly isProvenNothing: boolean, readonly highestEpoch: number, readonly otherHolder: string) {
    super(detail);
  }
}

/** This disk is on no roster that it knows of: it was not founded, not yet admitted, or has been replaced. */
export class NoVote extends Defect {
  readonly kind = 'no-vote';
}

/** What an ask says of itself: the disk that it is meant for and the roster that it was made under. */
export interface AskScope {
  /** Absent in asks of the former release. */
  readonly disk?: DiskId;
  readonly rosterSerial: number;
}

/**
 * Why a disk must not answer an ask; null when it may. A vote belongs to a disk, never to an address: an empty disk in the
 * place of a lost one has promised and accepted nothing of what the lost one did. A disk that knows no roster was not
 * founded or not admitted yet. Otherwise it votes when the newest roster that it knows names it, or when the asker's
 * is later still, for only those whom it names are asked.
 */
export const voteDefect = (own: DiskId, known: Voters | null, { disk, rosterSerial }: AskScope): NoVote | null => {
  if (disk !== undefined && disk !== own) return new NoVote(`disk ${disk} is asked, this is ${own}`);
  if (known === null) return new NoVote('this disk knows of no roster');
  const isNamed = known.members.some((member) => member.id === own);
  return isNamed || rosterSerial > known.serial ? null : new NoVote('this disk is on no roster that it knows of');
};

/**
 * Whether a disk has no vote by the newest roster that it knows. Its own copy of the roster may be older and still name it: a
 * disk that was dropped while its machine was silent is without a vote from the moment that it hears of the later roster.
 */
export const isWithoutVote = (own: DiskId, known: Voters | null): boolean => known === null || !known.members.some((member) => member.id === own);

/**
 * Whether a replica must not answer an ask made under this roster. The roster's own key is fenced by what is
 * known to be committed only, so that a half-made step can still be finished or undone.
 */
export const isFenced = (key: KeyName, askedSerial: number, committedSerial: number, knownSerial: number): boolean =>
  askedSerial < (key === ROSTER_KEY ? committedSerial : knownSerial);

export interface VoterReply {
  readonly id: DiskId;
  readonly reply: RegisterReply;
}

/** How the voters of the control state are reached. */
export interface VoterLink {
  voters(): Voters | null;
  ask(voter: RosterMember, key: KeyName, rosterSerial: number, ask: RegisterAsk): Promise<Result<RegisterReply, Defect>>;
}

/** One question to all voters; with `alsoOf`, a majority of those is needed too. */
export interface Question {
  readonly key: KeyName;
  readonly ask: RegisterAsk;
  readonly isYes: (reply: RegisterReply) => boolean;
  readonly alsoOf?: readonly RosterMember[];
  /** Sees every reply, those after the decision too. */
  readonly each?: (reply: VoterReply) => void;
}

/** Whether a defect proves that the voter did not act. */
const isProof = (defect: Defect): boolean => ['unreachable', 'disk-full', 'damaged-key', 'old-roster', 'no-vote'].includes(defect.kind);
const isMajority = (members: readonly RosterMember[], yeses: readonly VoterReply[]): boolean =>
  members.filter((member) => yeses.some((yes) => yes.id === member.id)).length > members.length / 2;

/** Asks all voters at once and settles when majorities said yes, or when all have answered. */
export const askMajority = (link: VoterLink, question: Question): Promise<Result<readonly VoterReply[], NoMajority>> => {
  const voters = link.voters();
  if (voters === null || voters.members.length === 0) return Promise.resolve(err(new NoMajority('the roster is not known yet', true, 0, '')));
  const bodies = question.alsoOf === undefined ? [voters.members] : [voters.members, question.alsoOf];
  const asked = [...new Map(bodies.flat().map((member) => [member.id, member])).values()];
  return new Promise((settle) => {
    let yeses: readonly VoterReply[] = [];
    let noes: readonly string[] = [];
    let isProvenNothing = true;
    let highestEpoch = 0;
    let otherHolder = '';
    const hear = (voter: RosterMember, answer: Result<RegisterReply, Defect>): void => {
      if (answer.isOk()) question.each?.({ id: voter.id, reply: answer.value });
      if (answer.isOk() && question.isYes(answer.value)) {
        yeses = [...yeses, { id: voter.id, reply: answer.value }];
      } else {
        noes = [...noes, answer.match((reply) => `${voter.address} ${reply.kind}`, (defect) => defect.describe())];
        if (answer.isErr() && !isProof(answer.error)) isProvenNothing = false;
        if (answer.isOk() && answer.value.kind === 'refused') {
          highestEpoch = Math.max(highestEpoch, answer.value.promised);
          if (answer.value.leaseLeftMs > 0 || otherHolder === '') otherHolder = answer.value.holder;
        }
      }
      if (bodies.every((body) => isMajority(body, yeses))) settle(ok(yeses));
      else if (yeses.length + noes.length === asked.length) settle(err(new NoMajority(noes.join('; '), isProvenNothing && yeses.length === 0, highestEpoch, otherHolder)));
    };
    for (const voter of asked) void link.ask(voter, question.key, voters.serial, question.ask).then((answer) => hear(voter, answer));
  });
};
