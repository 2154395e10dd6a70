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
/** Several times as long as a founding takes, in milliseconds. */
const FOUNDING_MS = 4000;
const CORES = [1, 2, 3] as const;

/** The processes of three core machines that have never run before. */
class FreshCore {
  daemons: readonly (readonly Daemon[])[];

  private constructor(private readonly block: string, private readonly folder: string, isFirst: boolean | null) {
    this.daemons = this.processes(CORES, isFirst);
  }

  /** The processes of every core machine, with the seeds that are told them and whether this is the first start, which may be left unsaid. */
  processes(seedNumbers: readonly number[], isFirst: boolean | null): readonly (readonly Daemon[])[] {
    const seeds = seedNumbers.flatMap((number) => ['--seed', `${this.block}.${number}:${PORTS.ratebookMember}`]);
    return CORES.map((number) => {
      const host = `${this.block}.${number}`;
      const place = ['--node', `core${number}`, '--zone', 'zone1', '--host', host, '--cluster', this.block, ...seeds];
      const firstStart = isFirst === null ? [] : ['--may-found', String(isFirst)];
      const store = ['--data-folder', join(this.folder, `core${number}`), '--losses', '1', ...firstStart];
      return [new Daemon('ratebook', [...place, ...store], `${host}:${PORTS.ratebookAdmin}`), new Daemon('directory', place, `${host}:${PORTS.directoryAdmin}`)];
    });
  }

  /** Ends every process with its disk kept, and starts them again as one does at every later start. */
  async killAndRestart(seedNumbers: readonly number[], isFirst: boolean | null = false): Promise<void> {
    await Promise.all(this.daemons.flat().map((daemon) => daemon.end('SIGKILL')));
    this.daemons = this.processes(seedNumbers, isFirst);
    await Promise.all(this.daemons.flat().map((daemon) => daemon.start()));
  }

  /** Empties the data folder of a core machine whose ratebook does not run. */
  wipe(number: number): void {
    rmSync(join(this.folder, `core${number}`), { recursive: true, force: true });
  }

  static async make(isFirst: boolean | null): Promise<FreshCore> {
    return new FreshCore(await freeBlock(), mkdtempSync(join(tmpdir(), 'opalstair-founding-')), isFirst);
  }

  /** Pushes the first manifest; the status of the answer, 0 when none came. */
  push(): Promise<number> {
    return callJson('PUT', `http://${this.block}.1:${PORTS.directoryAdmin}/v1/manifest`, { base: 0, manifest: lineManifest('first') }).then(({ status }) => status, () => 0);
  }

  /** The disks that vote, as a directory knows them. */
  voters(): Promise<readonly string[]> {
    return callJson<{ readonly voters: { readonly members: readonly { readonly id: string }[] } | null }>('GET', `http://${this.block}.1:${PORTS.directoryAdmin}/v1/roster`)
      .then(({ body }) => body.voters?.members.map(({ id }) => id) ?? [], () => []);
  }

  async end(): Promise<void> {
    await Promise.all(this.daemons.flat().map((daemon) => daemon.end('SIGKILL')));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a body on a core that has never run before, and ends it. */
const withCore = async (body: (core: FreshCore) => Promise<void>, isFirst: boolean | null = true): Promise<void> => {
  const core = await FreshCore.make(isFirst);
  try {
    await body(core);
  } finally {
    await core.end();
  }
};

/** No change is taken for as long as a founding could take. */
const foundsNothing = async (core: FreshCore): Promise<void> => {
  const startedAt = performance.now();
  const statuses = new Set<number>();
  await until('the founders had time enough', async () => {
    statuses.add(await core.push());
    return performance.now() - startedAt > FOUNDING_MS;
  });
  assert.not(statuses.has(200), [...statuses].join());
};

// Guards against a first start that waits for a core machine which was lost in its first second and does not come back.
test('a core machine that is lost as soon as it listens holds up no change', () => withCore(async (core) => {
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
}));

// Guards against a founder that was left out and has no vote for good: the next loss would take the majority.
test('a core machine that the founding left out has a vote when it is back', () => withCore(async (core) => {
  const [, , lost = []] = core.daemons;
  await Promise.all(core.daemons.flat().filter((daemon) => !lost.includes(daemon)).map((daemon) => daemon.start()));
  await until('a change is taken', async () => (await core.push()) === 200);
  assert.is((await core.voters()).length, 2);
  await Promise.all(lost.map((daemon) => daemon.start()));
  await until('every disk has a vote', async () => (await core.voters()).length === CORES.length);
}));

// The same without the loss: what the test above asks for is possible.
test('three core machines that start for the first time take a change', () => withCore(async (core) => {
  await Promise.all(core.daemons.flat().map((daemon) => daemon.start()));
  await until('a change is taken', async () => (await core.push()) === 200);
}));

// Guards against a mesh that nobody may found any more, since all founders were killed before they had founded it.
test('core processes that are all killed during the first start found the mesh when they are back, whatever seeds they are told then', () => withCore(async (core) => {
  await Promise.all(core.daemons.flat().map((daemon) => daemon.start()));
  await core.killAndRestart([1, 1, 2]);
  await until('a change is taken', async () => (await core.push()) === 200);
}));

// Guards against empty disks that found a second history after the loss of the first.
test('disks that were never part of a first start found nothing', () => withCore(async (core) => {
  await Promise.all(core.daemons.flat().map((daemon) => daemon.start()));
  await until('a change is taken', async () => (await core.push()) === 200);
  await Promise.all(core.daemons.flat().map((daemon) => daemon.end('SIGKILL')));
  CORES.forEach((number) => core.wipe(number));
  await core.killAndRestart(CORES);
  await foundsNothing(core);
}));

// Guards against a majority of empty disks that founds a second history beside a disk that has the first, where nobody says whether this is the first start.
test('two empty disks found nothing beside a third that knows the mesh', () => withCore(async (core) => {
  await Promise.all(core.daemons.flat().map((daemon) => daemon.start()));
  await until('a change is taken', async () => (await core.push()) === 200);
  await Promise.all(core.daemons.flat().map((daemon) => daemon.end('SIGKILL')));
  core.wipe(1);
  core.wipe(2);
  await core.killAndRestart(CORES, null);
  await foundsNothing(core);
}, null));

run();
