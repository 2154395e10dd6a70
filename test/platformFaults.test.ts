import * as assert from 'uvu/assert';
import { Chance } from '../src/fleet/chance.js';
import type { JsonAnswer } from '../src/fleet/fleet.js';
import type { PlatformBehaviour, PlatformEndpoint, PlatformRecord } from '../src/fleet/platformEndpoint.js';
import { PlatformFleet, type ClientRequest } from '../src/fleet/platformFleet.js';
import { configurationOf, routeOf, type PlatformTold } from './platformParts.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('platform faults');

let fleet: PlatformFleet;
let endpoints: readonly PlatformEndpoint[] = [];
/** Statuses by which a caller is told that its request has not run and never will. */
const PROMISES: readonly number[] = [408, 421, 429, 503];

const ask = (method: string, path: string, given: ClientRequest = {}): Promise<JsonAnswer<PlatformTold>> => fleet.request<PlatformTold>('app3', method, path, given);
const runs = (): readonly PlatformRecord[] => endpoints.flatMap((endpoint) => endpoint.runs);
const arrivals = (): readonly PlatformRecord[] => endpoints.flatMap((endpoint) => endpoint.arrivals);
const behave = (behaviour: () => PlatformBehaviour): void => {
  for (const endpoint of endpoints) {
    endpoint.refresh();
    endpoint.behaviour = behaviour;
  }
};
/** The first request that comes gets this, those after it are served. */
const atFirst = (behaviour: PlatformBehaviour): void => {
  let count = 0;
  behave(() => {
    count += 1;
    return count === 1 ? behaviour : 'serves';
  });
};
const savedFor = async (route: string, path: string): Promise<void> => {
  behave(() => 'serves');
  await fleet.saved('app3', route, () => ask('GET', path));
};

before(async () => {
  fleet = await PlatformFleet.start({ services: ['line', 'line', 'line'] });
  await fleet.enforce(0, configurationOf(1, [
    routeOf('r-again', '/again/'), routeOf('r-single', '/single/', { max_attempts: 1 }), routeOf('r-once', '/once/', { route_kind: 'non_idempotent', max_attempts: 3 }),
  ], ['line']));
  endpoints = await Promise.all(['app1', 'app2', 'app3'].map((machine) => fleet.endpoint(machine)));
  await fleet.listed('line', endpoints);
});
after(() => fleet.end());
restore(() => fleet.restore(endpoints));

const broken = ['cutOff', 'answerLost', 'resetAfterRun', 'garbage', 'noSeal', 'otherId', 'encoded', 'dropsUnread', 'silent'] as const;
for (const behaviour of broken) {
  test(`a request that can't be repeated, at an endpoint with ${behaviour}, comes to one endpoint once and is promised nothing`, async () => {
    await savedFor('r-once', '/once/0');
    behave(() => behaviour);
    const answer = await ask('POST', '/once/1', { id: `once-${behaviour}`, leftMs: 600, body: { wish: 1 } });
    assert.is(arrivals().length, 1);
    assert.ok(answer.status === 502 || answer.status === 504, String(answer.status));
    assert.is(answer.headers['server-seal'], undefined);
  });
}

for (const behaviour of [...broken.filter((one) => one !== 'silent'), 'fails', 'refuses'] as const) {
  test(`a request that may be repeated goes on from an endpoint with ${behaviour} to another`, async () => {
    await savedFor('r-again', '/again/0');
    atFirst(behaviour);
    const answer = await ask('GET', '/again/1', { id: `again-${behaviour}` });
    assert.equal([answer.status, answer.body.id, answer.headers['attempt-id']], [200, `again-${behaviour}`, `again-${behaviour}`]);
    assert.equal([arrivals().length, new Set(arrivals().map((record) => record.instance)).size], [2, 2]);
  });
}

for (const behaviour of ['answerLost', 'fails', 'refuses'] as const) {
  test(`no more endpoints than max_attempts are tried when all have ${behaviour}`, async () => {
    for (const [route, most] of [['r-again', 2], ['r-single', 1]] as const) {
      const path = `/${route.slice(2)}/`;
      await savedFor(route, `${path}0`);
      behave(() => behaviour);
      const answer = await ask('GET', `${path}1`);
      assert.equal([arrivals().length, new Set(arrivals().map((record) => record.instance)).size], [most, most], route);
      assert.is(answer.status, { answerLost: 502, fails: 500, refuses: 503 }[behaviour], route);
    }
  });
}

test('the endpoint\'s own failure of a request that can\'t be repeated is given back as it is', async () => {
  behave(() => 'fails');
  const answer = await ask('POST', '/once/1', { body: {} });
  assert.equal([answer.status, runs().length, answer.body.instance], [500, 1, runs()[0]?.instance]);
});

test('bytes after a whole answer belong to no request: the answer or none is given, and the next ones get their own', async () => {
  behave(() => 'extraAtOnce');
  for (let count = 0; count < 12; count += 1) {
    const answer = await ask('POST', '/once/1', { id: `extra-${count}`, body: {} });
    if (answer.status === 200) assert.equal([answer.body.id, answer.headers['attempt-id']], [`extra-${count}`, `extra-${count}`]);
    else assert.not(PROMISES.includes(answer.status), String(answer.status));
  }
  assert.equal(runs().map((record) => record.id).sort(), Array.from({ length: 12 }, (_, count) => `extra-${count}`).sort());
});

test('an endpoint that refuses is passed over also by a request that can\'t be repeated; when all refuse, it gets a promise and a time to come back', async () => {
  atFirst('refuses');
  const served = await ask('POST', '/once/1', { body: {} });
  assert.equal([served.status, runs().length, arrivals().length], [200, 1, 2]);
  behave(() => 'refuses');
  const refused = await ask('POST', '/once/1', { body: {} });
  assert.equal([refused.status, runs().length], [503, 0]);
  assert.ok(arrivals().length >= 1 && arrivals().length <= 3, String(arrivals().length));
  const wait = Number(refused.headers['retry-after']);
  assert.ok(wait > 0 && wait < 3, String(refused.headers['retry-after']));
  assert.is(refused.headers['request-not-run'], undefined);
});

test('with faults of every kind at random no request that can\'t be repeated runs twice, and none that ran is promised not to have run', async () => {
  const kinds: readonly PlatformBehaviour[] = ['serves', 'serves', 'closes', 'lateSurplus', 'lateRefusal', 'refuses', 'fails', 'extraAtOnce', ...broken.filter((one) => one !== 'silent')];
  const chance = new Chance(1);
  behave(() => chance.of(kinds));
  const answers: { readonly id: string; readonly answer: JsonAnswer<PlatformTold> }[] = [];
  await Promise.all(Array.from({ length: 8 }, async (_, caller) => {
    for (let count = 0; count < 40; count += 1) {
      const id = `mixed-${caller}-${count}`;
      answers.push({ id, answer: await ask('POST', '/once/1', { id, body: { id } }) });
    }
  }));
  const ids = runs().map((record) => record.id);
  assert.is(new Set(ids).size, ids.length, 'a request ran twice');
  const promised = answers.filter(({ answer }) => PROMISES.includes(answer.status)).map(({ id }) => id);
  assert.equal(promised.filter((id) => ids.includes(id)), []);
  const served = answers.filter(({ answer }) => answer.status === 200);
  assert.equal(served.filter(({ id, answer }) => answer.body.id !== id || answer.headers['attempt-id'] !== id || answer.body.body !== JSON.stringify({ id })), []);
  assert.ok(served.length > 50 && promised.length > 0, `${served.length} served, ${promised.length} promised`);
});

run();
