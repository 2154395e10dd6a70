import * as assert from 'uvu/assert';
import { err, type Result } from 'neverthrow';
import { Chance } from '../src/fleet/chance.js';
import { LossyFiles } from '../src/fleet/lossyFiles.js';
import type { InstanceId, Instant } from '../src/process/brands.js';
import { DamagedFile, DiskDefect, FolderDisk, type Disk, type StoreDefect } from '../src/process/disk.js';
import { MarkLog } from '../src/process/markLog.js';
import type { DepartureMark } from '../src/version/departureMark.js';
import { suite } from './harness.js';

const { test, run } = suite('mark log');

const SEEDS = Number(process.env['SEEDS'] ?? 100);
const QUOTA_BYTES = 1e6;
const FOLDER = '/var/data';
/** Later than any mark counts, in milliseconds. */
const LONG_MS = 61_000;

const still = { now: () => 1 as Instant };
const markOf = (name: string, state: DepartureMark['state'] = 'departed'): DepartureMark => ({ instance: name as InstanceId, state });
const namesIn = (log: MarkLog): string => log.marks().map(({ instance, state }) => `${instance} ${state}`).sort().join();
const openLog = async (disk: Disk, clock = still): Promise<MarkLog> => (await MarkLog.open(disk, clock))._unsafeUnwrap();

/** A disk that counts its writes, refuses them while it is told so, and holds them until it is let go on. */
class WatchedDisk extends FolderDisk {
  writes = 0;
  fails = false;
  gate: Promise<void> = Promise.resolve();
  damaged: readonly string[] = [];

  override async put(folder: string, name: string, bytes: Uint8Array): Promise<Result<void, StoreDefect>> {
    this.writes += 1;
    await this.gate;
    return this.fails ? err(new DiskDefect('the sync failed')) : super.put(folder, name, bytes);
  }

  override async get(folder: string, name: string): Promise<Result<Uint8Array, DiskDefect | DamagedFile>> {
    return this.damaged.includes(name) ? err(new DamagedFile(name)) : super.get(folder, name);
  }
}

// Guards against a mark that was acknowledged and is gone after a loss of power, whatever the moment.
test(`${SEEDS} seeded lives that end by a kill or a loss of power forget no mark that was kept`, async () => {
  let keptCount = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const chance = new Chance(seed);
    const files = new LossyFiles(chance);
    const kept = new Map<string, DepartureMark['state']>();
    for (let life = 0; life < 4; life += 1) {
      const gone = files.cutAfter(10 + chance.below(300));
      const live = async (log: MarkLog): Promise<void> => {
        const found = namesIn(log);
        for (const [name, state] of kept) assert.ok(found.includes(`${name} departed`) || (state === 'leaving' && found.includes(`${name} leaving`)), `seed ${seed}, life ${life}: ${name} was ${state}; found are ${found}`);
        await Promise.all([0, 1, 2].map(async (caller) => {
          for (let count = 0; files.hasPower; count += 1) {
            const mark = markOf(`i-${life}-${caller}-${Math.floor(count / 2)}`, count % 2 === 0 ? 'leaving' : 'departed');
            if (!(await log.keep(mark)) || !files.hasPower) continue;
            kept.set(mark.instance, mark.state);
            keptCount += 1;
          }
        }));
      };
      await Promise.race([openLog(new FolderDisk(FOLDER, QUOTA_BYTES, files)).then(live), gone]);
      await (chance.happens(0.3) ? files.revive() : files.restore());
    }
  }
  assert.ok(keptCount > 10 * SEEDS, `${keptCount} marks were kept`);
});

// Guards against a sync for each departure: in a release many endpoints leave at once, and a sync may take milliseconds.
test('marks that come while one is written share the next write; what a disk refuses or has no room for is not kept', async () => {
  const files = new LossyFiles(new Chance(1));
  const disk = new WatchedDisk(FOLDER, QUOTA_BYTES, files);
  const log = await openLog(disk);
  let open: () => void = () => undefined;
  disk.gate = new Promise((settle) => { open = settle; });
  const all = Promise.all(Array.from({ length: 100 }, (_, index) => log.keep(markOf(`i-${index}`))));
  open();
  assert.ok((await all).every(Boolean));
  assert.is(disk.writes, 2);
  assert.ok(await log.keep(markOf('i-3')), 'kept already');
  assert.is(disk.writes, 2);
  disk.fails = true;
  assert.not(await log.keep(markOf('i-refused')));
  disk.fails = false;
  assert.not((await openLog(new FolderDisk(FOLDER, QUOTA_BYTES, files))).marks().some(({ instance }) => instance === 'i-refused'));
  const full = await openLog(new FolderDisk(FOLDER, 10, files));
  assert.not(await full.keep(markOf('i-full')), 'the disk is full');
});

// Guards against marks and files that are kept for ever, also where a process is restarted all the time.
test('a mark is forgotten once no late heartbeat can come, by the time of one life or after many; files are few', async () => {
  const files = new LossyFiles(new Chance(2));
  const clock = { time: 0, now(): Instant { return this.time as Instant; } };
  const log = await openLog(new FolderDisk(FOLDER, QUOTA_BYTES, files), clock);
  for (let count = 0; count < 100; count += 1) assert.ok(await log.keep(markOf(`i-${count}`)));
  assert.ok((await files.list(`${FOLDER}/marks`)).length <= 33, 'files are gathered');
  clock.time = LONG_MS;
  assert.is(log.marks().length, 0);
  await log.keep(markOf('i-lasting', 'leaving'));
  let lives = 0;
  for (let last = log; last.marks().some(({ instance }) => instance === 'i-lasting'); lives += 1) {
    last = await openLog(new FolderDisk(FOLDER, QUOTA_BYTES, files), clock);
    await last.keep(markOf(`i-life-${lives}`));
    assert.ok(lives < 100, 'it is forgotten some day');
  }
  assert.ok(lives > 20, `${lives} restarts, each of half a second at least, are longer than a heartbeat may be late`);
});

// Guards against a disk that says that there is no mark although it can't read what it wrote.
test('a disk with a damaged file does not count as read until what it held is too old to matter', async () => {
  const files = new LossyFiles(new Chance(3));
  const clock = { time: 0, now(): Instant { return this.time as Instant; } };
  const disk = new WatchedDisk(FOLDER, QUOTA_BYTES, files);
  const log = await openLog(disk, clock);
  await log.keep(markOf('i-1'));
  disk.damaged = (await files.list(`${FOLDER}/marks`)).map(({ name }) => name);
  const later = await openLog(disk, clock);
  assert.equal([later.isWhole, later.marks().length], [false, 0]);
  clock.time += LONG_MS;
  assert.ok(later.isWhole);
});

run();
