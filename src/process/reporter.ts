import { aliveAnswerShape, NodePath, reportAnswerShape, type AliveAnswer, type AliveMessage, type NodeReport, type OutcomeReport, type OutcomeRow, type ReportAnswer } from '../connection/nodeCalls.js';
import type { WireClient, WireDefect } from '../connection/wire.js';
import type { EndpointRow } from '../version/snapshots.js';
import { Address, type BootId, type NodeName, type Serial, type ServiceName } from './brands.js';
import { HostVoice } from './hostVoice.js';
import type { LocalEndpoints } from './localEndpoints.js';
import type { Membership } from './membership.js';
import type { OutcomeBook } from './outcomeBook.js';
import type { Frame } from './program.js';
import type { PlaceSettings } from './settings.js';
import type { Result } from 'neverthrow';

const LIST_MS = 1000;
const OUTCOMES_MS = 250;
const TELL_MS = 1000;
/** Of so many turns one tells successes too, to the directory that merges them, and of so many one tells everything to all. */
const CHANGED_EVERY = 16;
const WHOLE_EVERY = 64;

/** Passes on to every directory what this machine's endpoints say, and what came of the attempts sent from here. */
export class Reporter {
  private readonly voice = new HostVoice(Date.now());
  private turn = 0;
  private isClosing = false;
  private isDue = false;
  private hasEnded = false;
  private met: ReadonlySet<string> = new Set();
  /** Which list each directory, by its boot, has taken from here: the number of its last change. */
  private readonly toldLists = new Map<BootId, number>();

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly membership: Membership, private readonly wire: WireClient, private readonly endpoints: LocalEndpoints, private readonly book: OutcomeBook, private readonly serialNow: () => Serial, private readonly markNow: () => string, private readonly mergerOf: (service: ServiceName) => NodeName | null) {}

  start(): void {
    this.membership.onChange(() => this.meet());
    this.frame.ticker.every(LIST_MS, () => void this.sendList());
    this.frame.ticker.every(OUTCOMES_MS, () => void this.sendOutcomes());
  }

  /** Something changed: the directories hear of it at once. */
  changed(): void {
    if (this.isDue) return;
    this.isDue = true;
    setImmediate(() => {
      this.isDue = false;
      void this.sendList();
    });
  }

  /** Tells the directories that all endpoints here are leaving, though they still serve for a while. */
  async close(): Promise<void> {
    this.isClosing = true;
    await Promise.race([this.sendList(), new Promise((settle) => { setTimeout(settle, 300); })]);
  }

  /** The last word: nothing runs here any more. */
  async end(): Promise<void> {
    this.hasEnded = true;
    await Promise.race([this.sendList(), new Promise((settle) => { setTimeout(settle, 300); })]);
  }

  /** A directory that has just come up hears at once what is here. */
  private meet(): void {
    const boots = this.membership.having('directory').map(({ boot }) => boot);
    const isNew = boots.some((boot) => !this.met.has(boot));
    this.met = new Set(boots);
    for (const boot of this.toldLists.keys()) if (!this.met.has(boot)) this.toldLists.delete(boot);
    if (isNew) this.changed();
  }

  private async sendList(): Promise<void> {
    const { settings, boot } = this.frame;
    const hop = Address.of(settings.host, settings.wirePort);
    const rows: readonly EndpointRow[] = this.hasEnded ? [] : this.endpoints.listed().map(({ id, service, instance, address, zone, slots, version, leaving }) =>
      ({ id, service, instance, address, zone, slots, ...(version === undefined ? {} : { version }), leaving: leaving || this.isClosing, node: settings.node, nodeBoot: boot, hop }));
    const departed = this.endpoints.departedLately();
    const leaving = this.endpoints.leavingLately();
    const report = {
      node: settings.node, boot, ...this.voice.say(rows), zone: settings.zone, hop, manifest: this.serialNow(), rows, mark: this.markNow(), ...(departed.length > 0 ? { departed } : {}), ...(leaving.length > 0 ? { leaving } : {}),
    } satisfies NodeReport;
    const isPlain = departed.length + leaving.length === 0;
    await Promise.all(this.membership.having('directory').map(async ({ wire, boot: directory }) => {
      if (isPlain && this.toldLists.get(directory) === report.changed && await this.sayAlive(wire, report)) return;
      const answer: Result<ReportAnswer, WireDefect> = await this.wire.call<ReportAnswer>(wire, NodePath.report, report, TELL_MS, reportAnswerShape);
      answer.map((advice) => {
        this.toldLists.set(directory, report.changed);
        this.heed(advice);
      });
    }));
  }

  /** Tells a directory that the list is what it was; whether that was enough. */
  private async sayAlive(wire: Address, { node, boot, life, sequence, manifest, changed, mark }: NodeReport & { readonly changed: number; readonly mark: string }): Promise<boolean> {
    const message: AliveMessage = { node, boot, life, sequence, manifest, changed, mark };
    const answer: Result<AliveAnswer, WireDefect> = await this.wire.call<AliveAnswer>(wire, NodePath.alive, message, TELL_MS, aliveAnswerShape);
    answer.map((advice) => this.heed(advice));
    return answer.match(({ isKnown }) => isKnown, ({ kind }) => kind !== 'turned-away');
  }

  private async sendOutcomes(): Promise<void> {
    this.turn += 1;
    const everywhere = this.book.report(this.turn % WHOLE_EVERY === 0 ? 'all' : 'failing');
    const successes = this.turn % CHANGED_EVERY === 0 ? this.book.report('changed') : [];
    const directories = this.membership.having('directory');
    const known = new Set(directories.map(({ name }) => name));
    await Promise.all(directories.map(async ({ name, wire }) => {
      const isMergedBy = ({ service }: OutcomeRow): boolean => {
        const merger = this.mergerOf(service);
        return merger === null || !known.has(merger) || merger === name;
      };
      const rows = [...everywhere, ...successes.filter(isMergedBy)];
      if (rows.length === 0) return;
      const report: OutcomeReport = { node: this.frame.settings.node, boot: this.frame.boot, life: this.voice.life, sequence: this.voice.next(), rows };
      await this.wire.call(wire, NodePath.outcomes, report, TELL_MS);
    }));
  }

  /** A directory knows better than this host remembers. */
  private heed(advice: ReportAnswer): void {
    if (advice.departed !== undefined) {
      this.frame.log.warn({ event: 'departed-refused', instances: advice.departed });
      this.endpoints.endDeparted(advice.departed);
    }
    if (advice.leaving !== undefined) this.endpoints.keepLeaving(advice.leaving);
    if (this.voice.hear(advice)) this.changed();
  }
}
