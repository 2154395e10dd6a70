import { readdirSync, readFileSync } from 'node:fs';
import { createConnection, type Socket } from 'node:net';
import type { Daemon } from '../src/fleet/daemon.js';
import { until } from '../src/fleet/fleet.js';

const MIB = 1024 * 1024;
const COME_AGAIN_MS = 50;
const PIECE = 64 * 1024;
const ENOUGH_HEARD = 64 * 1024;

/** Where a crowd knocks, and as what. */
export interface CrowdDoor {
  readonly host: string;
  readonly port: number;
}

/** One client that writes bytes as they are; it reads unless it is paused, and keeps the beginning of what it hears. */
export class CrowdClient {
  heard = '';
  isClosed = false;
  private readonly closed: Promise<void>;

  private constructor(private readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => { if (this.heard.length < ENOUGH_HEARD) this.heard += chunk.toString('latin1'); });
    this.closed = new Promise((settle) => {
      socket.once('close', () => {
        this.isClosed = true;
        settle();
      });
    });
  }

  /** Resolves when the connection stands, or has failed. */
  static open({ host, port }: CrowdDoor, isReading = true): Promise<CrowdClient> {
    return new Promise((settle) => {
      const socket = createConnection({ host, port, noDelay: true });
      const client = new CrowdClient(socket);
      if (!isReading) socket.pause();
      socket.once('connect', () => settle(client));
      void client.closed.then(() => settle(client));
    });
  }

  /** Resolves once the other side has taken the bytes, or closed, or stopped reading for as long as the caller cares. */
  async write(bytes: Buffer | string): Promise<void> {
    if (this.isClosed) return;
    await Promise.race([this.closed, new Promise<void>((settle) => { 
      this.socket.write(bytes, (error) => {
        this.isClosed ||= error !== undefined && error !== null;
        settle();
      });
    })]);
  }

  /** The status of the first answer; 0 while none has come. */
  get status(): number {
    return Number(/^HTTP\/1\.1 (\d{3})/.exec(this.heard)?.[1] ?? 0);
  }

  /** Resolves with the first answer's status, 0 when the connection closed without one. */
  answered(): Promise<number> {
    return until('an answer, or the end', () => (this.status > 0 ? { status: this.status } : this.isClosed ? { status: 0 } : null)).then(({ status }) => status);
  }

  /** Reads for a moment, and then nothing for so long, in milliseconds. */
  async sip(restMs: number): Promise<void> {
    this.socket.resume();
    await new Promise((settle) => { setTimeout(settle, 2); });
    this.socket.pause();
    await new Promise((settle) => { setTimeout(settle, restMs); });
  }

  whenClosed(): Promise<void> {
    return this.closed;
  }

  leave(): void {
    this.socket.destroy();
  }
}

/** Many clients that do the same at once; each goes on for as long as its script does, and stays until the crowd leaves. */
export class Crowd {
  private isLeaving = false;
  private readonly present = new Set<CrowdClient>();

  private constructor(readonly clients: readonly CrowdClient[], private readonly scripts: readonly Promise<void>[]) {}

  static async gather(door: CrowdDoor, count: number, script: (client: CrowdClient, index: number) => Promise<void>, isReading = true): Promise<Crowd> {
    const clients = await Promise.all(Array.from({ length: count }, () => CrowdClient.open(door, isReading)));
    return new Crowd(clients, clients.map((client, index) => script(client, index)));
  }

  /** Resolves when every client has done what it does. */
  async done(): Promise<void> {
    await Promise.all(this.scripts);
  }

  /** Opens a connection anew for each that the other side ends, until the crowd leaves. */
  async keepComing(door: CrowdDoor): Promise<void> {
    await Promise.all(this.clients.map(async (first) => {
      for (let client = first; !this.isLeaving; client = await CrowdClient.open(door)) {
        this.present.add(client);
        await client.whenClosed();
        this.present.delete(client);
        await new Promise((settle) => { setTimeout(settle, COME_AGAIN_MS); });
      }
    }));
  }

  get open(): number {
    return this.clients.filter((client) => !client.isClosed).length;
  }

  leave(): void {
    this.isLeaving = true;
    [...this.clients, ...this.present].forEach((client) => client.leave());
  }
}

/** The head of a request to `/line/...`, without its last empty line. */
export const headOf = (method: string, path: string, more: readonly string[] = []): string =>
  [`${method} ${path} HTTP/1.1`, 'Host: shop.example', `Attempt-Id: crowd-${Math.random().toString(36).slice(2)}`, 'Deadline-Remaining: 10000', ...more].map((line) => `${line}\r\n`).join('');

/** So many chunks of one size each, with an extension perhaps, in pieces that are ready to be written. */
export const chunks = (count: number, size: number, extension = ''): readonly Buffer[] => {
  const one = `${size.toString(16)}${extension}\r\n${'x'.repeat(size)}\r\n`;
  const perPiece = Math.max(1, Math.floor(PIECE / one.length));
  const whole = Buffer.from(one.repeat(perPiece));
  const pieces = Array.from({ length: Math.floor(count / perPiece) }, () => whole);
  return [...pieces, Buffer.from(one.repeat(count % perPiece))];
};

export const LAST_CHUNK = '0\r\n\r\n';

/** Writes pieces one after the other, each when the one before was taken. */
export const writeAll = async (client: CrowdClient, pieces: readonly (Buffer | string)[]): Promise<void> => {
  for (const piece of pieces) await client.write(piece);
};

/** Pieces of a body of so many bytes that is sent by its length. */
export const plainBody = (length: number): readonly Buffer[] => {
  const piece = Buffer.alloc(PIECE, 'x');
  return Array.from({ length: Math.ceil(length / PIECE) }, (_, index) => piece.subarray(0, Math.min(PIECE, length - index * PIECE)));
};

/** The most memory that a process ever had, in MiB. */
export const peakMiB = (daemon: Daemon): number => Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${daemon.pid}/status`, 'utf8'))?.[1] ?? Number.NaN) * 1024 / MIB;

/** How many descriptors a process has open. */
export const openDescriptors = (daemon: Daemon): number => readdirSync(`/proc/${daemon.pid}/fd`).length;
