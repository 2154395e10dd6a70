import { err, ok, type Result } from 'neverthrow';
import type { Chance } from '../src/fleet/chance.js';
import type { Address, DiskId, Instant } from '../src/process/brands.js';
import { LostDefect, type Defect } from '../src/process/defect.js';
import { Founding, type PresentFounder } from '../src/process/founding.js';
import { LEASE } from '../src/process/keyHolder.js';
import { Register, type Grant, type RegisterAsk, type RegisterReply, type RegisterState } from '../src/process/register.js';
import type { RosterMember } from '../src/version/entry.js';

/** The longest time between two steps, in milliseconds. */
const STEP_MS = 60;
const HARMING = 0.03;
const LOSING = 0.08;
/** So many calm steps are enough for any founding. */
const CALM_STEPS = 3000;

/** What a run may do, beside lost messages and restarts in any number. */
export interface FoundingPlan {
  readonly size: number;
  /** How many disks may be lost for good; an empty one comes in their place. */
  readonly wipes: number;
  /** How likely it is that a machine doesn't come up before the end. */
  readonly absent: number;
}

interface Letter {
  readonly run: () => void;
  readonly lose: () => void;
}

/** A core machine at the first start: its disk outlives its process. */
interface Place {
  readonly seed: Address;
  disk: { readonly id: DiskId; readonly isFounder: boolean; state: RegisterState; roster: readonly RosterMember[] | null };
  grant: Grant | null;
  graceUntil: Instant;
  boot: number;
  isDown: boolean;
  isSettling: boolean;
  founding: Founding | null;
}

/** Drives the real founding through lost messages, restarts, absent machines and lost disks. */
export class FoundingWorld {
  readonly faults: string[] = [];
  /** Every first roster that was written by any disk. */
  readonly rosters = new Set<string>();
  wipedCount = 0;
  private readonly letters: Letter[] = [];
  private readonly seeds: readonly Address[];
  private readonly places: readonly Place[];
  private time = 0;
  private diskCount = 0;

  constructor(private readonly chance: Chance, private readonly plan: FoundingPlan) {
    this.seeds = Array.from({ length: plan.size }, (_, index) => `10.0.0.${index + 1}:1` as Address);
    this.places = this.seeds.map((seed): Place => ({
      seed, disk: this.emptyDisk(true), grant: null, graceUntil: 0 as Instant, boot: 0, isDown: false, isSettling: false, founding: null,
    }));
    this.places.forEach((place) => this.start(place));
    const mayBeAbsent = this.places.slice(0, (plan.size - 1) / 2);
    mayBeAbsent.forEach((place) => { place.isDown = this.chance.happens(plan.absent); });
  }

  /** One random step. */
  async step(isCalm: boolean): Promise<void> {
    this.time += this.chance.below(STEP_MS);
    if (!isCalm && this.chance.happens(HARMING)) this.harm();
    else if (this.letters.length > 0 && this.chance.happens(0.8)) this.deliver(isCalm);
    else this.act(this.chance.of(this.places));
    await new Promise((settle) => { setImmediate(settle); });
  }

  /** Calm steps until every founder that is there is on the first roster or knows that it was founded without it. */
  async finish(): Promise<void> {
    for (let count = 0; count < CALM_STEPS; count += 1) {
      await this.step(true);
      const running = this.places.filter((place) => !place.isDown && place.disk.isFounder);
      if (running.some(({ disk }) => disk.roster !== null) && running.every(({ disk }) => disk.roster !== null || !this.isNamed(disk.id))) return;
    }
    this.faults.push(`no founding within ${CALM_STEPS} calm steps`);
  }

  /** Whether enough founders are there for a founding. */
  get mayFinish(): boolean {
    const there = this.places.filter(({ isDown, disk }) => !isDown && disk.isFounder);
    return there.length > this.plan.size / 2;
  }

  /** Whether the first roster leaves a founder out. */
  get isPartial(): boolean {
    return [...this.rosters].some((roster) => (JSON.parse(roster) as readonly RosterMember[]).length < this.plan.size);
  }

  private isNamed(id: DiskId): boolean {
    return this.places.some(({ disk }) => disk.roster?.some((member) => member.id === id) === true);
  }

  private emptyDisk(isFounder: boolean): Place['disk'] {
    this.diskCount += 1;
    return { id: `disk${this.diskCount}` as DiskId, isFounder, state: Register.empty, roster: null };
  }

  private start(place: Place): void {
    place.boot += 1;
    place.grant = null;
    place.graceUntil = (this.time + (place.disk.state.promised > 0 ? LEASE.leaseMs : 0)) as Instant;
    place.isSettling = false;
    const { boot } = place;
    place.founding = !place.disk.isFounder ? null : new Founding({ seeds: this.seeds, isMajorityEnough: true }, {
      seed: place.seed, holder: `${place.seed}/${place.disk.id}@${boot}`, clock: { now: () => this.time as Instant }, random: () => this.chance.next(),
      ask: (voter, _key, _serial, ask) => this.post(place, voter, ask),
    });
  }

  private post(from: Place, to: RosterMember, ask: RegisterAsk): Promise<Result<RegisterReply, Defect>> {
    const { boot } = from;
    return new Promise((settle) => {
      const lost = (): void => { if (from.boot === boot) settle(err(new LostDefect('lost on the way'))); };
      const run = (): void => {
        const target = this.places.find(({ seed }) => seed === to.address);
        if (target === undefined || target.isDown) return lost();
        const answer = this.answer(target, to.id, ask);
        this.letters.push({ run: () => { if (from.boot === boot) settle(answer); }, lose: lost });
      };
      this.letters.push({ run, lose: lost });
    });
  }

  private answer(place: Place, asked: DiskId, ask: RegisterAsk): Result<RegisterReply, Defect> {
    const refusal = Founding.askDefect(place.disk.id, place.disk.isFounder, asked);
    if (refusal !== null) return err(refusal);
    const step = Register.step(place.disk.state, place.grant, ask, this.time as Instant, place.graceUntil);
    if (step.store !== null) place.disk.state = step.store;
    place.grant = step.grant;
    return ok(step.reply);
  }

  private deliver(isCalm: boolean): void {
    const [letter] = this.letters.splice(this.chance.below(Math.min(this.letters.length, 12)), 1);
    if (!isCalm && this.chance.happens(LOSING)) letter?.lose();
    else letter?.run();
  }

  /** A process looks for the others, hears of a founding that names it, or takes part in one. */
  private act(place: Place): void {
    if (place.isDown || place.disk.roster !== null || place.founding === null || place.isSettling) return;
    const { boot } = place;
    const heard = this.places.filter((other) => !other.isDown && (other === place || this.chance.happens(0.95)));
    const named = heard.find(({ disk }) => disk.roster?.some(({ id }) => id === place.disk.id) === true);
    if (named?.disk.roster) return this.found(place, named.disk.roster);
    if (heard.some(({ disk }) => disk.roster !== null)) return;
    const present = heard.filter(({ disk }) => disk.isFounder).map(({ seed, disk }): PresentFounder => ({ seed, member: { id: disk.id, address: seed } }));
    place.isSettling = true;
    void place.founding.settle(present).then((agreed) => {
      if (place.boot !== boot) return;
      place.isSettling = false;
      if (agreed?.some(({ id }) => id === place.disk.id)) this.found(place, agreed);
    });
  }

  private found(place: Place, roster: readonly RosterMember[]): void {
    place.disk.roster = roster;
    this.rosters.add(JSON.stringify(roster));
    if (this.rosters.size > 1) this.faults.push(`two first rosters: ${[...this.rosters].join(' and ')}`);
    if (roster.length <= this.plan.size / 2) this.faults.push(`${roster.length} disks of ${this.plan.size} founded`);
  }

  private harm(): void {
    const place = this.chance.of(this.places);
    if (this.chance.happens(0.5)) this.start(place);
    else if (this.chance.happens(0.3)) place.isDown = !place.isDown;
    else if (this.chance.happens(0.2)) this.time += LEASE.leaseMs;
    else if (this.wipedCount < this.plan.wipes && place.disk.isFounder) this.wipe(place);
  }

  private wipe(place: Place): void {
    this.wipedCount += 1;
    place.disk = this.emptyDisk(false);
    this.start(place);
  }

  /** Everything that can be there is: the founders whose disks were not lost. */
  bringBack(): void {
    this.places.filter(({ isDown }) => isDown).forEach((place) => {
      place.isDown = false;
      this.start(place);
    });
  }
}
