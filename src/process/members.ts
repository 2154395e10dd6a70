import { createHash } from 'node:crypto';
import type { Shape } from '../connection/wire.js';
import { MemberMarks } from './memberMarks.js';
import { Address, type BootId, type Instant, type Millis, type NodeName, type ZoneName } from './brands.js';
import type { Clock } from './clock.js';

export type Role = 'switchboard' | 'directory' | 'ratebook';
export type MemberState = 'alive' | 'suspect' | 'gone';

/** What the mesh knows of one process. */
export interface Member {
  readonly name: NodeName;
  readonly role: Role;
  readonly zone: ZoneName;
  readonly boot: BootId;
  readonly member: Address;
  readonly wire: Address;
  readonly admin: Address;
  /** Rises with each start and each time the process speaks up against a suspicion. */
  readonly life: number;
  readonly state: MemberState;
}

/** One datagram: a probe, its answer, a plea to probe another, or a request for the whole list. */
export interface Gossip {
  readonly cluster: string;
  readonly kind: 'ping' | 'ack' | 'pingFor' | 'sync' | 'news';
  readonly probe: number;
  readonly from: Address;
  readonly about: Address;
  readonly news: readonly Member[];
  /** With a request for the whole list: the mark of the asker's. Who holds the same answers nothing. */
  readonly mark?: string;
  /** The same by buckets: only the members of unlike ones are told. The former release sends the one mark alone. */
  readonly marks?: string;
}

const ROLES: readonly unknown[] = ['switchboard', 'directory', 'ratebook'] satisfies readonly Role[];
const STATES: readonly unknown[] = ['alive', 'suspect', 'gone'] satisfies readonly MemberState[];
const KINDS: readonly unknown[] = ['ping', 'ack', 'pingFor', 'sync', 'news'] satisfies readonly Gossip['kind'][];
const LONGEST_NAME = 64;
const LONGEST_MARKS = 256;
const MOST_NEWS = 16;

type Fields = Readonly<Record<string, unknown>>;
const isText = (value: unknown, longest: number): value is string => typeof value === 'string' && value.length <= longest;
const isAddress = (value: unknown): boolean => typeof value === 'string' && Address.isValid(value);
const isNumber = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value);
const isMember = (value: unknown): boolean => {
  if (typeof value !== 'object' || value === null) return false;
  const { name, role, zone, boot, member, wire, admin, life, state } = value as Fields;
  return [name, zone, boot].every((text) => isText(text, LONGEST_NAME) && text !== '') && [member, wire, admin].every(isAddress)
    && ROLES.includes(role) && STATES.includes(state) && isNumber(life) && (life as number) >= 0;
};
const isGossip = (value: unknown): boolean => {
  if (typeof value !== 'object' || value === null) return false;
  const { cluster, kind, probe, from, about, news, mark, marks } = value as Fields;
  return isText(cluster, Infinity) && cluster !== '' && KINDS.includes(kind) && isNumber(probe) && isAddress(from) && (about === '' || isAddress(about))
    && Array.isArray(news) && news.length <= MOST_NEWS && news.every(isMember) && [mark, marks].every((text) => text === undefined || isText(text, LONGEST_MARKS));
};
/** Checked without a library: datagrams are the most frequent of all messages in calm times. */
export const gossipShape: Shape = { validate: (document) => (isGossip(document) ? { value: document } : { error: { message: 'no datagram of a member' } }) };

/** What the owner of the member table wants done. */
export type MemberCommand =
  | { readonly kind: 'send'; readonly to: Address; readonly gossip: Gossip }
  | { readonly kind: 'changed' };

export interface MemberRules {
  readonly cluster: string;
  readonly probeMs: Millis;
  readonly suspectMs: Millis;
  readonly helpers: number;
  readonly keepGoneMs: Millis;
  readonly newsPerPacket: number;
}

interface Row {
  readonly member: Member;
  readonly since: Instant;
  tellings: number;
}
interface Probe {
  readonly number: number;
  readonly target: Member;
  readonly start: Instant;
  readonly asked: boolean;
}
interface Favour {
  readonly number: number;
  readonly asker: Address;
  readonly askerNumber: number;
  readonly start: Instant;
}

/** Each process tells a piece of news so often for each tenfold of the mesh. */
const TELLINGS = 4;
/** The whole list costs bytes that grow with the mesh, so in calm times it is asked for seldom. */
const SYNC_PROBES = 4;
const MARK_LENGTH = 12;
const CALM_PROBES = 20;
/** Timers may fire a moment early by this clock, and the next look is half a probe later, in milliseconds. */
const EARLY_MS = 5;
const isPast = (lengthMs: number, sinceMs: number): boolean => sinceMs + EARLY_MS >= lengthMs;
/** One that starts asks again after this part of the time that it has been there: soon at first, when the others are starting too. */
const CALL_PART = 0.25;

const rank: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, gone: 2 };
const keyOf = (member: Member): string => `${member.role}/${member.name}`;

/**
 * The owner of the member table: takes datagrams and ticks, answers with commands. Each process probes
 * the others in turn; a silent one is probed through helpers, then suspected, then removed, unless it
 * speaks up with a higher life. Nothing that must be safe rests on this table.
 */
export class Members {
  private self: Member;
  private readonly rows = new Map<string, Row>();
  /** The keys of rows that are still to be told of. */
  private readonly untold = new Set<string>();
  private readonly marks = new MemberMarks();
  private livingNow: readonly Member[] | null = null;
  private turn: readonly string[] = [];
  private probe: Probe | null = null;
  private favours: readonly Favour[] = [];
  private probeCount = 0;
  private lastProbe: Instant;
  private lastSync: Instant;
  private lastCall: Instant;
  private seededAt: Instant;
  private refutations = 0;
  private lastNews: Instant = -Infinity as Instant;
  private lastPartner: Instant = -Infinity as Instant;

  constructor(self: Member, private readonly rules: MemberRules, private seeds: readonly Address[], private readonly clock: Clock, private readonly random: () => number) {
    this.self = self;
    this.marks.toggle(self);
    this.lastProbe = (clock.now() - rules.probeMs) as Instant;
    this.lastSync = (clock.now() - 10 * rules.probeMs) as Instant;
    this.lastCall = this.lastSync;
    this.seededAt = clock.now();
  }

  /** Every process that is not gone, this one first. */
  living(): readonly Member[] {
    this.livingNow ??= [this.self, ...[...this.rows.values()].map((row) => row.member).filter((member) => member.state !== 'gone')];
    return this.livingNow;
  }

  /** How often this process had to speak up against a suspicion. */
  get refuted(): number {
    return this.refutations;
  }

  reseed(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.seededAt = this.clock.now();
  }

  /** Time passes: probes fall due, suspicions run out. */
  tick(): readonly MemberCommand[] {
    const now = this.clock.now();
    const commands: MemberCommand[] = [];
    this.favours = this.favours.filter((favour) => now - favour.start < 4 * this.rules.probeMs);
    for (const row of this.rows.values()) {
      if (row.member.state === 'suspect' && now - row.since >= this.rules.suspectMs) commands.push(...this.put({ ...row.member, state: 'gone' }));
      if (row.member.state === 'gone' && now - row.since >= this.rules.keepGoneMs) this.drop(row.member);
    }
    commands.push(...this.followProbe(now));
    if (isPast(this.rules.probeMs, now - this.lastProbe)) {
      this.lastProbe = now;
      commands.push(...this.startProbe(now));
    }
    if (isPast(SYNC_PROBES * this.rules.probeMs, now - this.lastSync)) {
      this.lastSync = now;
      this.lastCall = now;
      commands.push(...this.askForAll(now));
    } else if (now - this.lastCall >= CALL_PART * (now - this.seededAt)) {
      this.lastCall = now;
      commands.push(...this.callAgain());
    }
    return commands;
  }

  /** A datagram of this mesh came in. */
  hear(gossip: Gossip): readonly MemberCommand[] {
    const isWholeList = gossip.kind === 'news' && gossip.news.every((member) => member.state === 'alive');
    const commands = gossip.news.flatMap((member) => this.learn(member, isWholeList));
    switch (gossip.kind) {
      case 'ping':
        return [...commands, this.send(gossip.from, 'ack', gossip.probe)];
      case 'pingFor': {
        this.probeCount += 1;
        this.favours = [...this.favours, { number: this.probeCount, asker: gossip.from, askerNumber: gossip.probe, start: this.clock.now() }];
        return [...commands, this.send(gossip.about, 'ping', this.probeCount)];
      }
      case 'ack':
        return [...commands, ...this.acked(gossip.probe)];
      case 'sync':
        return [...commands, ...this.tellUnlike(gossip)];
      case 'news':
        return commands;
    }
  }

  /** The last words of a process that stops as planned. */
  leave(): readonly MemberCommand[] {
    const others = this.living().slice(1);
    this.become({ ...this.self, life: this.self.life + 1, state: 'gone' });
    return others.map((member) => ({ kind: 'send', to: member.member, gossip: { ...this.gossip('news', 0), news: [this.self] } }));
  }

  private followProbe(now: Instant): readonly MemberCommand[] {
    const probe = this.probe;
    if (probe === null) return [];
    if (!probe.asked && isPast(this.rules.probeMs / 2, now - probe.start)) {
      this.probe = { ...probe, asked: true };
      return this.pick(this.rules.helpers, keyOf(probe.target)).map((helper) => this.send(helper.member, 'pingFor', probe.number, probe.target.member));
    }
    if (!isPast(1.5 * this.rules.probeMs, now - probe.start)) return [];
    this.probe = null;
    const row = this.rows.get(keyOf(probe.target));
    return row !== undefined && row.member.state === 'alive' && row.member.life === probe.target.life ? this.put({ ...row.member, state: 'suspect' }) : [];
  }

  private startProbe(now: Instant): readonly MemberCommand[] {
    if (this.probe !== null) return [];
    const target = this.nextTarget();
    if (target === null) return [];
    this.probeCount += 1;
    this.probe = { number: this.probeCount, target, start: now, asked: false };
    return [this.send(target.member, 'ping', this.probeCount)];
  }

  private nextTarget(): Member | null {
    for (;;) {
      if (this.turn.length === 0) this.turn = this.shuffled([...this.rows.keys()].filter((key) => this.rows.get(key)?.member.state !== 'gone'));
      const [key, ...rest] = this.turn;
      if (key === undefined) return null;
      this.turn = rest;
      const member = this.rows.get(key)?.member;
      if (member !== undefined && member.state !== 'gone') return member;
    }
  }

  private acked(number: number): readonly MemberCommand[] {
    if (this.probe?.number === number) {
      this.probe = null;
      return [];
    }
    const favour = this.favours.find((candidate) => candidate.number === number);
    return favour === undefined ? [] : [this.send(favour.asker, 'ack', favour.askerNumber)];
  }

  /** Seeds that are not known are asked each time; a random member only after news, and now and then all the same. */
  private askForAll(now: Instant): readonly MemberCommand[] {
    const isDue = now - this.lastNews < CALM_PROBES * this.rules.probeMs || now - this.lastPartner >= CALM_PROBES * this.rules.probeMs;
    const partner = isDue ? this.pick(1, '').map((member) => member.member) : [];
    if (isDue) this.lastPartner = now;
    return [...this.greet(this.strangers()), ...partner.map((to) => this.send(to, 'sync', 0)), ...this.callOnLost()];
  }

  private strangers(): readonly Address[] {
    const known = new Set(this.living().map((member) => member.member));
    return this.seeds.filter((seed) => !known.has(seed));
  }

  /** Seeds that were not there yet are asked once more, and whoever is there as long as no directory is known: every process needs one. */
  private callAgain(): readonly MemberCommand[] {
    const strangers = this.strangers();
    const isLost = strangers.length === 0 && !this.living().some((member) => member.role === 'directory');
    return this.greet(isLost ? this.pick(1, '').map((member) => member.member) : strangers);
  }

  /** One of the addresses is asked for its table, the others only to say who they are: tables grow with the mesh. */
  private greet(addresses: readonly Address[]): readonly MemberCommand[] {
    const [asked, ...others] = this.shuffled(addresses);
    return asked === undefined ? [] : [this.send(asked, 'sync', 0), ...others.map((to) => this.send(to, 'ping', 0))];
  }

  /** One that was removed is told so now and then: if it was only cut off, it speaks up, and both sides know of each other again. */
  private callOnLost(): readonly MemberCommand[] {
    const lost = [...this.rows.values()].map((row) => row.member).filter((member) => member.state === 'gone');
    const [chosen] = this.shuffled(lost);
    return chosen === undefined ? [] : [{ kind: 'send', to: chosen.member, gossip: { ...this.gossip('sync', 0), news: [this.self, chosen] } }];
  }

  /** What a table with other marks may lack. */
  private tellUnlike({ from, mark, marks }: Gossip): readonly MemberCommand[] {
    const all = [this.self, ...[...this.rows.values()].map((row) => row.member)];
    if (marks !== undefined) return this.tell(from, all.filter(this.marks.unlike(marks)));
    return mark === this.mark() ? [] : this.tell(from, all);
  }

  private tell(to: Address, all: readonly Member[]): readonly MemberCommand[] {
    const packets: MemberCommand[] = [];
    for (let start = 0; start < all.length; start += this.rules.newsPerPacket) {
      packets.push({ kind: 'send', to, gossip: { ...this.gossip('news', 0), news: all.slice(start, start + this.rules.newsPerPacket) } });
    }
    return packets;
  }

  /** What comes with the whole list is being told by others already: it is not told on from here. */
  private learn(heard: Member, isTold: boolean): readonly MemberCommand[] {
    if (keyOf(heard) === keyOf(this.self)) {
      const doubted = heard.state !== 'alive' || heard.boot !== this.self.boot;
      if (!doubted || heard.life < this.self.life || this.self.state === 'gone') return [];
      this.refutations += 1;
      this.become({ ...this.self, life: heard.life + 1 });
      return [];
    }
    const known = this.rows.get(keyOf(heard))?.member;
    const newer = known === undefined || heard.life > known.life || (heard.life === known.life && rank[heard.state] > rank[known.state]);
    return newer ? this.put(heard, isTold ? Infinity : 0) : [];
  }

  private put(member: Member, tellings = 0): readonly MemberCommand[] {
    const now = this.clock.now();
    const former = this.rows.get(keyOf(member))?.member;
    if (former !== undefined) this.marks.toggle(former);
    this.marks.toggle(member);
    this.rows.set(keyOf(member), { member, since: now, tellings });
    if (tellings === Infinity) this.untold.delete(keyOf(member));
    else this.untold.add(keyOf(member));
    this.livingNow = null;
    if (former === undefined || former.state !== member.state || former.boot !== member.boot) this.lastNews = now;
    return [{ kind: 'changed' }];
  }

  private drop(member: Member): void {
    const known = this.rows.get(keyOf(member));
    if (known !== undefined) this.marks.toggle(known.member);
    this.rows.delete(keyOf(member));
    this.untold.delete(keyOf(member));
    this.livingNow = null;
  }

  private become(self: Member): void {
    this.marks.toggle(this.self);
    this.self = self;
    this.marks.toggle(self);
    this.livingNow = null;
  }

  private send(to: Address, kind: Gossip['kind'], probe: number, about: Address = '' as Address): MemberCommand {
    return { kind: 'send', to, gossip: { ...this.gossip(kind, probe), about } };
  }

  /** The same at all that know of the same processes: suspicions pass too quickly to count. */
  private mark(): string {
    const texts = this.living().map((member) => `${keyOf(member)}/${member.boot}/${member.life}`);
    return createHash('sha256').update(texts.sort().join()).digest('base64url').slice(0, MARK_LENGTH);
  }

  private gossip(kind: Gossip['kind'], probe: number): Gossip {
    const most = TELLINGS * Math.ceil(Math.log10(this.rows.size + 2));
    const freshest = [...this.untold].flatMap((key) => {
      const row = this.rows.get(key);
      return row === undefined ? [] : [{ key, row }];
    }).sort((one, other) => one.row.tellings - other.row.tellings).slice(0, this.rules.newsPerPacket - 1);
    for (const { key, row } of freshest) {
      row.tellings += 1;
      if (row.tellings >= most) this.untold.delete(key);
    }
    const news = [this.self, ...freshest.map(({ row }) => row.member)];
    return { cluster: this.rules.cluster, kind, probe, from: this.self.member, about: '' as Address, news, ...(kind === 'sync' ? { mark: this.mark(), marks: this.marks.text() } : {}) };
  }

  private pick(count: number, exceptKey: string): readonly Member[] {
    return this.shuffled([...this.rows.values()].map((row) => row.member).filter((member) => member.state === 'alive' && keyOf(member) !== exceptKey)).slice(0, count);
  }

  private shuffled<T>(items: readonly T[]): readonly T[] {
    return items.map((item) => ({ item, order: this.random() })).sort((one, other) => one.order - other.order).map(({ item }) => item);
  }
}
