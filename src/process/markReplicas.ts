import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { markAnswerShape, markKeptShape, NodePath, type MarkAnswer, type MarkAsk, type MarkKept } from '../connection/nodeCalls.js';
import type { WireClient } from '../connection/wire.js';
import type { EndpointRow } from '../version/snapshots.js';
import type { Address, BootId, InstanceId, Instant } from './brands.js';
import type { Clock } from './clock.js';
import { Defect } from './defect.js';
import type { MarkDisks } from './markDisks.js';
import type { Member, Role } from './members.js';
import type { DepartureMark } from '../version/departureMark.js';

/** An endpoint goes on to another node after a second without an acknowledgement. */
const KEEP_MS = 400;
const ASK_MS = 250;
/** An instance that nobody could be asked about yet is asked about again. */
const ASK_AGAIN_MS = 300;
/** A heartbeat comes no later than this after it was made, in milliseconds: who still makes them then has not left. */
const LATE_HEARTBEAT_MS = 10_000;
/** Every process of the core that was killed is back within this, and can say what its disks hold; in milliseconds. */
const CORE_RETURNS_MS = 3000;
/** Switchboards that hold a mark beside the directories, so that the end of the whole core does not lose it. */
const SWITCHBOARDS_HOLDING = 2;
/** More are asked than hold a mark: some may have gone, or come, since it was given. */
const SWITCHBOARDS_ASKED = 4;
/** What was kept lately need not be kept again for an acknowledgement that is asked for again. */
const KEPT_REMEMBERED_MS = 30_000;

/** Too few other processes hold the mark: it would be lost with this one. */
export class TooFewReplicas extends Defect {
  readonly kind = 'too-few-replicas';
}

const keyOf = ({ state, instance }: DepartureMark): string => `${state}/${instance}`;

/** What other processes said of an instance. */
interface FoundMarks {
  readonly marks: readonly DepartureMark['state'][];
  /** One of them knows of every mark. */
  readonly isComplete: boolean;
  readonly hasDirectory: boolean;
}

/** What the replicas of a mark need of the process around them. */
export interface MarkParts {
  readonly self: string;
  readonly clock: Clock;
  readonly having: (role: Role) => readonly Member[];
  readonly wire: Pick<WireClient, 'call'>;
  /** The ratebooks' disks, which outlive every process. */
  readonly disks: Pick<MarkDisks, 'keep'>;
  /** How many other processes must hold a mark before it is acknowledged. */
  readonly replicas: number;
  /** Whether the whole mesh starts for the first time: nobody can have left before. */
  readonly isFirstStart: boolean;
  /** The marks that this process holds itself. */
  readonly held: () => readonly DepartureMark[];
  /** The endpoint's row in the list that this node goes by. */
  readonly rowOf: (instance: InstanceId) => EndpointRow | null;
  /** Whether the endpoint itself says at this address that it is this instance and serves. */
  readonly isServing: (said: { readonly instance: InstanceId; readonly service: EndpointRow['service']; readonly address: Address }) => Promise<boolean>;
}

/** The disks are there and do not take the mark: it would be lost with the processes that hold it. */
export class DisksRefused extends Defect {
  readonly kind = 'disks-refused';
}

export type MarkNotKept = TooFewReplicas | DisksRefused;

/**
 * Keeps the marks of endpoints that leave or have departed at other processes and on the ratebooks' disks, and finds them there: the one that
 * acknowledged may end in the next moment, and all may end at once. Directories hold every mark; of the switchboards a few, chosen by the
 * instance's name so that they are found again. While no majority of the disks answers, other processes alone must do: an endpoint
 * that gets no acknowledgement ends all the same, and requests would go on to it.
 */
export class MarkReplicas {
  private readonly keptAt = new Map<string, Instant>();
  private readonly startedAt: Instant;
  /** The processes that hold a mark, by the mark: a later boot of one has forgotten it. */
  private holders: ReadonlyMap<string, ReadonlySet<BootId>> = new Map();
  /** The marks that were acknowledged here while no majority of the disks answered. */
  private owedToDisks: readonly DepartureMark[] = [];

  constructor(private readonly parts: MarkParts) {
    this.startedAt = parts.clock.now();
  }

  /** Resolves once enough other processes and a majority of the disks hold the mark, and the endpoint's own host if that is another node. */
  async keep(mark: DepartureMark): Promise<Result<void, MarkNotKept>> {
    const key = keyOf(mark);
    if (this.parts.clock.now() - (this.keptAt.get(key) ?? -Infinity) < KEPT_REMEMBERED_MS) return ok(undefined);
    const host = this.hostOf(mark.instance);
    const holders = this.addressesFor(mark.instance, SWITCHBOARDS_HOLDING);
    const asked = [...new Set(host === null ? holders : [...holders, host])];
    const [isKept, onDisks] = await Promise.all([this.isKeptByEnough(asked, host, mark), this.parts.disks.keep(mark)]);
    if (onDisks === 'refused') return err(new DisksRefused(`${mark.instance} ${mark.state}: the ratebooks answer, and no majority of the disks took the mark`));
    if (!isKept) return err(new TooFewReplicas(`${mark.instance} ${mark.state}: fewer than ${this.parts.replicas} of ${asked.length} other processes answered`));
    if (onDisks === 'kept') this.remember(key);
    else this.owedToDisks = [...this.owedToDisks.filter((owed) => keyOf(owed) !== key), mark];
    return ok(undefined);
  }

  /**
   * The mark that others hold of an instance that this host has just heard of; null when it has none. A directory that has read the disks knows
   * of every mark on them. While none answers, the core may just be starting again, so the endpoint's own word counts only after a while.
   */
  async find(said: { readonly instance: InstanceId; readonly service: EndpointRow['service']; readonly address: Address }): Promise<DepartureMark['state'] | null> {
    const start = this.parts.clock.now();
    if (this.parts.isFirstStart && start - this.startedAt < LATE_HEARTBEAT_MS) return null;
    for (;;) {
      const { marks, isComplete, hasDirectory } = await this.askAll(said.instance);
      if (marks.includes('departed')) return 'departed';
      if (marks.includes('leaving')) return 'leaving';
      const waitedMs = this.parts.clock.now() - start;
      const isCoreDown = !hasDirectory && waitedMs >= CORE_RETURNS_MS;
      if (isComplete || waitedMs >= LATE_HEARTBEAT_MS || (isCoreDown && (await this.parts.isServing(said)))) return null;
      await new Promise((settle) => { setTimeout(settle, ASK_AGAIN_MS).unref(); });
    }
  }

  /** Tells the switchboards that should hold a mark which is held here, and have come, or come back, since it was given; the disks too. */
  async repair(): Promise<void> {
    const held = this.parts.held();
    await Promise.all([this.repairHolders(held), this.repairDisks(held)]);
  }

  /** The core was out of reach when these were acknowledged. */
  private async repairDisks(held: readonly DepartureMark[]): Promise<void> {
    const heldKeys = new Set(held.map(keyOf));
    const owed = this.owedToDisks.filter((mark) => heldKeys.has(keyOf(mark)));
    this.owedToDisks = owed;
    await Promise.all(owed.map(async (mark) => {
      const outcome = await this.parts.disks.keep(mark);
      if (outcome === 'kept') this.owedToDisks = this.owedToDisks.filter((other) => other !== mark);
    }));
  }

  private async repairHolders(held: readonly DepartureMark[]): Promise<void> {
    const former = this.holders;
    this.holders = new Map(held.map((mark) => [keyOf(mark), former.get(keyOf(mark)) ?? new Set<BootId>()]));
    await Promise.all(held.map((mark) => this.repairOne(mark)));
  }

  private async repairOne(mark: DepartureMark): Promise<void> {
    const lacking = this.ranked(mark.instance, SWITCHBOARDS_HOLDING).filter(({ boot }) => this.holders.get(keyOf(mark))?.has(boot) === false);
    await Promise.all(lacking.map(async ({ wire, boot }) => {
      const answer = await this.parts.wire.call<MarkKept>(wire, NodePath.keepMark, mark, KEEP_MS, markKeptShape);
      if (answer.isOk() && answer.value.isKept) this.holders = new Map([...this.holders, [keyOf(mark), new Set([...(this.holders.get(keyOf(mark)) ?? []), boot])]]);
    }));
  }

  private isKeptByEnough(asked: readonly Address[], host: Address | null, mark: DepartureMark): Promise<boolean> {
    return new Promise((settle) => {
      let kept = 0;
      let answered = 0;
      let isHostDone = host === null;
      const look = (): void => {
        if (kept >= this.parts.replicas && isHostDone) settle(true);
        else if (answered === asked.length) settle(kept >= this.parts.replicas);
      };
      for (const address of asked) {
        void this.parts.wire.call<MarkKept>(address, NodePath.keepMark, mark, KEEP_MS, markKeptShape).then((answer) => {
          answered += 1;
          if (answer.isOk() && answer.value.isKept) kept += 1;
          if (address === host) isHostDone = true;
          look();
        });
      }
      look();
    });
  }

  private async askAll(instance: InstanceId): Promise<FoundMarks> {
    const [directories, switchboards] = await Promise.all([this.parts.having('directory'), this.ranked(instance, SWITCHBOARDS_ASKED)].map((members) => this.askEach(instance, members)));
    const answers = [...(directories ?? []), ...(switchboards ?? [])];
    return { marks: answers.flatMap(({ state }) => (state === null ? [] : [state])), isComplete: answers.some(({ isComplete }) => isComplete), hasDirectory: (directories ?? []).length > 0 };
  }

  private async askEach(instance: InstanceId, members: readonly Member[]): Promise<readonly MarkAnswer[]> {
    const ask: MarkAsk = { instance };
    const answers = await Promise.all(members.map(({ wire }) => this.parts.wire.call<MarkAnswer>(wire, NodePath.findMark, ask, ASK_MS, markAnswerShape)));
    return answers.flatMap((answer) => answer.match((found) => [found], () => []));
  }

  /** Every directory, and the switchboards whose names rank first for this instance. */
  private addressesFor(instance: InstanceId, switchboards: number): readonly Address[] {
    return [...this.parts.having('directory'), ...this.ranked(instance, switchboards)].map(({ wire }) => wire);
  }

  /** The other switchboards whose names rank first for this instance: the same ones wherever the same processes are known. */
  private ranked(instance: InstanceId, most: number): readonly Member[] {
    const rank = ({ name }: Member): string => createHash('sha256').update(`${instance}/${name}`).digest('hex');
    const ranked = this.parts.having('switchboard').filter(({ name }) => name !== this.parts.self).map((member) => ({ member, place: rank(member) })).sort((one, other) => (one.place < other.place ? -1 : 1));
    return ranked.slice(0, most).map(({ member }) => member);
  }

  private hostOf(instance: InstanceId): Address | null {
    const row = this.parts.rowOf(instance);
    return row === null || row.node === this.parts.self ? null : row.hop;
  }

  private remember(key: string): void {
    const now = this.parts.clock.now();
    for (const [known, at] of this.keptAt) {
      if (now - at < KEPT_REMEMBERED_MS) break;
      this.keptAt.delete(known);
    }
    this.keptAt.set(key, now);
  }
}
