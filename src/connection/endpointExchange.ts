import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { err, ok, Result, ResultAsync } from 'neverthrow';
import { Defect } from '../process/defect.js';
import { HeaderText, NO_ROOM_FOR_ANSWER, type TurnAwayCause, type WholeAnswer } from './hopCalls.js';
import { SMALL_BYTES, type Holding } from '../process/memoryBudget.js';
import { BodyCollector, type Body } from './body.js';
import type { BytesBehindHead } from './bytesBehindHead.js';
import { EndpointLinks } from './endpointLinks.js';
import { Headers } from './headers.js';
import type { AnswerFacts } from './speech.js';

/** An endpoint's answer may be this long. */
export const ANSWER_LIMIT = 16 * 1024 * 1024;

/** No connection came about: nothing of the order was sent. */
export class NoConnection extends Defect {
  readonly kind = 'no-connection';
}
/** The endpoint did not answer in the time that was left. */
export class EndpointLate extends Defect {
  readonly kind = 'endpoint-late';
}
/** What came back is not one whole answer of HTTP. */
export class BrokenAnswer extends Defect {
  readonly kind = 'broken-answer';
}
/** The process holds too much to take the answer. */
export class NoRoomForAnswer extends Defect {
  readonly kind = NO_ROOM_FOR_ANSWER;
}
export class AnswerTooLong extends Defect {
  readonly kind = 'answer-too-long';
}
/** A whole answer that names another request: it belongs to somebody else. */
export class ForeignAnswer extends Defect {
  readonly kind = 'foreign-answer';
}
/** The endpoint vouches that it has not run the request and never will. */
export class EndpointRefusal extends Defect {
  readonly kind = 'endpoint-refusal';
  constructor(readonly status: number) {
    super(`refused with ${status}`);
  }
}
/** The endpoint may not run the order any more: found when the connection stood, before a byte was sent. */
export class SeatLost extends Defect {
  readonly kind = 'seat-lost';
  constructor(readonly turnedAwayFor: TurnAwayCause) {
    super(turnedAwayFor);
  }
}
export type EndpointDefect = SeatLost | EndpointRefusal | ForeignAnswer | NoConnection | EndpointLate | BrokenAnswer | AnswerTooLong | NoRoomForAnswer;

/** One order as an endpoint gets it. */
export interface EndpointOrder {
  /** The connections to this instance. */
  readonly agent: Agent;
  readonly method: string;
  readonly url: string;
  readonly headers: readonly string[];
  readonly body: Body;
  /** What the answer takes is taken from here. */
  readonly holding: Holding;
  readonly leftMs: number;
  /** Asked once the connection stands: why the order must not be sent after all. */
  readonly fault: () => TurnAwayCause | null;
  /** Reads what an answer says of itself. */
  readonly read: (status: number, headers: readonly string[]) => AnswerFacts;
  /** Told when something came that is no answer to this request. */
  readonly onOdd: () => void;
}

const isFramed = (answer: IncomingMessage, method: string): boolean => {
  const status = answer.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  const coding = answer.headers['transfer-encoding'];
  return coding === undefined ? answer.headers['content-length'] !== undefined : coding.trim().toLowerCase() === 'chunked';
};

/** After these the connection, and the endpoint for a while, is not trusted with another request. */
const ODD_KINDS: ReadonlySet<string> = new Set(['broken-answer', 'foreign-answer', 'answer-too-long']);

/** Says what a whole answer is worth: the endpoint's own, a refusal, or somebody else's. */
const judged = (order: EndpointOrder, answer: IncomingMessage, socket: Socket, body: Body): Result<WholeAnswer, EndpointDefect> => {
  const status = answer.statusCode ?? 0;
  const facts = order.read(status, answer.rawHeaders);
  if (facts.isOwn === false) return err(new ForeignAnswer('the answer names another request'));
  if (facts.isOwn === true && facts.fault === null) EndpointLinks.prove(socket);
  if (facts.isNotRun) return err(new EndpointRefusal(status));
  if (facts.fault !== null) return err(new BrokenAnswer(facts.fault));
  return ok({ status, headers: HeaderText.of(answer.rawHeaders), body });
};

/** Whether more came than the answer's own length says. */
const hasSurplus = (order: EndpointOrder, answer: IncomingMessage, behindHead: number | null): boolean => {
  const status = answer.statusCode ?? 0;
  const named = order.method === 'HEAD' || status === 204 || status === 304 ? '0' : answer.headers['content-length'];
  return behindHead !== null && named !== undefined && behindHead > Number(named);
};

/** What can't be written as a request is not sent: Node's client throws at once. */
const openRequest = Result.fromThrowable((order: EndpointOrder): ClientRequest => request({
  method: order.method, path: order.url, headers: Headers.toRecord(order.headers) as never, setHost: false, insecureHTTPParser: false, maxHeaderSize: 32 * 1024, agent: order.agent,
}), (error) => new NoConnection('the request can\'t be written', error));

const exchange = (order: EndpointOrder): Promise<Result<WholeAnswer, EndpointDefect>> => new Promise((settle) => {
  let sending = false;
  let settled = false;
  let isWaitingForRoom = false;
  const opened = openRequest(order);
  if (opened.isErr()) return settle(err(opened.error));
  const sent = opened.value;
  let behindHead: BytesBehindHead | undefined;
  const finish = (outcome: Result<WholeAnswer, EndpointDefect>): void => {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    if (outcome.isErr() && ODD_KINDS.has(outcome.error.kind)) order.onOdd();
    settle(outcome);
    if (outcome.isErr() && outcome.error.kind !== 'endpoint-refusal') sent.destroy();
  };
  const timer = setTimeout(() => finish(err(isWaitingForRoom ? new NoRoomForAnswer('there was no room for the answer in time') : sending ? new EndpointLate(`no whole answer within ${Math.round(order.leftMs)} ms`) : new NoConnection('no connection in time'))), Math.max(1, order.leftMs));
  sent.once('socket', (socket) => {
    const fault = order.fault();
    if (fault !== null) return finish(err(new SeatLost(fault)));
    sending = true;
    behindHead = EndpointLinks.bytesOf(socket);
    behindHead?.begin();
    order.body.blocks.forEach((block) => sent.write(block));
    sent.end();
  });
  sent.on('error', (error) => finish(err(sending ? new BrokenAnswer('the exchange broke', error) : new NoConnection('the endpoint took no connection', error))));
  sent.on('information', () => behindHead?.doubt());
  sent.on('upgrade', () => finish(err(new BrokenAnswer('the endpoint changed the protocol'))));
  sent.on('response', (answer) => {
    const { socket } = answer;
    const fail = (detail: string): void => finish(err(new BrokenAnswer(detail)));
    if (!isFramed(answer, order.method)) return fail('the answer has no length, so it can\'t be proven whole');
    const tooLong = (): void => finish(err(new AnswerTooLong(`more than ${ANSWER_LIMIT} bytes`)));
    answer.on('aborted', () => fail('the answer was cut off'));
    answer.on('error', (error) => finish(err(new BrokenAnswer('the answer broke', error))));
    const read = (isGranted: boolean): void => {
      const collector = new BodyCollector(order.holding, isGranted);
      answer.on('data', (chunk: Buffer) => {
        if (settled) return;
        if (collector.length + chunk.length > ANSWER_LIMIT) tooLong();
        else if (!collector.add(chunk)) finish(err(new NoRoomForAnswer('there is no room for the rest of the answer')));
      });
      answer.on('end', () => {
        if (!answer.complete) fail('the answer was cut off');
        else if (hasSurplus(order, answer, behindHead?.bytes ?? null)) fail('bytes follow the answer');
        else finish(judged(order, answer, socket, collector.body()));
      });
    };
    const named = order.method === 'HEAD' ? 0 : Number(answer.headers['content-length'] ?? 0);
    if (named > ANSWER_LIMIT) return tooLong();
    if (named <= SMALL_BYTES) return read(false);
    isWaitingForRoom = true;
    void order.holding.takeSoon(named).then((isGranted) => {
      if (!isGranted) return finish(err(new NoRoomForAnswer('nobody waits for the answer any more')));
      isWaitingForRoom = false;
      if (!settled) read(true);
    });
  });
});

/**
 * Sends one order over a connection to the instance and takes nothing but one whole answer to it. Whether it may still
 * run is asked when the connection stands, before the first byte. A connection is used again only after an answer that
 * names its request, so an endpoint that names none gets a fresh one each time. Node's own client is used here because
 * it reports bytes that follow a finished answer, which undici drops without a word.
 */
export const exchangeWithEndpoint = (order: EndpointOrder): ResultAsync<WholeAnswer, EndpointDefect> => new ResultAsync(exchange(order));
