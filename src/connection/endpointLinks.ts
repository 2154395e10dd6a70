import { Agent, type AgentOptions, type ClientRequest } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Address, type Instant, type Millis } from '../process/brands.js';
import { BytesBehindHead } from './bytesBehindHead.js';
import type { Clock } from '../process/clock.js';

/** An endpoint that gave anything odd gets a fresh connection for each request for so long. */
export const ODD_MS = 10_000 as Millis;
/** An idle connection is let go after this: endpoints drop theirs without notice, and what is on the way then may have run. */
const IDLE_MS = 2500;
const MOST_IDLE = 64;

const proven = new WeakSet<Duplex>();
const counted = new WeakMap<Duplex, BytesBehindHead>();

/** The connections to one instance of an endpoint. Only one that gave a whole answer, with the request's id, is used again. */
class InstanceAgent extends Agent {
  constructor(private readonly links: EndpointLinks, private readonly key: string, options: AgentOptions) {
    super(options);
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (!proven.has(socket) || this.links.isOdd(this.key)) return false;
    proven.delete(socket);
    const idle = socket as Socket;
    const hint = /timeout=(\d+)/.exec(String((socket as unknown as { readonly _httpMessage?: { readonly res?: { readonly headers: Readonly<Record<string, string>> } } })._httpMessage?.res?.headers['keep-alive'] ?? ''))?.[1];
    idle.setTimeout(Math.min(IDLE_MS, hint === undefined ? IDLE_MS : Number(hint) * 500));
    idle.once('data', this.onSurplus);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const used = socket as Socket;
    used.removeListener('data', this.onSurplus);
    used.setTimeout(0);
    super.reuseSocket(socket, request);
  }

  /** Bytes on an idle connection belong to no request. */
  private readonly onSurplus = (): void => {
    this.links.noteOdd(this.key);
    this.destroyIdle();
  };

  private destroyIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) sockets?.forEach((socket) => socket.destroy());
  }
}

/** Reused connections to the endpoints of this machine. */
export class EndpointLinks {
  private readonly agents = new Map<string, InstanceAgent>();
  private readonly oddUntil = new Map<string, Instant>();

  constructor(private readonly clock: Clock, private readonly localHost: string) {}

  /** The connections to an instance at an address; its slots bound how many are in use. */
  agentOf(address: Address, instance: string): Agent {
    const key = `${address}/${instance}`;
    const known = this.agents.get(key);
    if (known !== undefined) return known;
    const agent = new InstanceAgent(this, key, { keepAlive: true, maxFreeSockets: MOST_IDLE, scheduling: 'lifo' });
    agent.createConnection = ((_options: unknown, take: (error: Error | null, socket?: Socket) => void) => {
      const socket = connect({ host: Address.host(address), port: Address.port(address), localAddress: this.localHost, noDelay: true });
      const failed = (error: Error): void => take(error);
      socket.once('error', failed);
      socket.once('connect', () => {
        socket.removeListener('error', failed);
        counted.set(socket, new BytesBehindHead(socket));
        take(null, socket);
      });
      return undefined;
    }) as typeof agent.createConnection;
    this.agents.set(key, agent);
    return agent;
  }

  /** What counts the bytes of answers on this connection. */
  static bytesOf(socket: Duplex): BytesBehindHead | undefined {
    return counted.get(socket);
  }

  /** The answer on this connection was whole and the request's own: another request may follow on it. */
  static prove(socket: Duplex | null): void {
    if (socket !== null) proven.add(socket);
  }

  /** The instance gave something that is no answer to a request: for a while its connections are not used again. */
  noteOdd(key: string): void {
    this.oddUntil.set(key, (this.clock.now() + ODD_MS) as Instant);
  }

  isOdd(key: string): boolean {
    const until = this.oddUntil.get(key);
    if (until === undefined) return false;
    if (this.clock.now() < until) return true;
    this.oddUntil.delete(key);
    return false;
  }

  /** The endpoint is gone: its connections are closed, those in use when their answer has come. */
  forget(address: Address, instance: string): void {
    const key = `${address}/${instance}`;
    const agent = this.agents.get(key);
    this.agents.delete(key);
    this.oddUntil.delete(key);
    if (agent === undefined) return;
    agent.keepSocketAlive = () => false;
    for (const sockets of Object.values(agent.freeSockets)) sockets?.forEach((socket) => socket.destroy());
  }
}
