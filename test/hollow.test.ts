import { ok } from 'uvu/assert';
import { HollowFleet } from '../src/fleet/hollowFleet.js';
import { suite } from './harness.js';

const { test, run } = suite('hollow nodes');

test('every change comes into force at each of 20 hollow nodes, and the costs are counted', async () => {
  const figures = await HollowFleet.measure({ nodes: 20, services: 5, routes: 10, seconds: 2, changesAMinute: 120, restartsAMinute: 60, isStorm: false });
  ok(figures.isWarm, 'every node got the whole list and the first manifest');
  ok(figures.force.length >= 2 && figures.changesFailed === 0, 'changes were acknowledged');
  ok(figures.force.every(({ missing }) => missing === 0), `no node missed a change: ${JSON.stringify(figures.force)}`);
  ok(figures.forceOverAll.worstMs < 5000, `in force within 5 s: ${figures.forceOverAll.worstMs}`);
  ok(figures.processes.length === 6 && figures.processes.every(({ cpuMsPerSecond, rssMiB, heldMiB }) => cpuMsPerSecond > 0 && rssMiB > 1 && heldMiB >= rssMiB), 'each core process cost something');
  const { bytesInPerSecond, bytesOutPerSecond, messagesPerSecond, manifestsPerSecond, listsPerSecond } = figures.perNode;
  ok([bytesInPerSecond, bytesOutPerSecond, messagesPerSecond, manifestsPerSecond, listsPerSecond].every((figure) => figure > 0), JSON.stringify(figures.perNode));
  ok(['/node/report', '/node/poll', '/node/shares', '/node/outcomes'].every((path) => (figures.messages[path] ?? 0) > 0), JSON.stringify(figures.messages));
  ok(Object.values(figures.failures).every((count) => count === 0), JSON.stringify(figures.failures));
});

run();
