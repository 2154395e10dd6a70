import { randomBytes } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';

/** One run of an order, as the endpoint's own log has it. */
export interface RunRecord {
  readonly at: Date;
  readonly service: string;
  readonly endpoint: string;
  readonly instance: string;
  readonly order: string;
  readonly key: string;
  readonly method: string;
  readonly url: string;
  readonly body: string;
}

/** How an endpoint treats an order; all but `diesBefore` run it first. */
export type Behaviour =
  | 'serves' | 'diesBefore' | 'diesAfterRun' | 'diesDuring' | 'garbage' | 'silent' | 'endlessHeaders' | 'noLength' | 'extraBytes' | 'shortLength' | 'truncatedChunks' | 'fails' | 'badStatus';

export interface EndpointPlace {
  readonly host: string;
  readonly zone: string;
  readonly beatPort: number;
  readonly service: string;
  readonly id: string;
  readonly slots: number;
  readonly port?: number;
  readonly beatMs?: number;
  /** Whether its answers name the request that they belong to, so that its connections may be used again. */
  readonly echoes?: boolean;
}

const RAW: Partial<Record<Behaviour, string>> = {
  diesDuring: 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf',
  garbage: '\u0001\u0002 this is no answer\r\n\r\n',
  noLength: 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nwho knows whether this is all',
  extraBytes: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok and more',
  shortLength: 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\nconnection: close\r\n\r\nshort',
  truncatedChunks: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n',
  badStatus: 'HTTP/1.1 99 No\r\ncontent-length: 0\r\n\r\n',
};

/** A back end as the users run them: it beats to its machine's switchboard, runs orders and logs each run. */
export class StandInEndpoint {
  readonly instance = randomBytes(6).toString('hex');
  readonly runs: RunRecord[] = [];
  /** All orders that came, whether they ran or not. */
  readonly arrivals: RunRecord[] = [];
  behaviour: (run: RunRecord) => Behaviour = () => 'serves';
  /** Called at each run before the answer; the answer waits for it. */
  onRun: (run: RunRecord) => Promise<void> | void = () => undefined;
  running = 0;
  mostRunning = 0;
  probes = 0;
  isAlive = true;
  /** Where it listens, or listened. */
  listenedAt = '';
  /** How many orders its switchboard said are running here. */
  toldRunning = 0;
  private nonce = '';
  private thawed: Promise<void> = Promise.resolve();
  private leaving = false;
  private isBeating = false;
  private timer: NodeJS.Timeout | null = null;
  private readonly agent: Agent;

  private constructor(readonly place: EndpointPlace, private readonly server: Server) {
    this.agent = new Agent({ localAddress: place.host, keepAliveTimeout: 5000 });
    server.on('request', (incoming, outgoing) => void this.take(incoming, outgoing));
  }

  /** Listens and begins to beat; resolves once the switchboard counts its beats. */
  static async start(place: EndpointPlace): Promise<StandInEndpoint> {
    const server = createServer({ keepAliveTimeout: 1000 });
    await new Promise<void>((settle, fail) => {
      server.once('error', fail);
      server.listen(place.port ?? 0, place.host, settle);
    });
    const endpoint = new StandInEndpoint(place, server);
    endpoint.listenedAt = endpoint.address;
    endpoint.isBeating = true;
    await endpoint.beat();
    endpoint.scheduleBeat();
    return endpoint;
  }

  get address(): string {
    return `${this.place.host}:${(this.server.address() as AddressInfo | null)?.port ?? 0}`;
  }

  /** One beat; beats again at once when the switchboard asks for its new nonce. */
  async beat(): Promise<boolean> {
    const { service, zone, slots, id } = this.place;
    const body = JSON.stringify({ service, zone, slots, address: this.address, instance: this.instance, probe: '/probe', leaving: this.leaving, nonce: this.nonce });
    try {
      const answer = await request(`${this.beatUrl(id)}`, { method: 'PUT', body, dispatcher: this.agent, headers: { 'content-type': 'application/json' } });
      const found = (await answer.body.json()) as { readonly nonce?: string; readonly counted?: boolean; readonly running?: number };
      if (answer.statusCode !== 200 || found.nonce === undefined) return false;
      const again = found.counted === false && found.nonce !== this.nonce;
      this.nonce = found.nonce;
      this.toldRunning = found.running ?? 0;
      return again ? await this.beat() : found.counted === true;
    } catch {
      return false;
    }
  }

  /** Says that it is leaving, in its beats, and goes on beating. */
  announceLeaving(): Promise<boolean> {
    this.leaving = true;
    return this.beat();
  }

  /** Signs off and goes as soon as that is acknowledged. */
  async signOff(): Promise<number> {
    const answer = await request(`${this.beatUrl(this.place.id)}?instance=${this.instance}`, { method: 'DELETE', dispatcher: this.agent });
    await answer.body.dump();
    this.stopBeating();
    return answer.statusCode;
  }

  /** Goes without a word: no beat, no listener, every connection cut. */
  async die(): Promise<void> {
    this.isAlive = false;
    this.stopBeating();
    this.server.closeAllConnections();
    await new Promise<void>((settle) => { this.server.close(() => settle()); });
    await this.agent.destroy();
  }

  /** Stands still: takes connections and reads, but neither beats nor runs until it is thawed. */
  freeze(): () => void {
    this.stopBeating();
    let thaw: () => void = () => undefined;
    this.thawed = new Promise((settle) => { thaw = settle; });
    return () => {
      thaw();
      if (this.isAlive) this.resumeBeating();
    };
  }

  stopBeating(): void {
    this.isBeating = false;
    if (this.timer !== null) clearTimeout(this.timer);
  }

  resumeBeating(): void {
    this.isBeating = true;
    this.scheduleBeat();
  }

  private beatUrl(id: string): string {
    return `http://${this.place.host}:${this.place.beatPort}/v1/endpoints/${id}`;
  }

  private scheduleBeat(): void {
    this.timer = setTimeout(() => {
      void this.beat().then(() => { if (this.isBeating) this.scheduleBeat(); });
    }, this.place.beatMs ?? 500);
    this.timer.unref();
  }

  private async take(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) chunks.push(chunk as Buffer);
    if (incoming.url === '/probe') {
      this.probes += 1;
      const works = !['fails', 'garbage', 'silent', 'diesBefore'].includes(this.behaviour(this.recordOf(incoming, '')));
      outgoing.writeHead(works ? 200 : 503).end();
      return;
    }
    const record = this.recordOf(incoming, Buffer.concat(chunks).toString('utf8'));
    this.arrivals.push(record);
    await this.thawed;
    const behaviour = this.behaviour(record);
    if (behaviour === 'diesBefore') return void incoming.socket.destroy();
    this.running += 1;
    this.mostRunning = Math.max(this.mostRunning, this.running);
    this.runs.push(record);
    try {
      await this.onRun(record);
      this.answer(behaviour, record, incoming, outgoing);
    } finally {
      this.running -= 1;
    }
  }

  private answer(behaviour: Behaviour, record: RunRecord, incoming: IncomingMessage, outgoing: ServerResponse): void {
    const raw = RAW[behaviour];
    if (raw !== undefined) return void incoming.socket.end(raw, 'latin1');
    if (behaviour === 'silent') return;
    if (behaviour === 'diesAfterRun') return void incoming.socket.destroy();
    if (behaviour === 'endlessHeaders') {
      incoming.socket.write('HTTP/1.1 200 OK\r\n');
      const line = `x-more: ${'m'.repeat(1000)}\r\n`;
      for (let count = 0; count < 64; count += 1) incoming.socket.write(line);
      return;
    }
    const body = JSON.stringify({ service: this.place.service, endpoint: this.place.id, instance: this.instance, order: record.order, key: record.key, url: record.url, body: record.body });
    outgoing.writeHead(behaviour === 'fails' ? 500 : 200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...(this.place.echoes === true ? { 'opalstair-order': record.order } : {}) });
    outgoing.end(incoming.method === 'HEAD' ? undefined : body);
  }

  private recordOf(incoming: IncomingMessage, body: string): RunRecord {
    const header = (name: string): string => String(incoming.headers[name] ?? '');
    return {
      at: new Date(), service: this.place.service, endpoint: this.place.id, instance: this.instance, order: header('opalstair-order'),
      key: header('x-order-key'), method: incoming.method ?? '', url: incoming.url ?? '', body,
    };
  }
}
