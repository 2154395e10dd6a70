import type { IncomingMessage, ServerResponse } from 'node:http';
import { Clock } from '../process/clock.js';
import type { MemoryBudget } from '../process/memoryBudget.js';
import { readBody, type BodyDefect } from './bodyReader.js';
import type { Door, Exchange } from './connectionGuard.js';

/** What a call is answered with: a status and, where there is something to say, JSON. */
export interface PlainAnswer {
  readonly status: number;
  readonly said?: object;
}
/** A call of a plain door: `name` is what stands in the path where its pattern has `:id`, `body` the JSON that came, null when there is none. */
export interface PlainCall {
  readonly method: string;
  readonly path: string;
  readonly answer: (name: string, body: unknown) => PlainAnswer | Promise<PlainAnswer>;
}

const NAME = ':id';

const nameIn = (pattern: string, url: string): string | null => {
  const wanted = pattern.split('/');
  const given = (url.split('?', 1)[0] as string).split('/');
  if (wanted.length !== given.length || wanted.some((step, index) => step !== NAME && step !== given[index])) return null;
  try {
    return decodeURIComponent(given[wanted.indexOf(NAME)] ?? '');
  } catch {
    return null;
  }
};

const parsed = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    return null;
  }
};

const give = (outgoing: ServerResponse, { status, said }: PlainAnswer): void => {
  const body = said === undefined ? '' : JSON.stringify(said);
  outgoing.writeHead(status, { 'content-length': Buffer.byteLength(body), ...(said === undefined ? {} : { 'content-type': 'application/json' }) });
  outgoing.end(body);
};

/** What a caller is told whose body could not be read: it has not run, and may come back where that helps. */
export const BODY_REFUSALS = { 'body-too-long': 413, 'body-too-slow': 408, 'no-room-for-body': 503, 'body-in-small-pieces': 503 } as const;
/** When it is worth coming back to a process that has no room, in seconds. */
const ROOM_RETRY_S = 1;

/** Answers a call whose body was not read, and closes its connection. */
export const refuseBody = (defect: BodyDefect | keyof typeof BODY_REFUSALS, memory: MemoryBudget, exchange: Exchange): void => {
  const kind = typeof defect === 'string' ? defect : defect.kind;
  if (kind === 'body-cut-off') return;
  const status = BODY_REFUSALS[kind];
  if (status === 503) memory.noteRefusal();
  exchange.answerUnread(status, status === 503 ? ['Retry-After', String(ROOM_RETRY_S)] : [], new Uint8Array());
  if (kind === 'body-in-small-pieces') exchange.stopReading();
};

/** A door for a few calls that come often: nothing but Node's own server between it and the caller. Bodies are bounded, in bytes. */
export const plainDoor = (calls: readonly PlainCall[], bodyLimit: number, memory: MemoryBudget): Door => {
  const take = async (incoming: IncomingMessage, outgoing: ServerResponse, exchange: Exchange): Promise<void> => {
    const holding = memory.open();
    exchange.whenEnded(() => holding.close());
    const body = await readBody(incoming, { limit: bodyLimit, holding, now: () => Clock.monotonic.now(), exchange });
    if (body.isErr()) return refuseBody(body.error, memory, exchange);
    const found = calls.map((call) => ({ call, name: call.method === incoming.method ? nameIn(call.path, incoming.url ?? '') : null })).find(({ name }) => name !== null);
    give(outgoing, found === undefined ? { status: 404 } : await found.call.answer(found.name ?? '', parsed(body.value.joined())));
  };
  return (incoming, outgoing, exchange) => void take(incoming, outgoing, exchange).catch(() => {
    if (!outgoing.headersSent) give(outgoing, { status: 500 });
  });
};
