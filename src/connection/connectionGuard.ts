import { STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../process/clock.js';
import { STALL_MS } from '../process/memoryBudget.js';

/** What a connection may take; times in milliseconds, sizes in bytes. */
export interface ConnectionLimits {
  /** From the first byte of a head to its end. */
  readonly headerMs: number;
  /** Without a request. */
  readonly idleMs: number;
  /** Of one head. */
  readonly headerBytes: number;
}

/** What became of connections, by cause, for metrics. */
export type EndCause = 'head-too-slow' | 'head-too-long' | 'idle' | 'made-room' | 'too-many' | 'answer-not-taken' | 'too-many-ahead' | 'body-not-read';

/** How many requests a connection may send ahead of the answers. */
const MOST_AHEAD = 16;
/** How long the rest of a body that is not wanted is read and dropped, in milliseconds: its sender may still see the answer. */
const LINGER_MS = 1000;
const HEAD_TOO_LONG = '431 Request Header Fields Too Large';
const HEAD_TOO_SLOW = '408 Request Timeout';
/** The time of a request that names none, in milliseconds. */
const DEFAULT_TIME_MS = 60_000;

/** Answers one request. */
export type Door = (incoming: IncomingMessage, outgoing: ServerResponse, exchange: Exchange) => void;

interface Waiting {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

interface Guarded {
  readonly socket: Socket;
  state: 'fresh' | 'idle' | 'exchange' | 'lingering';
  /** When it came into its state. */
  since: number;
  /** When the first byte of a head was seen; null while none has come. */
  headSince: number | null;
  /** Bytes that had come before the head that is awaited. */
  bytesBefore: number;
  /** Bytes that had come at the last sweep, and since when there are no more. */
  bytesSeen: number;
  stillSince: number;
  current: Exchange | null;
  ahead: Waiting[];
}

/** One request and its answer on a guarded connection. */
export class Exchange {
  private giveUp: (() => void) | null = null;
  private onEnd: () => void = () => undefined;
  private endsBy: number;

  constructor(readonly outgoing: ServerResponse, private readonly guard: ConnectionGuard, private readonly socket: Socket, startedAt: number) {
    this.endsBy = startedAt + DEFAULT_TIME_MS;
  }

  /** The time by which the request is of no use any more; the answer may be taken for an idle time longer. */
  timeLeft(leftMs: number): void {
    this.endsBy = this.guard.now() + Math.min(leftMs, DEFAULT_TIME_MS);
  }

  /** The body is being read; `giveUp` ends that, and the request is then answered as one that wasn't whole in time. */
  reading(giveUp: () => void): void {
    this.giveUp = giveUp;
  }

  /** The body was read. */
  whole(): void {
    this.giveUp = null;
  }

  /** Called once the answer has gone, or the connection has. */
  whenEnded(tell: () => void): void {
    this.onEnd = tell;
  }

  end(): void {
    this.onEnd();
  }

  get isReading(): boolean {
    return this.giveUp !== null;
  }

  get deadline(): number {
    return this.endsBy;
  }

  /** Ends the reading of the body. */
  endReading(): void {
    const giveUp = this.giveUp;
    this.giveUp = null;
    giveUp?.();
  }

  /** Answers a request whose body wasn't read: the connection is closed, after a while in which what still comes is dropped. */
  answerUnread(status: number, headers: readonly string[], body: Uint8Array): void {
    const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`];
    for (let index = 0; index < headers.length; index += 2) lines.push(`${headers[index]}: ${headers[index + 1]}`);
    lines.push(`Content-Length: ${body.length}`, 'Connection: close', '', '');
    this.socket.write(lines.join('\r\n'), 'latin1');
    this.socket.end(body);
    this.guard.linger(this.socket);
  }

  /** Reads nothing more: reading it would cost too much. */
  stopReading(): void {
    this.socket.destroy();
  }
}

/**
 * Bounds what connections of a door may take: how many there are, how long heads, rests and answers last, how many
 * requests one of them sends ahead. Requests of one connection are handled one at a time, the next when the answer has
 * gone; times are looked at by a sweep over all connections.
 */
export class ConnectionGuard {
  private readonly connections = new Map<Socket, Guarded>();
  /** Connections without a request, those that rest longest first. */
  private readonly resting = new Set<Guarded>();

  constructor(private readonly clock: Clock, private readonly limits: () => ConnectionLimits, private readonly most: number, private readonly ended: (cause: EndCause) => void, private readonly door: Door) {}

  /** Looks after all connections of a server and hands its requests on. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.welcome(socket));
    server.on('request', (incoming, outgoing) => this.take({ incoming, outgoing }));
    server.on('upgrade', (incoming) => this.forget(incoming.socket));
  }

  now(): number {
    return this.clock.now();
  }

  /** Ends what has taken too long. */
  sweep(): void {
    const now = this.now();
    const limits = this.limits();
    for (const connection of this.connections.values()) this.look(connection, now, limits);
  }

  /** Ends the connections on which no request is being sent and no answer is left to be taken. */
  closeIdle(): void {
    for (const { socket, state, current, bytesBefore } of [...this.connections.values()]) {
      const isIdle = current === null && state !== 'lingering' && socket.bytesRead === bytesBefore;
      if (isIdle) socket.destroy();
    }
  }

  /** The connection gets no further request and is closed soon. */
  linger(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    connection.state = 'lingering';
    connection.since = this.now();
  }

  private welcome(socket: Socket): void {
    if (this.connections.size >= this.most && !this.makeRoom()) {
      this.ended('too-many');
      socket.destroy();
      return;
    }
    const connection: Guarded = { socket, state: 'fresh', since: this.now(), headSince: null, bytesBefore: 0, bytesSeen: 0, stillSince: this.now(), current: null, ahead: [] };
    this.connections.set(socket, connection);
    this.resting.add(connection);
    socket.once('close', () => this.forget(socket));
  }

  private forget(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    this.connections.delete(socket);
    this.resting.delete(connection);
    connection.ahead = [];
  }

  /** Ends a connection that has never sent a request, or else the one that rests longest, or else one whose request or answer stands still. */
  private makeRoom(): boolean {
    const [eldest] = this.resting;
    const leaving = [...this.resting].find(({ state }) => state === 'fresh') ?? eldest ?? [...this.connections.values()].find((connection) => this.standsStill(connection));
    if (leaving === undefined) return false;
    this.end(leaving, 'made-room');
    return true;
  }

  private standsStill({ state, current, stillSince }: Guarded): boolean {
    if (state === 'lingering') return true;
    if (current === null) return false;
    const now = this.now();
    return current.isReading ? now - stillSince > STALL_MS : current.outgoing.writableEnded && now > current.deadline;
  }

  private end(connection: Guarded, cause: EndCause): void {
    this.ended(cause);
    this.forget(connection.socket);
    connection.socket.destroy();
  }

  private look(connection: Guarded, now: number, limits: ConnectionLimits): void {
    const { state, since, current } = connection;
    const bytes = connection.socket.bytesRead;
    if (bytes !== connection.bytesSeen) {
      connection.bytesSeen = bytes;
      connection.stillSince = now;
    }
    if (current !== null && state === 'exchange') return this.lookAtExchange(connection, current, now, limits);
    if (state === 'lingering') {
      if (now - since > LINGER_MS) this.end(connection, 'body-not-read');
      return;
    }
    if (connection.headSince === null && bytes > connection.bytesBefore) connection.headSince = now;
    if (bytes - connection.bytesBefore > limits.headerBytes) return this.refuseHead(connection, 'head-too-long', HEAD_TOO_LONG);
    if (connection.headSince !== null && now - connection.headSince > limits.headerMs) return this.refuseHead(connection, 'head-too-slow', HEAD_TOO_SLOW);
    if (connection.headSince === null && now - since > limits.idleMs) this.end(connection, 'idle');
  }

  private lookAtExchange(connection: Guarded, exchange: Exchange, now: number, limits: ConnectionLimits): void {
    if (exchange.isReading) {
      if (now >= exchange.deadline || now - connection.stillSince > limits.idleMs) exchange.endReading();
    } else if (exchange.outgoing.writableEnded && now > exchange.deadline + limits.idleMs) this.end(connection, 'answer-not-taken');
  }

  private refuseHead(connection: Guarded, cause: EndCause, status: string): void {
    this.ended(cause);
    connection.socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
    this.resting.delete(connection);
    this.linger(connection.socket);
  }

  private take(request: Waiting): void {
    const connection = this.connections.get(request.incoming.socket);
    if (connection === undefined || connection.state === 'lingering') return;
    if (connection.current === null) return this.begin(connection, request);
    connection.ahead.push(request);
    connection.socket.pause();
    if (connection.ahead.length > MOST_AHEAD) this.end(connection, 'too-many-ahead');
  }

  private begin(connection: Guarded, { incoming, outgoing }: Waiting): void {
    const now = this.now();
    const exchange = new Exchange(outgoing, this, connection.socket, now);
    connection.state = 'exchange';
    connection.since = now;
    connection.headSince = null;
    connection.current = exchange;
    this.resting.delete(connection);
    outgoing.once('close', () => {
      this.finished(connection, exchange);
      exchange.end();
    });
    if (sizeOfHead(incoming) > this.limits().headerBytes) {
      this.ended('head-too-long');
      incoming.resume();
      return exchange.answerUnread(431, [], new Uint8Array());
    }
    this.door(incoming, outgoing, exchange);
  }

  private finished(connection: Guarded, exchange: Exchange): void {
    if (connection.current !== exchange) return;
    connection.current = null;
    const next = connection.ahead.shift();
    if (next !== undefined) return this.begin(connection, next);
    connection.state = 'idle';
    connection.since = this.now();
    connection.bytesBefore = connection.socket.bytesRead;
    if (this.connections.has(connection.socket)) this.resting.add(connection);
    if (connection.socket.isPaused()) connection.socket.resume();
  }
}

const sizeOfHead = ({ method, url, rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, (method?.length ?? 0) + (url?.length ?? 0) + 12);
