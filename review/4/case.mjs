// While the successor of a core machine stands ready, another core machine freezes for 3.5 seconds and wakes again. The old machine
// is then removed as planned. Ten seconds later, with all three core machines up and calm, one of them loses its disk.
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { Mesh, Process, configuration, now, runCase, sleep, until } from '../common-2/mesh.mjs';

const CATCH_UP_MS = 4000;
const SUCCESSOR_HAS_MS = 6000;
const FREEZE_MS = 3500;
const CALM_MS = 10_000;
const GRACE_MS = 6000;
const DOWN_MS = 3000;
const READ_FOR_MS = 30_000;

await runCase(import.meta.dirname, async (record, isTroubled) => {
  const mesh = new Mesh(['orders']);
  await mesh.start();
  await mesh.serve(record, configuration(1, ['orders']));
  await sleep(3000);
  const [first, second, third] = mesh.cores;
  const fourth = { name: 'core-4', zone: first.zone, host: `${first.host.slice(0, first.host.lastIndexOf('.'))}.4`, isCore: true };
  const of = (list, machine) => list.find((one) => one.machine === machine);
  const both = (machine) => [of(mesh.ratebooks, machine), of(mesh.directories, machine)];
  const put = async (base, version) => {
    const found = await until(`version ${version}`, async () => {
      const answer = await mesh.replace(base, configuration(version, ['orders']), third);
      return answer.status === 200 ? answer : null;
    });
    record.say(`operator: version ${version} acknowledged with ${found.status}`);
  };

  record.say(`platform: ${fourth.name} is added with an empty disk, to take the place of ${first.name}`);
  mesh.ratebooks.push(new Process(mesh, 'ratebook', fourth).start(false));
  mesh.directories.push(new Process(mesh, 'directory', fourth).start(false));
  await sleep(SUCCESSOR_HAS_MS);

  if (isTroubled) {
    record.say(`platform: ${second.name} freezes; the new machine was started ${SUCCESSOR_HAS_MS} ms ago (catch_up is ${CATCH_UP_MS} ms)`);
    both(second).forEach((one) => one.signal('SIGSTOP'));
    await sleep(FREEZE_MS);
    both(second).forEach((one) => one.signal('SIGCONT'));
    record.say(`platform: ${second.name} wakes again`);
  }
  await sleep(CALM_MS);
  await put(1, 3);

  record.say(`platform: SIGTERM to ${first.name}, which is removed for good`);
  mesh.seeds = [second, third, fourth];
  for (const one of both(first)) {
    one.signal('SIGTERM');
    setTimeout(() => one.signal('SIGKILL'), GRACE_MS).unref();
  }
  await Promise.all(both(first).map((one) => one.ended));
  record.say(`platform: ${first.name} has ended; ${second.name}, ${third.name} and ${fourth.name} run`);
  await sleep(CALM_MS);
  await put(3, 5);

  record.say(`platform: ${third.name} loses power and its disk`);
  both(third).forEach((one) => one.signal('SIGKILL'));
  await Promise.all(both(third).map((one) => one.ended));
  rmSync(join(mesh.folder, third.name, 'data'), { recursive: true, force: true });
  await sleep(DOWN_MS);
  both(third).forEach((one) => one.start(false));
  record.say(`platform: ${third.name} starts again at its address, with an empty disk`);

  const reads = [];
  const from = now();
  while (now() < from + READ_FOR_MS) {
    for (const core of [second, third, fourth]) {
      const found = await mesh.read(core).catch((error) => ({ status: 0, text: error.message }));
      const version = found.status === 200 ? JSON.parse(found.text).version : null;
      reads.push({ core: core.name, status: found.status, version });
      if (reads.length % 12 === 1 || version !== null) record.say(`operator: reads at ${core.name}: ${found.status} ${version === null ? found.text.slice(0, 160) : `version ${version}`}`);
    }
    if (reads.slice(-3).every(({ version }) => version === 5) && now() - from > 8000) break;
    await sleep(500);
  }
  const next = await mesh.replace(5, configuration(7, ['orders']), second).catch((error) => ({ status: 0, text: error.message }));
  record.say(`operator: version 7 on top of 5: ${next.status} ${next.text.slice(0, 200)}`);
  const came = reads.slice(-3).some(({ version }) => version === 5);
  record.say(`reads: ${reads.length}, of them ${reads.filter(({ status }) => status === 200).length} answered; version 5, which was acknowledged, ${came ? 'comes' : 'does not come'} at the end`);
  await mesh.end();
  return !came;
});
