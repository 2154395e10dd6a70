import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { getRequestListener as GetRequestListener, HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Address } from '../process/brands.js';
import { Defect } from '../process/defect.js';

import type { WireServer } from './wire.js';

const OPTIONS: ServerOptions = { keepAliveTimeout: 30_000, requestTimeout: 70_000, headersTimeout: 15_000 };

export class ListenDefect extends Defect {
  readonly kind = 'cannot-listen';
}

/**
 * A door of hono. Its server brings Node's own fetch with it, which is a sixth of a program's start: it is loaded when
 * somebody first knocks.
 */
export const honoDoor = (app: Hono<{ Bindings: HttpBindings }> | Hono): RequestListener => {
  let door: Promise<ReturnType<typeof GetRequestListener>> | null = null;
  return (incoming, outgoing) => {
    door ??= import('@hono/node-server').then(({ getRequestListener }) => getRequestListener(app.fetch as Parameters<typeof GetRequestListener>[0]));
    void door.then((answer) => answer(incoming, outgoing));
  };
};

/** A listening HTTP server that can be closed without dropping what it has read. */
export class Listener {
  private constructor(private readonly server: Server, readonly address: Address, private readonly wire: WireServer | null) {}

  static open(app: Hono, host: string, port: number): ResultAsync<Listener, ListenDefect> {
    return Listener.openPlain(honoDoor(app), host, port);
  }

  /** A door below hono, for what every request passes through. */
  static openPlain(take: RequestListener, host: string, port: number, options: ServerOptions = {}): ResultAsync<Listener, ListenDefect> {
    return Listener.listen(createServer({ ...OPTIONS, ...options }, take), host, port);
  }

  /** A door for links of other processes alone. */
  static openWire(wire: WireServer, host: string, port: number): ResultAsync<Listener, ListenDefect> {
    const server = createServer(OPTIONS, (_incoming, outgoing) => outgoing.writeHead(426, { connection: 'close' }).end());
    server.on('upgrade', (incoming, socket, head) => wire.take(incoming, socket, head));
    return Listener.listen(server, host, port, wire);
  }

  private static listen(server: Server, host: string, port: number, wire: WireServer | null = null): ResultAsync<Listener, ListenDefect> {
    return new ResultAsync(new Promise<Result<Listener, ListenDefect>>((settle) => {
      server.once('error', (error) => settle(err(new ListenDefect(`${host}:${port}`, error))));
      server.listen(port, host, 1024, () => settle(ok(new Listener(server, Address.of(host, (server.address() as AddressInfo).port), wire))));
    }));
  }

  get port(): number {
    return Address.port(this.address);
  }

  /** How long a connection may stay idle from now on, in milliseconds. */
  keepIdle(idleMs: number): void {
    this.server.keepAliveTimeout = idleMs;
  }

  /** Stops listening, closes idle connections and resolves when the last running exchange has ended. */
  async close(): Promise<void> {
    await this.wire?.close();
    await new Promise<void>((settle) => {
      this.server.close(() => settle());
      this.server.closeIdleConnections();
      const sweep = setInterval(() => this.server.closeIdleConnections(), 50);
      this.server.once('close', () => clearInterval(sweep));
    });
  }

  /** Ends everything at once; only for listeners whose callers ask again. */
  cut(): void {
    this.wire?.cut();
    this.server.close();
    this.server.closeAllConnections();
  }
}
