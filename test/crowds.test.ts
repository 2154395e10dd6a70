import * as assert from 'uvu/assert';
import { WebSocket } from 'ws';
import { CLUSTER_HEADER, FORMAT_HEADER, WIRE_FORMAT } from '../src/connection/wire.js';
import type { Daemon } from '../src/fleet/daemon.js';
import { until } from '../src/fleet/fleet.js';
import { MACHINE_LIMITS, PLATFORM_PORTS, PlatformFleet } from '../src/fleet/platformFleet.js';
import { chunks, Crowd, CrowdClient, headOf, LAST_CHUNK, openDescriptors, peakMiB, plainBody, writeAll, type CrowdDoor } from './crowd.js';
import { suite } from './harness.js';
import { configurationOf, routeOf, type PlatformConfiguration, type PlatformTold } from './platformParts.js';

const { test, before, after, restore, run } = suite('crowds');
const MIB = 1024 * 1024;
/** What the platform gives a process of an application machine, and one of a core machine, in MiB. */
const SIDE_MIB = 250;
const CORE_MIB = 346;
/** Connections at once that a crowd may leave at a door. */
const MOST_DESCRIPTORS = 100;
/** Enough for a whole crowd to be answered at once. */
const SLOTS = 100;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

let fleet: PlatformFleet;
let version = 0;

const limits = { max_header_bytes: 16_384, max_body_bytes: 64 * MIB, header_timeout: '1000ms', idle_timeout: '2000ms' };

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'port'], limits: { memory_mb: SIDE_MIB }, isConfined: true });
  version = 1;
  const routes = [routeOf('line', '/line/', { timeout: '10000ms' }), routeOf('port', '/port/', { route_kind: 'non_idempotent', timeout: '10000ms' })];
  const configuration: PlatformConfiguration = { ...configurationOf(version, routes), limits };
  await fleet.enforce(0, configuration);
  await fleet.endpoint('app1', { slots: SLOTS });
  await fleet.endpoint('app2', { slots: SLOTS });
  await settled();
});
after(() => fleet.end());
restore(() => fleet.restore(fleet.endpoints));

const settled = async (): Promise<void> => {
  await fleet.inForce(version);
  await fleet.listed('line', fleet.endpoints.filter((endpoint) => endpoint.place.service === 'line'));
  await fleet.listed('port', fleet.endpoints.filter((endpoint) => endpoint.place.service === 'port'));
};

/** Processes that nothing has happened to yet: a peak of memory is one of a process's whole life. */
const fresh = async (daemons: readonly Daemon[]): Promise<void> => {
  await Promise.all(daemons.map((daemon) => daemon.end('SIGKILL')));
  await Promise.all(daemons.map((daemon) => daemon.start()));
  await settled();
};
const freshSides = (): Promise<void> => fresh([...fleet.sidecars.values()]);

const callers: () => CrowdDoor = () => ({ host: fleet.machine('app1').host, port: PLATFORM_PORTS.outbound });
const operators: () => CrowdDoor = () => ({ host: fleet.machine('core1').host, port: PLATFORM_PORTS.control });

/** What must hold whatever came: the processes live, none took more than its machine has, and an ordinary request is answered. */
const bears = async (): Promise<void> => {
  for (const [name, daemon] of fleet.sidecars) {
    assert.ok(daemon.isRunning, `${name}'s switchboard lives`);
    assert.ok(peakMiB(daemon) <= SIDE_MIB, `${name}'s switchboard took ${peakMiB(daemon).toFixed(0)} MiB`);
  }
  for (const [name, daemon] of fleet.directories) {
    assert.ok(daemon.isRunning, `${name}'s directory lives`);
    assert.ok(peakMiB(daemon) <= CORE_MIB, `${name}'s directory took ${peakMiB(daemon).toFixed(0)} MiB`);
  }
  await until('an ordinary request answered', () => fleet.request('app1', 'GET', '/line/x').then(({ status }) => status === 200, () => false));
};

/** Plays a crowd at the callers' door, then judges while its clients are still there. */
const crowd = async (count: number, script: Parameters<typeof Crowd.gather>[2], isReading = true, door = callers()): Promise<Crowd> => {
  const gathered = await Crowd.gather(door, count, script, isReading);
  try {
    await gathered.done();
    await bears();
    return gathered;
  } finally {
    gathered.leave();
  }
};

test('one body of a megabyte in chunks of one byte is served', async () => {
  await freshSides();
  const gathered = await crowd(1, async (client) => {
    await writeAll(client, [headOf('POST', '/line/x?brief') + CHUNKED, ...chunks(MIB, 1), LAST_CHUNK]);
    await client.answered();
  });
  assert.is(gathered.clients[0]?.status, 200);
  assert.is(fleet.endpoints.flatMap(({ runs }) => runs).filter(({ body }) => body.length === MIB).length, 1);
});

test('bodies in chunks of one byte that never end', async () => {
  await freshSides();
  await crowd(8, (client) => writeAll(client, [headOf('POST', '/line/x') + CHUNKED, ...chunks(MIB, 1)]));
});

test('long bodies in long chunks that stop short', async () => {
  await freshSides();
  await crowd(30, (client) => writeAll(client, [headOf('POST', '/line/x') + CHUNKED, ...chunks(15, MIB)]));
});

test('long bodies by their length that stop short', async () => {
  await freshSides();
  await crowd(30, (client) => writeAll(client, [`${headOf('POST', '/line/x', [`Content-Length: ${16 * MIB}`])}\r\n`, ...plainBody(15 * MIB)]));
});

test('chunks of one byte, each with an extension of 4 KB', async () => {
  await freshSides();
  await crowd(20, (client) => writeAll(client, [headOf('POST', '/line/x') + CHUNKED, ...chunks(4096, 1, `;${'e'.repeat(4096)}`)]));
});

test('long answers that nobody reads', async () => {
  await freshSides();
  const before = { runs: fleet.endpoints.flatMap(({ runs }) => runs).length, descriptors: openDescriptors(fleet.sidecars.get('app1') as Daemon) };
  const gathered = await Crowd.gather(callers(), 50, (client, index) => client.write(`${headOf('GET', `/${index % 2 === 0 ? 'line' : 'port'}/x?padding=${4 * MIB}`)}\r\n`), false);
  try {
    await until('requests that ran', () => fleet.endpoints.flatMap(({ runs }) => runs).length - before.runs >= 50 / 2);
    await bears();
    await until('the answers are given up', () => openDescriptors(fleet.sidecars.get('app1') as Daemon) < before.descriptors + 50 / 2);
    await bears();
  } finally {
    gathered.leave();
  }
});

/** Clients that leave and come again, each so many times. */
const comeAgain = async (count: number, rounds: number, visit: (client: CrowdClient, index: number) => Promise<void>, isReading: boolean): Promise<void> => {
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    for (let round = 0; round < rounds; round += 1) {
      const client = await CrowdClient.open(callers(), isReading);
      await visit(client, index);
      client.leave();
    }
  }));
  await bears();
};

test('long bodies that stop short and come again', async () => {
  await freshSides();
  await comeAgain(30, 5, (client) => writeAll(client, [headOf('POST', '/line/x') + CHUNKED, ...chunks(15, MIB)]), true);
});

test('long answers that nobody reads, and that are asked for again', async () => {
  await freshSides();
  await comeAgain(40, 5, async (client, index) => {
    await client.write(`${headOf('GET', `/${index % 2 === 0 ? 'line' : 'port'}/x?padding=${4 * MIB}`)}\r\n`);
    await new Promise((settle) => { setTimeout(settle, 300); });
  }, false);
});

test('long answers that are read slowly', async () => {
  await freshSides();
  const gathered = await Crowd.gather(callers(), 50, async (client, index) => {
    await client.write(`${headOf('GET', `/${index % 2 === 0 ? 'line' : 'port'}/x?padding=${4 * MIB}`)}\r\n`);
    for (let sip = 0; sip < 20; sip += 1) await client.sip(100);
  }, false);
  try {
    await gathered.done();
    await bears();
  } finally {
    gathered.leave();
  }
});

test('requests one after the other on each connection, whose answers nobody reads', async () => {
  await freshSides();
  const requests = Buffer.from(`${headOf('GET', '/line/x?padding=2000')}\r\n`.repeat(300));
  const gathered = await Crowd.gather(callers(), 50, () => Promise.resolve(), false);
  const writing = gathered.clients.map(async (client) => { while (!client.isClosed) await client.write(requests); });
  try {
    await bears();
  } finally {
    gathered.leave();
    await Promise.all(writing);
  }
});

test('heads that grow slowly are ended by the time limit of the configuration', async () => {
  await freshSides();
  const gathered = await Crowd.gather(callers(), 200, async (client) => {
    await client.write('GET /line/x HTTP/1.1\r\nHost: shop.example\r\n');
    while (!client.isClosed) {
      await client.write('X: y\r\n');
      await new Promise((settle) => { setTimeout(settle, 100); });
    }
  });
  try {
    await until('the heads are given up', () => gathered.open === 0);
    await bears();
    assert.ok(openDescriptors(fleet.sidecars.get('app1') as Daemon) < MOST_DESCRIPTORS);
  } finally {
    gathered.leave();
  }
});

test('empty lines without end are ended by the time limit of the configuration', async () => {
  await freshSides();
  const gathered = await Crowd.gather(callers(), 50, async (client, index) => {
    if (index % 2 === 0) {
      await client.write(`${headOf('GET', '/line/x')}\r\n`);
      await client.answered();
    }
    while (!client.isClosed) {
      await client.write('\r\n');
      await new Promise((settle) => { setTimeout(settle, 100); });
    }
  });
  try {
    await until('the connections are ended', () => gathered.open === 0);
    await bears();
  } finally {
    gathered.leave();
  }
});

test('a head over the limit of the configuration is refused, and one inside it is served', async () => {
  await freshSides();
  const over = await crowd(1, async (client) => {
    await client.write(`${headOf('GET', '/line/x', [`X-Long: ${'y'.repeat(limits.max_header_bytes)}`])}\r\n`);
    await client.answered();
  });
  assert.is(over.clients[0]?.status, 431);
  const inside = await crowd(1, async (client) => {
    await client.write(`${headOf('GET', '/line/x', [`X-Long: ${'y'.repeat(limits.max_header_bytes - 512)}`])}\r\n`);
    await client.answered();
  });
  assert.is(inside.clients[0]?.status, 200);
});

for (const [name, path] of [['of this machine', '/line/'], ['of another machine', '/port/']] as const) {
  test(`a body as long as the limit, to an endpoint ${name}, is served`, async () => {
    await freshSides();
    const length = 64 * MIB;
    const byLength = await crowd(1, async (client) => {
      await writeAll(client, [`${headOf('POST', `${path}x?brief`, [`Content-Length: ${length}`])}\r\n`, ...plainBody(length)]);
      await client.answered();
    });
    assert.is(byLength.clients[0]?.status, 200);
    await freshSides();
    const inChunks = await crowd(1, async (client) => {
      await writeAll(client, [headOf('POST', `${path}x?brief`) + CHUNKED, ...chunks(64, MIB), LAST_CHUNK]);
      await client.answered();
    });
    assert.is(inChunks.clients[0]?.status, 200);
    assert.is(fleet.endpoints.flatMap(({ runs }) => runs).filter(({ body }) => body.length === length).length, 2);
    fleet.endpoints.forEach((endpoint) => endpoint.refresh());
  });
}

test('at an internal port: links of the right name with messages that never end', async () => {
  await freshSides();
  const piece = Buffer.alloc(MIB, 'x');
  const address = `ws://${fleet.machine('app1').host}:${PLATFORM_PORTS.internal}/`;
  const links = await Promise.all(Array.from({ length: 20 }, () => new Promise<WebSocket>((settle) => {
    const link = new WebSocket(address, { headers: { [CLUSTER_HEADER]: 'opalstair', [FORMAT_HEADER]: String(WIRE_FORMAT) }, perMessageDeflate: false });
    link.once('open', () => settle(link));
    link.once('close', () => settle(link));
    link.on('error', () => undefined);
  })));
  const sending = links.map(async (link) => {
    const closed = new Promise<void>((settle) => { link.once('close', () => settle()); });
    for (let sent = 0; sent < 16 && link.readyState === WebSocket.OPEN; sent += 1) {
      await Promise.race([closed, new Promise<void>((settle) => { link.send(piece, { fin: false }, () => settle()); })]);
    }
  });
  try {
    await Promise.all(sending);
    await bears();
  } finally {
    links.forEach((link) => link.terminate());
  }
});

test('at the operators\' door: bodies in chunks of one byte that never end', async () => {
  await fresh([...fleet.directories.values()]);
  await crowd(20, (client) => writeAll(client, [headOf('POST', '/-/configuration/replace', ['Base-Version: 1']) + CHUNKED, ...chunks(MIB, 1)]), true, operators());
  await until('the configuration read back', () => fleet.read().then(({ status }) => status === 200));
});

test('at the operators\' door: long bodies that stop short', async () => {
  await fresh([...fleet.directories.values()]);
  await crowd(30, (client) => writeAll(client, [`${headOf('POST', '/-/configuration/replace', ['Base-Version: 1', `Content-Length: ${16 * MIB}`])}\r\n`, ...plainBody(15 * MIB)]), true, operators());
  await until('the configuration read back', () => fleet.read().then(({ status }) => status === 200));
});

test('at the operators\' door: whole bodies of millions of small values', async () => {
  await fresh([...fleet.directories.values()]);
  const body = Buffer.from(`{"version":2,"routes":[${'{},'.repeat(2 * MIB)}{}]}`);
  await crowd(8, async (client) => {
    await writeAll(client, [`${headOf('POST', '/-/configuration/replace', ['Base-Version: 1', 'Content-Type: application/json', `Content-Length: ${body.length}`])}\r\n`, body]);
    await client.answered();
  }, true, operators());
  await until('the configuration read back', () => fleet.read().then(({ status }) => status === 200));
});

run();

const { test: fewTest, before: fewBefore, after: fewAfter, run: fewRun } = suite('crowds, few descriptors');
const FEW = 150;
let small: PlatformFleet;

fewBefore(async () => {
  small = await PlatformFleet.start({ services: ['line'], limits: { ...MACHINE_LIMITS, file_descriptors: FEW }, isConfined: true });
  await small.enforce(0, configurationOf(1, [routeOf('line', '/line/')]));
  await small.endpoint('app1');
  await small.listed('line', small.endpoints);
});
fewAfter(() => small.end());

fewTest('connections that say nothing and come again, twice as many as there are descriptors', async () => {
  for (const door of [{ host: small.machine('app1').host, port: PLATFORM_PORTS.outbound }, { host: small.machine('core1').host, port: PLATFORM_PORTS.control }]) {
    const gathered = await Crowd.gather(door, 2 * FEW, () => Promise.resolve());
    const coming = gathered.keepComing(door);
    try {
      for (let round = 0; round < 5; round += 1) await until('an ordinary request answered', () => small.request<PlatformTold>('app1', 'GET', '/line/x').then(({ status }) => status === 200, () => false));
      assert.is((await small.read()).status, 200);
    } finally {
      gathered.leave();
      await coming;
    }
  }
  assert.ok(small.daemons().every((daemon) => daemon.isRunning));
});

fewRun();
