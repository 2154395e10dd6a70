import * as assert from 'uvu/assert';
import { callJson, Fleet, until, type JsonAnswer } from '../src/fleet/fleet.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('commit evidence');

interface Told {
  readonly endpoint?: string;
}
const CORES = ['core1', 'core2', 'core3', 'core4', 'core5'] as const;
/** How long an acknowledged manifest may take to be in force, in milliseconds. */
const IN_FORCE_MS = 2000;
/** How long after that nodes are asked, in milliseconds: longer than any of their windows. */
const ASKED_MS = 2500;
const PAUSE_MS = 20;

let fleet: Fleet;
const SERVICES = ['line', 'cargo'] as const;
const binding = (id: string, service: string): object => ({ id, service, prefix: `/${id}`, cutoffMs: 1500 });

/** Each version adds a route, drops the one that the version before added, and moves `both` to the other service. */
const manifestOf = (round: number): object => ({
  services: SERVICES.map((name) => ({ name })), bindings: [binding('both', SERVICES[round % 2] as string), binding(`only${round}`, 'line')],
});

before(async () => {
  fleet = await Fleet.start({ switchboards: 5, zones: 5, cores: 5, relayed: true });
  await fleet.inForce(await fleet.push(manifestOf(0)));
  await fleet.endpoint('app1', 'line', 'line-1');
  await fleet.endpoint('app2', 'line', 'line-2');
  await fleet.endpoint('app3', 'cargo', 'cargo-1');
  await fleet.endpoint('app4', 'cargo', 'cargo-2');
  await fleet.listed('line', ['line-1', 'line-2']);
  await fleet.listed('cargo', ['cargo-1', 'cargo-2']);
});
after(() => fleet.end());
restore(() => fleet.restore());

const pause = (length: number): Promise<void> => new Promise((settle) => { setTimeout(settle, length); });
const order = (node: string, path: string): Promise<JsonAnswer<Told>> => callJson<Told>('POST', fleet.orderUrl(node, path), {});

/** What a node answers in a round that only an earlier version allows; null when the version in force may say so. */
const staleAnswer = (round: number, path: string, { status, body }: JsonAnswer<Told>): string | null => {
  if (path === `/only${round}` && status === 404) return 'denied';
  if (path === `/only${round - 1}` && status === 200) return 'dropped route served';
  const former = SERVICES[(round - 1) % 2] as string;
  return path === '/both' && body?.endpoint?.startsWith(former) === true ? 'former service' : null;
};

/** Asks a node, from the moment on when the round's version must be in force, for all that distinguishes it. */
const askOn = async (node: string, round: number, acknowledgedAt: number): Promise<readonly string[]> => {
  const stale: string[] = [];
  const age = (): number => performance.now() - acknowledgedAt;
  await until('the version must be in force', () => age() > IN_FORCE_MS);
  while (age() < IN_FORCE_MS + ASKED_MS) {
    const sentMs = Math.round(age());
    await Promise.all([`/only${round}`, `/only${round - 1}`, '/both'].map(async (path) => {
      const said = staleAnswer(round, path, await order(node, path));
      if (said !== null) stale.push(`${node}, round ${round}: ${said} at ${sentMs} ms`);
    }));
    await pause(PAUSE_MS);
  }
  return stale;
};

// Guards against nodes that go by a directory whose last word from a majority of the ratebooks is seconds old.
test('nodes that follow a directory on a core machine cut off from the rest of the core alone never answer by a version older than one acknowledged 2 s ago', async () => {
  const stale: string[] = [];
  for (const [index, cut] of CORES.entries()) {
    const round = index + 1;
    const others = CORES.filter((core) => core !== cut);
    const owner = await fleet.ownerOf('manifest');
    if (owner === cut) continue;
    fleet.relay.split([cut], others);
    const serial = await fleet.push(manifestOf(round), owner);
    const acknowledgedAt = performance.now();
    stale.push(...(await Promise.all(fleet.machines.map(({ name }) => askOn(name, round, acknowledgedAt)))).flat());
    fleet.relay.heal();
    await fleet.inForce(serial);
  }
  assert.equal(stale, []);
});

run();
