import type { Serial } from '../process/brands.js';
import { listKey, type EndpointRow, type EndpointSnapshot } from './snapshots.js';

/** So many serials back a difference can be told; who is further behind gets the whole list. */
const SERIALS_KEPT = 200;

/** Where each row of a list last became what it is, and which rows went lately: what a node is told that has an earlier list. */
export class ListChanges {
  static readonly none = new ListChanges(new Map(), new Map());

  private constructor(private readonly changedAt: ReadonlyMap<string, Serial>, private readonly goneAt: ReadonlyMap<string, Serial>) {}

  /** The list of this serial has come after the former one. */
  after(former: readonly EndpointRow[], rows: readonly EndpointRow[], serial: Serial): ListChanges {
    const known = new Map(former.map((row) => [listKey(row), JSON.stringify(row)] as const));
    const changedAt = new Map(rows.map((row) => {
      const key = listKey(row);
      return [key, known.get(key) === JSON.stringify(row) ? this.changedAt.get(key) ?? serial : serial] as const;
    }));
    const goneAt = new Map([...this.goneAt].filter(([key, at]) => !changedAt.has(key) && at > serial - SERIALS_KEPT));
    for (const key of known.keys()) if (!changedAt.has(key)) goneAt.set(key, serial);
    return new ListChanges(changedAt, goneAt);
  }

  /** What a list has beyond its own earlier serial; null when that is too long ago. */
  since(whole: EndpointSnapshot, serial: Serial): EndpointSnapshot | null {
    if (serial <= 0 || serial > whole.serial || serial < whole.serial - SERIALS_KEPT) return null;
    const rows = whole.rows.filter((row) => (this.changedAt.get(listKey(row)) ?? whole.serial) > serial);
    return { ...whole, rows, since: serial, gone: [...this.goneAt].filter(([, at]) => at > serial).map(([key]) => key) };
  }
}
