import { isIPv4 } from 'node:net';

const HIGHEST_PORT = 65_535;

declare const brandTag: unique symbol;

/** A type that shares its shape with T but can't be mixed up with another brand. */
export type Brand<T, Name extends string> = T & { readonly [brandTag]: Name };

export type ServiceName = Brand<string, 'ServiceName'>;
export type EndpointId = Brand<string, 'EndpointId'>;
export type InstanceId = Brand<string, 'InstanceId'>;
export type BindingId = Brand<string, 'BindingId'>;
export type BootId = Brand<string, 'BootId'>;
export type NodeName = Brand<string, 'NodeName'>;
export type ZoneName = Brand<string, 'ZoneName'>;
export type OrderId = Brand<string, 'OrderId'>;
export type DiskId = Brand<string, 'DiskId'>;
export type KeyName = Brand<string, 'KeyName'>;
/** The version of an endpoint's software, as the endpoint names it. */
export type VersionName = Brand<string, 'VersionName'>;
export type ChangeId = Brand<string, 'ChangeId'>;
export type Serial = Brand<number, 'Serial'>;
export type Epoch = Brand<number, 'Epoch'>;
/** Milliseconds of the monotonic clock of one process; never sent to another. */
export type Instant = Brand<number, 'Instant'>;
/** A length of time in milliseconds. */
export type Millis = Brand<number, 'Millis'>;

/** An address as `host:port`. */
export type Address = Brand<string, 'Address'>;

/** Gives a checked value its brand. */
export const brand = <B extends Brand<string | number, string>>(value: B extends string ? string : number): B =>
  value as unknown as B;

export const Address = {
  of: (host: string, port: number): Address => `${host}:${port}` as Address,
  host: (address: Address): string => address.slice(0, address.lastIndexOf(':')),
  port: (address: Address): number => Number(address.slice(address.lastIndexOf(':') + 1)),
  /** Whether a text is an IPv4 address and a port that can be connected to. */
  isValid: (text: string): boolean => {
    const [host, port, ...rest] = text.split(':');
    const isPort = port !== undefined && /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= HIGHEST_PORT;
    return rest.length === 0 && isPort && isIPv4(host ?? '');
  },
} as const;
