import * as assert from 'uvu/assert';
import type { Daemon } from '../src/fleet/daemon.js';
import { callJson, until } from '../src/fleet/fleet.js';
import { PlatformFleet } from '../src/fleet/platformFleet.js';
import { configurationOf, routeOf } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('cost of starts');
const NODES = 10;
/** A node without a directory may ask neighbours once in this time. */
const TURN_MS = 250;

let fleet: PlatformFleet;
const sentBy = async (daemon: Daemon, kind: string): Promise<number> => {
  const { body } = await callJson<string>('GET', `http://${daemon.adminAddress}/metrics`);
  return Number(new RegExp(`opalstair_sent_messages_total\\{kind="${kind}"\\} (\\d+)`).exec(body)?.[1] ?? 0);
};
const sentByAll = async (kind: string): Promise<number> => (await Promise.all([...fleet.sidecars.values()].map((daemon) => sentBy(daemon, kind)))).reduce((sum, count) => sum + count, 0);

before(async () => {
  fleet = await PlatformFleet.start({ services: Array.from({ length: NODES }, () => 'line'), cores: 5 });
});
after(() => fleet.end());
restore(() => fleet.restore([]));

test('in calm times a node says in a few bytes that its list is what it was, and asks for no share that it does not need', async () => {
  await fleet.enforce(0, configurationOf(1, [routeOf('r-line', '/line/')], ['line']));
  const endpoints = await Promise.all([fleet.endpoint('app1'), fleet.endpoint('app2')]);
  await fleet.listed('line', endpoints);
  const alive = await sentByAll('/node/alive');
  await until('some words of each node', async () => await sentByAll('/node/alive') > alive + 3 * 5 * NODES);
  const [reports, shares] = [await sentByAll('/node/report'), await sentByAll('/node/shares')];
  const later = await sentByAll('/node/alive');
  await until('some more', async () => await sentByAll('/node/alive') > later + 3 * 5 * NODES);
  assert.equal([await sentByAll('/node/report') - reports, await sentByAll('/node/shares') - shares], [0, 0]);
  await fleet.listed('line', endpoints);
});

test('a directory that was restarted hears the lists whole and lists them again', async () => {
  const directory = fleet.directories.get('core1') as Daemon;
  const endpoints = fleet.endpoints.filter((endpoint) => endpoint.isAlive);
  await directory.end('SIGKILL');
  await directory.start();
  await until('its list', async () => {
    const { body } = await callJson<{ readonly endpoints: readonly { readonly instance: string }[] }>('GET', `http://${directory.adminAddress}/v1/endpoints`);
    return endpoints.length > 0 && endpoints.every(({ instance }) => body.endpoints.some((row) => row.instance === instance));
  });
});

test('nodes that start for the first time, with no directory there yet, don\'t ask one another all the time what none of them can know', async () => {
  await Promise.all([...fleet.directories.values()].map((daemon) => daemon.end('SIGKILL')));
  const sidecars = [...fleet.sidecars.values()];
  await Promise.all(sidecars.map((daemon) => daemon.end('SIGKILL')));
  const startedAt = performance.now();
  sidecars.forEach((daemon) => daemon.flags.push('--first-start', 'true'));
  await Promise.all(sidecars.map((daemon) => daemon.start()));
  await until('some questions', async () => await sentByAll('/node/digest') > 5 * NODES);
  const asked = await Promise.all(sidecars.map((daemon) => sentBy(daemon, '/node/digest')));
  const turns = Math.ceil((performance.now() - startedAt) / TURN_MS);
  assert.ok(asked.every((count) => count <= turns), `${asked.join()} questions in ${turns} turns`);
});

run();
