import { createSocket, type Socket } from 'node:dgram';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Counter, Gauge } from 'prom-client';
import { readBson, writeBson } from '../connection/wire.js';
import { ListenDefect } from '../connection/listener.js';
import { Address, type Millis } from './brands.js';
import { Members, gossipShape, type Gossip, type Member, type MemberCommand, type Role } from './members.js';
import type { Frame } from './program.js';
import type { PlaceSettings } from './settings.js';

/** So many looks at the time fall within one probe: helpers are asked after half of it. */
const TICKS_A_PROBE = 2;
const PACKET_LIMIT = 8192;

/** Runs the member table over a UDP socket and tells listeners when the table changed. */
export class Membership {
  private listeners: readonly (() => void)[] = [];
  private known: readonly Member[] = [];
  private readonly byRole = new Map<Role, readonly Member[]>();
  private readonly ticking: NodeJS.Timeout;

  private constructor(private readonly socket: Socket, private readonly frame: Frame<PlaceSettings>, private readonly members: Members, private readonly dropped: Counter) {
    socket.on('message', (packet) => this.hear(packet));
    socket.on('error', (error) => frame.log.warn({ event: 'membership-socket', defect: error.message }));
    this.ticking = setInterval(() => this.obey(this.members.tick()), frame.settings.probeMs / TICKS_A_PROBE);
    this.ticking.unref();
  }

  static open(frame: Frame<PlaceSettings>, role: Role): ResultAsync<Membership, ListenDefect> {
    const { settings } = frame;
    const dropped = new Counter({ name: 'opalstair_member_packets_dropped_total', help: 'Datagrams that were malformed or foreign', registers: [frame.metrics] });
    return new ResultAsync(new Promise<Result<Membership, ListenDefect>>((settle) => {
      const socket = createSocket('udp4');
      socket.once('error', (error) => settle(err(new ListenDefect(`udp ${settings.listenHost}:${settings.memberPort}`, error))));
      socket.bind(settings.memberPort, settings.listenHost, () => {
        socket.removeAllListeners('error');
        const at = (port: number): Address => Address.of(settings.host, port);
        const self: Member = {
          name: settings.node, role, zone: settings.zone, boot: frame.boot, member: at(socket.address().port),
          wire: at(settings.wirePort), admin: at(settings.adminPort), life: Date.now(), state: 'alive',
        };
        const members = new Members(self, {
          cluster: settings.cluster, probeMs: settings.probeMs, suspectMs: settings.suspectMs, helpers: 3, keepGoneMs: 60_000 as Millis, newsPerPacket: 6,
        }, settings.seeds, frame.clock, Math.random);
        new Gauge({
          name: 'opalstair_members', help: 'Processes that this one believes to be there', labelNames: ['role'], registers: [frame.metrics],
          collect() {
            this.reset();
            for (const member of members.living()) this.inc({ role: member.role });
          },
        });
        new Gauge({ name: 'opalstair_member_refutations', help: 'How often this process spoke up against a suspicion', registers: [frame.metrics], collect() { this.set(members.refuted); } });
        settle(ok(new Membership(socket, frame, members, dropped)));
      });
    }));
  }

  /** Speaks to the seeds without waiting for the clock: this process listens now. */
  announce(): void {
    this.obey(this.members.tick());
  }

  /** The living processes of one kind. */
  having(role: Role): readonly Member[] {
    const living = this.members.living();
    if (living !== this.known) {
      this.known = living;
      this.byRole.clear();
    }
    const found = this.byRole.get(role) ?? living.filter((member) => member.role === role);
    this.byRole.set(role, found);
    return found;
  }

  living(): readonly Member[] {
    return this.members.living();
  }

  onChange(listener: () => void): void {
    this.listeners = [...this.listeners, listener];
  }

  reseed(seeds: readonly Address[]): void {
    this.members.reseed(seeds);
  }

  /** Says goodbye to all and closes the socket once the words are out. */
  async close(): Promise<void> {
    clearInterval(this.ticking);
    this.socket.removeAllListeners('message');
    this.obey(this.members.leave());
    await new Promise<void>((settle) => setImmediate(() => this.socket.close(() => settle())));
  }

  private hear(packet: Uint8Array): void {
    const gossip = packet.length > PACKET_LIMIT ? null : readBson<Gossip>(packet, gossipShape).unwrapOr(null);
    if (gossip === null || gossip.cluster !== this.frame.settings.cluster) {
      this.dropped.inc();
      this.frame.log.debug({ event: 'member-packet-dropped', bytes: packet.length });
      return;
    }
    this.obey(this.members.hear(gossip));
  }

  private send(to: Address, gossip: Gossip): void {
    const bytes = writeBson(gossip);
    this.frame.sent.add(`members ${gossip.kind}`, bytes.length);
    this.socket.send(bytes, Address.port(to), Address.host(to), () => undefined);
  }

  private obey(commands: readonly MemberCommand[]): void {
    let changed = false;
    for (const command of commands) {
      if (command.kind === 'changed') changed = true;
      else this.send(command.to, command.gossip);
    }
    if (changed) this.listeners.forEach((listener) => listener());
  }
}
