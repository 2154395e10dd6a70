import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { err, ok, type Result } from 'neverthrow';
import { HollowFleet, type HollowPlan } from './hollowFleet.js';

const HELP = `npm run hollow: real directories and ratebooks on this machine, and nodes without traffic in one process

  --nodes N               hollow nodes, one endpoint each (default 50)
  --services N            services that the endpoints belong to (default 10)
  --routes N              bindings of the manifest (default 10)
  --seconds N             measured time (default 20)
  --changes-a-minute N    changes of the manifest (default 12)
  --restarts-a-minute N   restarts of a node (default 0)
  --storm                 all ask for lists from their first moment; else they first report, then ask in turn
  --out FILE              the JSON as a file too
  --help

It prints one JSON. Left out: membership, beats, orders, hops.
exit codes: 0 measured, 2 wrong usage
`;

const options = {
  nodes: { type: 'string', default: '50' }, services: { type: 'string', default: '10' }, routes: { type: 'string', default: '10' }, seconds: { type: 'string', default: '20' },
  'changes-a-minute': { type: 'string', default: '12' }, 'restarts-a-minute': { type: 'string', default: '0' }, storm: { type: 'boolean' }, out: { type: 'string' }, help: { type: 'boolean' },
} as const;

interface Wanted {
  readonly plan: HollowPlan;
  readonly out: string | undefined;
  readonly isHelp: boolean;
}

const read = (args: readonly string[]): Result<Wanted, string> => {
  try {
    const { values } = parseArgs({ strict: true, args: [...args], options });
    const plan: HollowPlan = {
      nodes: Number(values.nodes), services: Number(values.services), routes: Number(values.routes), seconds: Number(values.seconds),
      changesAMinute: Number(values['changes-a-minute']), restartsAMinute: Number(values['restarts-a-minute']), isStorm: values.storm === true,
    };
    const wrong = Object.entries(plan).find(([name, value]) => typeof value === 'number' && (!Number.isInteger(value) || value < (name.endsWith('AMinute') ? 0 : 1)));
    if (wrong !== undefined) return err(`${wrong[0]} must be a whole number`);
    if (plan.services > plan.nodes) return err('there must be no more services than nodes');
    return ok({ plan, out: values.out, isHelp: values.help === true });
  } catch (error) {
    return err((error as Error).message);
  }
};

const wanted = read(process.argv.slice(2));
if (wanted.isErr()) {
  process.stderr.write(`hollow: ${wanted.error}\n`);
  process.exit(2);
}
if (wanted.value.isHelp) {
  process.stdout.write(HELP);
  process.exit(0);
}
process.on('SIGTERM', () => process.exit(143));
const figures = await HollowFleet.measure(wanted.value.plan);
const text = `${JSON.stringify(figures, null, 1)}\n`;
if (wanted.value.out !== undefined) writeFileSync(wanted.value.out, text);
process.stdout.write(text);
process.exit(0);
