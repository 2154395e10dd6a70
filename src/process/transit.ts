import type { BootId, Instant } from './brands.js';

const SPAN_MS = 60_000;
const MOST_SENDERS = 4096;
const NOTABLE_MS = 250;
const LIKE_MS = 100;
const SHIFT_MS = 1000;

interface Shift {
  readonly difference: number;
  readonly since: Instant;
}
interface Offsets {
  readonly since: Instant;
  readonly former: number;
  readonly present: number;
  readonly shift: Shift | null;
}

/**
 * How long messages were on their way, without comparing clocks of two machines: each carries its sender's
 * monotonic time, and the smallest difference to the arrival in the last minutes stands for a way without delay.
 * Messages that were held back arrive together with unlike delays; when a second's worth of messages all show the
 * same one, it is the sender's clock that stood still, and the measure starts anew.
 */
export class Transit {
  private readonly senders = new Map<BootId, Offsets>();

  /** The delay of a message beyond the fastest one that this sender's messages lately showed. */
  delayOf(sender: BootId, sentAt: number, arrival: Instant): number {
    const difference = arrival - sentAt;
    const known = this.senders.get(sender) ?? { since: arrival, former: Infinity, present: Infinity, shift: null };
    const fresh = arrival - known.since > SPAN_MS ? { ...known, since: arrival, former: known.present, present: Infinity } : known;
    const delay = difference - Math.min(fresh.former, fresh.present, difference);
    const shift = this.shiftOf(fresh.shift, delay, difference, arrival);
    const hasShifted = shift !== null && arrival - shift.since >= SHIFT_MS;
    this.senders.delete(sender);
    this.senders.set(sender, hasShifted ? { since: arrival, former: Infinity, present: difference, shift: null } : { ...fresh, present: Math.min(fresh.present, difference), shift });
    const [eldest] = this.senders.keys();
    if (this.senders.size > MOST_SENDERS && eldest !== undefined) this.senders.delete(eldest);
    return hasShifted ? 0 : delay;
  }

  private shiftOf(known: Shift | null, delay: number, difference: number, arrival: Instant): Shift | null {
    if (delay < NOTABLE_MS) return null;
    return known !== null && Math.abs(known.difference - difference) <= LIKE_MS ? known : { difference, since: arrival };
  }
}
