import type { BindingId, OrderId, Serial, ServiceName } from './brands.js';
import type { AttemptRecord } from '../request/orderOwner.js';
import type { Pick } from './picker.js';

/** Why an order went where it went. */
export interface Trace {
  readonly order: OrderId;
  readonly at: Date;
  readonly method: string;
  readonly url: string;
  readonly serial: Serial;
  readonly binding: BindingId | null;
  readonly service: ServiceName | null;
  readonly picks: readonly Pick[];
  readonly rounds: readonly AttemptRecord[];
  readonly ending: string;
  readonly tookMs: number;
}

/** The latest orders of this switchboard, a bounded number of them. */
export class Traces {
  private readonly kept = new Map<OrderId, Trace>();

  constructor(private readonly most: number) {}

  keep(trace: Trace): void {
    if (this.most === 0) return;
    this.kept.set(trace.order, trace);
    const [eldest] = this.kept.keys();
    if (this.kept.size > this.most && eldest !== undefined) this.kept.delete(eldest);
  }

  find(order: OrderId): Trace | null {
    return this.kept.get(order) ?? null;
  }
}
