import { Gauge } from 'prom-client';
import { HeaderText, type HopOrder, type HopVerdict, type ProbeAnswer, type ProbeAsk, type TurnAwayCause, type VerdictAnswer, type VerdictAsk } from '../connection/hopCalls.js';
import { exchangeWithEndpoint } from '../connection/endpointExchange.js';
import type { EndpointLinks } from '../connection/endpointLinks.js';
import { Body } from '../connection/body.js';
import type { Speech } from '../connection/speech.js';
import type { Address, EndpointId, InstanceId, Instant, OrderId, Serial, ServiceName, ZoneName } from '../process/brands.js';
import { Manifest, type Binding } from '../version/manifest.js';
import { type Announcement, MET_SEQUENCE } from '../process/announcement.js';
import type { Holding } from '../process/memoryBudget.js';
import type { LocalEndpoints, Waiting } from '../process/localEndpoints.js';
import type { Frame } from '../process/program.js';
import type { PlaceSettings } from '../process/settings.js';
import { Tally } from '../process/tally.js';
import { Transit } from '../process/transit.js';
import { VerdictBook } from '../process/verdictBook.js';
import type { VersionRouter } from '../process/versionRouter.js';

const LEAST_LEFT_MS = 5;
const PROBE_MS = 1500;
/** The slots of an endpoint that has not yet said how many it has. */
const MET_SLOTS = 4;
const QUEUE_SHARE = 0.5;
/**
 * A request that is refused within a quarter of its aim can still be served in time elsewhere, so it waits no longer
 * than nearly that; one of the highest priority waits longer, since those who call for it seldom ask again.
 */
const AIM_SHARE = 0.2;
const HIGHEST_AIM_SHARE = 0.6;

/** Answers that are kept for callers who lost sight of them take at most so much, in bytes, and this part of what the process may hold. */
const KEPT_ANSWERS_MOST = 64 * 1024 * 1024;
const KEPT_ANSWERS_SHARE = 0.125;

/** The manifest as the host needs it. */
export interface HostManifest {
  serial(): Serial;
  bindingOf(id: string): Binding | null;
  /** The path by which a service's endpoints are probed; null when each names its own. */
  probeOf(service: ServiceName): string | null;
  /** Resolves once the manifest has reached the serial, or a short time has passed. */
  reach(serial: Serial): Promise<boolean>;
}

/** The host's part of an order: it alone decides whether an endpoint of this machine may still run it. */
export class Hosting {
  private readonly book: VerdictBook;
  private readonly turnAways: Tally;
  private readonly transit = new Transit();
  private runningOrders = 0;
  private isStopping = false;

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly endpoints: LocalEndpoints, private readonly manifest: HostManifest, private readonly links: EndpointLinks, private readonly speech: Speech, private readonly versions: Pick<VersionRouter, 'isReverted'>) {
    this.book = new VerdictBook(frame.clock, Math.min(KEPT_ANSWERS_MOST, frame.memory.totalBytes * KEPT_ANSWERS_SHARE));
    this.turnAways = new Tally(frame.metrics, 'opalstair_host_turn_aways_total', 'Orders that this machine did not start, by cause', ['cause']);
    const running = (): number => this.runningOrders;
    new Gauge({ name: 'opalstair_host_running', help: 'Orders that run at the endpoints of this machine', registers: [frame.metrics], collect() { this.set(running()); } });
  }

  /** Runs an order once at most; a hop that came before gets the verdict of its first run. */
  async run(order: HopOrder, body: Body, holding: Holding): Promise<HopVerdict> {
    this.frame.stalls.check();
    const now = this.frame.clock.now();
    const arrival = (now - this.transit.delayOf(order.callerBoot, order.sentAt, now)) as Instant;
    if (order.hostBoot !== this.frame.boot) return this.turnAway(order, 'other-boot');
    const opening = this.book.open(order.callerBoot, order.hop);
    switch (opening.kind) {
      case 'known': return opening.verdict;
      case 'fenced': return this.turnAway(order, 'fenced');
      case 'tooOld':
        return { kind: 'defect', defect: 'forgotten', detail: 'this hop may have run before', mayHaveRun: true, load: this.endpoints.load(order.endpoint) };
      case 'fresh': {
        this.runningOrders += 1;
        const verdict = await this.attempt(order, body, arrival, holding);
        this.runningOrders -= 1;
        opening.settle(verdict);
        return verdict;
      }
    }
  }

  async verdictOf(ask: VerdictAsk): Promise<VerdictAnswer> {
    return ask.hostBoot === this.frame.boot ? this.book.lookUp(ask) : { kind: 'otherBoot' };
  }

  /** Tries an endpoint on the directory's or a caller's behalf. */
  async probe(ask: ProbeAsk): Promise<ProbeAnswer> {
    const target = this.endpoints.probeTarget(ask);
    if (target.isErr()) return { serves: false };
    const { address } = target.value;
    const path = this.manifest.probeOf(ask.service) ?? target.value.path;
    const holding = this.frame.memory.open();
    const answer = await exchangeWithEndpoint({
      agent: this.links.agentOf(address, ask.instance), method: 'GET', url: path, headers: ['host', address, 'user-agent', 'opalstair-probe'], body: Body.empty, holding, leftMs: PROBE_MS,
      fault: () => this.endpoints.probeTarget(ask).match(() => null, (cause) => cause), read: () => ({ isOwn: null, isNotRun: false, fault: null }), onOdd: () => undefined,
    });
    holding.close();
    return { serves: answer.match((found) => found.status < 500, () => false) };
  }

  /** Asks the endpoint that this machine is told of which instance it is: a node that was restarted need not wait for its next beat. */
  async meet(address: Address, service: ServiceName, zone: ZoneName): Promise<void> {
    if (this.endpoints.has(address)) return;
    const path = this.manifest.probeOf(service);
    const instance = await this.instanceAt(address, service);
    if (path === null || instance === null || this.endpoints.has(address)) return;
    this.endpoints.beat({ id: instance as EndpointId, instance: instance as InstanceId, service, address, zone, probe: path, slots: MET_SLOTS, leaving: false, nonce: '', fenced: true, sequence: MET_SEQUENCE });
  }

  /** Whether the endpoint at this address says that it serves and is this instance. */
  async isServing({ address, service, instance }: Pick<Announcement, 'address' | 'service' | 'instance'>): Promise<boolean> {
    return (await this.instanceAt(address, service)) === instance;
  }

  /** The instance that serves at an address, by its own word; null when it does not say so. */
  private async instanceAt(address: Address, service: ServiceName): Promise<string | null> {
    const path = this.manifest.probeOf(service);
    if (path === null) return null;
    const holding = this.frame.memory.open();
    const answer = await exchangeWithEndpoint({
      agent: this.links.agentOf(address, ''), method: 'GET', url: path, headers: ['host', address, 'user-agent', 'opalstair-probe'], body: Body.empty, holding, leftMs: PROBE_MS,
      fault: () => null, read: () => ({ isOwn: null, isNotRun: false, fault: null }), onOdd: () => undefined,
    });
    holding.close();
    this.links.forget(address, '');
    return answer.isOk() && answer.value.status === 200 ? this.speech.instanceOf(HeaderText.read(answer.value.headers)) : null;
  }

  /** From now on no order is started. */
  stopTaking(): void {
    this.isStopping = true;
  }

  private async attempt(order: HopOrder, body: Body, arrival: Instant, holding: Holding): Promise<HopVerdict> {
    const deadline = arrival + order.leftMs;
    const left = (): number => deadline - this.frame.clock.now();
    if (this.isStopping) return this.turnAway(order, 'stopping');
    if (order.serial > this.manifest.serial() && !(await this.manifest.reach(order.serial))) return this.turnAway(order, 'manifest-behind');
    const faultNow = (): TurnAwayCause | null => {
      if (!Manifest.allows(this.manifest.bindingOf(order.binding), order.service)) return 'binding-not-allowed';
      if (this.versions.isReverted(order.service, this.endpoints.versionOf(order.endpoint))) return 'version-reverted';
      return left() < LEAST_LEFT_MS ? 'cutoff-too-near' : null;
    };
    const early = faultNow();
    if (early !== null) return this.turnAway(order, early);
    const seat = await this.endpoints.seat(order, this.waitingOf(order, left(), this.frame.clock.now() - arrival));
    if (seat.isErr()) return this.turnAway(order, seat.error);
    const { address } = seat.value;
    const start = this.frame.clock.now();
    const answer = await exchangeWithEndpoint({
      agent: this.links.agentOf(address, order.instance), method: order.method, url: order.url,
      headers: [...HeaderText.read(order.headers), ...this.speech.toEndpoint({ order: order.order as OrderId, instance: order.instance, leftMs: left() })], body, holding, leftMs: left(),
      fault: () => faultNow() ?? seat.value.recheck(), read: (status, headers) => this.speech.ofAnswer(status, headers, order.request), onOdd: () => this.links.noteOdd(`${address}/${order.instance}`),
    });
    const tookMs = this.frame.clock.now() - start;
    seat.value.leave(answer.isOk() && answer.value.status < 500 ? tookMs : undefined);
    if (answer.isErr() && answer.error.kind === 'seat-lost') return this.turnAway(order, answer.error.turnedAwayFor);
    if (answer.isErr() && answer.error.kind === 'endpoint-refusal') return this.turnAway(order, 'refused-by-endpoint');
    if (answer.isErr() && answer.error.kind === 'no-connection') this.endpoints.doubt(order.endpoint, order.instance);
    const load = this.endpoints.load(order.endpoint);
    return answer.match<HopVerdict>(
      (whole) => ({ kind: 'answered', answer: whole, load, ...(seat.value.isCold ? {} : { tookMs }) }),
      (defect) => ({ kind: 'defect', defect: defect.kind, detail: defect.describe(), mayHaveRun: defect.kind !== 'no-connection', load }),
    );
  }

  private waitingOf(order: HopOrder, leftMs: number, hereMs: number): Waiting {
    const binding = this.manifest.bindingOf(order.binding);
    const priority = binding?.priority ?? 0;
    const mostMs = leftMs * QUEUE_SHARE;
    const aimMs = binding?.aimMs ?? null;
    const agedMs = order.heldMs + hereMs;
    const patience = aimMs === null ? mostMs : Math.min(mostMs, aimMs * (priority === 0 ? HIGHEST_AIM_SHARE : AIM_SHARE) - agedMs);
    return { priority, kind: order.binding, mostMs: patience, mostMsIfSmall: mostMs, givenMs: order.leftMs + order.heldMs };
  }

  private turnAway(order: HopOrder, cause: TurnAwayCause): HopVerdict {
    this.turnAways.add(cause);
    return { kind: 'turnedAway', cause, serial: this.manifest.serial(), load: this.endpoints.load(order.endpoint) };
  }
}
