import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { err, ok } from 'neverthrow';
import * as assert from 'uvu/assert';
import { manifestOf, platformPath } from '../platform/configuration.js';
import { platformSpeech } from '../platform/speech.js';
import { millisOf } from '../platform/words.js';
import { Chance } from '../src/fleet/chance.js';
import { fillTemplate } from '../src/fleet/platformFleet.js';
import type { ChangeId, DiskId, Instant, InstanceId, KeyName, OrderId, Serial, Address } from '../src/process/brands.js';
import { UnreachableDefect } from '../src/process/defect.js';
import { KeyOwner } from '../src/process/keyOwner.js';
import type { VoterLink } from '../src/process/quorum.js';
import { Register, type Grant, type RegisterState } from '../src/process/register.js';
import { CHANGES_KEPT } from '../src/version/entry.js';
import { Manifest, type Binding } from '../src/version/manifest.js';
import { Matcher } from '../src/version/matcher.js';
import { configurationOf, routeOf } from './platformParts.js';
import { suite } from './harness.js';

const { test, run } = suite('platform words');

const manifest = (routes: Parameters<typeof configurationOf>[1]): Manifest =>
  Manifest.check(manifestOf(configurationOf(1, routes) as unknown as Readonly<Record<string, unknown>>, 'text', { earn: 0.1, serviceShares: 30 }))._unsafeUnwrap();

test('a configuration says the same in the product\'s form', () => {
  const made = manifest([
    routeOf('r-1', '/a/', { host: 'Shop.Example', timeout: '2.5s', target_latency: '600ms', priority: 3, max_attempts: 40 }),
    routeOf('r-2', '/b/', { route_kind: 'non_idempotent', traffic_split: [{ service: 'line', weight: 9 }, { service: 'port', weight: 1 }] }),
  ]);
  const [one, two] = made.bindings;
  assert.equal([one?.id, one?.host, one?.prefix, one?.kind, one?.cutoffMs, one?.aimMs, one?.priority, one?.attempts, one?.split], ['r-1', 'shop.example', '/a/', 'repeatable', 2500, 600, 3, 8, [{ service: 'line', weight: 1 }]]);
  assert.equal([two?.kind, two?.split, two?.attempts], ['once', [{ service: 'line', weight: 9 }, { service: 'port', weight: 1 }], 2]);
  assert.equal(made.services, [{ name: 'line', probe: '/health', connections: 120 }, { name: 'port', probe: '/health', connections: 120 }]);
  assert.equal([made.source, made.allowance.earn, made.allowance.serviceShares], ['text', 0.1, 30]);
  assert.equal(made.limits, { headerBytes: 16_384, bodyBytes: 1_048_576, headerMs: 3000, idleMs: 15_000 });
});

test('times have a unit, and what is no time is left for the check to find', () => {
  assert.equal(['1500ms', '2.5s', '0ms', '0.5ms', '1s', '1500', 'soon', '1m', '-1s', '1e3ms', 7].map(millisOf), [1500, 2500, 0, 1, 1000, '1500', 'soon', '1m', '-1s', '1e3ms', 7]);
});

test('the path of a fault is named as the operator wrote it', () => {
  for (const [own, theirs] of [
    ['bindings[3].prefix', 'routes[3].path_prefix'], ['bindings[0].split[1].weight', 'routes[0].traffic_split[1].weight'], ['bindings[0].cutoffMs', 'routes[0].timeout'], ['bindings[0].aimMs', 'routes[0].target_latency'],
    ['bindings[0].id', 'routes[0].name'], ['services[2].probe', 'services[2].health_path'], ['limits.headerMs', 'limits.header_timeout'], ['bindings[0].attempts', 'routes[0].max_attempts'], ['bindings[0].priority', 'routes[0].priority'],
  ] as const) assert.is(platformPath(own), theirs);
});

test('of a caller its id and time are read, and what it can\'t know or say is taken out', () => {
  const raw = ['Attempt-Id', 'a1', 'Deadline-Remaining', '1500', 'CALLING-SERVICE', 'forged', 'Expected-Instance', 'forged', 'X-Own', 'yes'];
  assert.equal(platformSpeech.ofCaller(raw), { id: 'a1', leftMs: 1500 });
  assert.equal(platformSpeech.ofCaller(['Deadline-Remaining', '-5']), { id: null, leftMs: null });
  assert.equal(platformSpeech.ofCaller(['Deadline-Remaining', 'soon']), { id: null, leftMs: null });
  assert.equal(platformSpeech.onward(raw, 'cargo'), ['Attempt-Id', 'a1', 'X-Own', 'yes', 'Calling-Service', 'cargo']);
  assert.equal(platformSpeech.toEndpoint({ order: 'o' as OrderId, instance: 'i-1' as InstanceId, leftMs: 99.9 }), ['Deadline-Remaining', '99', 'Expected-Instance', 'i-1']);
  assert.equal(platformSpeech.toEndpoint({ order: 'o' as OrderId, instance: 'i-1' as InstanceId, leftMs: -3 }).slice(0, 2), ['Deadline-Remaining', '0']);
});

test('an answer is taken for what it says: whose it is, whether it vouches that nothing ran, what speaks against it', () => {
  const seal = ['Server-Seal', 's'];
  const own = ['Attempt-Id', 'a1'];
  const of = (status: number, raw: readonly string[]): readonly [boolean | null, boolean, boolean] => {
    const facts = platformSpeech.ofAnswer(status, raw, 'a1');
    return [facts.isOwn, facts.isNotRun, facts.fault !== null];
  };
  assert.equal(of(200, [...own, ...seal]), [true, false, false]);
  assert.equal(of(200, ['Attempt-Id', 'a2', ...seal]), [false, false, false]);
  assert.equal(of(200, own), [true, false, true]);
  assert.equal(of(200, seal), [false, false, false], 'a success that names nobody is nobody\'s');
  assert.equal(of(200, [...own, ...seal, 'Content-Encoding', 'gzip']), [true, false, true]);
  assert.equal(of(500, own), [true, false, false]);
  assert.equal(of(503, own), [true, false, false], 'a bare 503 vouches for nothing');
  assert.equal(of(503, [...own, 'Request-Not-Run', '1']), [true, true, false]);
  assert.equal(of(503, ['Attempt-Id', 'a2', 'Request-Not-Run', '1'])[0], false);
  assert.equal(of(421, own), [true, true, false]);
});

test('an answer of the mesh\'s own says in seconds when to come back', () => {
  const told = platformSpeech.tell({ order: 'o', status: 503, outcome: 'not-run', reason: 'full', detail: '', retryAfterMs: 150 });
  assert.equal(told.headers.slice(2), ['Retry-After', '0.150']);
  assert.not(platformSpeech.tell({ order: 'o', status: 502, outcome: 'unknown', reason: 'x', detail: '', retryAfterMs: null }).headers.includes('Retry-After'));
});

test('below a prefix that ends with a slash there must be something, be it empty', () => {
  const matcher = new Matcher(manifest([routeOf('r-1', '/a/'), routeOf('r-2', '/a/b/'), routeOf('r-3', '/', { host: 'all.example' })]));
  const idOf = (url: string, host = 'shop.example'): string => matcher.match({ host, method: 'GET', url }).match((binding) => binding.id as string, (defect) => defect.kind);
  for (const [url, id] of [['/a', 'no-binding'], ['/a/', 'r-1'], ['/a?x=/a/', 'no-binding'], ['/a/b', 'r-1'], ['/a/b/', 'r-2'], ['/a/bb/', 'r-1'], ['/ab/', 'no-binding'], ['/', 'no-binding'], ['/A/', 'no-binding']] as const) assert.is(idOf(url), id, url);
  assert.equal([idOf('/', 'all.example'), idOf('/x', 'ALL.example:80'), idOf('/a/', 'other.example')], ['r-3', 'r-3', 'no-binding']);
});

test('a draw keeps to the weights: 0 never, the edges of the random numbers included', () => {
  const drawnAt = (weights: readonly number[], at: number): string => Manifest.draw({ split: weights.map((weight, index) => ({ service: `s${index}`, weight })) } as unknown as Binding, () => at);
  assert.equal([0, 0.249, 0.25, 0.999_999_9].map((at) => drawnAt([1, 3], at)), ['s0', 's0', 's1', 's1']);
  assert.equal([0, 0.5, 0.999_999_9, 1].map((at) => drawnAt([0, 2, 0], at)), ['s1', 's1', 's1', 's1']);
  assert.is(drawnAt([5], 0.7), 's0');
  const chance = new Chance(7);
  const drawn = Array.from({ length: 10_000 }, () => drawnAt([90, 9, 1], chance.below(1_000_000) / 1_000_000));
  const counts = ['s0', 's1', 's2'].map((service) => drawn.filter((one) => one === service).length);
  assert.ok([9000, 900, 100].every((wanted, index) => Math.abs((counts[index] ?? 0) - wanted) < 100), counts.join());
});

/** An owner over three disks in memory; `dead` ones give no answer. */
const ownerOf = async (): Promise<{ readonly owner: KeyOwner; readonly change: (base: number, serial: number | undefined, id: string) => Promise<string> }> => {
  const states = new Map<string, RegisterState>();
  const grants = new Map<string, Grant | null>();
  const members = ['a', 'b', 'c'].map((id) => ({ id: id as DiskId, address: `${id}:1` as Address }));
  const link: VoterLink = {
    voters: () => ({ serial: 1 as Serial, members }),
    ask: async (voter, _key, _serial, ask) => {
      if (voter.id === 'c') return err(new UnreachableDefect('dead'));
      const step = Register.step(states.get(voter.id) ?? Register.empty, grants.get(voter.id) ?? null, ask, 0 as Instant, 0 as Instant);
      if (step.store !== null) states.set(voter.id, step.store);
      grants.set(voter.id, step.grant);
      return ok(step.reply);
    },
  };
  const owner = new KeyOwner('manifest' as KeyName, 'owner', link, { now: () => 0 as Instant }, () => Promise.resolve(true), () => undefined);
  (await owner.takeOver())._unsafeUnwrap();
  const change = async (base: number, serial: number | undefined, id: string): Promise<string> =>
    (await owner.change({ base: base as Serial, value: id, id: id as ChangeId, ...(serial === undefined ? {} : { serial: serial as Serial }) })).match(String, (defect) => (defect.kind === 'change-turned-away' ? defect.reason : defect.kind));
  return { owner, change };
};

test('a serial that the author names may leave any step, and must be above', async () => {
  const { owner, change } = await ownerOf();
  assert.equal([await change(0, 7, 'c1'), await change(7, 9, 'c2'), await change(9, 1_000_000, 'c3')], ['7', '9', '1000000']);
  assert.equal([await change(1_000_000, 1_000_000, 'c4'), await change(1_000_000, 12, 'c5'), await change(9, 1_000_001, 'c6'), await change(8, 1_000_001, 'c7')], ['not-above', 'not-above', 'stale-base', 'stale-base']);
  assert.is(await change(1_000_000, undefined, 'c8'), '1000001', 'without a name it is the next');
  const read = (await owner.read())._unsafeUnwrap();
  assert.equal([read?.serial, read?.value], [1_000_001, 'c8']);
});

test('a change sent again is acknowledged again with its serial, also after others, until it is forgotten; then it is undecided, never done twice', async () => {
  const { owner, change } = await ownerOf();
  for (let count = 1; count <= CHANGES_KEPT; count += 1) assert.is(await change((count - 1) * 3, count * 3, `c${count}`), String(count * 3));
  assert.equal([await change(0, 3, 'c1'), await change((CHANGES_KEPT - 1) * 3, CHANGES_KEPT * 3, `c${CHANGES_KEPT}`)], ['3', String(CHANGES_KEPT * 3)]);
  const highest = CHANGES_KEPT * 3 + 1;
  assert.is(await change(CHANGES_KEPT * 3, highest, 'one-more'), String(highest));
  assert.equal([await change(0, 3, 'c1'), await change(3, 6, 'c2')], ['change-undecided', '6']);
  assert.is((await owner.read())._unsafeUnwrap()?.serial, highest);
});

test('a template\'s gaps are filled bare or as JSON, and one that nothing fills is found', () => {
  const fields = { a: { b: 'x"y', c: [3, 4] }, d: false };
  assert.is(fillTemplate('{{a.b}} {{a.b|json}} {{a.c|json}} {{a.c.1}} {{d|json}} {d}', fields)._unsafeUnwrap(), 'x"y "x\\"y" [3,4] 4 false {d}');
  assert.match(fillTemplate('{{a.e}} {{f}}', fields)._unsafeUnwrapErr().describe(), /a\.e, f/);
  const deploy = join(dirname(fileURLToPath(import.meta.url)), '..', '..', 'deploy');
  for (const name of ['directory', 'ratebook', 'switchboard']) assert.ok(fillTemplate(readFileSync(join(deploy, `${name}.json`), 'utf8'), fields).isErr(), name);
});

run();
