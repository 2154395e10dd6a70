import type { HopVerdict, VerdictAnswer, VerdictAsk } from '../connection/hopCalls.js';
import type { BootId, Instant } from './brands.js';
import type { Clock } from './clock.js';

const ANSWER_KEPT_MS = 15_000;
const MARK_KEPT_MS = 90_000;
/** The most that kept answers may take, in bytes. */
const MOST_BYTES = 64 * 1024 * 1024;
const MOST_MARKS = 200_000;
const MOST_CALLERS = 4096;

interface Page {
  readonly callerBoot: BootId;
  readonly hop: number;
  readonly at: Instant;
}
interface Answer extends Page {
  readonly verdict: HopVerdict;
  readonly bytes: number;
}
interface Mark extends Page {
  readonly isFenced: boolean;
}

export type Opening =
  | { readonly kind: 'fresh'; readonly settle: (verdict: HopVerdict) => void }
  | { readonly kind: 'known'; readonly verdict: Promise<HopVerdict> }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'tooOld' };

const sizeOf = (verdict: HopVerdict): number => (verdict.kind === 'answered' ? verdict.answer.body.length + 1000 : 200);

const eldestOf = <T>(pages: ReadonlyMap<string, T>): readonly [string, T] | null => pages.entries().next().value ?? null;

/**
 * Which hops this boot has run. A hop is run once at most: it is running, then answered, then a mark, and
 * below a caller's floor its mark may be gone: such a hop is neither run nor called unseen.
 */
export class VerdictBook {
  private readonly running = new Map<string, Promise<HopVerdict>>();
  private readonly answers = new Map<string, Answer>();
  private readonly marks = new Map<string, Mark>();
  private readonly floors = new Map<BootId, number>();
  private forgotCallers = false;
  private bytes = 0;

  constructor(private readonly clock: Clock, private readonly mostBytes = MOST_BYTES) {}

  /** The page of a hop that has just come in; a fresh one must be settled. */
  open(callerBoot: BootId, hop: number): Opening {
    this.prune();
    const key = `${callerBoot}/${hop}`;
    const known = this.running.get(key) ?? this.answers.get(key)?.verdict;
    if (known !== undefined) return { kind: 'known', verdict: Promise.resolve(known) };
    if (this.marks.get(key)?.isFenced) return { kind: 'fenced' };
    if (this.marks.has(key) || this.mayHaveDropped(callerBoot, hop)) return { kind: 'tooOld' };
    let tell: (verdict: HopVerdict) => void = () => undefined;
    this.running.set(key, new Promise<HopVerdict>((settled) => { tell = settled; }));
    return {
      kind: 'fresh',
      settle: (verdict) => {
        const bytes = sizeOf(verdict);
        this.running.delete(key);
        this.answers.set(key, { callerBoot, hop, at: this.clock.now(), verdict, bytes });
        this.bytes += bytes;
        tell(verdict);
      },
    };
  }

  /** What became of a hop; one that never came in is fenced, so that it can't run later. */
  async lookUp(ask: VerdictAsk): Promise<VerdictAnswer> {
    this.prune();
    const key = `${ask.callerBoot}/${ask.hop}`;
    const known = this.running.get(key) ?? this.answers.get(key)?.verdict;
    if (known !== undefined) return known;
    const mark = this.marks.get(key);
    if (mark !== undefined) return { kind: mark.isFenced ? 'neverSeen' : 'forgotten' };
    if (this.mayHaveDropped(ask.callerBoot, ask.hop)) return { kind: 'forgotten' };
    this.marks.set(key, { callerBoot: ask.callerBoot, hop: ask.hop, at: this.clock.now(), isFenced: true });
    return { kind: 'neverSeen' };
  }

  private mayHaveDropped(callerBoot: BootId, hop: number): boolean {
    const floor = this.floors.get(callerBoot);
    return floor === undefined ? this.forgotCallers : hop <= floor;
  }

  private prune(): void {
    const now = this.clock.now();
    for (let eldest = eldestOf(this.answers); eldest !== null; eldest = eldestOf(this.answers)) {
      const [key, answer] = eldest;
      if (now - answer.at <= ANSWER_KEPT_MS && this.bytes <= this.mostBytes) break;
      this.answers.delete(key);
      this.bytes -= answer.bytes;
      this.marks.set(key, { callerBoot: answer.callerBoot, hop: answer.hop, at: now, isFenced: false });
    }
    for (let eldest = eldestOf(this.marks); eldest !== null; eldest = eldestOf(this.marks)) {
      const [key, mark] = eldest;
      if (now - mark.at <= MARK_KEPT_MS && this.marks.size <= MOST_MARKS) break;
      this.marks.delete(key);
      this.raiseFloor(mark);
    }
  }

  private raiseFloor(mark: Mark): void {
    this.floors.set(mark.callerBoot, Math.max(this.floors.get(mark.callerBoot) ?? -1, mark.hop));
    const [eldestCaller] = this.floors.keys();
    if (this.floors.size <= MOST_CALLERS || eldestCaller === undefined) return;
    this.floors.delete(eldestCaller);
    this.forgotCallers = true;
  }
}
