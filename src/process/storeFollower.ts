import { Histogram } from 'prom-client';
import { Pollers } from '../connection/pollers.js';
import type { PollAnswer, StoreClient } from '../connection/storeCalls.js';
import type { ManifestSnapshot } from '../version/snapshots.js';
import type { RolloutSnapshot, RolloutTable } from '../version/rollout.js';
import { MANIFEST_KEY, ROLLOUTS_KEY, ROSTER_KEY, type Entry, type Roster, type RosterMember, type Voters } from '../version/entry.js';
import type { Manifest } from '../version/manifest.js';
import type { Address, Instant, KeyName, Millis, Serial } from './brands.js';
import { CURRENT_MS } from './commitEvidence.js';
import type { Membership } from './membership.js';
import { Moment } from './moment.js';
import type { Frame } from './program.js';
import type { VoterLink } from './quorum.js';
import type { RegisterAsk, RegisterReply } from './register.js';
import type { PlaceSettings } from './settings.js';
import type { Defect } from './defect.js';
import type { Result } from 'neverthrow';

const HOLD_MS = 700;
const FRESH_MS = 1300;
const RETRY_MS = 200 as Millis;
/** Seconds from a commit to where it is of use. */
export const COMMIT_BUCKETS = [0.02, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5];

/** Keeps a directory up with what the ratebooks committed: one standing question to each of them. */
export class StoreFollower implements VoterLink {
  readonly news = new Pollers();
  private entries: ReadonlyMap<KeyName, Entry> = new Map();
  private followed: ReadonlySet<Address> = new Set();
  private provenBefore: Instant = -Infinity as Instant;
  private answeredAt: ReadonlyMap<Address, Instant> = new Map();
  private readonly learnedAt = new Map<KeyName, Instant>();
  private readonly commitTimes: Histogram;
  private isStopping = false;

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly membership: Membership, private readonly store: StoreClient) {
    this.commitTimes = new Histogram({ name: 'opalstair_commit_known_seconds', help: 'From a commit being known at a ratebook to its being known here, the way of the question included', registers: [frame.metrics], buckets: COMMIT_BUCKETS });
    membership.onChange(() => this.followAll());
    this.followAll();
  }

  manifest(): ManifestSnapshot | null {
    const entry = this.entries.get(MANIFEST_KEY);
    return entry === undefined ? null : { serial: entry.serial, manifest: entry.value as Manifest };
  }

  /** When a ratebook learned that the manifest is committed, or earlier, by this process's clock; null before the first. */
  manifestLearnedAt(): Instant | null {
    return this.learnedAt.get(MANIFEST_KEY) ?? null;
  }

  rollouts(): RolloutSnapshot | null {
    const entry = this.entries.get(ROLLOUTS_KEY);
    return entry === undefined ? null : { serial: entry.serial, table: entry.value as RolloutTable };
  }

  /** The moment before which everything that was committed is known here, by this process's clock. */
  provenAt(): Instant {
    return this.provenBefore;
  }

  /** Whether that moment is not long ago. */
  isCurrent(): boolean {
    return this.frame.clock.now() - this.provenBefore < CURRENT_MS;
  }

  ratebooks(): readonly Address[] {
    return this.membership.having('ratebook').map((member) => member.wire);
  }

  /** Whether a ratebook answered lately: one that did not may be frozen, and is asked last. */
  isHeard(address: Address): boolean {
    return this.frame.clock.now() - (this.answeredAt.get(address) ?? -Infinity) < FRESH_MS;
  }

  voters(): Voters | null {
    const entry = this.entries.get(ROSTER_KEY);
    return entry === undefined ? null : { serial: entry.serial, members: (entry.value as Roster).members };
  }

  ask(voter: RosterMember, key: KeyName, rosterSerial: number, ask: RegisterAsk): Promise<Result<RegisterReply, Defect>> {
    return this.store.ask(voter.address, { key, rosterSerial, ask }, 1000);
  }

  stop(): void {
    this.isStopping = true;
    this.news.wake();
  }

  private followAll(): void {
    for (const address of this.ratebooks()) {
      if (this.followed.has(address)) continue;
      this.followed = new Set([...this.followed, address]);
      void this.follow(address);
    }
  }

  private async follow(address: Address): Promise<void> {
    let isCurrent = false;
    while (!this.isStopping && this.ratebooks().includes(address)) {
      const askedAt = this.frame.clock.now();
      const answer = await this.store.poll(address, { manifest: this.serialOf(MANIFEST_KEY), roster: this.serialOf(ROSTER_KEY), rollouts: this.serialOf(ROLLOUTS_KEY), waitMs: HOLD_MS, isCurrent });
      isCurrent = answer.isOk() && answer.value.isCurrent;
      if (answer.isErr()) await this.news.wait(RETRY_MS);
      else {
        this.answeredAt = new Map([...this.answeredAt, [address, this.frame.clock.now()]]);
        for (const { key, entry, learnedAt } of answer.value.entries) this.learn(key, entry, Moment.heard(learnedAt ?? 0, askedAt));
        this.hearEvidence(answer.value, askedAt);
      }
    }
    this.followed = new Set([...this.followed].filter((known) => known !== address));
  }

  /** A ratebook of the former release does not say up to when it knows all commits: it says only whether it is current. */
  private hearEvidence({ provenAt, isCurrent }: PollAnswer, askedAt: Instant): void {
    if (provenAt === undefined && !isCurrent) return;
    const wasCurrent = this.isCurrent();
    this.provenBefore = Math.max(this.provenBefore, Moment.heard(provenAt ?? 0, askedAt)) as Instant;
    if (!wasCurrent && this.isCurrent()) this.news.wake();
  }

  private learn(key: KeyName, entry: Entry, learnedAt: Instant): void {
    if (entry.serial <= this.serialOf(key)) return;
    const sinceCommitMs = this.frame.clock.now() - learnedAt;
    this.entries = new Map([...this.entries, [key, entry]]);
    this.learnedAt.set(key, learnedAt);
    this.commitTimes.observe(sinceCommitMs / 1000);
    this.frame.log.info({ event: 'committed', key, serial: entry.serial, sinceCommitMs: Math.round(sinceCommitMs) });
    this.news.wake();
  }

  private serialOf(key: KeyName): Serial {
    return this.entries.get(key)?.serial ?? (0 as Serial);
  }
}
