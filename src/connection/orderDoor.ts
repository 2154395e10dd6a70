import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerOrder, Ending } from '../request/forwarder.js';
import { Clock } from '../process/clock.js';
import type { Holding, MemoryBudget } from '../process/memoryBudget.js';
import { METHODS, type CallerLimits } from '../version/manifest.js';
import { readBody } from './bodyReader.js';
import type { Door, Exchange } from './connectionGuard.js';
import { Headers } from './headers.js';
import { HeaderText } from './hopCalls.js';
import { BODY_REFUSALS } from './plainDoor.js';
import type { OwnAnswer, Speech } from './speech.js';

/** What an order takes beside the bytes of its head and body: objects of the request and of its way. */
const ORDER_BYTES = 2048;
const RETRY_AFTER_MS = 1000;

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
  /** What callers may send, and how long they may take. */
  limits(): CallerLimits;
  readonly memory: MemoryBudget;
}

/** An answer of opalstair's own, in the words of its callers. */
const tell = (desk: OrderDesk, outgoing: ServerResponse, own: OwnAnswer, isLast: boolean): void => {
  const { headers, body } = desk.speech.tell(own);
  outgoing.writeHead(own.status, [...headers, 'content-length', String(body.length), ...(isLast ? ['connection', 'close'] : [])]);
  outgoing.end(body);
};

/** What a caller is told whose body was not read; the connection is closed. */
const refuseUnread = (desk: OrderDesk, exchange: Exchange, status: 408 | 413 | 503, reason: string, detail: string): void => {
  if (status === 503) desk.memory.noteRefusal();
  const { headers, body } = desk.speech.tell({ order: '', status, outcome: 'not-run', reason, detail, retryAfterMs: status === 503 ? RETRY_AFTER_MS : null });
  exchange.answerUnread(status, headers, body);
};

const give = (desk: OrderDesk, outgoing: ServerResponse, method: string, ending: Extract<Ending, { kind: 'answer' }>): void => {
  const { status, headers, body } = ending.answer;
  const kept = Headers.ofAnswer(HeaderText.read(headers), method, status, body.length);
  outgoing.sendDate = false;
  outgoing.writeHead(status, [...kept, ...desk.speech.withAnswer(ending.order), ...(desk.isClosing() ? ['connection', 'close'] : [])]);
  if (method === 'HEAD' || status === 204 || status === 304) return void outgoing.end();
  const last = body.blocks.length - 1;
  body.blocks.forEach((block, index) => { if (index < last) outgoing.write(block); });
  outgoing.end(body.blocks[last]);
};

/** The callers' side: reads orders whole, hands them in and gives the endings back. */
export const orderDoor = (desk: OrderDesk): Door => {
  let underWay = 0;
  const take = async (incoming: IncomingMessage, outgoing: ServerResponse, exchange: Exchange, holding: Holding): Promise<void> => {
    const method = incoming.method ?? 'GET';
    const { leftMs } = desk.speech.ofCaller(incoming.rawHeaders);
    if (leftMs !== null) exchange.timeLeft(leftMs);
    const body = await readBody(incoming, { limit: Math.min(desk.memory.mostBytes, desk.limits().bodyBytes), holding, now: () => Clock.monotonic.now(), exchange });
    if (body.isErr()) {
      if (body.error.kind !== 'body-cut-off') refuseUnread(desk, exchange, BODY_REFUSALS[body.error.kind], body.error.kind, body.error.detail);
      if (body.error.kind === 'body-in-small-pieces') exchange.stopReading();
      return;
    }
    if (!(METHODS as readonly string[]).includes(method)) {
      return tell(desk, outgoing, { order: '', status: 405, outcome: 'not-run', reason: 'no-such-method', detail: `${method} is not taken here`, retryAfterMs: null }, desk.isClosing());
    }
    const ending = await desk.carry({ method, url: incoming.url ?? '/', host: incoming.headers.host ?? '', headers: incoming.rawHeaders, body: body.value, holding });
    if (outgoing.destroyed || outgoing.headersSent) return;
    holding.yieldAt(exchange.deadline, () => outgoing.destroy());
    if (ending.kind === 'answer') give(desk, outgoing, method, ending);
    else tell(desk, outgoing, ending, desk.isClosing());
  };
  return (incoming, outgoing, exchange) => {
    if (underWay >= desk.ordersAtOnce) {
      return tell(desk, outgoing, { order: '', status: 503, outcome: 'not-run', reason: 'too-many-orders', detail: `${underWay} orders are under way`, retryAfterMs: RETRY_AFTER_MS }, true);
    }
    const holding = desk.memory.open();
    if (!holding.take(ORDER_BYTES)) return refuseUnread(desk, exchange, 503, 'no-room', 'there is no room for another order now');
    underWay += 1;
    /** Its bytes are held until it is carried to its end and its answer has gone, whichever is later. */
    let parts = 2;
    const partEnded = (): void => {
      parts -= 1;
      if (parts > 0) return;
      underWay -= 1;
      holding.close();
    };
    exchange.whenEnded(() => {
      if (!outgoing.writableFinished) holding.abandon();
      partEnded();
    });
    void take(incoming, outgoing, exchange, holding).catch((error: unknown) => {
      desk.failed(error instanceof Error ? error : new Error(String(error)));
      if (!outgoing.headersSent) tell(desk, outgoing, { order: '', status: 502, outcome: 'unknown', reason: 'internal-defect', detail: 'opalstair failed while it carried this order', retryAfterMs: null }, true);
    }).finally(partEnded);
  };
};
