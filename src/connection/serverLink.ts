import { BSON } from 'bson';
import type { WebSocket } from 'ws';
import { Clock } from '../process/clock.js';
import { STALL_MS, type Holding, type MemoryBudget } from '../process/memoryBudget.js';
import type { Body } from './body.js';
import { INLINE_BYTES, IncomingBody, isLength, sendFrame, sendParts, type TransferFrame } from './transfer.js';

/** Says that a call was not looked at because there is no room for it. */
export const NO_ROOM = 'no room';
/** Calls of one link whose bodies may be on their way at once. */
const MOST_TRANSFERS = 64;

/** A message as it came, with its body where that came in parts. */
export interface Call {
  readonly number: number;
  readonly path: string;
  readonly message: object;
  readonly body: Body | null;
  /** The bytes of this call; closed when the answer has gone. */
  readonly holding: Holding;
}

/** An answer whose body goes in parts when it is long. */
export class WithBody {
  constructor(readonly answer: object, readonly body: Body, /** The same answer in one message. */ readonly inline: () => object) {}
}

interface Transfer {
  readonly holding: Holding;
  incoming: IncomingBody | null;
  onGo: (isWanted: boolean) => void;
  isDropped: boolean;
}

const frameShape = (document: Readonly<Record<string, unknown>>): document is TransferFrame & Readonly<Record<string, unknown>> =>
  isLength(document['offer']) || document['part'] instanceof Uint8Array || document['go'] === true || document['drop'] === true;

/** The serving side of one link: puts the parts of bodies together, hands whole calls on, sends answers. */
export class ServerLink {
  private readonly transfers = new Map<number, Transfer>();
  /** Calls that are being answered. */
  private readonly running = new Map<number, Holding>();

  constructor(private readonly socket: WebSocket, private readonly memory: MemoryBudget, private readonly takesParts: boolean, private readonly onCall: (call: Call) => void, private readonly onFault: (reason: string) => void) {
    socket.on('close', () => this.ended());
  }

  /** Takes one message of the link. */
  hear(bytes: Buffer): void {
    let document: Readonly<Record<string, unknown>>;
    try {
      document = BSON.deserialize(bytes, { promoteBuffers: true, promoteValues: true });
    } catch {
      return this.onFault('not BSON');
    }
    const { number, path, message } = document;
    if (typeof number !== 'number') return this.onFault('no envelope');
    if (typeof path === 'string' && typeof message === 'object' && message !== null) return this.takeCall(number, path, message, bytes.length);
    if (frameShape(document)) return this.takeFrame(document);
    this.onFault('no envelope');
  }

  /** Says why a call was not looked at, or could not be read. */
  refuse(number: number, refused: string, holding: Holding | null = null): void {
    this.running.delete(number);
    this.socket.send(BSON.serialize({ number, refused }), () => holding?.close());
  }

  /** Answers a call and gives back what it held; the number of bytes that were sent. */
  answer({ number, holding }: Call, answer: object | WithBody): number {
    this.running.delete(number);
    const isParted = answer instanceof WithBody && answer.body.length > INLINE_BYTES && this.takesParts;
    if (isParted) {
      void this.sendParted(number, answer, holding);
      return answer.body.length;
    }
    const bytes = BSON.serialize({ number, answer: answer instanceof WithBody ? answer.inline() : answer }, { ignoreUndefined: true });
    if (!holding.take(bytes.length)) {
      this.onFault('no room for an answer');
      return 0;
    }
    this.socket.send(bytes, () => holding.close());
    return bytes.length;
  }

  private async sendParted(number: number, { answer, body }: WithBody, holding: Holding): Promise<void> {
    const transfer: Transfer = { holding, incoming: null, onGo: () => undefined, isDropped: false };
    this.transfers.set(number, transfer);
    const isWanted = new Promise<boolean>((settle) => { transfer.onGo = settle; });
    const isOffered = await sendFrame(this.socket, { number, offer: body.length });
    if (isOffered && await isWanted && await sendParts(this.socket, number, body, holding, () => !transfer.isDropped)) {
      await new Promise<void>((settle) => { this.socket.send(BSON.serialize({ number, answer, isParted: true }, { ignoreUndefined: true }), () => settle()); });
    }
    this.transfers.delete(number);
    holding.close();
  }

  private takeCall(number: number, path: string, message: object, length: number): void {
    const transfer = this.transfers.get(number);
    this.transfers.delete(number);
    const body = transfer?.incoming?.whole() ?? null;
    if (transfer !== undefined && body === null) return this.onFault('a body that is not whole');
    const holding = transfer?.holding ?? this.memory.open();
    holding.keep();
    if (!holding.take(length)) return this.refuse(number, NO_ROOM, holding);
    this.running.set(number, holding);
    this.onCall({ number, path, message, body, holding });
  }

  private takeFrame({ number, offer, part, go, drop }: TransferFrame): void {
    const transfer = this.transfers.get(number);
    if (offer !== undefined) return this.admit(number, offer);
    if (drop === true) this.running.get(number)?.abandon();
    if (transfer === undefined) return;
    if (go === true) transfer.onGo(true);
    else if (drop === true) this.drop(number, transfer);
    else if (part !== undefined) this.takePart(number, part, transfer);
  }

  private takePart(number: number, part: Uint8Array, transfer: Transfer): void {
    if (transfer.incoming?.add(part) !== true) return this.onFault('parts that nobody offered');
    this.mayYield(number, transfer);
  }

  /** A body that stands still is let go when others need its room. */
  private mayYield(number: number, transfer: Transfer): void {
    transfer.holding.yieldAt(Clock.monotonic.now() + STALL_MS, () => {
      this.drop(number, transfer);
      this.refuse(number, NO_ROOM);
    });
  }

  /** A body wants to come: its caller is told at once whether there is room. */
  private admit(number: number, length: number): void {
    if (this.transfers.has(number) || this.transfers.size >= MOST_TRANSFERS) return this.onFault('too many bodies');
    const holding = this.memory.open();
    if (!holding.take(length)) {
      this.memory.noteRefusal();
      return this.refuse(number, NO_ROOM, holding);
    }
    const transfer: Transfer = { holding, incoming: new IncomingBody(holding, length), onGo: () => undefined, isDropped: false };
    this.transfers.set(number, transfer);
    this.mayYield(number, transfer);
    void sendFrame(this.socket, { number, go: true });
  }

  private drop(number: number, transfer: Transfer): void {
    transfer.isDropped = true;
    transfer.onGo(false);
    if (transfer.incoming === null) return;
    this.transfers.delete(number);
    transfer.holding.close();
  }

  /** Bodies on their way are given up. Calls that run go on: their callers will ask what became of them. */
  private ended(): void {
    this.transfers.forEach((transfer, number) => this.drop(number, transfer));
  }
}
