import type { IncomingMessage } from 'node:http';
import type { getRequestListener as GetRequestListener, HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';
import { Clock } from '../process/clock.js';
import type { MemoryBudget } from '../process/memoryBudget.js';
import { readBody } from './bodyReader.js';
import type { Door } from './connectionGuard.js';
import { jsonCost } from './jsonCost.js';
import { refuseBody } from './plainDoor.js';

/** The longest body of an operator's or endpoint's call, in bytes; a manifest must fit into one message between processes. */
export const CALL_LIMIT = 8 * 1024 * 1024;

/** Hono's server takes a body that was read before it from here. */
interface WithRawBody extends IncomingMessage {
  rawBody?: Buffer;
}

/**
 * A door of hono. Bodies are read before it, so that what they take is counted. Its server brings Node's own fetch with
 * it, which is a sixth of a program's start: it is loaded when somebody first knocks.
 */
export const honoDoor = (app: Hono<{ Bindings: HttpBindings }> | Hono, memory: MemoryBudget, limit = CALL_LIMIT): Door => {
  let door: Promise<ReturnType<typeof GetRequestListener>> | null = null;
  return (incoming, outgoing, exchange) => {
    door ??= import('@hono/node-server').then(({ getRequestListener }) => getRequestListener(app.fetch as Parameters<typeof GetRequestListener>[0]));
    const holding = memory.open();
    exchange.whenEnded(() => holding.close());
    const take = async (): Promise<void> => {
      const body = await readBody(incoming, { limit, holding, now: () => Clock.monotonic.now(), exchange });
      if (body.isErr()) return refuseBody(body.error, memory, exchange);
      const bytes = body.value.joined();
      const cost = jsonCost(bytes);
      if (cost > memory.mostBytes) return exchange.answerUnread(413, [], new Uint8Array());
      if (!holding.take(cost)) return refuseBody('no-room-for-body', memory, exchange);
      (incoming as WithRawBody).rawBody = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
      await (await (door as NonNullable<typeof door>))(incoming, outgoing);
    };
    void take().catch(() => outgoing.destroy());
  };
};
