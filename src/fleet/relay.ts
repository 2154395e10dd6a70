import { createSocket, type Socket as UdpSocket } from 'node:dgram';
import { connect, createServer, type Server, type Socket } from 'node:net';

interface Line {
  readonly from: string;
  readonly to: string;
  readonly caller: Socket;
  callee: Socket | null;
}

const keyOf = (from: string, to: string): string => `${from}>${to}`;

/**
 * Stands between machines: it listens on the addresses that they advertise and hands on to those where they
 * listen. A cut direction is silent, and what was sent into it arrives after the healing, as a real network does.
 */
export class Relay {
  private cuts: ReadonlySet<string> = new Set();
  private delays: ReadonlyMap<string, number> = new Map();
  private lines: ReadonlySet<Line> = new Set();
  private waiting: readonly { readonly line: Line; readonly actual: string; readonly port: number }[] = [];
  private servers: readonly Server[] = [];
  private sockets: readonly UdpSocket[] = [];
  private isClosed = false;

  /** Opens the way to one machine; `names` tells a machine by the address that its calls come from. */
  async open(name: string, advertised: string, actual: string, tcpPorts: readonly number[], udpPorts: readonly number[], nameOf: (address: string) => string): Promise<void> {
    for (const port of tcpPorts) {
      const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, (caller) => this.take(caller, nameOf(caller.remoteAddress ?? ''), name, actual, port));
      await new Promise<void>((settle, fail) => {
        server.once('error', fail);
        server.listen(port, advertised, settle);
      });
      this.servers = [...this.servers, server];
    }
    for (const port of udpPorts) {
      const socket = createSocket('udp4');
      socket.on('error', () => undefined);
      socket.on('message', (packet, sender) => {
        const from = nameOf(sender.address);
        if (this.cuts.has(keyOf(from, name))) return;
        const delay = this.delays.get(keyOf(from, name)) ?? 0;
        if (delay === 0) socket.send(packet, port, actual, () => undefined);
        else setTimeout(() => { if (!this.isClosed) socket.send(packet, port, actual, () => undefined); }, delay);
      });
      await new Promise<void>((settle) => { socket.bind(port, advertised, settle); });
      this.sockets = [...this.sockets, socket];
    }
  }

  /** Nothing gets from one machine to the other any more. */
  cutOneWay(from: string, to: string): void {
    this.cuts = new Set([...this.cuts, keyOf(from, to)]);
    this.adjust();
  }

  /** Cuts both ways between every machine of one side and every one of the other. */
  split(side: readonly string[], other: readonly string[]): void {
    for (const one of side) {
      for (const two of other) this.cuts = new Set([...this.cuts, keyOf(one, two), keyOf(two, one)]);
    }
    this.adjust();
  }

  delay(from: string, to: string, millis: number): void {
    this.delays = new Map([...this.delays, [keyOf(from, to), millis]]);
  }

  heal(): void {
    this.cuts = new Set();
    this.delays = new Map();
    this.adjust();
  }

  /** Breaks the connections that stand from one machine to another, at once and for both ends. */
  breakLines(from: string, to: string): void {
    for (const line of this.lines) {
      if (line.from !== from || line.to !== to) continue;
      line.caller.destroy();
      line.callee?.destroy();
    }
  }

  async close(): Promise<void> {
    this.isClosed = true;
    for (const line of this.lines) {
      line.caller.destroy();
      line.callee?.destroy();
    }
    await Promise.all(this.servers.map((server) => new Promise<void>((settle) => { server.close(() => settle()); })));
    await Promise.all(this.sockets.map((socket) => new Promise<void>((settle) => { socket.close(() => settle()); })));
  }

  private take(caller: Socket, from: string, to: string, actual: string, port: number): void {
    const line: Line = { from, to, caller, callee: null };
    this.lines = new Set([...this.lines, line]);
    caller.on('error', () => undefined);
    caller.on('close', () => {
      if (!this.cuts.has(keyOf(from, to))) line.callee?.destroy();
      this.lines = new Set([...this.lines].filter((one) => one !== line));
    });
    if (!this.cuts.has(keyOf(from, to))) this.join(line, actual, port);
    else this.waiting = [...this.waiting, { line, actual, port }];
  }

  private join(line: Line, actual: string, port: number): void {
    const callee = connect({ host: actual, port, allowHalfOpen: true });
    line.callee = callee;
    callee.on('error', () => line.caller.destroy());
    callee.on('close', () => line.caller.destroy());
    this.carry(line.caller, callee, line.from, line.to);
    this.carry(callee, line.caller, line.to, line.from);
    line.caller.resume();
    this.adjust();
  }

  private carry(source: Socket, target: Socket, from: string, to: string): void {
    source.on('data', (chunk: Buffer) => {
      const delay = this.delays.get(keyOf(from, to)) ?? 0;
      if (delay === 0) {
        if (!target.write(chunk)) {
          source.pause();
          target.once('drain', () => { if (!this.cuts.has(keyOf(from, to))) source.resume(); });
        }
      } else setTimeout(() => target.write(chunk), delay);
    });
    source.on('end', () => target.end());
  }

  private adjust(): void {
    const due = this.waiting.filter(({ line }) => !this.cuts.has(keyOf(line.from, line.to)));
    this.waiting = this.waiting.filter((one) => !due.includes(one));
    due.filter(({ line }) => !line.caller.destroyed).forEach(({ line, actual, port }) => this.join(line, actual, port));
    for (const line of this.lines) {
      if (line.callee === null) continue;
      if (this.cuts.has(keyOf(line.from, line.to))) line.caller.pause();
      else line.caller.resume();
      if (this.cuts.has(keyOf(line.to, line.from))) line.callee.pause();
      else line.callee.resume();
    }
  }
}
