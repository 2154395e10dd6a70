import * as assert from 'uvu/assert';
import { callJson } from '../src/fleet/fleet.js';
import { PlatformFleet, REHEARSED } from '../src/fleet/platformFleet.js';
import { configurationOf, routeOf, type PlatformTold } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, run } = suite('rehearsal');

let fleet: PlatformFleet;
const rehearsed = async (machine: string): Promise<unknown> => {
  const daemon = fleet.sidecars.get(machine);
  return (daemon?.lines.find(({ event }) => event === 'rehearsed') ?? await daemon?.next('rehearsed'))?.['orders'];
};

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'port'] });
});
after(() => fleet.end());

test('a starting switchboard takes requests of its own whole through a copy of its path', async () => {
  assert.equal(await Promise.all(['app1', 'app2'].map(rehearsed)), [REHEARSED, REHEARSED]);
});

test('a rehearsal leaves nothing behind: no request is counted, nothing is listed, and real ones go their way', async () => {
  const daemon = fleet.sidecars.get('app1');
  const metrics = await (await fetch(`http://${daemon?.adminAddress}/metrics`)).text();
  assert.not.match(metrics, /rehears/);
  const state = await callJson<{ readonly endpoints: readonly unknown[]; readonly allowance: readonly unknown[] }>('GET', `http://${daemon?.adminAddress}/v1/state`);
  assert.equal([state.body.endpoints, state.body.allowance], [[], []]);
  await fleet.enforce(0, configurationOf(1, [routeOf('r-again', '/again/')], ['line']));
  const endpoint = await fleet.endpoint('app1');
  await fleet.listed('line', [endpoint]);
  assert.is((await fleet.request<PlatformTold>('app2', 'GET', '/again/1', { id: 'real' })).status, 200);
  assert.equal(endpoint.arrivals.map(({ id }) => id), ['real']);
});

test('a rehearsal ends with the first real request', async () => {
  const daemon = fleet.sidecars.get('app2');
  await daemon?.end('SIGTERM');
  daemon?.flags.push('--rehearsed-orders', '100000');
  const heard = daemon?.next('rehearsed');
  await daemon?.start();
  await fleet.inForce(1);
  assert.is((await fleet.request<PlatformTold>('app2', 'GET', '/again/1', { id: 'first' })).status, 200);
  assert.ok(Number((await heard)?.['orders']) < 100_000);
});

run();
