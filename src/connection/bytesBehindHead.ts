import type { Socket } from 'node:net';

const HEAD_END = '\r\n\r\n';

/**
 * Counts the bytes that come behind the head of an answer, for one answer of a connection after the other. Node's client
 * drops what follows an answer with `connection: close`; such an answer is not the endpoint's own, whole one.
 */
export class BytesBehindHead {
  /** The end of what came before, which may hold the beginning of the head's end. */
  private tail: Buffer | null = null;
  private count: number | null = null;
  /** After an interim answer the head that was found is not the last one. */
  private isSure = true;

  constructor(socket: Socket) {
    socket.on('data', (piece: Buffer) => this.add(piece));
  }

  /** A request is sent: what comes from now on is its answer. */
  begin(): void {
    this.tail = null;
    this.count = null;
    this.isSure = true;
  }

  /** An interim answer came. */
  doubt(): void {
    this.isSure = false;
  }

  /** How many came; null when that can't be told. */
  get bytes(): number | null {
    return this.isSure ? this.count : null;
  }

  private add(piece: Buffer): void {
    if (this.count !== null) {
      this.count += piece.length;
      return;
    }
    const joined = this.tail === null ? piece : Buffer.concat([this.tail, piece]);
    const found = joined.indexOf(HEAD_END);
    if (found === -1) this.tail = joined.subarray(Math.max(0, joined.length - HEAD_END.length + 1));
    else this.count = joined.length - found - HEAD_END.length;
  }
}
