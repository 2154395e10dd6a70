import { createHash } from 'node:crypto';
import { Gauge } from 'prom-client';
import type { Epoch, Instant, KeyName } from './brands.js';
import { KeyHolder } from './keyHolder.js';
import type { Frame } from './program.js';
import type { VoterLink } from './quorum.js';
import type { PlaceSettings } from './settings.js';

const RENEW_MS = 600;
const RANK_MS = 400;

interface Duty {
  readonly held: KeyHolder;
  readonly nextTry: Instant;
  readonly lastRenewal: Instant;
}

/** The duties that directories share out among themselves, each under a lease of the ratebooks' majority. */
export class Duties {
  private duties: ReadonlyMap<KeyName, Duty> = new Map();
  private isStopping = false;

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly link: VoterLink, private readonly rivals: () => readonly string[]) {
    const view = (): ReadonlyMap<KeyName, Duty> => this.duties;
    new Gauge({ name: 'opalstair_duty_epoch', help: 'Epoch of each duty held here; 0 when it is not held', labelNames: ['duty'], registers: [frame.metrics], collect() { view().forEach(({ held }, key) => this.set({ duty: key }, held.isHeld() ? held.epoch : 0)); } });
  }

  /** The epoch under which the duty is held right now; null when it is not. */
  epochOf(key: KeyName): Epoch | null {
    const duty = this.duties.get(key);
    return duty !== undefined && duty.held.isHeld() ? duty.held.epoch : null;
  }

  /** Tries to hold the named duties, and keeps those that are held. */
  async strive(keys: readonly KeyName[]): Promise<void> {
    if (this.isStopping) return;
    const fresh = keys.filter((key) => !this.duties.has(key));
    this.duties = new Map([...this.duties, ...fresh.map((key): [KeyName, Duty] => [key, this.begin(key)])]);
    await Promise.all([...this.duties].map(([key, duty]) => this.striveFor(key, duty)));
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all([...this.duties.values()].filter(({ held }) => held.isHeld()).map(({ held }) => held.release()));
  }

  private begin(key: KeyName): Duty {
    const held = new KeyHolder(key, `${this.frame.settings.node}@${this.frame.boot}`, this.link, this.frame.clock);
    return { held, nextTry: this.inRank(key), lastRenewal: -Infinity as Instant };
  }

  private async striveFor(key: KeyName, duty: Duty): Promise<void> {
    const now = this.frame.clock.now();
    if (duty.held.isHeld()) {
      if (now - duty.lastRenewal < RENEW_MS) return;
      this.put(key, { ...duty, lastRenewal: now });
      await duty.held.renew();
    } else if (now >= duty.nextTry) {
      this.put(key, { ...duty, nextTry: (now + 5000) as Instant });
      const claimed = await duty.held.claim();
      this.put(key, { held: duty.held, lastRenewal: now, nextTry: this.inRank(key) });
      if (claimed.isOk()) this.frame.log.info({ event: 'duty-taken', duty: key, epoch: duty.held.epoch });
    }
  }

  private put(key: KeyName, duty: Duty): void {
    this.duties = new Map([...this.duties, [key, duty]]);
  }

  /** When to try next: the first in the hash order of this duty soon, the others later. */
  private inRank(key: KeyName): Instant {
    const weight = (name: string): string => createHash('sha256').update(`${key}/${name}`).digest('hex');
    const place = [...this.rivals()].sort((one, other) => (weight(one) < weight(other) ? -1 : 1)).indexOf(this.frame.settings.node);
    return (this.frame.clock.now() + 300 + Math.max(0, place) * RANK_MS + Math.random() * 200) as Instant;
  }
}
