import { existsSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { Chance } from './chance.js';
import { check, type OutageLog } from './checker.js';
import { FAULTS, FaultMaker, MOVING_PREFIX, PLANNED, type FaultName } from './faults.js';
import { callJson, Fleet } from './fleet.js';
import { homes, type HomeName } from './homes.js';
import { Load } from './load.js';
import { VersionProbe } from './versionProbe.js';
import { Watch } from './watch.js';
import { Manifest } from '../version/manifest.js';

const HELP = `npm run soak: a home's fleet under load and faults, joined into one verdict per line of what must never happen

  --home rosario|glenmorven   (default rosario)
  --seconds N                 how long (default 60)
  --seed N                    the order of faults (default 1)
  --rate N                    orders a second (default the home's)
  --faults all|none|planned|A,B,...  which faults (default all): ${FAULTS.join(', ')}
  --former DIR                start from the programs of another build (its dist/src/programs) and roll every
                              process to this one, one by one, instead of --seconds
  --out FILE                  keep the counts as JSON
  --help

exit codes: 0 nothing happened that must not, 1 something did, 2 wrong usage
`;
const usage = (line: string): never => {
  process.stderr.write(`soak: ${line}\n`);
  process.exit(2);
};
const parsed = (() => {
  try {
    const text = (fallback: string): { readonly type: 'string'; readonly default: string } => ({ type: 'string', default: fallback });
    return parseArgs({ strict: true, options: { home: text('rosario'), seconds: text('60'), seed: text('1'), rate: { type: 'string' }, faults: text('all'), former: { type: 'string' }, out: { type: 'string' }, help: { type: 'boolean' } } }).values;
  } catch (error) {
    return usage((error as Error).message);
  }
})();
if (parsed.help === true) {
  process.stdout.write(HELP);
  process.exit(0);
}
const number = (name: 'seconds' | 'seed' | 'rate', given: string): number => (/^\d{1,9}$/.test(given) ? Number(given) : usage(`--${name} must be a whole number, not ${given}`));
if (!(parsed.home in homes)) usage(`no such home: ${parsed.home}`);
const home = homes[parsed.home as HomeName];
const [seconds, seed] = [number('seconds', parsed.seconds), number('seed', parsed.seed)];
const rate = parsed.rate === undefined ? home.ordersPerSecond : number('rate', parsed.rate);
const wanted = parsed.faults === 'all' ? FAULTS : parsed.faults === 'none' ? [] : parsed.faults === 'planned' ? PLANNED : parsed.faults.split(',');
const stranger = wanted.find((fault) => !(FAULTS as readonly string[]).includes(fault));
if (stranger !== undefined) usage(`no such fault: ${stranger}`);
const faults = wanted as readonly FaultName[];

if (parsed.former !== undefined && !existsSync(join(parsed.former, 'switchboard.js'))) usage(`no programs in ${parsed.former}`);

const chance = new Chance(seed);
const fleet = await Fleet.start({ ...(parsed.former === undefined ? {} : { programs: resolve(parsed.former) }), switchboards: home.machines, zones: home.zones, relayed: faults.some((fault) => /cut|split|lose-core/.test(fault)), flags: { directory: ['--probe-every-ms', '1000'] } });
const maker = new FaultMaker(fleet, home, new Chance(seed + 1));
await maker.push(1, [home.manifest]);
await fleet.inForce(1);
await fleet.staff(home);
const traffic = { ...home, manifest: { ...home.manifest, bindings: [...home.manifest.bindings, { id: 'moving', service: '', prefix: MOVING_PREFIX }] } };
const load = new Load(fleet, traffic, new Chance(seed + 2), rate, () => maker.sound());
const watch = new Watch(fleet);
const probe = new VersionProbe(fleet, home, () => maker.changes);
watch.start();
load.start();
probe.start();
if (parsed.former !== undefined) await fleet.upgrade();
const caused: ReadonlyMap<FaultName, number> = parsed.former === undefined ? await maker.causeAny(faults, seconds, chance) : new Map();
await Promise.all([load.stop(), probe.stop()]);
const outages: OutageLog[] = [];
if (faults.length > 0) {
  const backAt = await maker.herd();
  const after = new Load(fleet, home, chance, 0, () => [], 'back');
  let served = false;
  for (const deadline = Date.now() + 20_000; !served && Date.now() < deadline;) {
    const tries = await Promise.all(fleet.machines.flatMap(({ name }) => home.manifest.bindings.map(({ prefix }) => after.send(name, 'GET', `${prefix}/back`))));
    served = tries.every((answer) => answer.ending === 'answered');
  }
  outages.push({ backAt, servedAt: served ? Date.now() : null });
}
watch.stop();
const readBack = await callJson<{ readonly serial: number; readonly manifest: unknown }>('GET', `${fleet.operator()}/v1/manifest`);
const runs = fleet.logs((endpoint) => endpoint.runs);
const verdicts = check({
  sent: load.sent, answers: load.answers, probes: probe.answers, runs, arrivals: fleet.logs((endpoint) => endpoint.arrivals), departures: maker.departures, changes: maker.changes, forces: watch.forces, outages, harms: maker.harms,
  readBack: readBack.status === 200 ? { serial: readBack.body.serial, content: Manifest.check(readBack.body.manifest).map((checked) => Manifest.fingerprint(checked)).unwrapOr('') } : null,
});
await fleet.end();

const tally = (keyOf: (index: number) => string, length: number): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (let index = 0; index < length; index += 1) counts[keyOf(index)] = (counts[keyOf(index)] ?? 0) + 1;
  return counts;
};
const times = load.answers.filter((answer) => answer.ending === 'answered').map((answer) => answer.endedAt - answer.sentAt).sort((one, other) => one - other);
const quantile = (part: number): number => times[Math.min(times.length - 1, Math.floor(part * times.length))] ?? 0;
const hopsOf = (service: string): { readonly firsts: number; readonly repeats: number } => watch.hops.filter((hop) => hop.service === service)
  .reduce((sum, hop) => ({ firsts: sum.firsts + hop.firsts, repeats: sum.repeats + hop.repeats }), { firsts: 0, repeats: 0 });
const counts = {
  home: parsed.home, seconds, seed, rate, orders: load.answers.length, runs: runs.length,
  endings: tally((index) => { const answer = load.answers[index]; return `${answer?.ending} ${answer?.ending === 'answered' ? answer.status : answer?.reason}`; }, load.answers.length),
  changes: tally((index) => maker.changes[index]?.outcome ?? '', maker.changes.length), departures: maker.departures.length, probes: { asked: probe.answers.length, notCurrent: probe.notCurrent }, hops: Object.fromEntries(home.services.map(({ name }) => [name, hopsOf(name)])), faults: Object.fromEntries(caused),
  milliseconds: { median: quantile(0.5), p99: quantile(0.99) }, returnMs: outages[0]?.servedAt === null || outages[0] === undefined ? null : outages[0].servedAt - outages[0].backAt,
  verdicts: verdicts.map(({ line, faults: found }) => ({ line, faults: found.length, first: found.slice(0, 5) })),
};
process.stdout.write(`${JSON.stringify(counts, null, 1)}\n\n`);
for (const { line, faults: found } of verdicts) process.stdout.write(`${found.length === 0 ? 'never happened' : `HAPPENED ${String(found.length).padStart(5)}`}  ${line}\n`);
if (parsed.out !== undefined) writeFileSync(parsed.out, `${JSON.stringify(counts, null, 1)}\n`);
process.exit(verdicts.some(({ faults: found }) => found.length > 0) ? 1 : 0);
