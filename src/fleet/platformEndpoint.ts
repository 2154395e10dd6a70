import { randomBytes } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Agent, request } from 'undici';

/** One request as an endpoint of the platform saw it. */
export interface PlatformRecord {
  readonly at: Date;
  readonly service: string;
  readonly instance: string;
  readonly id: string;
  readonly expected: string;
  readonly callingService: string;
  readonly leftMs: number;
  /** The number of the connection that it came on, from 1. */
  readonly connection: number;
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** How an endpoint of the platform treats a request; all but `dropsUnread` and `refuses` run it. */
export type PlatformBehaviour =
  | 'serves' | 'lateSurplus' | 'lateRefusal' | 'extraAtOnce' | 'silent' | 'cutOff' | 'answerLost' | 'resetAfterRun' | 'garbage' | 'noSeal' | 'otherId' | 'encoded' | 'fails' | 'closes' | 'dropsUnread' | 'refuses';

export interface PlatformPlace {
  readonly host: string;
  readonly zone: string;
  /** The port for beats: the machine's `control_plane`. */
  readonly beatPort: number;
  readonly service: string;
  readonly slots: number;
  /** Of its software; `v1` if not given. */
  readonly version?: string;
  /** How many requests wait for a slot before the endpoint refuses. */
  readonly queue?: number;
  readonly connectionLimit?: number;
  readonly port?: number;
  readonly beatMs?: number;
  /** An endpoint that does not beat is one that nobody knows of yet. */
  readonly isMute?: boolean;
  /** What `Keep-Alive` promises for idle connections, in seconds. */
  readonly keepAliveSeconds?: number;
}

interface Beaten {
  readonly status: number;
  readonly body: unknown;
}

const QUEUE = 4;
const BEAT_MS = 250;
const KEEP_ALIVE_SECONDS = 5;
const nothing = (): void => undefined;

/** An endpoint that speaks as the platform's do: it beats, checks who is meant, runs, seals, refuses and misbehaves to order. */
export class PlatformEndpoint {
  readonly instance = `i-${randomBytes(6).toString('hex')}`;
  readonly runs: PlatformRecord[] = [];
  /** All requests that came, whether they ran or not. */
  readonly arrivals: PlatformRecord[] = [];
  behaviour: (record: PlatformRecord) => PlatformBehaviour = () => 'serves';
  /** Called at each run before the answer; the answer waits for it. */
  onRun: (record: PlatformRecord) => Promise<void> | void = nothing;
  running = 0;
  mostRunning = 0;
  connections = 0;
  probes = 0;
  /** Answers that came late, in the place of another. */
  surplusSent = 0;
  isAlive = true;
  /** What it thinks of itself: a health answer may be false. */
  isHealthy = true;
  /** Whether its health answer denies that it leaves. */
  hidesLeaving = false;
  /** Where it listens, or listened. */
  listenedAt = '';
  private sequence = 0;
  private isDraining = false;
  private hasDeparted = false;
  private isBeating = false;
  private timer: NodeJS.Timeout | null = null;
  private waiters: readonly (() => void)[] = [];
  private readonly numbers = new Map<Socket, number>();
  private readonly busy = new Set<Socket>();
  /** Answers that are still to come late, by the connection that they come on. */
  private readonly surplus = new Map<Socket, string>();
  private readonly agent: Agent;

  private constructor(readonly place: PlatformPlace, private readonly server: Server) {
    this.agent = new Agent({ localAddress: place.host, keepAliveTimeout: 5000 });
    server.on('connection', (socket) => this.welcome(socket));
    server.on('request', (incoming, outgoing) => void this.take(incoming, outgoing));
  }

  /** Listens and begins to beat; resolves once its first beat is acknowledged, or refused. */
  static async start(place: PlatformPlace): Promise<PlatformEndpoint> {
    const server = createServer({ keepAliveTimeout: 60_000 });
    await new Promise<void>((settle, fail) => {
      server.once('error', fail);
      server.listen(place.port ?? 0, place.host, settle);
    });
    const endpoint = new PlatformEndpoint(place, server);
    endpoint.listenedAt = endpoint.address;
    if (place.isMute === true) return endpoint;
    await endpoint.beat();
    endpoint.resumeBeating();
    return endpoint;
  }

  get address(): string {
    return `${this.place.host}:${(this.server.address() as AddressInfo | null)?.port ?? 0}`;
  }

  get port(): number {
    return Number(this.listenedAt.split(':')[1]);
  }

  /** One beat, under the next number unless another is given; gives the status, 0 when no answer came. */
  async beat(sequence = this.nextSequence(), state = this.isDraining ? 'draining' : 'ready'): Promise<number> {
    const { service, zone, slots } = this.place;
    const answer = await this.post(`/-/instances/${this.instance}/heartbeat`, {
      address: this.listenedAt, information: { service, version: this.place.version ?? 'v1', zone, capacity_slots: slots }, status: { state, call_sequence: sequence, cold_remaining: '0ms' },
    });
    return answer.status;
  }

  /** Reports that it is draining, and goes on serving. */
  drain(): Promise<number> {
    this.isDraining = true;
    return this.beat();
  }

  /** Reports its departure, to another machine's node if that is named; the status of the acknowledgement, 0 when none came. */
  async depart(beatHost = this.place.host): Promise<number> {
    this.stopBeating();
    this.hasDeparted = true;
    return (await this.post(`/-/instances/${this.instance}/departure`, undefined, beatHost)).status;
  }

  /** Goes without a word: no beat, no listener, every connection cut. */
  async die(): Promise<void> {
    this.isAlive = false;
    this.stopBeating();
    this.server.closeAllConnections();
    await new Promise<void>((settle) => { this.server.close(() => settle()); });
    await this.agent.destroy();
  }

  /** Closes every connection on which no request is, without notice; gives how many there were. */
  dropIdle(): number {
    const idle = [...this.numbers.keys()].filter((socket) => !this.busy.has(socket));
    idle.forEach((socket) => socket.destroy());
    return idle.length;
  }

  /** Connections that stand now. */
  get open(): number {
    return this.numbers.size;
  }

  stopBeating(): void {
    this.isBeating = false;
    if (this.timer !== null) clearTimeout(this.timer);
  }

  resumeBeating(): void {
    this.isBeating = true;
    this.scheduleBeat();
  }

  /** Forgets what it logged and behaves. */
  refresh(): void {
    this.runs.length = 0;
    this.arrivals.length = 0;
    this.mostRunning = 0;
    this.behaviour = () => 'serves';
    this.onRun = nothing;
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  private async post(path: string, body: unknown, beatHost = this.place.host): Promise<Beaten> {
    try {
      const answer = await request(`http://${beatHost}:${this.place.beatPort}${path}`, {
        method: 'POST', dispatcher: this.agent, headersTimeout: 5000, ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      return { status: answer.statusCode, body: await answer.body.json().catch(() => null) };
    } catch {
      return { status: 0, body: null };
    }
  }

  private scheduleBeat(): void {
    this.timer = setTimeout(() => {
      void this.beat().then(() => { if (this.isBeating) this.scheduleBeat(); });
    }, this.place.beatMs ?? BEAT_MS);
    this.timer.unref();
  }

  private welcome(socket: Socket): void {
    this.connections += 1;
    this.numbers.set(socket, this.connections);
    socket.on('error', nothing);
    socket.once('close', () => {
      this.numbers.delete(socket);
      this.busy.delete(socket);
      this.surplus.delete(socket);
    });
    if (this.numbers.size > (this.place.connectionLimit ?? Infinity)) socket.resetAndDestroy();
  }

  private async take(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const { socket } = incoming;
    this.busy.add(socket);
    outgoing.once('close', () => this.busy.delete(socket));
    const late = this.surplus.get(socket);
    this.surplus.delete(socket);
    if (late !== undefined) {
      this.surplusSent += 1;
      socket.write(late, 'latin1');
    }
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    if (incoming.url === '/health') return this.answerProbe(outgoing);
    const record = this.recordOf(incoming, Buffer.concat(chunks).toString('utf8'));
    this.arrivals.push(record);
    if (record.id === '') return this.refuse(outgoing, record, 400);
    if (record.expected !== '' && record.expected !== this.instance) return this.refuse(outgoing, record, 421);
    const behaviour = this.behaviour(record);
    if (behaviour === 'dropsUnread') return void socket.destroy();
    if (behaviour === 'refuses' || !(await this.slot(socket, record))) return this.refuse(outgoing, record, 503);
    this.mostRunning = Math.max(this.mostRunning, this.running);
    this.runs.push(record);
    await this.onRun(record);
    this.freeSlot();
    this.answer(behaviour, record, socket, outgoing);
  }

  /** Whether a slot came free before the deadline, in a bounded queue. */
  private async slot(socket: Socket, { leftMs }: PlatformRecord): Promise<boolean> {
    if (this.running < this.place.slots) {
      this.running += 1;
      return true;
    }
    if (this.waiters.length >= (this.place.queue ?? QUEUE)) return false;
    return new Promise((settle) => {
      const end = (isFree: boolean): void => {
        clearTimeout(timer);
        this.waiters = this.waiters.filter((one) => one !== wake);
        settle(isFree);
      };
      const wake = (): void => end(true);
      const timer = setTimeout(() => end(false), leftMs);
      socket.once('close', () => end(false));
      this.waiters = [...this.waiters, wake];
    });
  }

  private freeSlot(): void {
    const next = this.waiters[0];
    if (next === undefined) this.running -= 1;
    else next();
  }

  private answerProbe(outgoing: ServerResponse): void {
    this.probes += 1;
    const isLeaving = (this.isDraining || this.hasDeparted) && !this.hidesLeaving;
    outgoing.writeHead(isLeaving || !this.isHealthy ? 503 : 200, { 'instance-id': this.instance, 'content-length': 0 }).end();
  }

  private refuse(outgoing: ServerResponse, { id }: PlatformRecord, status: number): void {
    outgoing.writeHead(status, { 'request-not-run': '1', 'content-length': 0, ...(id === '' ? {} : { 'attempt-id': id }), ...this.lasting(false) }).end();
  }

  private lasting(isLast: boolean): Readonly<Record<string, string>> {
    return isLast || this.isDraining ? { connection: 'close' } : { connection: 'keep-alive', 'keep-alive': `timeout=${this.place.keepAliveSeconds ?? KEEP_ALIVE_SECONDS}` };
  }

  private answer(behaviour: PlatformBehaviour, record: PlatformRecord, socket: Socket, outgoing: ServerResponse): void {
    const { id, url, body: given } = record;
    const padding = 'x'.repeat(Number(/[?&]padding=(\d+)/.exec(url)?.[1] ?? 0));
    const told = /[?&]brief\b/.test(url) ? String(given.length) : given;
    const body = JSON.stringify({ service: this.place.service, instance: this.instance, id, url, body: told, ...(padding === '' ? {} : { padding }) });
    const sealed = { 'attempt-id': id, 'server-seal': `${this.instance}.${id}`, 'content-type': 'application/json' };
    const raw = (text: string, length = text.length): string =>
      `HTTP/1.1 200 OK\r\n${Object.entries(sealed).map(([name, value]) => `${name}: ${value}\r\n`).join('')}content-length: ${length}\r\n\r\n${text}`;
    const whole = (status: number, headers: Readonly<Record<string, string>> = sealed): void => {
      outgoing.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body), ...this.lasting(behaviour === 'closes') });
      outgoing.end(record.method === 'HEAD' ? undefined : body);
    };
    switch (behaviour) {
      case 'serves':
      case 'closes': return whole(200);
      case 'fails': return whole(500, { 'attempt-id': id });
      case 'noSeal': return whole(200, { 'attempt-id': id });
      case 'otherId': return whole(200, { ...sealed, 'attempt-id': 'somebody-else' });
      case 'encoded': return whole(200, { ...sealed, 'content-encoding': 'gzip' });
      case 'lateSurplus':
        this.surplus.set(socket, raw(body));
        return whole(200);
      case 'lateRefusal':
        this.surplus.set(socket, `HTTP/1.1 503 Service Unavailable\r\nattempt-id: ${id}\r\nrequest-not-run: 1\r\ncontent-length: 0\r\n\r\n`);
        return whole(200);
      case 'extraAtOnce': return void socket.write(raw(body) + raw(body), 'latin1');
      case 'cutOff': return void socket.end(raw(body, body.length + 100), 'latin1');
      case 'garbage': return void socket.end('\u0001\u0002 this is no answer\r\n\r\n', 'latin1');
      case 'answerLost': return void socket.end();
      case 'resetAfterRun': return void socket.resetAndDestroy();
      case 'silent':
      case 'dropsUnread':
      case 'refuses': return;
    }
  }

  private recordOf(incoming: IncomingMessage, body: string): PlatformRecord {
    const header = (name: string): string => String(incoming.headers[name] ?? '');
    return {
      at: new Date(), service: this.place.service, instance: this.instance, id: header('attempt-id'), expected: header('expected-instance'), callingService: header('calling-service'),
      leftMs: Number(header('deadline-remaining') || 'NaN'), connection: this.numbers.get(incoming.socket) ?? 0, method: incoming.method ?? '', url: incoming.url ?? '',
      headers: Object.fromEntries(Object.entries(incoming.headers).map(([name, value]) => [name, String(value)])), body,
    };
  }
}
