import { BSON } from 'bson';
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';
import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { WebSocketServer, type WebSocket } from 'ws';
import { MessageDefect, UnreachableDefect, type LostDefect, type NoRoomDefect, type TurnedAwayDefect } from '../process/defect.js';
import { Address } from '../process/brands.js';
import { Clock } from '../process/clock.js';
import type { SentBytes } from '../process/sentBytes.js';
import { MemoryBudget, type Holding } from '../process/memoryBudget.js';
import type { Body } from './body.js';
import { ServerLink, type Call } from './serverLink.js';
import { WireLink, type Answered } from './wireLink.js';

export const CLUSTER_HEADER = 'opalstair-cluster';
export const FORMAT_HEADER = 'opalstair-format';
/** The format of the messages between processes: raised when a process of the former release could misread one. */
export const WIRE_FORMAT = 3;
/** Says that a process takes long bodies in parts; the former release does not say it. */
export const PARTS_HEADER = 'opalstair-parts';
/** The most that one message between processes may hold, in bytes: a manifest, or a list. */
export const WIRE_LIMIT = 17 * 1024 * 1024;
/** The same where only orders, questions and reports come. */
export const SHORT_WIRE_LIMIT = 2 * 1024 * 1024;
/** Links from one address at once: processes of one machine, or of several behind a relay, and links that were given up. */
const MOST_LINKS_AN_ADDRESS = 64;

export type WireDefect = UnreachableDefect | LostDefect | MessageDefect | TurnedAwayDefect | NoRoomDefect;

/** Checks a message that may come from anyone; Joi's schemas are such shapes. */
export interface Shape {
  validate(document: unknown, options: { readonly convert: false; readonly allowUnknown: true }): { readonly error?: { readonly message: string } | undefined; readonly value?: unknown };
}
const OPTIONS = { convert: false, allowUnknown: true } as const;
const ANYTHING: Shape = { validate: (value) => ({ value }) };

/** Checks a document's shape. */
export const checkShape = <T>(document: unknown, shape: Shape): Result<T, MessageDefect> => {
  const checked = shape.validate(document, OPTIONS);
  return checked.error === undefined ? ok(checked.value as T) : err(new MessageDefect(checked.error.message));
};

/** Reads BSON that may come from anyone and checks its shape. */
export const readBson = <T>(bytes: Uint8Array, shape: Shape): Result<T, MessageDefect> => {
  try {
    return checkShape<T>(BSON.deserialize(bytes, { promoteBuffers: true, promoteValues: true }), shape);
  } catch (error) {
    return err(new MessageDefect('not BSON', error));
  }
};

export const writeBson = (document: object): Uint8Array => BSON.serialize(document, { ignoreUndefined: true });

/** One question on a link, by its number; the answer carries the same. */
export interface Envelope {
  readonly number: number;
  readonly path: string;
  readonly message: object;
}
/** A message whose body is sent beside it, and the bytes that its answer may take. */
export interface Enclosure {
  readonly body: Body | null;
  readonly holding: Holding;
}
/** `refused` says why the message was not looked at, or could not be read. */
export interface Reply {
  readonly number: number;
  readonly answer?: object;
  readonly refused?: string;
  /** The answer's body came before it, in parts. */
  readonly isParted?: true;
}

/** Calls between opalstair's processes: BSON messages over one kept link to each. */
export class WireClient {
  private readonly links = new Map<Address, WireLink>();
  private isClosed = false;

  constructor(private readonly cluster: string, private readonly localHost: string, private readonly sent: SentBytes | null = null, private readonly connectMs = 500) {}

  /**
   * Sends one message; an unreachable defect proves that nothing of it was sent. An answer that comes after the deadline
   * goes to `onLate`, if that is given.
   */
  call<T>(address: Address, path: string, message: object, deadlineMs: number, shape: Shape = ANYTHING, onLate: ((answer: T) => void) | null = null): ResultAsync<T, WireDefect> {
    if (!this.links.has(address) && !Address.isValid(address)) return errAsync(new UnreachableDefect(`${address}${path}: no address`));
    const late = onLate === null ? null : (document: object): void => { checkShape<T>(document, shape).map(onLate); };
    return new ResultAsync(this.linkTo(address).call(path, message, Math.max(1, deadlineMs), { onLate: late }).then((answer) => answer.andThen(({ document }) => checkShape<T>(document, shape))));
  }

  /** Sends a message with a body, and gives the answer with its own; what the answer takes is taken from the holding. */
  exchange<T>(address: Address, path: string, message: object, deadlineMs: number, shape: Shape, enclosure: Enclosure): ResultAsync<{ readonly answer: T; readonly body: Body | null }, WireDefect> {
    const answered: Promise<Result<Answered, WireDefect>> = this.linkTo(address).call(path, message, Math.max(1, deadlineMs), { enclosure });
    return new ResultAsync(answered.then((found) => found.andThen(({ document, body }) => checkShape<T>(document, shape).map((answer) => ({ answer, body })))));
  }

  close(): Promise<void> {
    this.isClosed = true;
    this.links.forEach((link) => link.end());
    this.links.clear();
    return Promise.resolve();
  }

  private linkTo(address: Address): WireLink {
    const known = this.links.get(address);
    if (known !== undefined && known.isUsable) return known;
    const link = new WireLink(address, { [CLUSTER_HEADER]: this.cluster, [FORMAT_HEADER]: String(WIRE_FORMAT), [PARTS_HEADER]: '1' }, this.localHost, this.connectMs, this.sent, () => {
      if (this.links.get(address) === link) this.links.delete(address);
    });
    if (!this.isClosed) this.links.set(address, link);
    return link;
  }
}

/** Counts and logs what came from no process of this mesh, or can't be read. */
export interface WireWatch {
  turnedAway(path: string, reason: string): void;
}

interface Handler {
  readonly shape: Shape;
  readonly answer: (message: never, call: Call) => Promise<object> | object;
}

/** The serving side: paths that take a BSON message and answer with one. */
export class WireServer {
  private readonly handlers = new Map<string, Handler>();
  private readonly door: WebSocketServer;
  /** The links from each address, the eldest first. */
  private readonly links = new Map<string, Set<WebSocket>>();
  private running = 0;
  private isClosing = false;
  private ended: () => void = () => undefined;

  constructor(private readonly cluster: string, private readonly watch: WireWatch, private readonly sent: SentBytes | null = null, private readonly memory = new MemoryBudget(Infinity, Clock.monotonic), limit = WIRE_LIMIT) {
    this.door = new WebSocketServer({ noServer: true, perMessageDeflate: false, maxPayload: limit, clientTracking: true, skipUTF8Validation: true });
    this.door.on('headers', (headers) => { headers.push(`${PARTS_HEADER}: 1`); });
  }

  on<T>(path: string, shape: Shape, answer: (message: T, call: Call) => Promise<object> | object): void {
    this.handlers.set(path, { shape, answer: answer as Handler['answer'] });
  }

  /** Takes a link of another process of this mesh, or turns it away unread. */
  take(incoming: IncomingMessage, socket: Duplex, head: Buffer): void {
    const format = Number(incoming.headers[FORMAT_HEADER] ?? WIRE_FORMAT);
    const remote = incoming.socket.remoteAddress ?? '';
    const refuse = (status: string, reason: string): void => {
      this.watch.turnedAway('', reason);
      socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: text/plain\r\ncontent-length: ${Buffer.byteLength(reason)}\r\n\r\n${reason}`, () => socket.destroy());
    };
    socket.on('error', () => socket.destroy());
    if (incoming.headers[CLUSTER_HEADER] !== this.cluster) return refuse('403 Forbidden', 'foreign cluster');
    if (format !== WIRE_FORMAT) return refuse('426 Upgrade Required', `format ${format} is not spoken here, ${WIRE_FORMAT} is`);
    this.door.handleUpgrade(incoming, socket, head, (link) => {
      this.keep(link, remote);
      this.welcome(link, incoming.headers[PARTS_HEADER] !== undefined);
    });
  }

  /** Looks at no further message, lets the running ones be answered and ends all links. */
  async close(): Promise<void> {
    this.isClosing = true;
    if (this.running > 0) await new Promise<void>((settle) => { this.ended = settle; });
    this.door.clients.forEach((link) => link.close());
    setTimeout(() => this.cut(), 200).unref();
  }

  /** Ends all links at once. */
  cut(): void {
    this.door.clients.forEach((link) => link.terminate());
  }

  /** A process uses the link that it made last: of too many from one address the eldest is ended. */
  private keep(link: WebSocket, remote: string): void {
    const links = this.links.get(remote) ?? new Set();
    this.links.set(remote, links.add(link));
    link.once('close', () => {
      links.delete(link);
      if (links.size === 0 && this.links.get(remote) === links) this.links.delete(remote);
    });
    const [eldest] = links;
    if (links.size <= MOST_LINKS_AN_ADDRESS || eldest === undefined) return;
    this.watch.turnedAway('', `more than ${MOST_LINKS_AN_ADDRESS} links from ${remote}`);
    links.delete(eldest);
    eldest.terminate();
  }

  private welcome(socket: WebSocket, takesParts: boolean): void {
    const fail = (reason: string): void => {
      this.watch.turnedAway('', reason);
      socket.terminate();
    };
    const link = new ServerLink(socket, this.memory, takesParts, (call) => this.hear(link, call, fail), fail);
    socket.on('error', (error) => fail(error.message));
    socket.on('message', (bytes) => link.hear(bytes as Buffer));
  }

  private hear(link: ServerLink, call: Call, fail: (reason: string) => void): void {
    const { number, path, message, holding } = call;
    const handler = this.handlers.get(path);
    if (this.isClosing) return link.refuse(number, 'stopping', holding);
    if (handler === undefined) {
      this.watch.turnedAway(path, 'no such path');
      return link.refuse(number, 'no such path', holding);
    }
    const checked = checkShape<never>(message, handler.shape);
    if (checked.isErr()) {
      this.watch.turnedAway(path, checked.error.describe());
      return link.refuse(number, checked.error.describe(), holding);
    }
    this.running += 1;
    /** Asynchronous, so that what it throws at once ends this link alone, too. */
    const answered = async (): Promise<object> => handler.answer(checked.value, call);
    void answered().then((answer) => {
      const length = link.answer(call, answer);
      this.sent?.add(`answer ${path}`, length);
    }, (error: unknown) => fail(`failed: ${String(error)}`)).finally(() => {
      this.running -= 1;
      if (this.running === 0) this.ended();
    });
  }
}
