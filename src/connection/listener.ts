import { createServer, type Server, type ServerOptions } from 'node:http';
import { Server as NetServer, type AddressInfo } from 'node:net';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Address } from '../process/brands.js';
import { Defect } from '../process/defect.js';

import { Clock } from '../process/clock.js';
import type { Ticker } from '../process/ticker.js';
import { ConnectionGuard, type ConnectionLimits, type Door, type EndCause } from './connectionGuard.js';
import type { WireServer } from './wire.js';

/** Heads, rests and bodies are timed by the guard of the connections, not by Node's own server. */
const OPTIONS: ServerOptions = { keepAliveTimeout: 30_000, requestTimeout: 0, headersTimeout: 0 };
const LIMITS: ConnectionLimits = { headerMs: 15_000, idleMs: 60_000, headerBytes: 16 * 1024 };
/** Connections at once at a door that few call: operators, endpoints of the same machine, whoever looks at readiness. */
export const FEW_CONNECTIONS = 512;
/** How often connections are looked at, in milliseconds. */
const SWEEP_MS = 500;

/** How often a closing door looks for connections that have become idle, in milliseconds. */
const CLOSING_SWEEP_MS = 50;

/** How a door treats its connections. */
export interface DoorTerms {
  /** Runs the sweep over the connections; a timer of the door's own when not given. */
  readonly ticker?: Ticker;
  readonly limits?: () => ConnectionLimits;
  /** Connections at once. */
  readonly most?: number;
  readonly ended?: (cause: EndCause) => void;
  readonly options?: ServerOptions;
}

export class ListenDefect extends Defect {
  readonly kind = 'cannot-listen';
}

/** A listening HTTP server that can be closed without dropping what it has read. */
export class Listener {
  private constructor(private readonly server: Server, private readonly guard: ConnectionGuard, readonly address: Address, private readonly wire: WireServer | null) {}

  static open(door: Door, host: string, port: number, terms: DoorTerms = {}): ResultAsync<Listener, ListenDefect> {
    return Listener.listen(createServer({ ...OPTIONS, ...terms.options }), door, host, port, terms);
  }

  /** A door for links of other processes alone. */
  static openWire(wire: WireServer, host: string, port: number, terms: DoorTerms = {}): ResultAsync<Listener, ListenDefect> {
    const server = createServer(OPTIONS);
    server.on('upgrade', (incoming, socket, head) => wire.take(incoming, socket, head));
    return Listener.listen(server, (_incoming, outgoing) => outgoing.writeHead(426, { connection: 'close' }).end(), host, port, terms, wire);
  }

  private static listen(server: Server, door: Door, host: string, port: number, terms: DoorTerms, wire: WireServer | null = null): ResultAsync<Listener, ListenDefect> {
    const guard = new ConnectionGuard(Clock.monotonic, terms.limits ?? (() => LIMITS), terms.most ?? FEW_CONNECTIONS, terms.ended ?? (() => undefined), door);
    guard.watch(server);
    if (terms.ticker === undefined) {
      const timer = setInterval(() => guard.sweep(), SWEEP_MS).unref();
      server.once('close', () => clearInterval(timer));
    } else terms.ticker.every(SWEEP_MS, () => guard.sweep());
    return new ResultAsync(new Promise<Result<Listener, ListenDefect>>((settle) => {
      server.once('error', (error) => settle(err(new ListenDefect(`${host}:${port}`, error))));
      server.listen(port, host, 1024, () => settle(ok(new Listener(server, guard, Address.of(host, (server.address() as AddressInfo).port), wire))));
    }));
  }

  get port(): number {
    return Address.port(this.address);
  }

  /** How long a connection may stay idle from now on, in milliseconds. */
  keepIdle(idleMs: number): void {
    this.server.keepAliveTimeout = idleMs;
  }

  /**
   * Stops listening, closes idle connections and resolves when the last running exchange has ended, its answer taken. What is idle is the guard's
   * word: Node's own server takes a connection for idle, and cuts it, as soon as its answer was handed over, though its client still reads.
   */
  async close(): Promise<void> {
    await this.wire?.close();
    await new Promise<void>((settle) => {
      const sweep = setInterval(() => this.guard.closeIdle(), CLOSING_SWEEP_MS);
      NetServer.prototype.close.call(this.server, () => {
        clearInterval(sweep);
        settle();
      });
      this.guard.closeIdle();
    });
  }

  /** Ends everything at once; only for listeners whose callers ask again. */
  cut(): void {
    this.wire?.cut();
    this.server.close();
    this.server.closeAllConnections();
  }
}
