import { parseArgs } from 'node:util';
import { Fleet, PORTS } from './fleet.js';
import { homes, type HomeName } from './homes.js';

const HELP = `npm run fleet: a whole mesh on this machine, each "machine" a loopback address

  --home rosario|glenmorven   whose sizes to take (default rosario)
  --empty                     no manifest and no endpoints
  --logs                      show the processes' log lines
  --help

It runs until it gets SIGINT or SIGTERM.
`;

const usage = (line: string): never => {
  process.stderr.write(`fleet: ${line}\n`);
  process.exit(2);
};

const parsed = (() => {
  try {
    return parseArgs({ strict: true, options: { home: { type: 'string', default: 'rosario' }, empty: { type: 'boolean' }, logs: { type: 'boolean' }, help: { type: 'boolean' } } }).values;
  } catch (error) {
    return usage((error as Error).message);
  }
})();
if (parsed.help === true) {
  process.stdout.write(HELP);
  process.exit(0);
}
if (!(parsed.home in homes)) usage(`no such home: ${parsed.home}`);
const home = homes[parsed.home as HomeName];

const fleet = await Fleet.start({ switchboards: home.machines, zones: home.zones }, parsed.logs === true ? (line) => process.stdout.write(`${line}\n`) : undefined);
let ending = false;
const end = (): void => {
  if (ending) return;
  ending = true;
  void fleet.end().then(() => process.exit(0));
};
process.on('SIGINT', end);
process.on('SIGTERM', end);
if (parsed.empty !== true) await fleet.furnish(home);
const [firstMachine] = fleet.machines;
process.stdout.write([
  `${parsed.home}: ${fleet.machines.length} application machines in ${home.zones} zones, ${fleet.cores.length} core machines; data in ${fleet.folder}`,
  `operators:  node dist/src/programs/opalctl.js --directory ${fleet.cores[0]?.host}:${PORTS.directoryAdmin} fleet`,
  `callers:    curl -i http://${firstMachine?.host}:${PORTS.order}${home.manifest.bindings[0]?.prefix ?? '/'}/1`,
  'stop with Ctrl-C', '',
].join('\n'));
