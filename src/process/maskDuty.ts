import type { Logger } from 'pino';
import { MaskSnapshot, type EndpointRow, type MaskEntry } from '../version/snapshots.js';
import type { HealthRules } from '../version/manifest.js';
import type { Epoch, Instant, NodeName, Serial, ServiceName } from './brands.js';
import type { Clock } from './clock.js';
import type { OutcomeMerger } from './outcomeMerger.js';
import type { Registry } from './registry.js';

/** Whether this directory holds the duty for a service, and under which epoch. */
export interface DutyView {
  readonly self: NodeName;
  epochOf(service: ServiceName): Epoch | null;
}

/** A masked endpoint that is not listed, perhaps not yet, stays masked for so long. */
const UNLISTED_KEPT_MS = 120_000;
const isSame = (entry: MaskEntry, row: EndpointRow): boolean => entry.endpoint === row.id && entry.instance === row.instance;

/** Keeps the newest mask of every service, and makes new ones for those whose duty this directory holds. */
export class MaskDuty {
  private masks: ReadonlyMap<ServiceName, MaskSnapshot> = new Map();
  private probedAt: ReadonlyMap<string, Instant> = new Map();

  constructor(
    private readonly registry: Registry, private readonly merger: OutcomeMerger, private readonly duties: DutyView,
    private readonly clock: Clock, private readonly log: Logger, private readonly rulesNow: () => HealthRules,
    private readonly probe: (row: EndpointRow) => Promise<boolean>, private readonly onChange: (changed: readonly MaskSnapshot[]) => void,
  ) {}

  all(): readonly MaskSnapshot[] {
    return [...this.masks.values()];
  }

  /** Masks that another directory made. */
  learn(masks: readonly MaskSnapshot[]): void {
    const newer = masks.filter((mask) => MaskSnapshot.isLater(mask, this.masks.get(mask.service)));
    if (newer.length > 0) this.adopt(newer);
  }

  /** Judges every endpoint of the services in this directory's care. */
  judgeAll(): void {
    for (const service of this.registry.services()) this.judgeService(service);
    this.merger.keepOnly(this.registry.services().flatMap((service) => this.registry.rowsOf(service)));
  }

  /** Asks the hosts of masked endpoints to try them, and reactivates those that serve again. */
  async probeMasked(everyMs: number): Promise<void> {
    const due = this.all().filter((mask) => this.duties.epochOf(mask.service) !== null).flatMap((mask) =>
      this.registry.rowsOf(mask.service).filter((row) => mask.entries.some((entry) => isSame(entry, row))));
    await Promise.all(due.map(async (row) => {
      const key = `${row.service}/${row.id}/${row.instance}`;
      const now = this.clock.now();
      if (now - (this.probedAt.get(key) ?? -Infinity) < everyMs) return;
      this.probedAt = new Map([...[...this.probedAt].filter(([, at]) => now - at < 10 * everyMs), [key, now]]);
      const serves = await this.probe(row);
      this.log.info({ event: 'probed', service: row.service, endpoint: row.id, serves });
      if (serves) this.unmask(row);
    }));
  }

  private unmask(row: EndpointRow): void {
    const mask = this.masks.get(row.service);
    if (mask === undefined) return;
    this.merger.forgive(row);
    this.publish(row.service, mask.entries.filter((entry) => !isSame(entry, row)));
  }

  private judgeService(service: ServiceName): void {
    const rows = this.registry.rowsOf(service);
    const former = this.masks.get(service)?.entries ?? [];
    const kept = former.filter((entry) => rows.some((row) => isSame(entry, row)));
    const unlisted = former.filter((entry) => !rows.some((row) => row.id === entry.endpoint) && Date.now() - entry.since.getTime() < UNLISTED_KEPT_MS);
    const most = Math.min(Math.floor(rows.length * this.rulesNow().capShare), rows.length - 1);
    const wanted = rows.filter((row) => !kept.some((entry) => isSame(entry, row))).flatMap((row): readonly MaskEntry[] =>
      this.merger.verdict(row).mapOr([], (reason) => [{ endpoint: row.id, instance: row.instance, reason, since: new Date() }]));
    this.publish(service, [...[...kept, ...wanted].slice(0, Math.max(0, most)), ...unlisted]);
  }

  private publish(service: ServiceName, entries: readonly MaskEntry[]): void {
    const epoch = this.duties.epochOf(service);
    const former = this.masks.get(service);
    if (epoch === null || (former !== undefined && former.epoch > epoch)) return;
    const names = (list: readonly MaskEntry[]): string => list.map((entry) => `${entry.endpoint}/${entry.instance}`).join();
    if (former !== undefined && former.epoch === epoch && names(former.entries) === names(entries)) return;
    const mask: MaskSnapshot = { service, epoch, serial: (former?.epoch === epoch ? former.serial + 1 : 1) as Serial, entries, by: this.duties.self };
    this.log.info({ event: 'mask', service, epoch, serial: mask.serial, entries });
    this.adopt([mask]);
    this.onChange([mask]);
  }

  private adopt(masks: readonly MaskSnapshot[]): void {
    this.masks = new Map([...this.masks, ...masks.map((mask) => [mask.service, mask] as const)]);
  }
}
