import type { BindingId, BootId, EndpointId, InstanceId, NodeName, OrderId, Serial, ServiceName } from '../process/brands.js';
import { Body } from './body.js';
import { WithBody } from './serverLink.js';
import { plainShape } from './shapes.js';
import { INLINE_BYTES } from './transfer.js';

/** The calls that a switchboard takes from other processes. */
export const HopPath = { order: '/hop/order', verdict: '/hop/verdict', probe: '/hop/probe' } as const;

/** A whole order on its way to the machine of the endpoint. */
export interface HopOrder {
  readonly order: OrderId;
  readonly caller: NodeName;
  readonly callerBoot: BootId;
  /** Numbers the hops of one caller's boot; no two hops share one. */
  readonly hop: number;
  readonly hostBoot: BootId;
  readonly service: ServiceName;
  readonly endpoint: EndpointId;
  readonly instance: InstanceId;
  readonly binding: BindingId;
  readonly serial: Serial;
  /** The id by which the endpoint's answer must name the request. */
  readonly request: string;
  readonly leftMs: number;
  /** How long the caller's switchboard has had the request, in milliseconds. */
  readonly heldMs: number;
  /** The caller's monotonic clock at the sending. */
  readonly sentAt: number;
  readonly method: string;
  readonly url: string;
  /** As `HeaderText` writes them. */
  readonly headers: string;
  /** Empty where the body is long and goes beside the order. */
  readonly body: Uint8Array;
}

/** Why a host did not start an order. */
export type TurnAwayCause =
  | 'other-boot' | 'not-here' | 'stale-beat' | 'leaving' | 'other-instance' | 'other-service' | 'binding-not-allowed' | 'manifest-behind' | 'version-reverted'
  | 'full' | 'refused-by-endpoint' | 'stopping' | 'cutoff-too-near' | 'fenced';

/** The defect of a host that holds too much to take an endpoint's answer: no word on the endpoint. */
export const NO_ROOM_FOR_ANSWER = 'no-room-for-answer';

export interface Load {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long requests lately took at the endpoint, in milliseconds; 0 when not known. */
  readonly meanMs: number;
}

export interface WholeAnswer {
  readonly status: number;
  /** As `HeaderText` writes them. */
  readonly headers: string;
  readonly body: Body;
}

/** What came of one attempt, apart from the endpoint's own status. */
export type HopVerdict =
  /** `tookMs` is the endpoint's own time in milliseconds; not told of one that is still slow from its start. */
  | { readonly kind: 'answered'; readonly answer: WholeAnswer; readonly load: Load; readonly tookMs?: number }
  | { readonly kind: 'turnedAway'; readonly cause: TurnAwayCause; readonly serial: Serial; readonly load: Load }
  /** The endpoint failed; `mayHaveRun` is false only when nothing of the order was sent to it. */
  | { readonly kind: 'defect'; readonly defect: string; readonly detail: string; readonly mayHaveRun: boolean; readonly load: Load };

/** What a host says of a hop that its caller lost sight of. */
export type VerdictAnswer = HopVerdict | { readonly kind: 'neverSeen' } | { readonly kind: 'forgotten' } | { readonly kind: 'otherBoot' };

export interface VerdictAsk {
  readonly callerBoot: BootId;
  readonly hop: number;
  readonly hostBoot: BootId;
  readonly leftMs: number;
}

export interface ProbeAsk { readonly service: ServiceName; readonly endpoint: EndpointId; readonly instance: InstanceId }
export interface ProbeAnswer { readonly serves: boolean }

const text = 'text' as const;
const whole = 'whole' as const;

export const hopOrderShape = plainShape({
  order: text, caller: text, callerBoot: text, hop: whole, hostBoot: text, service: text, endpoint: text, instance: text, binding: text, serial: whole,
  request: text, leftMs: 'number', heldMs: 'number', sentAt: 'number', method: text, url: text, headers: text, body: 'bytes',
});
const loadShape = plainShape({ running: whole, waiting: whole, slots: whole, meanMs: 'number' });
const answerShape = plainShape({ status: whole, headers: text, body: 'bytes' });
export const verdictShape = plainShape({ kind: text }, { answer: answerShape, cause: text, serial: 'number', defect: text, detail: text, mayHaveRun: 'boolean', load: loadShape, tookMs: 'number' });
export const verdictAskShape = plainShape({ callerBoot: text, hop: whole, hostBoot: text, leftMs: 'number' });
export const probeAskShape = plainShape({ service: text, endpoint: text, instance: text });
export const probeAnswerShape = plainShape({ serves: 'boolean' });

/** Headers on their way between processes: no header holds a line feed, so one stands between names and values. */
export const HeaderText = {
  of: (raw: readonly string[]): string => raw.join('\n'),
  read: (text: string): readonly string[] => (text === '' ? [] : text.split('\n')),
} as const;

type AnsweredMessage = Omit<Extract<HopVerdict, { kind: 'answered' }>, 'answer'> & { readonly answer: Omit<WholeAnswer, 'body'> & { readonly body: Uint8Array } };
/** A verdict as a message: its body is empty where that goes beside it, in parts. */
export type VerdictMessage = Exclude<VerdictAnswer, { kind: 'answered' }> | AnsweredMessage;

const NOTHING = new Uint8Array();

/** How bodies are put into messages: short ones within them, long ones beside them. */
export const HopMessages = {
  isLong: (body: Body): boolean => body.length > INLINE_BYTES,
  inlineOf: (body: Body): Uint8Array => (HopMessages.isLong(body) ? NOTHING : body.joined()),
  bodyOf: (order: HopOrder, beside: Body | null): Body => beside ?? Body.of(order.body),
  ofVerdict: (verdict: VerdictAnswer): VerdictMessage | WithBody => {
    if (verdict.kind !== 'answered') return verdict;
    const { body } = verdict.answer;
    const withBytes = (bytes: Uint8Array): AnsweredMessage => ({ ...verdict, answer: { ...verdict.answer, body: bytes } });
    return body.length > INLINE_BYTES ? new WithBody(withBytes(NOTHING), body, () => withBytes(body.joined())) : withBytes(body.joined());
  },
  readVerdict: (message: VerdictMessage, body: Body | null): VerdictAnswer => (message.kind === 'answered'
    ? { ...message, answer: { ...message.answer, body: body ?? Body.of(message.answer.body) } } : message),
} as const;
