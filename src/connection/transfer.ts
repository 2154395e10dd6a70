import { BSON } from 'bson';
import type { WebSocket } from 'ws';
import type { Holding } from '../process/memoryBudget.js';
import { BodyCollector, type Body } from './body.js';

/** A body longer than this, in bytes, goes over a link in parts, after the receiver has made room for all of it. */
export const INLINE_BYTES = 64 * 1024;
const PART_BYTES = 64 * 1024;

/** What a message says of the body that belongs to it. Only a receiver that has said `go` gets parts. */
export interface TransferFrame {
  readonly number: number;
  /** The length of a body that wants to come, in bytes. */
  readonly offer?: number;
  /** There is room for the body that was offered. */
  readonly go?: true;
  readonly part?: Uint8Array;
  /** Nothing more of this call is wanted. */
  readonly drop?: true;
}

/** A body on its way in, of a length for which room has been made. */
export class IncomingBody {
  private readonly collector: BodyCollector;

  constructor(holding: Holding, private readonly length: number) {
    this.collector = new BodyCollector(holding, true);
  }

  /** Whether the part still belongs to what was offered. */
  add(part: Uint8Array): boolean {
    return this.collector.length + part.length <= this.length && this.collector.add(part);
  }

  /** The body, if it is whole; null while parts are missing. */
  whole(): Body | null {
    return this.collector.length === this.length ? this.collector.body() : null;
  }

  static async admit(holding: Holding, length: number): Promise<IncomingBody | null> {
    return await holding.takeSoon(length) ? new IncomingBody(holding, length) : null;
  }
}

/** Whether an offer names a length that a body can have. */
export const isLength = (offer: unknown): offer is number => typeof offer === 'number' && Number.isSafeInteger(offer) && offer > 0;

/** Sends one frame; resolves once it has been handed to the network, with whether it was. */
export const sendFrame = (socket: WebSocket, frame: TransferFrame): Promise<boolean> => new Promise((settle) => {
  socket.send(BSON.serialize(frame), (error) => settle(error === undefined || error === null));
});

/** Sends a body in parts, each when the one before has gone; resolves with whether all of it went. */
export const sendParts = async (socket: WebSocket, number: number, body: Body, holding: Holding, isWanted: () => boolean): Promise<boolean> => {
  for (const block of body.blocks) {
    for (let from = 0; from < block.length; from += PART_BYTES) {
      const part = block.subarray(from, from + PART_BYTES);
      if (!isWanted() || !(await sendFrame(socket, { number, part }))) return false;
      holding.turnedOver(part.length);
    }
  }
  return true;
};
