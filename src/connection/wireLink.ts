import { BSON } from 'bson';
import { err, ok, type Result } from 'neverthrow';
import { WebSocket } from 'ws';
import type { Address } from '../process/brands.js';
import { LostDefect, MessageDefect, TurnedAwayDefect, UnreachableDefect } from '../process/defect.js';
import type { Envelope, Reply, WireDefect } from './wire.js';

interface Pending {
  readonly what: string;
  readonly settle: (outcome: Result<object, WireDefect>) => void;
  readonly timer: NodeJS.Timeout;
  readonly askedAt: number;
}

/** A link that answers nothing for so long is not given new calls: its way may be cut, and a fresh one is tried. */
const SILENT_MS = 250;
/** A link without calls for so long is ended. */
const UNUSED_MS = 30_000;

/** One link to another process: many calls at once, each with its number and its time limit. */
export class WireLink {
  private readonly socket: WebSocket;
  private readonly pending = new Map<number, Pending>();
  private queued: { readonly number: number; readonly bytes: Uint8Array }[] = [];
  private state: 'connecting' | 'open' | 'ended' = 'connecting';
  private isRetired = false;
  private count = 0;
  private heardAt = performance.now();
  private usedAt = performance.now();
  private readonly unusedCheck: NodeJS.Timeout;

  constructor(private readonly address: Address, headers: Readonly<Record<string, string>>, localHost: string, connectMs: number, private readonly onGone: () => void) {
    this.socket = new WebSocket(`ws://${address}/`, {
      headers, localAddress: localHost, handshakeTimeout: connectMs, perMessageDeflate: false, skipUTF8Validation: true, generateMask: (mask) => { mask.fill(0); }, maxPayload: 32 * 1024 * 1024,
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

  call(path: string, message: object, deadlineMs: number): Promise<Result<object, WireDefect>> {
    this.count += 1;
    const number = this.count;
    this.usedAt = performance.now();
    return new Promise((settle) => {
      const what = `${this.address}${path}`;
      const timer = setTimeout(() => this.overdue(number), deadlineMs);
      this.pending.set(number, { what, settle, timer, askedAt: this.usedAt });
      const bytes = BSON.serialize({ number, path, message } satisfies Envelope, { ignoreUndefined: true });
      if (this.state === 'open') this.socket.send(bytes, () => undefined);
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

  private opened(): void {
    this.state = 'open';
    this.heardAt = performance.now();
    const waiting = this.queued;
    this.queued = [];
    for (const { number, bytes } of waiting) if (this.pending.has(number)) this.socket.send(bytes, () => undefined);
  }

  private hear(bytes: Buffer): void {
    this.heardAt = performance.now();
    let reply: Reply;
    try {
      reply = BSON.deserialize(bytes, { promoteBuffers: true, promoteValues: true }) as Reply;
    } catch {
      return this.end();
    }
    const pending = this.pending.get(reply.number);
    if (pending === undefined) return;
    if (reply.refused !== undefined) this.settle(reply.number, err(new TurnedAwayDefect(`${pending.what}: ${reply.refused}`, true)));
    else this.settle(reply.number, reply.answer === undefined ? err(new MessageDefect(`${pending.what}: neither an answer nor a reason`)) : ok(reply.answer));
  }

  /** A call's time is up. If nothing at all came since it was asked, later calls go over a fresh link. */
  private overdue(number: number): void {
    const pending = this.pending.get(number);
    if (pending === undefined) return;
    const now = performance.now();
    if (this.state === 'open' && this.heardAt < pending.askedAt && now - pending.askedAt >= SILENT_MS) this.isRetired = true;
    this.settle(number, err(this.state === 'connecting' ? new UnreachableDefect(`${pending.what}: no link in time`) : new LostDefect(`${pending.what}: no answer in time`)));
  }

  private settle(number: number, outcome: Result<object, WireDefect>): void {
    const pending = this.pending.get(number);
    if (pending === undefined) return;
    this.pending.delete(number);
    clearTimeout(pending.timer);
    pending.settle(outcome);
    if (this.isRetired && this.pending.size === 0) this.end();
  }

  private finish(defectOf: (what: string) => WireDefect): void {
    if (this.state === 'ended') return;
    const open = [...this.pending];
    const defects = open.map(([, { what }]) => defectOf(what));
    this.state = 'ended';
    clearInterval(this.unusedCheck);
    this.onGone();
    open.forEach(([number], index) => this.settle(number, err(defects[index] as WireDefect)));
  }
}
