import { createConnection } from 'node:net';

/** One route as an operator of the platform writes it. */
export interface PlatformRoute {
  readonly name: string;
  readonly host: string;
  readonly path_prefix: string;
  readonly route_kind: string;
  readonly timeout: string;
  readonly target_latency: string;
  readonly priority: number;
  readonly service?: string;
  readonly traffic_split?: readonly { readonly service: string; readonly weight: number }[];
  readonly max_attempts: number;
}

export interface PlatformConfiguration {
  readonly version: number;
  readonly routes: readonly PlatformRoute[];
  readonly services: readonly object[];
  readonly limits: object;
}

const HOST = 'shop.example';

/** A route to one service, or with `split` to several. */
export const routeOf = (name: string, prefix: string, more: Partial<PlatformRoute> = {}): PlatformRoute => ({
  name, host: HOST, path_prefix: prefix, route_kind: 'idempotent', timeout: '3000ms', target_latency: '1.5s', priority: 0, max_attempts: 2, ...(more.traffic_split === undefined ? { service: 'line' } : {}), ...more,
});

export const serviceOf = (name: string): object => ({ name, health_path: '/health', connection_limit: 120, protocol: 'h1', transport_security: false });

/** A whole configuration over the services `line` and `port`. */
export const configurationOf = (version: number, routes: readonly PlatformRoute[], services: readonly string[] = ['line', 'port']): PlatformConfiguration => ({
  version, routes, services: services.map(serviceOf), limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout: '3000ms', idle_timeout: '15000ms' },
});

/** What comes back for bytes sent as they are, until the other side closes. */
export const rawExchange = (host: string, port: number, text: string, isEnded = false): Promise<string> => new Promise((settle) => {
  let heard = '';
  const socket = createConnection({ host, port, allowHalfOpen: true }, () => (isEnded ? socket.end(text, 'latin1') : socket.write(text, 'latin1')));
  socket.on('data', (chunk) => { heard += chunk.toString('latin1'); });
  socket.on('end', () => socket.end());
  socket.on('close', () => settle(heard));
  socket.on('error', () => settle(heard));
});

/** What an endpoint's answer tells of itself, or an answer of the mesh's own. */
export interface PlatformTold {
  readonly service?: string;
  readonly instance?: string;
  readonly id?: string;
  readonly url?: string;
  readonly body?: string;
  readonly error_message?: string;
}
