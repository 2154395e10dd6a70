import * as assert from 'uvu/assert';
import type { NodeReport } from '../src/connection/nodeCalls.js';
import { Chance } from '../src/fleet/chance.js';
import type { Address, BootId, EndpointId, InstanceId, Instant, Millis, NodeName, Serial, ServiceName, ZoneName } from '../src/process/brands.js';
import { HostVoice } from '../src/process/hostVoice.js';
import { type Announcement } from '../src/process/announcement.js';
import { LocalEndpoints } from '../src/process/localEndpoints.js';
import { Registry } from '../src/process/registry.js';
import { suite } from './harness.js';

const { test, run } = suite('departures');

const SEEDS = 300;
const STEPS = 400;
/** How late a heartbeat may come. */
const MOST_LATE_MS = 20_000;
const LAPSE_MS = 3000 as Millis;
const SERVICE = 'line' as ServiceName;
const ADDRESS = '10.0.0.1:1' as Address;
const NODE = 'app1' as NodeName;

const beatOf = (instance: string, sequence: number, leaving: boolean): Announcement =>
  ({ id: instance as EndpointId, instance: instance as InstanceId, service: SERVICE, address: ADDRESS, zone: 'z' as ZoneName, probe: '/', slots: 4, leaving, nonce: '', fenced: true, sequence });

/** One machine whose endpoints follow each other, its switchboard, which dies now and then, and two directories. */
class World {
  now = 0;
  private local: LocalEndpoints;
  private voice = new HostVoice(1);
  private boot = 1;
  private isDue = false;
  private readonly late: { readonly at: number; readonly beat: Announcement }[] = [];
  private readonly directories: readonly Registry[];
  /** The instances whose leaving was acknowledged, and how. */
  readonly acknowledged = new Map<string, 'leaving' | 'departed'>();
  private current = { instance: 'i-1', sequence: 0, leaving: false };
  private count = 1;
  readonly faults: string[] = [];

  constructor(private readonly chance: Chance) {
    const clock = { now: () => this.now as Instant };
    this.local = new LocalEndpoints(clock, () => { this.isDue = true; });
    this.directories = [1, 2].map((number) => new Registry(`d${number}` as BootId, clock, LAPSE_MS, 0 as Millis, () => undefined));
  }

  async step(): Promise<void> {
    this.now += this.chance.below(1500);
    const dice = this.chance.next();
    if (dice < 0.5) this.makeBeat();
    else if (dice < 0.6) this.current.leaving = true;
    else if (dice < 0.7) await this.depart();
    else if (dice < 0.8) this.now += this.chance.below(9000);
    else if (dice < 0.86) this.restart();
    this.deliverLate();
    this.local.sweep();
    this.tellDirectories();
    this.check();
  }

  /** A heartbeat arrives at once or late, and sometimes twice. */
  private makeBeat(): void {
    this.current.sequence += 1;
    const beat = beatOf(this.current.instance, this.current.sequence, this.current.leaving);
    for (let copies = this.chance.happens(0.2) ? 2 : 1; copies > 0; copies -= 1) {
      if (this.chance.happens(0.5)) this.late.push({ at: this.now + this.chance.below(MOST_LATE_MS), beat });
      else this.deliver(beat);
    }
  }

  private deliver(beat: Announcement): void {
    const answer = this.local.beat(beat);
    if (answer.isOk() && beat.leaving && answer.value.leaving && !this.acknowledged.has(beat.instance)) this.acknowledged.set(beat.instance, 'leaving');
  }

  private deliverLate(): void {
    for (const one of this.late.filter(({ at }) => at <= this.now)) {
      this.late.splice(this.late.indexOf(one), 1);
      this.deliver(one.beat);
    }
  }

  private async depart(): Promise<void> {
    const { instance } = this.current;
    for (let copies = this.chance.happens(0.3) ? 2 : 1; copies > 0; copies -= 1) {
      if ((await this.local.signOff(instance as EndpointId, instance as InstanceId)).isOk()) this.acknowledged.set(instance, 'departed');
    }
    this.tellDirectories();
    this.count += 1;
    this.current = { instance: `i-${this.count}`, sequence: 0, leaving: false };
  }

  /** The switchboard dies and forgets everything; what it acknowledged had been told. */
  private restart(): void {
    this.tellDirectories();
    this.boot += 1;
    this.local = new LocalEndpoints({ now: () => this.now as Instant }, () => { this.isDue = true; });
    this.voice = new HostVoice(this.boot);
  }

  private tellDirectories(): void {
    do {
      this.isDue = false;
      const rows = this.local.listed().map(({ id, service, instance, address, zone, slots, leaving }) => ({ id, service, instance, address, zone, slots, leaving, node: NODE, nodeBoot: `b${this.boot}` as BootId, hop: ADDRESS }));
      const report: NodeReport = { node: NODE, boot: `b${this.boot}` as BootId, zone: 'z' as ZoneName, hop: ADDRESS, manifest: 1 as Serial, rows, ...this.voice.say(rows), departed: this.local.departedLately(), leaving: this.local.leavingLately() };
      for (const registry of this.directories) {
        registry.hear(report);
        const advice = registry.adviceFor(report);
        this.local.endDeparted(advice.departed ?? []);
        this.local.keepLeaving(advice.leaving ?? []);
      }
    } while (this.isDue);
  }

  private check(): void {
    const listed = [...this.local.listed(), ...this.directories.flatMap((registry) => registry.rowsOf(SERVICE))];
    for (const row of listed) {
      const said = this.acknowledged.get(row.instance);
      if (said === 'departed') this.faults.push(`${row.instance} departed and is listed at ${this.now}`);
      if (said === 'leaving' && !row.leaving) this.faults.push(`${row.instance} leaves and is listed as ready at ${this.now}`);
    }
  }
}

// Guards against a late heartbeat that lists an endpoint again whose leaving was acknowledged.
test(`${SEEDS} seeded runs with late, doubled and reordered heartbeats and dying switchboards list no endpoint whose leaving was acknowledged`, async () => {
  const seen = { leaving: 0, departed: 0 };
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new World(new Chance(seed));
    for (let count = 0; count < STEPS; count += 1) await world.step();
    assert.equal(world.faults.slice(0, 3), [], `seed ${seed}`);
    for (const said of world.acknowledged.values()) seen[said] += 1;
  }
  assert.ok(seen.departed > 20 * SEEDS && seen.leaving > 0, JSON.stringify(seen));
});

test('an endpoint that said it leaves stays so after a silence in which it was forgotten, with no directory to tell it', () => {
  let now = 0;
  const local = new LocalEndpoints({ now: () => now as Instant }, () => undefined);
  assert.ok(local.beat(beatOf('i-1', 5, true)).isOk());
  now = 7000;
  local.sweep();
  assert.equal(local.listed(), []);
  assert.ok(local.beat(beatOf('i-1', 4, false)).isOk());
  assert.equal(local.listed().map(({ leaving }) => leaving), [true]);
});

// Guards against a directory that starts and answers for marks which only the others were told of.
test('directories pass marks on to each other, those of endpoints that leave as well as those that departed', () => {
  const clock = { now: () => 0 as Instant };
  const [told, asking, hinted] = ['d1', 'd2', 'd3'].map((boot) => new Registry(boot as BootId, clock, LAPSE_MS, 0 as Millis, () => undefined)) as [Registry, Registry, Registry];
  told.keepMark({ instance: 'i-1' as InstanceId, state: 'leaving' });
  told.keepMark({ instance: 'i-2' as InstanceId, state: 'departed' });
  asking.learn('d1' as NodeName, told.answer(asking.askFor('d2' as NodeName)));
  const { departed = [], leaving = [] } = told.hint();
  hinted.learn('d1' as NodeName, { words: [], departed, leaving });
  for (const registry of [told, asking, hinted]) {
    assert.equal(['i-1', 'i-2', 'i-3'].map((instance) => registry.markOf(instance as InstanceId).state), ['leaving', 'departed', null]);
  }
});

test('a departure of an instance that nobody knew is kept, until no late heartbeat can come; too many are refused', async () => {
  let now = 0;
  const local = new LocalEndpoints({ now: () => now as Instant }, () => undefined);
  const depart = async (instance: string): Promise<string> => (await local.signOff(instance as EndpointId, instance as InstanceId)).match(() => 'kept', (defect) => defect.kind);
  assert.is(await depart('i-0'), 'kept');
  assert.is(local.beat(beatOf('i-0', 1, false)).match(() => 'taken', (defect) => defect.kind), 'departed');
  now = 30_000;
  assert.equal(local.departedLately(), ['i-0']);
  for (let count = 1; count < 10_000; count += 1) await depart(`i-${count}`);
  assert.is(await depart('i-one-more'), 'too-many-departures');
  now = 61_000;
  assert.is(await depart('i-one-more'), 'kept');
  assert.not(local.departedLately().includes('i-0' as InstanceId));
});

run();
