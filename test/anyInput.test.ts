import { createSocket } from 'node:dgram';
import { createServer, type Server } from 'node:net';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { WireClient } from '../src/connection/wire.js';
import { StorePath } from '../src/connection/storeCalls.js';
import { NodePath } from '../src/connection/nodeCalls.js';
import { HopPath } from '../src/connection/hopCalls.js';
import { PLATFORM_PORTS, PlatformFleet } from '../src/fleet/platformFleet.js';
import { callJson, until } from '../src/fleet/fleet.js';
import type { Address } from '../src/process/brands.js';
import { Manifest } from '../src/version/manifest.js';
import { manifestOf } from '../platform/configuration.js';
import { configurationOf, rawExchange, routeOf } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, run } = suite('any input');

const SEED = 20_231;
/** The platform's callers go on to another node after a second of silence. */
const ANSWER_MS = 1000;
const CLUSTER = 'opalstair';
const { internal, control, outbound, inbound, readiness } = PLATFORM_PORTS;

let fleet: PlatformFleet;
const property = <T>(runs: number, arbitrary: fc.Arbitrary<T>, check: (value: T) => Promise<void>): Promise<void> =>
  fc.assert(fc.asyncProperty(arbitrary, check), { seed: SEED, numRuns: runs, endOnFailure: true });
const inTime = async <T>(what: string, call: Promise<T>): Promise<T> => {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<never>((_settle, reject) => { timer = setTimeout(() => reject(new Error(`${what}: no answer within ${ANSWER_MS} ms`)), ANSWER_MS); });
  return Promise.race([call, late]).finally(() => clearTimeout(timer));
};

const good = (): object => configurationOf(5, [routeOf('r-1', '/lines/'), routeOf('r-2', '/ports/', { service: 'port' })]);
const anyJson = fc.jsonValue({ maxDepth: 4 });
/** A valid document of which one place, at any depth, holds something else, or of which the text is cut or changed. */
const bent = (document: object): fc.Arbitrary<unknown> => {
  const places: (readonly (string | number)[])[] = [];
  const visit = (value: unknown, path: readonly (string | number)[]): void => {
    places.push(path);
    if (typeof value === 'object' && value !== null) for (const [key, inner] of Object.entries(value)) visit(inner, [...path, Array.isArray(value) ? Number(key) : key]);
  };
  visit(document, []);
  const odd = fc.oneof(anyJson, fc.string({ maxLength: 300 }), fc.constantFrom('__proto__', 'constructor', -1, 1e308, '9'.repeat(400), `/${'a'.repeat(900)} /`, '/a b', { toString: 1 }, [[[]]], null));
  return fc.tuple(fc.constantFrom(...places), odd).map(([path, value]) => {
    if (path.length === 0) return value;
    const copy = structuredClone(document) as Record<string | number, unknown>;
    const holder = path.slice(0, -1).reduce<Record<string | number, unknown>>((at, step) => at[step] as Record<string | number, unknown>, copy);
    holder[path.at(-1) as string] = value;
    return copy;
  });
};
const anyBody = (document: object): fc.Arbitrary<string> => fc.oneof(
  { weight: 4, arbitrary: bent(document).map((value) => JSON.stringify(value) ?? '') }, { weight: 1, arbitrary: anyJson.map((value) => JSON.stringify(value)) }, { weight: 1, arbitrary: fc.string({ unit: 'binary', maxLength: 200 }) },
  { weight: 1, arbitrary: fc.nat(JSON.stringify(document).length).map((length) => JSON.stringify(document).slice(0, length)) },
);
const anyBytes = fc.oneof(
  fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes).toString('latin1')),
  fc.tuple(fc.constantFrom('GET', 'POST', 'HEAD', 'BREW', ''), fc.string({ maxLength: 60 }), fc.array(fc.tuple(fc.string({ maxLength: 30 }), fc.string({ maxLength: 60 })), { maxLength: 5 }))
    .map(([method, target, headers]) => `${method} /${target} HTTP/1.1\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}Host: shop.example\r\nConnection: close\r\n\r\n`),
);

/** Every process runs on, and no piece of work ended with a fault of its own. */
const allGoOn = async (): Promise<void> => {
  for (const daemon of fleet.daemons()) {
    assert.ok(daemon.isRunning, `${daemon.program} ${daemon.adminAddress} ended`);
    const metrics = await inTime(`${daemon.program} ${daemon.adminAddress}`, callJson<string>('GET', `http://${daemon.adminAddress}/metrics`));
    assert.match(String(metrics.body), 'opalstair_unhandled_rejections_total 0');
    assert.equal(daemon.lines.filter(({ event }) => event === 'internal-defect' || event === 'unhandled-rejection'), []);
  }
};

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'line'] });
  await fleet.enforce(0, configurationOf(1, [routeOf('r-1', '/lines/')], ['line']));
});
after(() => fleet.end());

test('any document as a configuration is checked without an exception and in time', () => {
  fc.assert(fc.property(anyBody(good()), (text) => {
    const start = performance.now();
    let document: unknown = null;
    try {
      document = JSON.parse(text);
    } catch { /* No document: the door refuses it before the check. */ }
    Manifest.check(manifestOf((typeof document === 'object' && document !== null ? document : {}) as Readonly<Record<string, unknown>>, text, {}));
    assert.ok(performance.now() - start < ANSWER_MS);
  }), { seed: SEED, numRuns: 3000 });
});

// Guards against a configuration that is taken and then ends every switchboard that starts.
test('a health path that can\'t be asked for is refused', async () => {
  for (const path of ['/health check', '/h\u00e9alth', '/health\n', 'health', '']) {
    const answer = await fleet.replace(1, { ...configurationOf(2, [routeOf('r-1', '/lines/')], ['line']), services: [{ name: 'line', health_path: path, connection_limit: 120, protocol: 'h1', transport_security: false }] });
    assert.is(answer.status, 400, path);
    assert.match(answer.body.error_message ?? '', 'services[0].health_path');
  }
});

test('any body as a configuration gets an answer of the protocol in time', async () => {
  await property(300, anyBody(good()), async (text) => {
    const answer = await inTime(text, fleet.replace(1, text, 'core2'));
    assert.ok([200, 400, 412, 413, 422].includes(answer.status), `${answer.status} for ${text}`);
  });
  await allGoOn();
});

test('any heartbeat or departure gets an answer of the protocol in time, and lists no address that can\'t be connected to', async () => {
  const beat = { address: '127.0.0.1:9', information: { service: 'line', version: 'v1', zone: 'zone1', capacity_slots: 6 }, status: { state: 'ready', call_sequence: 1, cold_remaining: '0ms' } };
  const url = (id: string, call: string): string => `http://${fleet.machine('app1').host}:${control}/-/instances/${id}/${call}`;
  const ids = fc.oneof(fc.constantFrom('i-1', '__proto__', 'x'.repeat(300), '%zz', '%00', 'a%2Fb'), fc.string({ maxLength: 80 }).map(encodeURIComponent));
  await property(300, fc.tuple(ids, fc.constantFrom('heartbeat', 'departure'), anyBody(beat)), async ([id, call, text]) => {
    const answer = await inTime(`${call} of ${id}: ${text}`, fetch(url(id, call), { method: 'POST', body: text, headers: { 'content-type': 'application/json' } }));
    assert.ok([200, 400, 404, 409, 413, 503].includes(answer.status), `${answer.status} for ${call} of ${id}: ${text}`);
    await answer.arrayBuffer();
  });
  for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '999.0.0.1:80', '127.0.0.1', '127.0.0.1:80:80']) {
    assert.is((await fetch(url('i-odd', 'heartbeat'), { method: 'POST', body: JSON.stringify({ ...beat, address }) })).status, 400, address);
  }
  await allGoOn();
});

test('any bytes at any port of a process end in an answer or a closed connection, and the process goes on', async () => {
  const doors = [['app1', outbound], ['app1', inbound], ['app1', control], ['app1', readiness], ['app1', internal], ['app1', internal + 1], ['core1', control], ['core1', internal], ['core1', internal + 1], ['core1', internal + 2], ['core1', internal + 3]] as const;
  await property(300, fc.tuple(fc.constantFrom(...doors), anyBytes), async ([[machine, port], text]) => {
    const heard = await rawExchange(fleet.machine(machine).host, port, text, true);
    assert.ok(heard === '' || heard.startsWith('HTTP/1.1 '), heard.slice(0, 80));
  });
  await allGoOn();
});

test('any datagram and any message of another process is answered or refused, and the process goes on', async () => {
  const socket = createSocket('udp4');
  await property(200, fc.tuple(fc.constantFrom('app1', 'core1'), fc.uint8Array({ maxLength: 400 })), ([machine, bytes]) =>
    new Promise<void>((settle, reject) => { socket.send(bytes, internal, fleet.machine(machine).host, (error) => (error === null ? settle() : reject(error))); }));
  await new Promise<void>((settle) => { socket.close(() => settle()); });
  const wire = new WireClient(CLUSTER, fleet.machine('app1').host);
  const calls = [['core1', internal + 2, Object.values(StorePath)], ['core1', internal, Object.values(NodePath)], ['app1', internal, [...Object.values(HopPath), NodePath.snapshot]]] as const;
  for (const [machine, port, paths] of calls) {
    const address = `${fleet.machine(machine).host}:${port}` as Address;
    await property(120, fc.tuple(fc.constantFrom(...paths), fc.dictionary(fc.constantFrom('key', 'ask', 'node', 'rows', 'serial', 'order', 'members', 'waitMs'), anyJson)), async ([path, message]) => {
      const answer = await wire.call(address, path, message, ANSWER_MS);
      assert.ok(answer.isOk() || answer.error.kind !== 'unreachable', answer.isErr() ? answer.error.describe() : '');
    });
    await wire.call(address, paths[0] as string, undefined as unknown as object, ANSWER_MS);
  }
  assert.is((await wire.call('127.0.0.1:99999' as Address, StorePath.ask, {}, ANSWER_MS)).match(() => 'answered', (defect) => defect.kind), 'unreachable');
  await wire.close();
  await allGoOn();
});

test('any bytes as an endpoint\'s answer become an answer of the mesh\'s own or a whole one, and the process goes on', async () => {
  let answer = Buffer.alloc(0);
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer));
  });
  const { host } = fleet.machine('app2');
  await new Promise<void>((settle) => { server.listen(0, host, settle); });
  const beats = setInterval(() => {
    beat.status.call_sequence += 1;
    void fetch(`http://${host}:${control}/-/instances/i-any/heartbeat`, { method: 'POST', body: JSON.stringify(beat) }).catch(() => undefined);
  }, 200);
  const beat = { address: `${host}:${(server.address() as AddressInfo).port}`, information: { service: 'line', zone: 'zone1', capacity_slots: 100 }, status: { state: 'ready', call_sequence: 1 } };
  const heads = fc.tuple(fc.constantFrom('HTTP/1.1 200 OK', 'HTTP/1.1 999 x', 'HTTP/1.0 200', 'HTTP/1.1 101 x', 'HTTP/2 200', 'HTTP/1.1 204 x'), fc.array(fc.tuple(fc.constantFrom('Content-Length', 'Transfer-Encoding', 'Attempt-Id', 'Server-Seal', 'Connection', 'X-Any'), fc.string({ maxLength: 40 })), { maxLength: 5 }), fc.string({ maxLength: 60 }))
    .map(([line, headers, body]) => `${line}\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`);
  try {
    await until('the endpoint is reached', async () => (await fleet.request('app1', 'GET', '/lines/1', { leftMs: 500 })).status === 502);
    await property(200, fc.oneof(anyBytes, heads), async (text) => {
      answer = Buffer.from(text, 'latin1');
      const got = await inTime(text, fleet.request('app1', 'GET', '/lines/1', { leftMs: 500 }));
      assert.ok([502, 503, 504].includes(got.status) || text.includes(String(got.status)), `${got.status} for ${text}`);
    });
  } finally {
    clearInterval(beats);
    await new Promise<void>((settle) => { server.close(() => settle()); });
  }
  await allGoOn();
});

run();
