import { createHash } from 'node:crypto';
import type { Logger } from 'pino';
import type { RosterMember } from '../version/entry.js';
import type { DiskId, KeyName } from './brands.js';
import type { Clock } from './clock.js';
import type { KeyOwner } from './keyOwner.js';
import type { Replica } from './replica.js';

/** How much longer than the candidate before it each voter waits before it claims a key, in milliseconds. */
const TURN_MS = 100;
/** Up to so much is added by chance, so that two candidates don't claim together again and again, in milliseconds. */
const JITTER_MS = 100;

/** Takes over the keys that nobody holds: the first candidate at once, the others after a back-off. */
export class KeyTakeover {
  private notBefore: ReadonlyMap<KeyName, number> = new Map();

  constructor(private readonly owners: ReadonlyMap<KeyName, KeyOwner>, private readonly replica: Pick<Replica, 'id' | 'grantOf'>, private readonly clock: Clock, private readonly log: Logger) {}

  /** Claims each key that is free and whose back-off is over. */
  async tend(voters: readonly RosterMember[]): Promise<void> {
    for (const [key, owner] of this.owners) {
      if (owner.serving) continue;
      if (this.replica.grantOf(key) !== null) this.backOff(key, voters, 0);
      else if (this.clock.now() >= (this.notBefore.get(key) ?? 0)) await this.claim(key, owner, voters);
    }
  }

  private async claim(key: KeyName, owner: KeyOwner, voters: readonly RosterMember[]): Promise<void> {
    this.backOff(key, voters, 1);
    const taken = await owner.takeOver();
    this.log.info({ event: 'take-over', key, epoch: owner.epoch, outcome: taken.match(() => 'done', (defect) => defect.describe()) });
  }

  private backOff(key: KeyName, voters: readonly RosterMember[], moreTurns: number): void {
    const waitMs = (this.rankOf(key, voters) + moreTurns) * TURN_MS + Math.random() * JITTER_MS;
    this.notBefore = new Map([...this.notBefore, [key, this.clock.now() + waitMs]]);
  }

  /** This voter's place in an order that all agree on, another one for each key. */
  private rankOf(key: KeyName, voters: readonly RosterMember[]): number {
    const weight = (id: DiskId): string => createHash('sha256').update(`${key}/${id}`).digest('hex');
    const ranked = [...voters].sort((one, other) => (weight(one.id) < weight(other.id) ? -1 : 1));
    return ranked.findIndex((member) => member.id === this.replica.id);
  }
}
