import type { Address, EndpointId, InstanceId, ServiceName, VersionName, ZoneName } from './brands.js';
import { Defect } from './defect.js';
import type { DepartureMark } from '../version/departureMark.js';

/** The number of the announcement of an endpoint that was asked for it: below that of any heartbeat. */
export const MET_SEQUENCE = -1;

/** What an endpoint says of itself in each beat. */
export interface Announcement {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly address: Address;
  readonly instance: InstanceId;
  readonly zone: ZoneName;
  readonly probe: string;
  readonly slots: number;
  /** Of its software, where it names one. */
  readonly version?: VersionName;
  /** How much longer it is slow from its start, in milliseconds. */
  readonly coldMs?: number;
  readonly leaving: boolean;
  readonly nonce: string;
  /** The endpoint refuses what is meant for another instance, so a beat need not prove when it was sent. */
  readonly fenced: boolean;
  /** Rises with each beat, so that a late one is known; null where beats are not numbered. */
  readonly sequence: number | null;
}

export interface BeatAnswer {
  readonly nonce: string;
  /** Whether this beat counted; if not, the endpoint beats again at once with the nonce. */
  readonly counted: boolean;
  readonly leaving: boolean;
  readonly running: number;
}

/** The instance has signed off: its later heartbeats are late ones. */
export class Departed extends Defect {
  readonly kind = 'departed';
}

/** The mark that other processes hold of an instance that this host has just heard of; null when there is none. */
export type FindMark = (said: Announcement) => Promise<DepartureMark['state'] | null>;
