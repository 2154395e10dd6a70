import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { Daemon } from '../src/fleet/daemon.js';
import { callJson, freeBlock, PORTS, until } from '../src/fleet/fleet.js';
import { suite } from './harness.js';
import { lineManifest } from './parts.js';

const { test, run } = suite('founding');

/** The time within which service must be back after a loss that is to be borne, in milliseconds. */
const RECOVERY_MS = 15_000;
const CORES = [1, 2, 3] as const;

/** The processes of three core machines that have never run before. */
class FreshCore {
  readonly daemons: readonly (readonly Daemon[])[];

  private constructor(private readonly block: string, private readonly folder: string) {
    const seeds = CORES.flatMap((number) => ['--seed', `${block}.${number}:${PORTS.ratebookMember}`]);
    this.daemons = CORES.map((number) => {
      const host = `${block}.${number}`;
      const place = ['--node', `core${number}`, '--zone', 'zone1', '--host', host, '--cluster', block, ...seeds];
      return [new Daemon('ratebook', [...place, '--data-folder', join(folder, `core${number}`)], `${host}:${PORTS.ratebookAdmin}`), new Daemon('directory', place, `${host}:${PORTS.directoryAdmin}`)];
    });
  }

  static async make(): Promise<FreshCore> {
    return new FreshCore(await freeBlock(), mkdtempSync(join(tmpdir(), 'opalstair-founding-')));
  }

  /** Pushes the first manifest; the status of the answer, 0 when none came. */
  push(): Promise<number> {
    return callJson('PUT', `http://${this.block}.1:${PORTS.directoryAdmin}/v1/manifest`, { base: 0, manifest: lineManifest('first') }).then(({ status }) => status, () => 0);
  }

  async end(): Promise<void> {
    await Promise.all(this.daemons.flat().map((daemon) => daemon.end('SIGKILL')));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

// Guards against a first start that waits for a core machine which was lost in its first second and does not come back.
test('a core machine that is lost as soon as it listens holds up no change', async () => {
  const core = await FreshCore.make();
  try {
    const [, , lost = []] = core.daemons;
    await Promise.all(core.daemons.flat().map((daemon) => daemon.start()));
    await Promise.all(lost.map((daemon) => daemon.end('SIGKILL')));
    const lostAt = performance.now();
    const statuses = new Set<number>();
    await until('a change is taken, or the time is up', async () => {
      statuses.add(await core.push());
      return statuses.has(200) || performance.now() - lostAt > RECOVERY_MS;
    });
    assert.ok(statuses.has(200), `only ${[...statuses].join()} within ${RECOVERY_MS} ms`);
  } finally {
    await core.end();
  }
});

// The same without the loss: what the test above asks for is possible.
test('three core machines that start for the first time take a change', async () => {
  const core = await FreshCore.make();
  try {
    await Promise.all(core.daemons.flat().map((daemon) => daemon.start()));
    await until('a change is taken', async () => (await core.push()) === 200);
  } finally {
    await core.end();
  }
});

run();
