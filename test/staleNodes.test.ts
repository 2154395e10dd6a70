import * as assert from 'uvu/assert';
import { callJson, Fleet, until, type JsonAnswer } from '../src/fleet/fleet.js';
import { suite } from './harness.js';

const { test, before, after, restore, run } = suite('stale nodes');

interface Told {
  readonly endpoint?: string;
  readonly title?: string;
}
const CORES = ['core1', 'core2', 'core3', 'core4', 'core5'] as const;
/** How long an acknowledged manifest may take to be in force at a node that is in touch, in milliseconds. */
const IN_FORCE_MS = 2000;
/** How long each answer from the core is on its way, in milliseconds: longer than a directory that has news is waited for. */
const SLOW_LINK_MS = 900;

let fleet: Fleet;
const binding = (id: string, service: string): object => ({ id, service, prefix: `/${id}`, cutoffMs: 1500 });
const manifestOf = (...bindings: readonly object[]): object => ({ services: [{ name: 'line' }, { name: 'cargo' }], bindings });
const former = manifestOf(binding('both', 'line'), binding('old', 'line'));
const later = manifestOf(binding('both', 'cargo'), binding('new', 'cargo'));
const order = (path: string): Promise<JsonAnswer<Told>> => callJson<Told>('POST', fleet.orderUrl('app1', path), {});

before(async () => {
  fleet = await Fleet.start({ switchboards: 3, zones: 3, cores: 5, relayed: true });
  await fleet.inForce(await fleet.push(former));
  await fleet.endpoint('app2', 'line', 'line-1');
  await fleet.endpoint('app3', 'cargo', 'cargo-1');
  await fleet.listed('line', ['line-1']);
  await fleet.listed('cargo', ['cargo-1']);
});
after(() => fleet.end());
restore(() => fleet.restore());

/** What a node answers that only the former manifest allows. */
const asFormerSays = (path: string, { status, body }: JsonAnswer<Told>): boolean =>
  (path === '/new' && status === 404) || (path === '/old' && status === 200) || (path === '/both' && body?.endpoint === 'line-1');

/** Asks the node for every path until the later manifest serves; gives what only the former one allows. */
const askUntilServed = async (): Promise<readonly string[]> => {
  const broken: string[] = [];
  const start = performance.now();
  await until('the later manifest serves at the node', async () => {
    const answers = await Promise.all(['/new', '/old', '/both'].map(async (path) => [path, await order(path)] as const));
    const at = Math.round(performance.now() - start);
    broken.push(...answers.filter(([path, answer]) => asFormerSays(path, answer)).map(([path, { status }]) => `${path} ${status} at ${at} ms`));
    return answers.every(([path, { status }]) => status === (path === '/old' ? 404 : 200));
  });
  return broken;
};

const freezeOverChange = async (): Promise<void> => {
  const frozen = fleet.switchboards.get('app1');
  frozen?.signal('SIGSTOP');
  const acknowledgedAt = performance.now();
  await fleet.inForce(await fleet.push(later, 'core3'), ['app2', 'app3']);
  await until('the change must be in force everywhere', () => performance.now() - acknowledgedAt > IN_FORCE_MS);
};

const goBack = async (): Promise<void> => {
  await fleet.restore();
  await fleet.inForce(await fleet.push(former, 'core3'));
};

// Guards against a node that was frozen over a change and answers as the former manifest says once it goes on.
test('a node that was frozen over a change, with a core machine killed and one cut off, never answers as the former manifest says', async () => {
  await freezeOverChange();
  const killed = [fleet.directories.get('core1'), fleet.ratebooks.get('core1')];
  await Promise.all(killed.map((daemon) => daemon?.end('SIGKILL')));
  fleet.relay.split(['core2'], ['core3', 'core4', 'core5', 'app1', 'app2', 'app3']);
  fleet.switchboards.get('app1')?.signal('SIGCONT');
  assert.equal(await askUntilServed(), []);
  await goBack();
});

// Guards against a node on a slow link that gives every answer up as late and so never hears of a change.
test('a node to which each answer of the core takes long takes late answers all the same, and serves the later manifest', async () => {
  await freezeOverChange();
  for (const core of CORES) fleet.relay.delay(core, 'app1', SLOW_LINK_MS);
  fleet.switchboards.get('app1')?.signal('SIGCONT');
  const broken = await askUntilServed();
  fleet.relay.heal();
  assert.equal(broken, []);
  await goBack();
});

// Guards against a 404 by a node that no directory vouches for: the path may have been added meanwhile.
test('a node that hears no current directory says "not now" to a path that it does not know, and serves those it knows', async () => {
  fleet.relay.split(['app1'], [...CORES, 'app2', 'app3']);
  const local = await fleet.endpoint('app1', 'line', 'line-2');
  await until('unknown paths are not denied', async () => (await order('/new')).status === 503);
  const answer = await order('/new');
  assert.equal([answer.status, answer.body.title, Number(answer.headers['retry-after']) >= 0], [503, 'not-current', true]);
  fleet.relay.heal();
  await until('they are denied again', async () => (await order('/new')).status === 404);
  await local.signOff();
});

run();
