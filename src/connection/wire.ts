import { BSON } from 'bson';
import type { Context, Hono } from 'hono';
import Joi from 'joi';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import type { Address } from '../process/brands.js';
import { LostDefect, MessageDefect, TurnedAwayDefect, UnreachableDefect } from '../process/defect.js';

const CLUSTER_HEADER = 'opalstair-cluster';
const FORMAT_HEADER = 'opalstair-format';
/** The format of the messages between processes: raised when a process of the former release could misread one. */
export const WIRE_FORMAT = 2;
const BSON_TYPE = 'application/bson';
/** The most that one message between processes may hold: a whole order or answer and its envelope. */
export const WIRE_LIMIT = 17 * 1024 * 1024;

export type WireDefect = UnreachableDefect | LostDefect | MessageDefect | TurnedAwayDefect;

/** Reads BSON that may come from anyone and checks its shape. */
export const readBson = <T>(bytes: Uint8Array, shape: Joi.ObjectSchema): Result<T, MessageDefect> => {
  try {
    const document = BSON.deserialize(bytes, { promoteBuffers: true, promoteValues: true });
    const checked = shape.validate(document, { convert: false, allowUnknown: true });
    return checked.error === undefined ? ok(checked.value as T) : err(new MessageDefect(checked.error.message));
  } catch (error) {
    return err(new MessageDefect('not BSON', error));
  }
};

export const writeBson = (document: object): Uint8Array => BSON.serialize(document, { ignoreUndefined: true });

/** The door's own answers: the message went to nobody. */
const UNREAD = new Set([400, 403, 413, 426]);
const NOT_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTDOWN']);

/** Calls between opalstair's processes: BSON in and out over kept-alive HTTP. */
export class WireClient {
  private readonly agent: Agent;

  constructor(private readonly cluster: string, localHost: string, connectMs = 500) {
    this.agent = new Agent({
      localAddress: localHost, connect: { timeout: connectMs }, connections: 256, pipelining: 1,
      keepAliveTimeout: 10_000, headersTimeout: 0, bodyTimeout: 0, maxResponseSize: WIRE_LIMIT,
    });
  }

  /** Sends one message; an unreachable defect proves that nothing of it was sent. */
  call<T>(address: Address, path: string, message: object, cutoffMs: number, shape: Joi.ObjectSchema = Joi.object()): ResultAsync<T, WireDefect> {
    return new ResultAsync(this.exchange<T>(address, path, message, cutoffMs, shape));
  }

  private async exchange<T>(address: Address, path: string, message: object, cutoffMs: number, shape: Joi.ObjectSchema): Promise<Result<T, WireDefect>> {
    const cutoff = new AbortController();
    const timer = setTimeout(() => cutoff.abort(), Math.max(1, cutoffMs));
    try {
      const answer = await request(`http://${address}${path}`, {
        method: 'POST', dispatcher: this.agent, signal: cutoff.signal, body: Buffer.from(writeBson(message)),
        headers: { 'content-type': BSON_TYPE, [CLUSTER_HEADER]: this.cluster, [FORMAT_HEADER]: String(WIRE_FORMAT) },
      });
      const bytes = new Uint8Array(await answer.body.arrayBuffer());
      if (answer.statusCode !== 200) return err(new TurnedAwayDefect(`${address}${path} answered ${answer.statusCode}`, UNREAD.has(answer.statusCode)));
      return readBson<T>(bytes, shape);
    } catch (error) {
      const code = (error as { readonly code?: string }).code ?? '';
      return NOT_SENT.has(code)
        ? err(new UnreachableDefect(`${address}${path}`, error)) : err(new LostDefect(`${address}${path}`, error));
    } finally {
      clearTimeout(timer);
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}

/** Counts and logs what came from no process of this mesh, or can't be read. */
export interface WireWatch {
  turnedAway(path: string, reason: string): void;
}

/** The serving side: paths that take a BSON message and answer with one. */
export class WireServer {
  constructor(private readonly app: Hono, private readonly cluster: string, private readonly watch: WireWatch) {}

  on<T>(path: string, shape: Joi.ObjectSchema, answer: (message: T) => Promise<object> | object): void {
    this.app.post(path, async (context: Context) => {
      if (context.req.header(CLUSTER_HEADER) !== this.cluster) return this.turnAway(context, path, 'foreign cluster', 403);
      const format = Number(context.req.header(FORMAT_HEADER) ?? WIRE_FORMAT);
      if (format !== WIRE_FORMAT) return this.turnAway(context, path, `format ${format} is not spoken here, ${WIRE_FORMAT} is`, 426);
      if (Number(context.req.header('content-length') ?? Infinity) > WIRE_LIMIT) return this.turnAway(context, path, 'too large, or of unknown length', 413);
      const message = readBson<T>(new Uint8Array(await context.req.arrayBuffer()), shape);
      if (message.isErr()) return this.turnAway(context, path, message.error.describe(), 400);
      const document = writeBson(await answer(message.value));
      return context.body(document as Uint8Array<ArrayBuffer>, 200, { 'content-type': BSON_TYPE });
    });
  }

  private turnAway(context: Context, path: string, reason: string, status: 400 | 403 | 413 | 426): Response {
    this.watch.turnedAway(path, reason);
    return context.text(reason, status);
  }
}
