import type { OwnOutcome } from '../connection/speech.js';
import type { HopVerdict, TurnAwayCause, VerdictAnswer, WholeAnswer } from '../connection/hopCalls.js';
import type { Serial } from '../process/brands.js';
import type { EndpointRow } from '../version/snapshots.js';

/** What happened to an order, as its owner is told. */
export type OrderEvent =
  | { readonly kind: 'began' }
  | { readonly kind: 'picked'; readonly row: EndpointRow }
  | { readonly kind: 'nonePicked' }
  | { readonly kind: 'noAllowance' }
  /** A hop came back with the host's verdict. */
  | { readonly kind: 'verdict'; readonly verdict: HopVerdict }
  /** The hop was not sent. */
  | { readonly kind: 'hostUnreachable'; readonly detail: string; /** It is there, and has no room for the order. */ readonly isFull: boolean }
  /** The hop was sent and no verdict came. */
  | { readonly kind: 'hopLost'; readonly detail: string }
  | { readonly kind: 'lookedUp'; readonly answer: VerdictAnswer }
  /** The host can't be asked any more: it is gone, or the time is up. */
  | { readonly kind: 'lookUpFailed'; readonly detail: string }
  | { readonly kind: 'serialReached' }
  /** The manifest has moved on and no binding takes the order any more. */
  | { readonly kind: 'unbound'; readonly detail: string }
  | { readonly kind: 'serialNotReached' };

export type OwnStatus = 404 | 502 | 503 | 504;

/** A first attempt, another after proof that nothing reached an endpoint, or a repeat, which the allowance pays for. */
export type AttemptKind = 'first' | 'again' | 'repeat';

/** What the owner wants done next: exactly one thing at a time, until it answers. */
export type OrderCommand =
  | { readonly kind: 'pick'; readonly tried: readonly EndpointRow[]; readonly attempt: AttemptKind }
  | { readonly kind: 'forward'; readonly row: EndpointRow; readonly attempt: number }
  | { readonly kind: 'lookUp'; readonly row: EndpointRow }
  | { readonly kind: 'awaitSerial'; readonly serial: Serial }
  /** Match the order anew: the manifest has moved on. */
  | { readonly kind: 'rematch' }
  | { readonly kind: 'answer'; readonly answer: WholeAnswer }
  | { readonly kind: 'tell'; readonly status: OwnStatus; readonly outcome: OwnOutcome; readonly reason: string; readonly detail: string };

/** One attempt, as the traces keep it. */
export interface AttemptRecord {
  readonly row: EndpointRow;
  readonly outcome: 'answered' | 'turned away' | 'not sent' | 'defect' | 'lost' | 'running';
  readonly detail: string;
  readonly mayHaveRun: boolean;
  /** Whether it came as far as an endpoint, which may have refused it. */
  readonly hasArrived: boolean;
}

export interface OrderFacts {
  readonly isRepeatable: () => boolean;
  readonly leftMs: () => number;
  /** The greatest number of endpoints that the order may be sent to. */
  readonly attempts: () => number;
  /** Whether it is early enough that another host's refusal leaves the caller time to ask again. */
  readonly mayAskOn: () => boolean;
}

const LEAST_LEFT_MS = 10;
const MOST_ATTEMPTS = 8;

/**
 * The owner of one order. It alone knows whether the order may have run, and so whether another attempt is
 * allowed: after proof that no attempt ran, or when the order is repeatable.
 */
export class OrderOwner {
  private attempts: readonly AttemptRecord[] = [];
  private chosenRow: EndpointRow | null = null;
  private lastReason = 'no-endpoint';
  private lastDetail = 'no endpoint of the service may take the order';
  private lastAnswer: WholeAnswer | null = null;

  constructor(private readonly facts: OrderFacts) {}

  /** The attempts so far, for the traces. */
  history(): readonly AttemptRecord[] {
    return this.attempts;
  }

  on(event: OrderEvent): OrderCommand {
    switch (event.kind) {
      case 'began': return this.pick();
      case 'picked':
        this.chosenRow = event.row;
        this.attempts = [...this.attempts, { row: event.row, outcome: 'running', detail: '', mayHaveRun: true, hasArrived: true }];
        return { kind: 'forward', row: event.row, attempt: this.attempts.length };
      case 'nonePicked': return this.giveUp();
      case 'noAllowance': return this.giveUp();
      case 'verdict': return this.onVerdict(event.verdict);
      case 'hostUnreachable':
        this.close('not sent', event.detail, false, 'host-unreachable');
        return this.next();
      case 'hopLost': {
        this.note('lost', event.detail, true);
        return this.facts.leftMs() < LEAST_LEFT_MS || this.chosenRow === null ? this.afterLoss(event.detail) : { kind: 'lookUp', row: this.chosenRow };
      }
      case 'lookedUp': return this.onLookedUp(event.answer);
      case 'lookUpFailed': return this.afterLoss(event.detail);
      case 'serialReached': return { kind: 'rematch' };
      case 'serialNotReached': return this.next();
      case 'unbound':
        this.lastReason = 'no-binding';
        this.lastDetail = event.detail;
        return this.giveUp(404);
    }
  }

  /** The order was matched to another binding since: its endpoints are new ones. */
  rematched(): OrderCommand {
    return this.next();
  }

  private onVerdict(verdict: HopVerdict): OrderCommand {
    switch (verdict.kind) {
      case 'answered': {
        const isFailure = verdict.answer.status >= 500 && verdict.answer.status !== 501;
        this.note('answered', `status ${verdict.answer.status}`, true);
        if (!isFailure || !this.facts.isRepeatable()) return { kind: 'answer', answer: verdict.answer };
        this.lastAnswer = verdict.answer;
        return this.next();
      }
      case 'turnedAway': {
        this.close('turned away', verdict.cause, false, `turned-away-${verdict.cause}`, verdict.cause === 'refused-by-endpoint');
        const isNewer: readonly TurnAwayCause[] = ['binding-not-allowed'];
        return isNewer.includes(verdict.cause) ? { kind: 'awaitSerial', serial: verdict.serial } : this.next();
      }
      case 'defect':
        this.close('defect', verdict.detail, verdict.mayHaveRun, verdict.defect);
        return this.next();
    }
  }

  private onLookedUp(answer: VerdictAnswer): OrderCommand {
    switch (answer.kind) {
      case 'neverSeen':
        this.close('not sent', 'the host never saw the hop', false, 'hop-lost');
        return this.next();
      case 'forgotten':
      case 'otherBoot':
        return this.afterLoss(answer.kind === 'forgotten' ? 'the host no longer knows' : 'the host process has been replaced');
      default:
        return this.onVerdict(answer);
    }
  }

  private afterLoss(detail: string): OrderCommand {
    this.close('lost', detail, true, 'hop-lost');
    return this.next();
  }

  private next(): OrderCommand {
    const allowed = this.facts.isRepeatable() || this.attempts.every((attempt) => !attempt.mayHaveRun);
    const arrived = this.attempts.filter((attempt) => attempt.hasArrived).length;
    const inTime = this.facts.leftMs() >= LEAST_LEFT_MS && (arrived > 0 || this.facts.mayAskOn());
    return allowed && inTime && arrived < this.facts.attempts() && this.attempts.length < MOST_ATTEMPTS ? this.pick() : this.giveUp();
  }

  private pick(): OrderCommand {
    const attempt = this.attempts.length === 0 ? 'first' : this.attempts.some((one) => one.hasArrived) ? 'repeat' : 'again';
    return { kind: 'pick', tried: this.attempts.map((one) => one.row), attempt };
  }

  private giveUp(provenStatus: OwnStatus = 503): OrderCommand {
    if (this.lastAnswer !== null) return { kind: 'answer', answer: this.lastAnswer };
    const isProven = this.attempts.every((attempt) => !attempt.mayHaveRun);
    const outcome: OwnOutcome = isProven ? 'not-run' : 'unknown';
    const status: OwnStatus = isProven ? provenStatus : this.facts.leftMs() < LEAST_LEFT_MS ? 504 : 502;
    return { kind: 'tell', status, outcome, reason: this.lastReason, detail: this.lastDetail };
  }

  private close(outcome: AttemptRecord['outcome'], detail: string, mayHaveRun: boolean, reason: string, hasArrived = mayHaveRun): void {
    this.lastReason = reason;
    this.lastDetail = detail;
    this.note(outcome, detail, mayHaveRun, hasArrived);
  }

  private note(outcome: AttemptRecord['outcome'], detail: string, mayHaveRun: boolean, hasArrived = mayHaveRun): void {
    const last = this.attempts.at(-1);
    if (last !== undefined) this.attempts = [...this.attempts.slice(0, -1), { ...last, outcome, detail, mayHaveRun, hasArrived }];
  }
}
