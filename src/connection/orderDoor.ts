import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { err, ok, type Result } from 'neverthrow';
import type { CallerOrder, Ending } from '../request/forwarder.js';
import { Defect } from '../process/defect.js';
import { METHODS } from '../version/manifest.js';
import { Headers } from './headers.js';

/** An order may be this long. */
export const ORDER_LIMIT = 16 * 1024 * 1024;
const RETRY_AFTER_S = '1';

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
}

const readWhole = (incoming: IncomingMessage): Promise<Result<Uint8Array, OrderTooLong | OrderCutOff>> => new Promise((settle) => {
  if (Number(incoming.headers['content-length'] ?? 0) > ORDER_LIMIT) return settle(err(new OrderTooLong(`more than ${ORDER_LIMIT} bytes`)));
  const chunks: Buffer[] = [];
  let length = 0;
  incoming.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length > ORDER_LIMIT) settle(err(new OrderTooLong(`more than ${ORDER_LIMIT} bytes`)));
    else chunks.push(chunk);
  });
  incoming.on('end', () => settle(ok(Buffer.concat(chunks))));
  incoming.on('error', (error) => settle(err(new OrderCutOff('the caller went away', error))));
  incoming.on('close', () => settle(err(new OrderCutOff('the caller went away'))));
});

/** An answer of opalstair's own: a problem of RFC 9457 that says whether the order may have run. */
const tell = (outgoing: ServerResponse, order: string, status: number, outcome: string, reason: string, detail: string, closing: boolean): void => {
  const body = Buffer.from(JSON.stringify({ type: `urn:opalstair:${reason}`, title: reason, status, detail, outcome, order }));
  const retry = status === 503 && outcome === 'not-run' ? ['retry-after', RETRY_AFTER_S] : [];
  const ending = closing || status === 413 ? ['connection', 'close'] : [];
  outgoing.writeHead(status, ['content-type', 'application/problem+json', 'content-length', String(body.length), 'opalstair-outcome', outcome, 'opalstair-order', order, ...retry, ...ending]);
  outgoing.end(body);
};

const give = (outgoing: ServerResponse, method: string, ending: Extract<Ending, { kind: 'answer' }>, closing: boolean): void => {
  const { status, headers, body } = ending.answer;
  const kept = Headers.ofAnswer(headers, method, status, body.length);
  outgoing.sendDate = false;
  outgoing.writeHead(status, [...kept, 'opalstair-order', ending.order, ...(closing ? ['connection', 'close'] : [])]);
  outgoing.end(method === 'HEAD' || status === 204 || status === 304 ? undefined : body);
};

/** The callers' side: reads orders whole, hands them in and gives the endings back. */
export const orderApp = (desk: OrderDesk): Hono<{ Bindings: HttpBindings }> => {
  const app = new Hono<{ Bindings: HttpBindings }>();
  let underWay = 0;
  app.onError((error, context) => {
    const { outgoing } = context.env as { outgoing: ServerResponse };
    desk.failed(error);
    if (!outgoing.headersSent) tell(outgoing, '', 502, 'unknown', 'internal-defect', 'opalstair failed while it carried this order', true);
    return RESPONSE_ALREADY_SENT;
  });
  app.use('*', async (context, next) => {
    if (underWay >= desk.ordersAtOnce) {
      tell((context.env as { outgoing: ServerResponse }).outgoing, '', 503, 'not-run', 'too-many-orders', `${underWay} orders are under way`, true);
      return RESPONSE_ALREADY_SENT;
    }
    underWay += 1;
    await next();
    underWay -= 1;
    return undefined;
  });
  app.all('*', async (context) => {
    const { incoming, outgoing } = context.env as { incoming: IncomingMessage; outgoing: ServerResponse };
    const method = incoming.method ?? 'GET';
    const body = await readWhole(incoming);
    if (body.isErr()) {
      if (body.error.kind === 'order-too-long') tell(outgoing, '', 413, 'not-run', body.error.kind, body.error.detail, true);
      return RESPONSE_ALREADY_SENT;
    }
    if (!(METHODS as readonly string[]).includes(method)) {
      tell(outgoing, '', 405, 'not-run', 'no-such-method', `${method} is not taken here`, desk.isClosing());
      return RESPONSE_ALREADY_SENT;
    }
    const ending = await desk.carry({ method, url: incoming.url ?? '/', host: incoming.headers.host ?? '', headers: incoming.rawHeaders, body: body.value });
    if (outgoing.destroyed || outgoing.headersSent) return RESPONSE_ALREADY_SENT;
    if (ending.kind === 'answer') give(outgoing, method, ending, desk.isClosing());
    else tell(outgoing, ending.order, ending.status, ending.outcome, ending.reason, ending.detail, desk.isClosing());
    return RESPONSE_ALREADY_SENT;
  });
  return app;
};
