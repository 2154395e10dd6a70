import Joi from 'joi';
import type { Address, BootId, EndpointId, Epoch, InstanceId, NodeName, Serial, ServiceName, VersionName, ZoneName } from '../process/brands.js';
import type { ListedWord } from './endpointList.js';
import type { Manifest } from './manifest.js';

/** One endpoint as its own machine's switchboard knows it. */
export interface EndpointRow {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly instance: InstanceId;
  readonly address: Address;
  readonly zone: ZoneName;
  readonly slots: number;
  /** Of its software; absent until its first heartbeat came, and where endpoints name none. */
  readonly version?: VersionName;
  readonly leaving: boolean;
  readonly node: NodeName;
  readonly nodeBoot: BootId;
  /** In a maintenance window: takes no new orders while others serve. */
  readonly resting?: boolean;
  /** Its host has not been heard of lately by the directory that tells of it. */
  readonly unconfirmed?: boolean;
  /** How late the word of its host is: see `HostWord`. */
  readonly life?: number;
  readonly changed?: number;
  /** Where the switchboard of its machine takes orders from other switchboards. */
  readonly hop: Address;
}

export interface ManifestSnapshot {
  readonly serial: Serial;
  readonly manifest: Manifest;
}

/** All listed endpoints as one directory sees them; serials count within one boot of that directory. */
export interface EndpointSnapshot {
  readonly directory: BootId;
  readonly serial: Serial;
  readonly rows: readonly EndpointRow[];
  /** Hosts whose latest word lists nothing. */
  readonly without?: readonly ListedWord[];
  /** Where it is only a difference: the serial that it builds on, and the keys of the rows that are gone since. */
  readonly since?: Serial;
  readonly gone?: readonly string[];
}

export interface MaskEntry {
  readonly endpoint: EndpointId;
  readonly instance: InstanceId;
  readonly reason: string;
  readonly since: Date;
}

/** The endpoints of one service that no caller shall pick, ordered by the epoch of the duty and a serial. */
export interface MaskSnapshot {
  readonly service: ServiceName;
  readonly epoch: Epoch;
  readonly serial: Serial;
  readonly entries: readonly MaskEntry[];
  /** The directory that made it: it has the duty, and merges what callers count. */
  readonly by?: NodeName;
}

const text = Joi.string().max(256).required();
const whole = Joi.number().integer().min(0).required();
export const endpointRowShape = Joi.object({
  id: text, service: text, instance: text, address: text, zone: text, slots: whole, version: Joi.string().max(128), leaving: Joi.boolean().required(), node: text, nodeBoot: text, hop: text, resting: Joi.boolean(),
  unconfirmed: Joi.boolean(), life: Joi.number().min(0), changed: Joi.number().integer().min(0),
});
export const maskSnapshotShape = Joi.object({
  service: text, epoch: whole, serial: whole, by: Joi.string().max(64),
  entries: Joi.array().items(Joi.object({ endpoint: text, instance: text, reason: Joi.string().required(), since: Joi.date().required() })).required(),
});
const listedWordShape = Joi.object({ node: text, boot: text, life: Joi.number().min(0).required(), changed: whole });
export const endpointSnapshotShape = Joi.object({ directory: text, serial: whole, rows: Joi.array().items(endpointRowShape).required(), without: Joi.array().items(listedWordShape), since: Joi.number().integer().min(0), gone: Joi.array().items(Joi.string().max(600)) });
export const manifestSnapshotShape = Joi.object({ serial: whole, manifest: Joi.object({ services: Joi.array().required(), bindings: Joi.array().required(), health: Joi.object().required(), allowance: Joi.object().required(), limits: Joi.object().required(), source: Joi.string().allow(null) }).required() });

export const MaskSnapshot = {
  /** Whether a mask names this instance of an endpoint. */
  holds: (mask: MaskSnapshot | undefined, row: EndpointRow): boolean => mask?.entries.some((entry) => entry.endpoint === row.id && entry.instance === row.instance) ?? false,
  /** Whether one mask is later than another of the same service. */
  isLater: (one: MaskSnapshot, other: MaskSnapshot | undefined): boolean =>
    other === undefined || one.epoch > other.epoch || (one.epoch === other.epoch && one.serial > other.serial),
} as const;

/** Makes the key of a row once: rows are snapshots and never change. */
export const rowKey = (make: (row: EndpointRow) => string): ((row: EndpointRow) => string) => {
  const keys = new WeakMap<EndpointRow, string>();
  return (row) => {
    const known = keys.get(row);
    if (known !== undefined) return known;
    const key = make(row);
    keys.set(row, key);
    return key;
  };
};

/** The key of a row within one directory's list: its host and its endpoint. */
export const listKey = rowKey((row) => `${row.node}/${row.id}`);

export const EndpointSnapshot = {
  /** The whole list that a directory's news leave at a node that has an earlier list of it; null when the news build on another one. */
  after: (known: EndpointSnapshot | null, news: EndpointSnapshot): EndpointSnapshot | null => {
    if (news.since === undefined) return news;
    if (known === null || known.directory !== news.directory || known.serial !== news.since) return null;
    const rows = new Map(known.rows.map((row) => [listKey(row), row] as const));
    news.gone?.forEach((key) => rows.delete(key));
    news.rows.forEach((row) => rows.set(listKey(row), row));
    return { directory: news.directory, serial: news.serial, rows: [...rows.values()], ...(news.without === undefined ? {} : { without: news.without }) };
  },
} as const;
