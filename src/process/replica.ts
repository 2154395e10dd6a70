import { BSON } from 'bson';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Entry } from '../version/entry.js';
import type { DiskId, Instant, KeyName, Serial } from './brands.js';
import type { Clock } from './clock.js';
import type { AcceptedSerials } from './commitEvidence.js';
import { Defect } from './defect.js';
import { DamagedFile, DiskDefect, DiskFull, type Disk, type StoreDefect } from './disk.js';
import { mergedState, type Copies } from './spareCopy.js';
import { Register, type Grant, type RegisterAsk, type RegisterReply, type RegisterState } from './register.js';

const VERSIONS_KEPT = 4;
const REGISTERS = 'registers';
const RESERVE = 'reserve';
/** The reserve is as large as the largest value taken, so that a value that any disk holds can be mended on every disk. */
export const RESERVE_BYTES = 10 * 1024 * 1024;

/** This replica has lost what it knew of a key and must not vote on it. */
export class DamagedKey extends Defect {
  readonly kind = 'damaged-key';
}

export type ReplicaDefect = StoreDefect | DamagedKey;

interface KeyCopy {
  readonly state: RegisterState;
  readonly fileNumber: number;
  readonly files: readonly string[];
}

const folderOf = (key: KeyName): string => `${REGISTERS}/${encodeURIComponent(key)}`;
const fileOf = (fileNumber: number): string => String(fileNumber).padStart(12, '0');

/** The copies that one disk holds of the control state: every change is synced before it is answered. */
export class Replica {
  private copies: ReadonlyMap<KeyName, KeyCopy> = new Map();
  private grants: ReadonlyMap<KeyName, Grant> = new Map();
  private queues: ReadonlyMap<KeyName, Promise<unknown>> = new Map();
  private damaged: ReadonlySet<KeyName> = new Set();
  private hasReserve = false;

  private constructor(readonly id: DiskId, private readonly disk: Disk, private readonly clock: Clock, private graceUntil: Instant, private readonly reserveBytes: number) {}

  /** Opens what the disk holds; an empty disk gets the fresh id. */
  static open(disk: Disk, clock: Clock, graceMs: number, freshId: DiskId, reserveBytes: number): ResultAsync<Replica, StoreDefect | DamagedFile> {
    return new ResultAsync(Replica.load(disk, clock, graceMs, freshId, reserveBytes));
  }

  private static async load(disk: Disk, clock: Clock, graceMs: number, freshId: DiskId, reserveBytes: number): Promise<Result<Replica, StoreDefect | DamagedFile>> {
    const top = await disk.list('.');
    if (top.isErr()) return err(top.error);
    if (!top.value.includes('identity')) {
      const named = await disk.put('.', 'identity', new TextEncoder().encode(freshId));
      if (named.isErr()) return err(named.error);
    }
    const identity = await disk.get('.', 'identity');
    if (identity.isErr()) return err(identity.error);
    const replica = new Replica(new TextDecoder().decode(identity.value) as DiskId, disk, clock, (top.value.includes(REGISTERS) ? clock.now() + graceMs : clock.now()) as Instant, reserveBytes);
    replica.hasReserve = top.value.includes(RESERVE);
    await replica.keepReserve();
    const keys = await disk.list(REGISTERS);
    if (keys.isErr()) return err(keys.error);
    for (const encoded of keys.value) {
      const loaded = await replica.loadKey(decodeURIComponent(encoded) as KeyName);
      if (loaded.isErr()) return err(loaded.error);
    }
    return ok(replica);
  }

  private async loadKey(key: KeyName): Promise<Result<void, DiskDefect>> {
    const listed = await this.disk.list(folderOf(key));
    if (listed.isErr()) return err(listed.error);
    const files = [...listed.value].sort();
    const newest = files.at(-1);
    if (newest === undefined) return ok(undefined);
    const bytes = await this.disk.get(folderOf(key), newest);
    if (bytes.isErr()) {
      if (bytes.error instanceof DiskDefect) return err(bytes.error);
      this.damaged = new Set([...this.damaged, key]);
      return ok(undefined);
    }
    const state = BSON.deserialize(bytes.value, { promoteBuffers: true }) as unknown as RegisterState;
    this.copies = new Map([...this.copies, [key, { state, fileNumber: Number(newest), files }]]);
    return ok(undefined);
  }

  /** The keys whose newest file is not what was written. */
  get damagedKeys(): readonly KeyName[] {
    return [...this.damaged];
  }

  /** Whether this disk has ever taken part. */
  get isEmpty(): boolean {
    return this.copies.size === 0 && this.damaged.size === 0;
  }

  keys(): readonly KeyName[] {
    return [...this.copies.keys()];
  }

  accepted(key: KeyName): Entry | null {
    return this.copies.get(key)?.state.accepted ?? null;
  }

  /** The serials of what this disk has accepted, 0 where nothing; without the keys whose newest file is damaged. */
  acceptedSerials(keys: readonly KeyName[]): AcceptedSerials {
    return Object.fromEntries(keys.filter((key) => !this.damaged.has(key)).map((key) => [key, this.accepted(key)?.serial ?? (0 as Serial)]));
  }

  promised(key: KeyName): RegisterState {
    return this.copies.get(key)?.state ?? Register.empty;
  }

  /** Who holds the key as far as this replica has granted it, and null when the grant has run out. */
  grantOf(key: KeyName): Grant | null {
    const grant = this.grants.get(key);
    return grant !== undefined && grant.until > this.clock.now() ? grant : null;
  }

  /** Answers one ask; asks on the same key wait for one another. */
  ask(key: KeyName, ask: RegisterAsk): Promise<Result<RegisterReply, ReplicaDefect>> {
    return this.inTurn(key, () => this.answer(key, ask));
  }

  /** Takes over what a majority of the voters holds, forgetting nothing; grants nothing until their leases have run out. */
  async adopt(copies: Copies, graceMs: number): Promise<Result<void, ReplicaDefect>> {
    this.graceUntil = (this.clock.now() + graceMs) as Instant;
    for (const [key, state] of copies) {
      const stored = await this.inTurn(key, () => this.store(key, mergedState(this.promised(key), state)));
      if (stored.isErr()) return stored;
    }
    return ok(undefined);
  }

  /** All that this disk holds. */
  dump(): Copies {
    return new Map([...this.copies].map(([key, copy]) => [key, copy.state]));
  }

  /** Puts an entry there that all founders write alike. */
  found(key: KeyName, entry: Entry): Promise<Result<void, ReplicaDefect>> {
    return this.inTurn(key, async () => (this.copies.has(key) ? ok(undefined) : this.store(key, { promised: entry.epoch, holder: 'founding', accepted: entry })));
  }

  private inTurn<T>(key: KeyName, work: () => Promise<T>): Promise<T> {
    const mine = (this.queues.get(key) ?? Promise.resolve()).then(work);
    const tail = mine.catch(() => undefined);
    this.queues = new Map([...this.queues, [key, tail]]);
    return mine;
  }

  private async answer(key: KeyName, ask: RegisterAsk): Promise<Result<RegisterReply, ReplicaDefect>> {
    if (this.damaged.has(key)) return err(new DamagedKey(`the copy of ${key} on disk ${this.id} is damaged`));
    const step = Register.step(this.promised(key), this.grants.get(key) ?? null, ask, this.clock.now(), this.graceUntil);
    if (step.store !== null) {
      const isFresh = ask.kind === 'accept' && !ask.isMending;
      const stored = await this.store(key, step.store, isFresh);
      if (stored.isErr()) return err(stored.error);
    }
    const grants = new Map(this.grants);
    if (step.grant === null) grants.delete(key);
    else grants.set(key, step.grant);
    this.grants = grants;
    return ok(step.reply);
  }

  /** A fresh value must fit without the reserve; promises and what mends a copy may draw on it. */
  private async store(key: KeyName, state: RegisterState, isFresh = false): Promise<Result<void, ReplicaDefect>> {
    const former = this.copies.get(key);
    const fileNumber = (former?.fileNumber ?? 0) + 1;
    const bytes = BSON.serialize(state);
    if (isFresh && bytes.length > this.reserveBytes) return err(new DiskFull(`a value of ${bytes.length} bytes is larger than the reserve of ${this.reserveBytes}`));
    let put = await this.disk.put(folderOf(key), fileOf(fileNumber), bytes);
    if (put.isErr() && put.error instanceof DiskFull) {
      await this.makeRoom(key, former, !isFresh);
      put = await this.disk.put(folderOf(key), fileOf(fileNumber), bytes);
    }
    if (put.isErr()) return err(put.error);
    const files = [...(former?.files ?? []), fileOf(fileNumber)];
    const pruned = files.slice(0, Math.max(0, files.length - VERSIONS_KEPT));
    for (const name of pruned) await this.disk.drop(folderOf(key), name);
    this.copies = new Map([...this.copies, [key, { state, fileNumber, files: files.slice(pruned.length) }]]);
    await this.keepReserve();
    return ok(undefined);
  }

  private async keepReserve(): Promise<void> {
    if (!this.hasReserve) this.hasReserve = (await this.disk.put('.', RESERVE, new Uint8Array(this.reserveBytes))).isOk();
  }

  /** On a full disk old versions go first, then the reserve. */
  private async makeRoom(key: KeyName, former: KeyCopy | undefined, mayUseReserve: boolean): Promise<void> {
    for (const name of former?.files.slice(0, -1) ?? []) await this.disk.drop(folderOf(key), name);
    if (!mayUseReserve || !this.hasReserve) return;
    await this.disk.drop('.', RESERVE);
    this.hasReserve = false;
  }
}
