import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { Defect } from '../process/defect.js';
import { SMALL_BYTES, STALL_MS, type Holding } from '../process/memoryBudget.js';
import type { Exchange } from './connectionGuard.js';
import { Body, BodyCollector } from './body.js';

/** The body is longer than it may be. */
export class BodyTooLong extends Defect {
  readonly kind = 'body-too-long';
}
/** The caller went away before the body was whole. */
export class BodyCutOff extends Defect {
  readonly kind = 'body-cut-off';
}
/** There is no room for the body now, or others needed the room more. */
export class NoRoomForBody extends Defect {
  readonly kind = 'no-room-for-body';
}
/** The body comes in very many small pieces, and so do others. */
export class BodyInSmallPieces extends Defect {
  readonly kind = 'body-in-small-pieces';
}
/** The body was not whole in time. */
export class BodyTooSlow extends Defect {
  readonly kind = 'body-too-slow';
}
export type BodyDefect = BodyTooLong | BodyCutOff | NoRoomForBody | BodyInSmallPieces | BodyTooSlow;

/** A body of more pieces than this, whose pieces are smaller than this on average, is one in small pieces. */
const MANY_PIECES = 4096;
const SMALL_PIECE_BYTES = 64;

export interface BodyTerms {
  /** The longest body, in bytes. */
  readonly limit: number;
  readonly holding: Holding;
  /** On the clock of the budget; a sender that stands still for a while may be let go. */
  readonly now: () => number;
  /** Gives the body up when it is not whole in time. */
  readonly exchange: Pick<Exchange, 'reading' | 'whole'>;
}

/** The length that a message names; null when it names none. */
const namedLength = (incoming: IncomingMessage): number | null => {
  const named = incoming.headers['content-length'];
  return named === undefined ? null : Number(named);
};

/** Reads a body whole. What follows after a defect is read and dropped, so that the answer can still be seen by its caller. */
export const readBody = (incoming: IncomingMessage, { limit, holding, now, exchange }: BodyTerms): Promise<Result<Body, BodyDefect>> => new Promise((settle) => {
  const named = namedLength(incoming);
  let isOver = false;
  const finish = (outcome: Result<Body, BodyDefect>): void => {
    if (isOver) return;
    isOver = true;
    holding.keep();
    exchange.whole();
    settle(outcome);
  };
  const fail = (defect: BodyDefect): void => {
    finish(err(defect));
    incoming.resume();
  };
  if (named !== null && named > limit) return fail(new BodyTooLong(`more than ${limit} bytes`));
  const isGranted = named !== null && named > SMALL_BYTES;
  if (isGranted && !holding.take(named)) return fail(new NoRoomForBody(`no room for ${named} bytes now`));
  const collector = new BodyCollector(holding, isGranted);
  if (named !== 0) {
    holding.yieldAt(now() + STALL_MS, () => fail(new NoRoomForBody('others needed the room, and this body stood still')));
    exchange.reading(() => fail(new BodyTooSlow('the body was not whole in time')));
  }
  let pieces = 0;
  incoming.on('data', (piece: Buffer) => {
    if (isOver) return;
    pieces += 1;
    if (pieces > MANY_PIECES && collector.length < pieces * SMALL_PIECE_BYTES && !holding.readSmallPieces()) return fail(new BodyInSmallPieces('too many bodies in small pieces at once'));
    if (collector.length + piece.length > limit) return fail(new BodyTooLong(`more than ${limit} bytes`));
    if (!collector.add(piece)) return fail(new NoRoomForBody('no room for the rest of the body now'));
    holding.progressed(now() + STALL_MS);
  });
  incoming.on('end', () => finish(ok(collector.body())));
  incoming.on('error', (error) => finish(err(new BodyCutOff('the caller went away', error))));
  incoming.on('close', () => finish(err(new BodyCutOff('the caller went away'))));
});
