import { existsSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { Agent, request } from 'undici';
import { Chance } from './chance.js';
import { callJson, Fleet, until } from './fleet.js';
import { homes } from './homes.js';
import { Load } from './load.js';

const HELP = `npm run measure: paired measurements on one machine, several rounds each

  --what latency|force|mask|recovery|members|death|scale|frozen
  --rounds N     (default 7)
  --programs DIR another build's programs (its dist/src/programs), to compare with
  --out FILE     raw results as JSON
  --help

exit codes: 0 measured, 2 wrong usage
`;
type Series = Readonly<Record<string, readonly number[]>>;
const manifestOf = (mark: number): object => ({
  services: [{ name: 'line' }], bindings: [{ id: 'lines', service: 'line', prefix: '/line' }, { id: `mark-${mark}`, service: 'line', prefix: `/mark/${mark}` }],
});
const median = (values: readonly number[]): number => [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)] ?? 0;
const build: { programs?: string } = {};
const withFleet = async <T>(switchboards: number, body: (fleet: Fleet) => Promise<T>, flags: Parameters<typeof Fleet.start>[0]['flags'] = {}): Promise<T> => {
  const fleet = await Fleet.start({ switchboards, zones: Math.min(4, switchboards), flags, ...build });
  try {
    await fleet.inForce(await fleet.push(manifestOf(0)));
    return await body(fleet);
  } finally {
    await fleet.end();
  }
};
const timed = async (work: () => Promise<unknown>): Promise<number> => {
  const start = performance.now();
  await work();
  return performance.now() - start;
};

/** Median time of an order, one at a time: to the endpoint itself, and through opalstair. */
const latency = (rounds: number): Promise<Series> => withFleet(2, async (fleet) => {
  const endpoint = await fleet.endpoint('app1', 'line', 'line-1', { slots: 50 });
  await fleet.listed('line', ['line-1']);
  const kept = new Agent({ keepAliveTimeout: 10_000, connections: 1 });
  const fresh = new Agent({ pipelining: 0 });
  const variants = {
    'direct, kept alive': [`http://${endpoint.address}/line/1`, kept], 'direct, fresh connection': [`http://${endpoint.address}/line/1`, fresh],
    'through the host alone': [fleet.orderUrl('app1', '/line/1'), kept], 'through caller\'s switchboard and host': [fleet.orderUrl('app2', '/line/1'), kept],
  } as const;
  const series: Record<string, number[]> = {};
  for (let round = 0; round <= rounds; round += 1) {
    for (const [name, [url, dispatcher]] of Object.entries(variants)) {
      const times: number[] = [];
      for (let count = 0; count < 300; count += 1) times.push(await timed(async () => (await request(url, { dispatcher })).body.dump()));
      if (round > 0) series[name] = [...(series[name] ?? []), median(times)];
    }
  }
  await Promise.all([kept.destroy(), fresh.destroy()]);
  return series;
});

/** From the acknowledgement of a manifest to its being in force on every node. */
const force = (rounds: number): Promise<Series> => withFleet(12, async (fleet) => {
  const series: { push: number[]; everywhere: number[] } = { push: [], everywhere: [] };
  for (let round = 1; round <= rounds * 10; round += 1) {
    const base = (await callJson<{ readonly serial: number }>('GET', `${fleet.operator()}/v1/manifest`)).body.serial;
    const heard = [...fleet.switchboards.values()].map((daemon) => daemon.next('manifest-in-force'));
    const start = performance.now();
    await callJson('PUT', `${fleet.operator()}/v1/manifest`, { base, manifest: manifestOf(round) });
    const acknowledged = performance.now();
    await Promise.all(heard);
    series.push.push(acknowledged - start);
    series.everywhere.push(Math.max(0, performance.now() - acknowledged));
  }
  return { 'push to acknowledgement': series.push, 'acknowledgement to in force on 12 nodes': series.everywhere };
});

/** From an endpoint's first failure to its mask at every caller, and from its recovery to the last unmasking. */
const mask = (rounds: number): Promise<Series> => withFleet(4, async (fleet) => {
  const [bad] = await Promise.all([1, 2, 3, 4].map((index) => fleet.endpoint(`app${index}`, 'line', `line-${index}`)));
  await fleet.listed('line', ['line-1', 'line-2', 'line-3', 'line-4']);
  const names = [...fleet.switchboards.keys()];
  const isMasked = async (): Promise<readonly boolean[]> => Promise.all(names.map(async (name) => {
    const answer = await callJson<{ readonly mask: { readonly entries: readonly unknown[] } | null }>('GET', `http://${fleet.switchboards.get(name)?.adminAddress}/v1/services/line`);
    return (answer.body.mask?.entries.length ?? 0) > 0;
  }));
  const series: { masked: number[]; unmasked: number[] } = { masked: [], unmasked: [] };
  for (let round = 0; round < rounds && bad !== undefined; round += 1) {
    bad.behaviour = () => 'fails';
    series.masked.push(await timed(() => until('the mask everywhere', async () => {
      await Promise.all(names.map((name) => callJson('POST', fleet.orderUrl(name, '/line/1'), {})));
      return (await isMasked()).every(Boolean);
    })));
    bad.behaviour = () => 'serves';
    series.unmasked.push(await timed(() => until('no mask', async () => (await isMasked()).every((one) => !one))));
  }
  return { 'first failure to mask at all callers': series.masked, 'recovery to no mask at any caller (probe every 1 s)': series.unmasked };
}, { directory: ['--probe-every-ms', '1000'] });

/** From the kill of a process to the next success of what depended on it, restart included where it is needed. */
const recovery = (rounds: number): Promise<Series> => withFleet(3, async (fleet) => {
  await fleet.endpoint('app1', 'line', 'line-1');
  await fleet.listed('line', ['line-1']);
  const series: Record<string, number[]> = {};
  const note = async (name: string, work: () => Promise<unknown>): Promise<void> => { series[name] = [...(series[name] ?? []), await timed(work)]; };
  for (let round = 1; round <= rounds; round += 1) {
    for (const core of ['core2', 'core3']) {
      const book = fleet.ratebooks.get(core);
      await book?.end('SIGKILL');
      await note('a ratebook killed: next acknowledged change', () => until('a change', () => fleet.push(manifestOf(round * 10)).then(() => true, () => null)));
      await book?.start();
      await fleet.ready(book as never);
    }
    const directory = fleet.directories.get('core3');
    await directory?.end('SIGKILL');
    await note('a directory killed: next manifest in force everywhere', async () => fleet.inForce(await fleet.push(manifestOf(round * 10 + 1))));
    await directory?.start();
    await fleet.ready(directory as never);
    const host = fleet.switchboards.get('app1');
    await host?.end('SIGKILL');
    await note('a switchboard killed and started: its endpoint serves others again', async () => {
      await host?.start();
      await until('an answer', async () => (await callJson('POST', fleet.orderUrl('app2', '/line/1'), {})).status === 200);
    });
    await Promise.all(fleet.daemons().map((daemon) => daemon.end('SIGKILL')));
    await note('every process killed and started: an order and a change succeed', async () => {
      await Promise.all(fleet.daemons().map((daemon) => daemon.start()));
      await until('an answer', async () => callJson('POST', fleet.orderUrl('app2', '/line/1'), {}).then((answer) => answer.status === 200, () => false));
      await until('a change', () => fleet.push(manifestOf(round * 10 + 2)).then(() => true, () => null));
    });
    await fleet.listed('line', ['line-1']);
  }
  return series;
});

/** From a switchboard's kill to its removal from every other's list, while orders flow; and how many sound ones were suspected. */
const members = (rounds: number): Promise<Series> => withFleet(12, async (fleet) => {
  await Promise.all([1, 2, 3, 4].map((index) => fleet.endpoint(`app${index}`, 'line', `line-${index}`)));
  const names = [...fleet.switchboards.keys()].filter((name) => name !== 'app12');
  const load = new Load(fleet, { ...homes.rosario, manifest: { services: [{ name: 'line' }], bindings: [{ id: 'lines', service: 'line', prefix: '/line' }] } }, new Chance(5), 500, () => names);
  const everyoneSees = (isThere: boolean): Promise<unknown> => Promise.all(names.map((name) => until(`app12 at ${name}: ${isThere}`, async () => {
    const answer = await callJson<{ readonly members: readonly { readonly name: string }[] }>('GET', `http://${fleet.switchboards.get(name)?.adminAddress}/v1/members`);
    return answer.body.members.some((member) => member.name === 'app12') === isThere;
  })));
  const series: { removed: number[]; refutations: number[] } = { removed: [], refutations: [] };
  load.start();
  await everyoneSees(true);
  for (let round = 0; round < rounds; round += 1) {
    const victim = fleet.switchboards.get('app12');
    await victim?.end('SIGKILL');
    series.removed.push(await timed(() => everyoneSees(false)));
    const counts = await Promise.all(names.map(async (name) => Number(/^opalstair_member_refutations (\d+)/m.exec((await callJson<string>('GET', `http://${fleet.switchboards.get(name)?.adminAddress}/metrics`)).body)?.[1] ?? 0)));
    series.refutations.push(counts.reduce((sum, count) => sum + count, 0));
    await victim?.start();
    await everyoneSees(true);
  }
  await load.stop();
  return { 'kill to removal at 11 others, 500 orders a second': series.removed, 'refutations so far, all nodes': series.refutations };
});

/** Orders turned away, of 400 a second, after one endpoint of four dies without a word. */
const death = (rounds: number): Promise<Series> => withFleet(4, async (fleet) => {
  const names = [...fleet.switchboards.keys()];
  const ids = names.map((_, index) => `line-${index + 1}`);
  await Promise.all(names.map((name, index) => fleet.endpoint(name, 'line', ids[index] ?? '')));
  const series: { turnedAway: number[]; unknown: number[] } = { turnedAway: [], unknown: [] };
  for (let round = 0; round < rounds; round += 1) {
    await fleet.listed('line', ids);
    const load = new Load(fleet, { ...homes.rosario, manifest: { services: [{ name: 'line' }], bindings: [{ id: 'lines', service: 'line', prefix: '/line' }] } }, new Chance(round), 400, () => names);
    load.start();
    await until('traffic', () => load.answers.length > 400);
    await fleet.endpoints.find((endpoint) => endpoint.place.id === 'line-1' && endpoint.isAlive)?.die();
    await fleet.listed('line', ids.slice(1));
    await load.stop();
    const count = (ending: string): number => load.answers.filter((answer) => answer.ending === ending).length;
    series.turnedAway.push(count('not-run'));
    series.unknown.push(count('unknown') + count('lost'));
    await fleet.endpoint(names[0] ?? '', 'line', 'line-1');
  }
  return { 'turned away per silent death': series.turnedAway, 'unknown per silent death': series.unknown };
});

/** What an idle process costs as the fleet grows: processor time a second, and memory. */
const scale = async (rounds: number): Promise<Series> => {
  const series: Record<string, number[]> = {};
  const cost = async (address: string): Promise<readonly [number, number]> => {
    const text = (await callJson<string>('GET', `http://${address}/metrics`)).body;
    return [Number(/^process_cpu_seconds_total (\S+)/m.exec(text)?.[1]), Number(/^process_resident_memory_bytes (\S+)/m.exec(text)?.[1])];
  };
  for (const size of [12, 24, 48]) {
    await withFleet(size, async (fleet) => {
      await Promise.all([1, 2, 3, 4].map((index) => fleet.endpoint(`app${index}`, 'line', `line-${index}`)));
      const groups = { switchboard: [...fleet.switchboards.values()], directory: [...fleet.directories.values()], ratebook: [...fleet.ratebooks.values()] };
      for (let round = 0; round < rounds; round += 1) {
        const start = performance.now();
        const before = new Map(await Promise.all(fleet.daemons().map(async (daemon) => [daemon, await cost(daemon.adminAddress)] as const)));
        await new Promise((settle) => { setTimeout(settle, 2000); });
        for (const [name, daemons] of Object.entries(groups)) {
          const grown = await Promise.all(daemons.map(async (daemon) => [(await cost(daemon.adminAddress))[0] - (before.get(daemon)?.[0] ?? 0), before.get(daemon)?.[1] ?? 0] as const));
          const seconds = (performance.now() - start) / 1000;
          const put = (what: string, value: number): void => { series[`${size} switchboards: ${name}, ${what}`] = [...(series[`${size} switchboards: ${name}, ${what}`] ?? []), value]; };
          put('% of one processor', (100 * median(grown.map(([cpu]) => cpu))) / seconds);
          put('MiB', median(grown.map(([, memory]) => memory)) / 1048576);
        }
      }
    });
  }
  return series;
};

/** From the freeze of a ratebook that owns nothing to the next acknowledged change. */
const frozen = (rounds: number): Promise<Series> => withFleet(2, async (fleet) => {
  const times: number[] = [];
  for (let round = 1; round <= rounds; round += 1) {
    const owner = await fleet.ownerOf('manifest');
    const other = fleet.cores.map((core) => core.name).filter((core) => core !== owner)[round % 2] ?? '';
    fleet.ratebooks.get(other)?.signal('SIGSTOP');
    times.push(await timed(() => until('a change', () => fleet.push(manifestOf(round), owner).then(() => true, () => null))));
    fleet.ratebooks.get(other)?.signal('SIGCONT');
    await until('a change after the thaw', () => fleet.push(manifestOf(round + 1000), owner).then(() => true, () => null));
  }
  return { 'a ratebook frozen that is not the owner: next acknowledged change': times };
});

const kinds = { frozen, latency, force, mask, recovery, members, death, scale } as const;
const usage = (line: string): never => {
  process.stderr.write(`measure: ${line}\n`);
  process.exit(2);
};
const parsed = (() => {
  try {
    return parseArgs({ strict: true, options: { what: { type: 'string', default: '' }, rounds: { type: 'string', default: '7' }, programs: { type: 'string' }, out: { type: 'string' }, help: { type: 'boolean' } } }).values;
  } catch (error) {
    return usage((error as Error).message);
  }
})();
if (parsed.help === true) {
  process.stdout.write(HELP);
  process.exit(0);
}
if (parsed.programs !== undefined && !existsSync(join(parsed.programs, 'switchboard.js'))) usage(`no programs in ${parsed.programs}`);
if (parsed.programs !== undefined) build.programs = resolve(parsed.programs);
if (!(parsed.what in kinds)) usage(`--what must be one of ${Object.keys(kinds).join(', ')}`);
if (!/^[1-9]\d{0,3}$/.test(parsed.rounds)) usage('--rounds must be a whole number');
const series = await kinds[parsed.what as keyof typeof kinds](Number(parsed.rounds));
const rows = Object.entries(series).map(([name, values]) => {
  const sorted = [...values].sort((one, other) => one - other);
  return `| ${name} | ${median(values).toFixed(2)} | ${(sorted[0] ?? 0).toFixed(2)} – ${(sorted.at(-1) ?? 0).toFixed(2)} | ${values.length} |`;
});
process.stdout.write(`| | median | spread | values |\n| --- | --- | --- | --- |\n${rows.join('\n')}\n`);
if (parsed.out !== undefined) writeFileSync(parsed.out, `${JSON.stringify({ what: parsed.what, rounds: Number(parsed.rounds), series }, null, 1)}\n`);
process.exit(0);
