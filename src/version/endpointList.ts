import { createHash } from 'node:crypto';
import { Map as Table, Set as Names } from 'immutable';
import type { BootId, InstanceId, Instant, NodeName, Serial, ServiceName } from '../process/brands.js';
import type { EndpointRow } from './snapshots.js';

/** What a host says of all endpoints of its machine. The host alone makes such words, and each replaces its earlier ones. */
export interface HostWord {
  readonly node: NodeName;
  readonly boot: BootId;
  /** Orders the boots of a host: each is above all that it heard of. */
  readonly life: number;
  /** Rises with each report of one boot. */
  readonly sequence: number;
  /** The sequence with which the endpoints last became what they are; null where the host does not say. */
  readonly changed: number | null;
  readonly manifest: Serial;
  readonly rows: readonly EndpointRow[];
  /** Nothing was heard of the host after this word: its endpoints are unlisted until it speaks again. */
  readonly isDropped: boolean;
}

/** By service, what tells one list from another. */
export type ServiceMarks = Readonly<Record<string, string>>;

const MARK_LENGTH = 10;
const inOrder = <T>(one: T, other: T): number => (one < other ? -1 : one > other ? 1 : 0);
const hash = (text: string): string => createHash('sha256').update(text).digest('base64url').slice(0, MARK_LENGTH);
const textOf = ({ node, nodeBoot, id, instance, address, zone, slots, leaving, hop, version }: EndpointRow): string =>
  JSON.stringify([node, nodeBoot, id, instance, address, zone, slots, leaving, hop, ...(version === undefined ? [] : [version])]);

export const HostWord = {
  /** Above 0 when the first of two words of one host is the later. */
  compare: (one: HostWord, other: HostWord): number =>
    one.life - other.life || inOrder(one.boot, other.boot) || one.sequence - other.sequence || Number(one.isDropped) - Number(other.isDropped),
} as const;

export const ListMark = {
  byService: (rows: readonly EndpointRow[]): ServiceMarks => {
    const texts = new Map<ServiceName, string[]>();
    for (const row of rows) texts.set(row.service, [...(texts.get(row.service) ?? []), textOf(row)]);
    return Object.fromEntries([...texts].sort(([one], [other]) => inOrder(one, other)).map(([service, of]) => [service, hash(of.sort().join())]));
  },
  /** The same for two lists of the same endpoints, whatever their order; windows and confirmation are no part of it. */
  of: (rows: readonly EndpointRow[]): string => ListMark.whole(ListMark.byService(rows)),
  whole: (marks: ServiceMarks): string => hash(JSON.stringify(marks)),
  /** The services whose marks differ. */
  unlike: (one: ServiceMarks, other: ServiceMarks): readonly ServiceName[] =>
    [...new Set([...Object.keys(one), ...Object.keys(other)])].filter((service) => one[service] !== other[service]).map((service) => service as ServiceName),
} as const;

/**
 * The latest word of every host, and the instances that departed for good. Two lists are joined host by host by the later
 * word and by the union of departures: in any order, any grouping and as often as one likes, the outcome is the same.
 */
export class EndpointList {
  private constructor(private readonly known: Table<NodeName, HostWord>, private readonly departures: Names<InstanceId>) {}

  static readonly empty = new EndpointList(Table(), Names());

  /** The same list when nothing is news. */
  join(words: readonly HostWord[], departed: readonly InstanceId[] = []): EndpointList {
    const later = words.filter((word) => this.isLater(word));
    const departures = this.departures.union(departed);
    if (later.length === 0 && departures === this.departures) return this;
    const known = later.reduce((table, word) => {
      const former = table.get(word.node);
      return former === undefined || HostWord.compare(word, former) > 0 ? table.set(word.node, word) : table;
    }, this.known);
    return new EndpointList(known, departures);
  }

  joinAll(other: EndpointList): EndpointList {
    return this.join(other.words(), other.departed());
  }

  isLater(word: HostWord): boolean {
    const former = this.known.get(word.node);
    return former === undefined || HostWord.compare(word, former) > 0;
  }

  /** Unlists hosts for silence. Only a later word of the host itself undoes it. */
  drop(nodes: readonly NodeName[]): EndpointList {
    return this.join(nodes.flatMap((node) => {
      const word = this.known.get(node);
      return word === undefined ? [] : [{ ...word, rows: [], isDropped: true }];
    }));
  }

  /** Lets go of what is past its time: no side can still list what these speak against. */
  forget(nodes: readonly NodeName[], departed: readonly InstanceId[]): EndpointList {
    return nodes.length + departed.length === 0 ? this : new EndpointList(this.known.deleteAll(nodes), this.departures.subtract(departed));
  }

  word(node: NodeName): HostWord | undefined {
    return this.known.get(node);
  }

  words(): readonly HostWord[] {
    return [...this.known.values()];
  }

  departed(): readonly InstanceId[] {
    return [...this.departures];
  }

  hasDeparted(instance: InstanceId): boolean {
    return this.departures.has(instance);
  }

  /** Every listed endpoint; a departed instance is not, whoever names it. */
  rows(): readonly EndpointRow[] {
    return this.words().flatMap((word) => this.rowsOf(word));
  }

  rowsOf(word: HostWord): readonly EndpointRow[] {
    return word.isDropped ? [] : word.rows.filter((row) => !this.departures.has(row.instance));
  }

  /** What another list lacks where its marks differ: the words that speak of those services, and those that list nothing. */
  wordsFor(services: readonly ServiceName[]): readonly HostWord[] {
    return services.length === 0 ? [] : this.words().filter((word) => word.rows.length === 0 || word.rows.some((row) => services.includes(row.service)));
  }
}

/** How late the list of one host is that a node was given. */
export interface ListedWord {
  readonly node: NodeName;
  readonly boot: BootId;
  readonly life: number;
  readonly changed: number;
}

/** What a node holds: its rows, and the latest word that it saw of each host, also of those that list nothing now. */
export interface HeldList {
  readonly rows: readonly EndpointRow[];
  readonly words: Table<NodeName, ListedWord & { readonly seenAt: Instant }>;
}

/** A word that no list has named for so long is forgotten. */
const SEEN_KEPT_MS = 3_600_000;
const isEarlier = (one: ListedWord, other: ListedWord): boolean => (one.life - other.life || inOrder(one.boot, other.boot) || one.changed - other.changed) < 0;
const wordOf = ({ node, nodeBoot, life, changed }: EndpointRow): readonly ListedWord[] => (life === undefined || changed === undefined ? [] : [{ node, boot: nodeBoot, life, changed }]);

export const HeldList = {
  empty: { rows: [], words: Table() } as HeldList,
  /** A directory's list on top of what the node holds: a host's earlier word does not replace its later one. */
  after: (held: HeldList, rows: readonly EndpointRow[], without: readonly ListedWord[], now: Instant): HeldList => {
    const said = new Map([...without, ...rows.flatMap(wordOf)].map((word) => [word.node, word] as const));
    const outdated = new Set([...said.values()].filter((word) => {
      const known = held.words.get(word.node);
      return known !== undefined && isEarlier(word, known);
    }).map((word) => word.node));
    const kept = held.rows.filter((row) => outdated.has(row.node));
    return {
      rows: outdated.size === 0 ? rows : [...rows.filter((row) => !outdated.has(row.node)), ...kept],
      words: held.words.filter(({ seenAt }) => now - seenAt < SEEN_KEPT_MS).withMutations((words) => said.forEach((word) => { if (!outdated.has(word.node)) words.set(word.node, { ...word, seenAt: now }); })),
    };
  },
} as const;
