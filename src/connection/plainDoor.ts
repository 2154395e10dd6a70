import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { readWhole } from './orderDoor.js';

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

/** A door for a few calls that come often: nothing but Node's own server between it and the caller. Bodies are bounded, in bytes. */
export const plainDoor = (calls: readonly PlainCall[], bodyLimit: number): RequestListener => {
  const take = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const body = await readWhole(incoming, bodyLimit);
    if (body.isErr()) {
      if (body.error.kind === 'order-too-long') give(outgoing, { status: 413 });
      return;
    }
    const found = calls.map((call) => ({ call, name: call.method === incoming.method ? nameIn(call.path, incoming.url ?? '') : null })).find(({ name }) => name !== null);
    give(outgoing, found === undefined ? { status: 404 } : await found.call.answer(found.name ?? '', parsed(body.value)));
  };
  return (incoming, outgoing) => void take(incoming, outgoing).catch(() => {
    if (!outgoing.headersSent) give(outgoing, { status: 500 });
  });
};
