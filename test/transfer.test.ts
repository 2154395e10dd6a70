import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { BSON } from 'bson';
import * as assert from 'uvu/assert';
import { WebSocket, WebSocketServer } from 'ws';
import { Body } from '../src/connection/body.js';
import { Listener } from '../src/connection/listener.js';
import { WithBody } from '../src/connection/serverLink.js';
import { CLUSTER_HEADER, FORMAT_HEADER, PARTS_HEADER, WIRE_FORMAT, WireClient, WireServer } from '../src/connection/wire.js';
import { until } from '../src/fleet/fleet.js';
import { Address } from '../src/process/brands.js';
import { Clock } from '../src/process/clock.js';
import { MemoryBudget } from '../src/process/memoryBudget.js';
import { suite } from './harness.js';

const { test, run } = suite('bodies over links');
const HOST = '127.0.0.1';
const MIB = 1024 * 1024;
const ANYTHING = { validate: (value: unknown) => ({ value }) };
const PATH = '/echo';
const DEADLINE_MS = 5000;

const bodyOf = (length: number): Body => Body.ofBlocks(Array.from({ length: Math.ceil(length / MIB) }, (_, index) => Buffer.alloc(Math.min(MIB, length - index * MIB), index + 1)));

interface Serving {
  readonly address: Address;
  readonly ran: () => number;
  readonly memory: MemoryBudget;
  end(): Promise<void>;
}

/** A process that answers each body with itself. */
const serve = async (budgetBytes: number): Promise<Serving> => {
  const memory = new MemoryBudget(budgetBytes, Clock.monotonic);
  const server = new WireServer('mesh', { turnedAway: () => undefined }, null, memory);
  let runs = 0;
  server.on<object>(PATH, ANYTHING, (_message, { body }) => {
    runs += 1;
    const found = body ?? Body.empty;
    return new WithBody({ length: found.length }, found, () => ({ length: found.length }));
  });
  const listener = (await Listener.openWire(server, HOST, 0))._unsafeUnwrap();
  return { address: listener.address, ran: () => runs, memory, end: () => Promise.resolve(listener.cut()) };
};

const send = (wire: WireClient, address: Address, body: Body, memory: MemoryBudget, deadlineMs = DEADLINE_MS) => {
  const holding = memory.open();
  return Promise.resolve(wire.exchange<{ readonly length: number }>(address, PATH, {}, deadlineMs, ANYTHING, { body, holding })).then((found) => {
    holding.close();
    return found;
  });
};

/** Whether everything that was held has been given back. */
const isEmpty = (memory: MemoryBudget): boolean => {
  const all = memory.open();
  const found = all.take(memory.mostBytes);
  all.close();
  return found;
};

test('long bodies go and come back whole, several at once, and nothing stays held', async () => {
  const serving = await serve(64 * MIB);
  const wire = new WireClient('mesh', HOST);
  const memory = new MemoryBudget(64 * MIB, Clock.monotonic);
  const bodies = [3 * MIB, MIB + 1, 5 * MIB - 7].map(bodyOf);
  const found = await Promise.all(bodies.map((body) => send(wire, serving.address, body, memory)));
  found.forEach((one, index) => {
    const { answer, body } = one._unsafeUnwrap();
    assert.is(answer.length, bodies[index]?.length);
    assert.ok(Buffer.from(body?.joined() ?? []).equals(Buffer.from(bodies[index]?.joined() ?? [])));
  });
  await until('all given back', () => isEmpty(memory) && isEmpty(serving.memory));
  await wire.close();
  await serving.end();
});

test('a body that the other side has no room for is refused unread, and its call never runs', async () => {
  const serving = await serve(2 * MIB);
  const wire = new WireClient('mesh', HOST);
  const found = await send(wire, serving.address, bodyOf(4 * MIB), new MemoryBudget(64 * MIB, Clock.monotonic));
  assert.is(found._unsafeUnwrapErr().kind, 'no-room');
  assert.is(serving.ran(), 0);
  await wire.close();
  await serving.end();
});

test('an answer that its caller has no room for is waited for, then given up; nothing stays held', async () => {
  const serving = await serve(64 * MIB);
  const wire = new WireClient('mesh', HOST);
  const found = await send(wire, serving.address, bodyOf(4 * MIB), new MemoryBudget(2 * MIB, Clock.monotonic), 300);
  assert.is(found._unsafeUnwrapErr().kind, 'lost');
  assert.is(serving.ran(), 1);
  await until('all given back', () => isEmpty(serving.memory));
  await wire.close();
  await serving.end();
});

test('a process of the former release is sent no long body: the call counts as not sent', async () => {
  let heard = 0;
  const http = createServer();
  const former = new WebSocketServer({ server: http });
  former.on('connection', (socket) => socket.on('message', () => { heard += 1; }));
  await new Promise<void>((settle) => { http.listen(0, HOST, settle); });
  const wire = new WireClient('mesh', HOST);
  const found = await send(wire, Address.of(HOST, (http.address() as AddressInfo).port), bodyOf(MIB), new MemoryBudget(8 * MIB, Clock.monotonic));
  assert.is(found._unsafeUnwrapErr().kind, 'unreachable');
  assert.is(heard, 0);
  await wire.close();
  former.clients.forEach((socket) => socket.terminate());
  http.close();
});

test('a body that stands still on its way gives way to another, and one that lies about its length ends its link', async () => {
  const serving = await serve(8 * MIB);
  const open = (): Promise<WebSocket> => new Promise((settle) => {
    const socket = new WebSocket(`ws://${serving.address}/`, { headers: { [CLUSTER_HEADER]: 'mesh', [FORMAT_HEADER]: String(WIRE_FORMAT), [PARTS_HEADER]: '1' } });
    socket.on('error', () => undefined);
    socket.once('open', () => settle(socket));
  });
  const still = await open();
  const answered = new Promise<object>((settle) => { still.once('message', (bytes: Buffer) => settle(BSON.deserialize(bytes))); });
  still.send(BSON.serialize({ number: 1, offer: 6 * MIB }));
  assert.equal(await answered, { number: 1, go: true });
  const wire = new WireClient('mesh', HOST);
  const memory = new MemoryBudget(64 * MIB, Clock.monotonic);
  await until('another body taken', async () => (await send(wire, serving.address, bodyOf(4 * MIB), memory)).isOk());
  const liar = await open();
  const ended = new Promise<void>((settle) => { liar.once('close', () => settle()); });
  liar.once('message', () => liar.send(BSON.serialize({ number: 1, part: Buffer.alloc(2000) })));
  liar.send(BSON.serialize({ number: 1, offer: 1000 }));
  await ended;
  still.terminate();
  await until('all given back', () => isEmpty(serving.memory));
  await wire.close();
  await serving.end();
});

run();
