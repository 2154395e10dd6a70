import type { InstanceId, OrderId } from '../process/brands.js';
import { Headers, type RawHeaders } from './headers.js';

/** What a caller says of a request beside its method, path and body. */
export interface CallerFacts {
  /** The caller's own id of this request; null when it gives none. */
  readonly id: string | null;
  /** How long the caller will wait, in milliseconds; null when it does not say. */
  readonly leftMs: number | null;
}

/** What an endpoint is told with a request. */
export interface EndpointFacts {
  readonly order: OrderId;
  readonly instance: InstanceId;
  readonly leftMs: number;
}

/** What an endpoint's answer says of itself. */
export interface AnswerFacts {
  /** Whether the answer names the request that it belongs to; null when it names none. */
  readonly isOwn: boolean | null;
  /** The endpoint vouches that it has not run the request and never will. */
  readonly isNotRun: boolean;
  /** Why the answer can't be the endpoint's own, whole one; null when nothing speaks against it. */
  readonly fault: string | null;
}

export type OwnOutcome = 'not-run' | 'unknown';

/** An answer of opalstair's own. */
export interface OwnAnswer {
  readonly order: string;
  readonly status: number;
  readonly outcome: OwnOutcome;
  readonly reason: string;
  readonly detail: string;
  /** When it is worth coming back, for a request that has not run. */
  readonly retryAfterMs: number | null;
}

/** How requests and answers are worded towards callers and endpoints; opalstair's own words are one of several. */
export interface Speech {
  ofCaller(raw: RawHeaders): CallerFacts;
  /** Takes out of a caller's headers what only opalstair says, and adds the service that the request comes from. */
  onward(raw: RawHeaders, callingService: string | null): RawHeaders;
  toEndpoint(facts: EndpointFacts): RawHeaders;
  ofAnswer(status: number, raw: RawHeaders, request: string): AnswerFacts;
  /** The instance that a probe's answer names; null when it names none. */
  instanceOf(raw: RawHeaders): string | null;
  /** What a caller's request of this id says beside method, path and body, for a rehearsal. */
  rehearsed(id: string): RawHeaders;
  /** Headers for the caller, on top of the endpoint's. */
  withAnswer(order: string): RawHeaders;
  tell(answer: OwnAnswer): { readonly headers: RawHeaders; readonly body: Uint8Array };
}

/** Opalstair's own words. All its headers begin with `opalstair-`, and none of a caller's such headers goes on. */
export const ownSpeech: Speech = {
  ofCaller: (raw) => {
    const left = Number(Headers.valueOf(raw, 'opalstair-left-ms') ?? Number.NaN);
    return { id: null, leftMs: Number.isFinite(left) && left >= 0 ? left : null };
  },
  onward: (raw, callingService) => (callingService === null ? raw : [...raw, 'opalstair-calling-service', callingService]),
  toEndpoint: ({ order, instance, leftMs }) => ['opalstair-order', order, 'opalstair-instance', instance, 'opalstair-left-ms', String(Math.max(0, Math.floor(leftMs)))],
  ofAnswer: (_status, raw, request) => {
    const named = Headers.valueOf(raw, 'opalstair-order');
    return { isOwn: named === null ? null : named === request, isNotRun: Headers.valueOf(raw, 'opalstair-not-run') !== null, fault: null };
  },
  instanceOf: (raw) => Headers.valueOf(raw, 'opalstair-instance'),
  rehearsed: () => ['opalstair-left-ms', '1000'],
  withAnswer: (order) => ['opalstair-order', order],
  tell: ({ order, status, outcome, reason, detail, retryAfterMs }) => ({
    headers: ['content-type', 'application/problem+json', 'opalstair-outcome', outcome, 'opalstair-order', order, ...(retryAfterMs === null ? [] : ['retry-after', String(Math.max(1, Math.ceil(retryAfterMs / 1000)))])],
    body: Buffer.from(JSON.stringify({ type: `urn:opalstair:${reason}`, title: reason, status, detail, outcome, order })),
  }),
};
