import { BSON } from 'bson';
import type { Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { WebSocket } from 'ws';
import type { Address } from '../process/brands.js';
import { LostDefect, MessageDefect, NoRoomDefect, TurnedAwayDefect, UnreachableDefect } from '../process/defect.js';
import type { Holding } from '../process/memoryBudget.js';
import type { SentBytes } from '../process/sentBytes.js';
import type { Body } from './body.js';
import { NO_ROOM } from './serverLink.js';
import { IncomingBody, isLength, sendFrame, sendParts, type TransferFrame } from './transfer.js';
import { PARTS_HEADER, type Enclosure, type Envelope, type Reply, type WireDefect } from './wire.js';

/** An answer as it came, with its body where that came in parts. */
export interface Answered {
  readonly document: object;
  readonly body: Body | null;
}

/** What a call may have beside its message. */
export interface CallTerms {
  readonly onLate?: LateAnswer | null;
  readonly enclosure?: Enclosure;
}

interface Pending {
  readonly what: string;
  readonly settle: (outcome: Result<Answered, WireDefect>) => void;
  readonly timer: NodeJS.Timeout;
  readonly askedAt: number;
  /** How many bytes had come over the link when it was asked. */
  readonly bytesBefore: number;
  readonly onLate: LateAnswer | null;
  readonly enclosure: Enclosure | null;
  /** The call itself is on its way: until then it can't have been acted on. */
  isSent: boolean;
  onGo: (isWanted: boolean) => void;
  incoming: IncomingBody | null;
}

/** Takes an answer that came after its call was given up. */
export type LateAnswer = (document: object) => void;

/** A link that answers nothing for so long is not given new calls: its way may be cut, and a fresh one is tried. */
const SILENT_MS = 250;
/** The answer to a call that was given up is still waited for so long. */
const LATE_MS = 5000;
/** The longest message that is taken of another process, in bytes. */
const LONGEST_ANSWER = 32 * 1024 * 1024;
/** A link without calls for so long is ended. */
const UNUSED_MS = 30_000;

/** One link to another process: many calls at once, each with its number and its time limit. */
export class WireLink {
  private readonly socket: WebSocket;
  private readonly pending = new Map<number, Pending>();
  private readonly late = new Map<number, { readonly onLate: LateAnswer; readonly timer: NodeJS.Timeout }>();
  private stream: Socket | null = null;
  private queued: { readonly number: number; readonly bytes: Uint8Array }[] = [];
  private state: 'connecting' | 'open' | 'ended' = 'connecting';
  private isRetired = false;
  /** Whether the other side takes long bodies in parts; known once the link stands. */
  private takesParts = false;
  private count = 0;
  private usedAt = performance.now();
  private readonly unusedCheck: NodeJS.Timeout;

  constructor(private readonly address: Address, headers: Readonly<Record<string, string>>, localHost: string, connectMs: number, private readonly sent: SentBytes | null, private readonly onGone: () => void) {
    this.socket = new WebSocket(`ws://${address}/`, {
      headers, localAddress: localHost, handshakeTimeout: connectMs, perMessageDeflate: false, skipUTF8Validation: true, generateMask: (mask) => { mask.fill(0); }, maxPayload: LONGEST_ANSWER,
    });
    this.socket.on('upgrade', (response) => {
      this.stream = response.socket;
      this.takesParts = response.headers[PARTS_HEADER] !== undefined;
    });
    this.socket.on('open', () => this.opened());
    this.socket.on('message', (bytes) => this.hear(bytes as Buffer));
    this.socket.on('unexpected-response', (request, response) => {
      this.finish((what) => new TurnedAwayDefect(`${what} answered ${response.statusCode}`, true));
      request.destroy();
    });
    this.socket.on('error', (error) => this.finish((what) => (this.state === 'connecting' ? new UnreachableDefect(what, error) : new LostDefect(what, error))));
    this.socket.on('close', () => this.finish((what) => (this.state === 'connecting' ? new UnreachableDefect(what) : new LostDefect(what))));
    this.unusedCheck = setInterval(() => { if (this.pending.size === 0 && performance.now() - this.usedAt > UNUSED_MS) this.end(); }, UNUSED_MS);
    this.unusedCheck.unref();
  }

  get isUsable(): boolean {
    return this.state !== 'ended' && !this.isRetired;
  }

  /** Asks once; an answer that comes after the deadline is a defect here, and goes to `onLate` where that is given. */
  call(path: string, message: object, deadlineMs: number, { onLate = null, enclosure }: CallTerms = {}): Promise<Result<Answered, WireDefect>> {
    this.count += 1;
    const number = this.count;
    this.usedAt = performance.now();
    return new Promise((settle) => {
      const what = `${this.address}${path}`;
      const timer = setTimeout(() => this.overdue(number), deadlineMs);
      const pending: Pending = { what, settle, timer, askedAt: this.usedAt, bytesBefore: this.bytesHeard, onLate, enclosure: enclosure ?? null, isSent: false, onGo: () => undefined, incoming: null };
      this.pending.set(number, pending);
      enclosure?.holding.whenAbandoned(() => this.abandon(number));
      const bytes = BSON.serialize({ number, path, message } satisfies Envelope, { ignoreUndefined: true });
      this.sent?.add(path, bytes.length + (enclosure?.body?.length ?? 0));
      if (this.state === 'open') this.sendCall(number, pending, bytes);
      else if (this.state === 'connecting') this.queued.push({ number, bytes });
      else this.settle(number, err(new UnreachableDefect(what)));
    });
  }

  /** Ends the link; calls that are under way count as lost. */
  end(): void {
    if (this.state === 'ended') return;
    this.finish((what) => (this.state === 'connecting' ? new UnreachableDefect(what) : new LostDefect(what)));
    this.socket.terminate();
  }

  private get bytesHeard(): number {
    return this.stream?.bytesRead ?? 0;
  }

  private opened(): void {
    this.state = 'open';
    const waiting = this.queued;
    this.queued = [];
    for (const { number, bytes } of waiting) {
      const pending = this.pending.get(number);
      if (pending !== undefined) this.sendCall(number, pending, bytes);
    }
  }

  private sendCall(number: number, pending: Pending, bytes: Uint8Array): void {
    const { enclosure } = pending;
    if (enclosure !== null && enclosure.body !== null) return void this.sendWithBody(number, pending, enclosure.body, enclosure.holding, bytes);
    pending.isSent = true;
    this.socket.send(bytes, () => undefined);
  }

  /** Offers the body and sends it when there is room for it; the call follows the last part. */
  private async sendWithBody(number: number, pending: Pending, body: Body, holding: Holding, bytes: Uint8Array): Promise<void> {
    if (!this.takesParts) return this.settle(number, err(new UnreachableDefect(`${pending.what}: it takes no bodies of this length`)));
    const isWanted = new Promise<boolean>((settle) => { pending.onGo = settle; });
    await sendFrame(this.socket, { number, offer: body.length });
    if (!(await isWanted) || !(await sendParts(this.socket, number, body, holding, () => this.pending.has(number))) || !this.pending.has(number)) return;
    pending.isSent = true;
    this.socket.send(bytes, () => undefined);
  }

  private hear(bytes: Buffer): void {
    let reply: Reply & TransferFrame;
    try {
      reply = BSON.deserialize(bytes, { promoteBuffers: true, promoteValues: true }) as Reply & TransferFrame;
    } catch {
      return this.end();
    }
    const pending = this.pending.get(reply.number);
    if (reply.offer !== undefined || reply.part !== undefined || reply.go !== undefined) return this.hearFrame(reply, pending);
    if (pending === undefined) return this.hearLate(reply);
    if (reply.refused === NO_ROOM) this.settle(reply.number, err(new NoRoomDefect(pending.what)));
    else if (reply.refused !== undefined) this.settle(reply.number, err(new TurnedAwayDefect(`${pending.what}: ${reply.refused}`, true)));
    else this.settle(reply.number, this.answered(pending, reply));
  }

  private answered({ what, incoming }: Pending, { answer, isParted }: Reply): Result<Answered, WireDefect> {
    const body = incoming?.whole() ?? null;
    if (answer === undefined) return err(new MessageDefect(`${what}: neither an answer nor a reason`));
    if (isParted === true && body === null) return err(new LostDefect(`${what}: a body that is not whole`));
    return ok({ document: answer, body });
  }

  /** A part of an answer's body, or a word about one. */
  private hearFrame({ number, offer, part, go }: TransferFrame, pending: Pending | undefined): void {
    if (go === true) pending?.onGo(true);
    else if (part !== undefined) {
      if (pending !== undefined && pending.incoming?.add(part) !== true) this.end();
    } else void this.admit(number, offer, pending);
  }

  private async admit(number: number, offer: unknown, pending: Pending | undefined): Promise<void> {
    if (pending?.enclosure === undefined || pending.enclosure === null || !isLength(offer)) return this.drop(number);
    pending.incoming = await IncomingBody.admit(pending.enclosure.holding, offer);
    if (pending.incoming === null || !this.pending.has(number)) return this.drop(number);
    await sendFrame(this.socket, { number, go: true });
  }

  /** Nobody waits for the answer any more; the call is not taken back, only what its answer would take. */
  private abandon(number: number): void {
    if (this.pending.has(number) && this.takesParts) this.drop(number);
  }

  /** Tells the other side that nothing more of a call is wanted. */
  private drop(number: number): void {
    if (this.state === 'open') void sendFrame(this.socket, { number, drop: true });
  }

  private hearLate({ number, answer }: Reply): void {
    const awaited = this.late.get(number);
    this.forgetLate(number);
    if (answer !== undefined) awaited?.onLate(answer);
  }

  private forgetLate(number: number): void {
    clearTimeout(this.late.get(number)?.timer);
    this.late.delete(number);
    this.endIfDone();
  }

  /** A link that gets no new calls lasts for as long as an answer over it is still of use. */
  private endIfDone(): void {
    if (this.isRetired && this.pending.size + this.late.size === 0) this.end();
  }

  /**
   * A call's time is up. If not even a part of an answer came since it was asked, later calls go over a fresh link; a
   * link that is only slow is kept, for a fresh one would have to carry everything again.
   */
  private overdue(number: number): void {
    const pending = this.pending.get(number);
    if (pending === undefined) return;
    const now = performance.now();
    if (this.state === 'open' && this.bytesHeard === pending.bytesBefore && now - pending.askedAt >= SILENT_MS) this.isRetired = true;
    const { onLate, isSent } = pending;
    if (this.takesParts && pending.enclosure !== null) this.drop(number);
    if (onLate !== null) this.late.set(number, { onLate, timer: setTimeout(() => this.forgetLate(number), LATE_MS).unref() });
    this.settle(number, err(!isSent ? new UnreachableDefect(`${pending.what}: not sent in time`) : new LostDefect(`${pending.what}: no answer in time`)));
  }

  private settle(number: number, outcome: Result<Answered, WireDefect>): void {
    const pending = this.pending.get(number);
    if (pending === undefined) return;
    this.pending.delete(number);
    clearTimeout(pending.timer);
    pending.onGo(false);
    pending.settle(outcome);
    this.endIfDone();
  }

  private finish(defectOf: (what: string) => WireDefect): void {
    if (this.state === 'ended') return;
    const open = [...this.pending];
    const defects = open.map(([, { what }]) => defectOf(what));
    this.state = 'ended';
    clearInterval(this.unusedCheck);
    [...this.late.keys()].forEach((number) => this.forgetLate(number));
    this.onGone();
    open.forEach(([number], index) => this.settle(number, err(defects[index] as WireDefect)));
  }
}
