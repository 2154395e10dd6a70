import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import type { HollowFigures, HollowPlan, ProcessCost } from './hollowFleet.js';

const HELP = `node dist/src/fleet/hollowFit.js --against NAME FILE...: least squares over results of npm run hollow

  --against nodes|services|routes|changesAMinute|restartsAMinute
  --help

For each figure it prints the line through the values and the line through them against the square, each with the
root of the mean squared residual.
exit codes: 0 fitted, 2 wrong usage
`;

interface Line {
  readonly base: number;
  readonly slope: number;
  readonly residual: number;
}

const fit = (points: readonly (readonly [number, number])[]): Line => {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const base = meanY - slope * meanX;
  return { base, slope, residual: Math.sqrt(mean(points.map(([x, y]) => (y - base - slope * x) ** 2))) };
};

const middle = (values: readonly number[]): number => [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)] ?? 0;
const costOf = (role: ProcessCost['role'], field: 'cpuMsPerSecond' | 'rssMiB') => (run: HollowFigures): number => middle(run.processes.filter((process) => process.role === role).map((process) => process[field]));

const figures: Readonly<Record<string, (run: HollowFigures) => number>> = {
  'directory, ms/s': costOf('directory', 'cpuMsPerSecond'), 'directory, MiB': costOf('directory', 'rssMiB'), 'ratebook, ms/s': costOf('ratebook', 'cpuMsPerSecond'), 'ratebook, MiB': costOf('ratebook', 'rssMiB'),
  'node, bytes in/s': (run) => run.perNode.bytesInPerSecond, 'node, bytes out/s': (run) => run.perNode.bytesOutPerSecond, 'node, messages/s': (run) => run.perNode.messagesPerSecond,
  'start, bytes in per node': (run) => run.warmUpBytesInPerNode, 'force p99, ms': (run) => run.forceOverAll.p99Ms, 'force worst, ms': (run) => run.forceOverAll.worstMs, 'hollow process, ms/s': (run) => run.hollow.cpuMsPerSecond,
};

const { values, positionals } = parseArgs({ strict: true, allowPositionals: true, options: { against: { type: 'string', default: 'nodes' }, help: { type: 'boolean' } } });
if (values.help === true) {
  process.stdout.write(HELP);
  process.exit(0);
}
const runs = positionals.map((file) => JSON.parse(readFileSync(file, 'utf8')) as HollowFigures);
const against = values.against as Exclude<keyof HollowPlan, 'isStorm'>;
if (runs.length < 2 || runs.some((run) => typeof run.plan[against] !== 'number')) {
  process.stderr.write('hollowFit: two results at least, and --against one of their plan\'s numbers\n');
  process.exit(2);
}
const shown = (value: number): string => value.toPrecision(4);
process.stdout.write(`| against ${against} | ${runs.map((run) => run.plan[against]).join(' / ')} | base + slope × n (residual) | base + slope × n² (residual) |\n| --- | --- | --- | --- |\n`);
for (const [name, pick] of Object.entries(figures)) {
  const points = runs.map((run) => [run.plan[against], pick(run)] as const);
  const line = fit(points);
  const square = fit(points.map(([x, y]) => [x * x, y] as const));
  process.stdout.write(`| ${name} | ${points.map(([, y]) => Math.round(y)).join(' / ')} | ${shown(line.base)} + ${shown(line.slope)} × n (${shown(line.residual)}) | ${shown(square.base)} + ${shown(square.slope)} × n² (${shown(square.residual)}) |\n`);
}
