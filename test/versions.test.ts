import * as assert from 'uvu/assert';
import { Chance } from '../src/fleet/chance.js';
import { check } from '../src/fleet/checker.js';
import { FaultMaker, type FaultName } from '../src/fleet/faults.js';
import { callJson, Fleet, until } from '../src/fleet/fleet.js';
import type { Home } from '../src/fleet/homes.js';
import { VersionProbe } from '../src/fleet/versionProbe.js';
import { Watch } from '../src/fleet/watch.js';
import { Manifest } from '../src/version/manifest.js';
import { suite } from './harness.js';

const { test, run } = suite('versions');

const SEEDS = (process.env['VERSION_SEEDS'] ?? '3,38').split(',').map(Number);
const SECONDS = Number(process.env['VERSION_SECONDS'] ?? '40');
/** Whatever may keep a node or a core machine from hearing of a change, and the changes themselves. */
const FAULTS: readonly FaultName[] = [
  'push', 'push', 'push', 'push-rivals', 'push-storm', 'freeze-switchboard', 'kill-switchboard', 'freeze-directory', 'kill-directory', 'freeze-ratebook', 'kill-ratebook', 'split-core', 'split-core-push', 'split-core-push', 'split-core-push', 'lose-core', 'cut', 'cut-from-core', 'cut-from-all',
];
const services = [{ name: 'line', endpoints: 2 }, { name: 'cargo', endpoints: 2 }];
const home: Home = {
  machines: 6, zones: 5, slots: 9, ordersPerSecond: 0, services,
  manifest: { services: services.map(({ name }) => ({ name })), bindings: [{ id: 'lines', service: 'line', prefix: '/lines', cutoffMs: 2000 }, { id: 'cargoes', service: 'cargo', prefix: '/cargoes', cutoffMs: 2000 }] },
};

// Guards against any node that answers by a version which was replaced more than 2 s ago, whatever was frozen, killed or cut around the change.
for (const seed of SEEDS) {
  test(`no node denies, runs or sends elsewhere what a version acknowledged 2 s ago says otherwise, seed ${seed}`, async () => {
    const fleet = await Fleet.start({ switchboards: home.machines, zones: home.zones, cores: 5, relayed: true });
    try {
      const maker = new FaultMaker(fleet, home, new Chance(seed));
      await maker.push(1, [home.manifest]);
      await fleet.inForce(1);
      await fleet.staff(home);
      const watch = new Watch(fleet);
      const probe = new VersionProbe(fleet, home, () => maker.changes);
      watch.start();
      probe.start();
      const caused = await maker.causeAny(FAULTS, SECONDS, new Chance(seed + 1));
      await probe.stop();
      watch.stop();
      const read = await until('what is in force', async () => {
        const answer = await callJson<{ readonly serial: number; readonly manifest: unknown }>('GET', `${fleet.operator()}/v1/manifest`);
        return answer.status === 200 ? answer.body : null;
      });
      const content = Manifest.check(read.manifest).map((checked) => Manifest.fingerprint(checked)).unwrapOr('');
      const verdicts = check({
        sent: 0, answers: [], probes: probe.answers, runs: [], arrivals: fleet.logs((endpoint) => endpoint.arrivals), departures: [], changes: maker.changes, forces: watch.forces, outages: [], harms: maker.harms, readBack: { serial: read.serial, content },
      });
      process.stdout.write(`${probe.answers.length} probes, ${probe.notCurrent} not current, ${maker.changes.filter(({ outcome }) => outcome === 'acknowledged').length} of ${maker.changes.length} changes acknowledged; ${[...caused].map(([fault, count]) => `${fault} ${count}`).join(', ')}\n`);
      assert.equal(verdicts.flatMap(({ line, faults }) => faults.map((fault) => `${line}: ${fault}`)), []);
    } finally {
      await fleet.end();
    }
  });
}

run();
