const FIRST_BLOCK_BYTES = 4 * 1024;
const MOST_BLOCK_BYTES = 256 * 1024;

/** The bytes of a request or an answer, in blocks that are never joined. */
export class Body {
  static readonly empty = new Body([], 0);

  private constructor(readonly blocks: readonly Uint8Array[], readonly length: number) {}

  static of(bytes: Uint8Array): Body {
    return bytes.length === 0 ? Body.empty : new Body([bytes], bytes.length);
  }

  static ofBlocks(blocks: readonly Uint8Array[]): Body {
    return new Body(blocks, blocks.reduce((sum, block) => sum + block.length, 0));
  }

  /** All bytes in one piece; a body of more than one block is copied. */
  joined(): Uint8Array {
    const [only] = this.blocks;
    return only === undefined ? new Uint8Array() : this.blocks.length === 1 ? only : Buffer.concat(this.blocks);
  }
}

/** Where the bytes of a body are taken from. */
export interface BodyRoom {
  take(bytes: number): boolean;
  /** So many bytes were copied: as many are of no use any more. */
  turnedOver(bytes: number): void;
}

/**
 * Gathers pieces of any size into blocks, so that what a body takes is its length, however small the pieces are that it
 * comes in. Room is taken for each block before there is one.
 */
export class BodyCollector {
  /** The only piece so far: most bodies come in one, which is then not copied. */
  private only: Uint8Array | null = null;
  private readonly full: Uint8Array[] = [];
  private block: Buffer | null = null;
  private used = 0;
  private gathered = 0;

  /** `isGranted` says that room for the whole body was taken before. */
  constructor(private readonly room: BodyRoom, private readonly isGranted: boolean) {}

  get length(): number {
    return this.gathered;
  }

  /** Whether there was room for the piece. */
  add(piece: Uint8Array): boolean {
    if (piece.length === 0) return true;
    if (this.gathered === 0) {
      if (!this.isGranted && !this.room.take(piece.length)) return false;
      this.only = piece;
      this.gathered = piece.length;
      return true;
    }
    if (this.only !== null) {
      const first = this.only;
      this.only = null;
      if (!this.copy(first)) return false;
    }
    if (!this.copy(piece)) return false;
    this.gathered += piece.length;
    return true;
  }

  /** What was gathered; nothing is added after it. */
  body(): Body {
    if (this.only !== null) return Body.of(this.only);
    return Body.ofBlocks(this.block === null ? this.full : [...this.full, this.block.subarray(0, this.used)]);
  }

  private copy(piece: Uint8Array): boolean {
    let from = 0;
    while (from < piece.length) {
      if (this.block === null || this.used === this.block.length) {
        const size = Math.min(MOST_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.gathered));
        if (!this.isGranted && !this.room.take(size)) return false;
        this.room.turnedOver(size);
        if (this.block !== null) this.full.push(this.block);
        this.block = Buffer.allocUnsafeSlow(size);
        this.used = 0;
      }
      const part = piece.subarray(from, from + this.block.length - this.used);
      this.block.set(part, this.used);
      this.used += part.length;
      from += part.length;
    }
    return true;
  }
}
