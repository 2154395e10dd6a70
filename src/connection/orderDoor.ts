import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { CallerOrder, Ending } from '../request/forwarder.js';
import { Defect } from '../process/defect.js';
import { METHODS } from '../version/manifest.js';
import { Headers } from './headers.js';
import { HeaderText } from './hopCalls.js';
import type { OwnAnswer, Speech } from './speech.js';

/** An order may be this long. */
export const ORDER_LIMIT = 16 * 1024 * 1024;
const RETRY_AFTER_MS = 1000;

class OrderTooLong extends Defect {
  readonly kind = 'order-too-long';
}
class OrderCutOff extends Defect {
  readonly kind = 'order-cut-off';
}

/** What the door needs of the process behind it. */
export interface OrderDesk {
  carry(order: CallerOrder): Promise<Ending>;
  /** An order met a fault of opalstair's own. */
  failed(error: Error): void;
  /** How many orders may be under way at once. */
  readonly ordersAtOnce: number;
  /** While the process stops, callers are told to open their next connection elsewhere. */
  isClosing(): boolean;
  /** How answers are worded. */
  readonly speech: Speech;
  /** The longest body that a caller may send, in bytes. */
  bodyLimit(): number;
}

/** Reads a body whole; what is longer than the limit, in bytes, is refused. */
export const readWhole = (incoming: IncomingMessage, limit: number): Promise<Result<Uint8Array, OrderTooLong | OrderCutOff>> => new Promise((settle) => {
  if (Number(incoming.headers['content-length'] ?? 0) > limit) return settle(err(new OrderTooLong(`more than ${limit} bytes`)));
  const chunks: Buffer[] = [];
  let length = 0;
  incoming.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length > limit) settle(err(new OrderTooLong(`more than ${limit} bytes`)));
    else chunks.push(chunk);
  });
  incoming.on('end', () => settle(ok(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))));
  incoming.on('error', (error) => settle(err(new OrderCutOff('the caller went away', error))));
  incoming.on('close', () => settle(err(new OrderCutOff('the caller went away'))));
});

/** An answer of opalstair's own, in the words of its callers. */
const tell = (desk: OrderDesk, outgoing: ServerResponse, own: OwnAnswer, isLast: boolean): void => {
  const { headers, body } = desk.speech.tell(own);
  outgoing.writeHead(own.status, [...headers, 'content-length', String(body.length), ...(isLast ? ['connection', 'close'] : [])]);
  outgoing.end(body);
};

const give = (desk: OrderDesk, outgoing: ServerResponse, method: string, ending: Extract<Ending, { kind: 'answer' }>): void => {
  const { status, headers, body } = ending.answer;
  const kept = Headers.ofAnswer(HeaderText.read(headers), method, status, body.length);
  outgoing.sendDate = false;
  outgoing.writeHead(status, [...kept, ...desk.speech.withAnswer(ending.order), ...(desk.isClosing() ? ['connection', 'close'] : [])]);
  outgoing.end(method === 'HEAD' || status === 204 || status === 304 ? undefined : body);
};

/** The callers' side: reads orders whole, hands them in and gives the endings back. */
export const orderDoor = (desk: OrderDesk): RequestListener => {
  let underWay = 0;
  const take = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const method = incoming.method ?? 'GET';
    const body = await readWhole(incoming, Math.min(ORDER_LIMIT, desk.bodyLimit()));
    if (body.isErr()) {
      if (body.error.kind === 'order-too-long') tell(desk, outgoing, { order: '', status: 413, outcome: 'not-run', reason: body.error.kind, detail: body.error.detail, retryAfterMs: null }, true);
      return;
    }
    if (!(METHODS as readonly string[]).includes(method)) {
      return tell(desk, outgoing, { order: '', status: 405, outcome: 'not-run', reason: 'no-such-method', detail: `${method} is not taken here`, retryAfterMs: null }, desk.isClosing());
    }
    const ending = await desk.carry({ method, url: incoming.url ?? '/', host: incoming.headers.host ?? '', headers: incoming.rawHeaders, body: body.value });
    if (outgoing.destroyed || outgoing.headersSent) return;
    if (ending.kind === 'answer') give(desk, outgoing, method, ending);
    else tell(desk, outgoing, ending, desk.isClosing());
  };
  return (incoming, outgoing) => {
    if (underWay >= desk.ordersAtOnce) {
      return tell(desk, outgoing, { order: '', status: 503, outcome: 'not-run', reason: 'too-many-orders', detail: `${underWay} orders are under way`, retryAfterMs: RETRY_AFTER_MS }, true);
    }
    underWay += 1;
    void take(incoming, outgoing).catch((error: unknown) => {
      desk.failed(error instanceof Error ? error : new Error(String(error)));
      if (!outgoing.headersSent) tell(desk, outgoing, { order: '', status: 502, outcome: 'unknown', reason: 'internal-defect', detail: 'opalstair failed while it carried this order', retryAfterMs: null }, true);
    }).finally(() => { underWay -= 1; });
  };
};
