import { Hono } from 'hono';
import Joi from 'joi';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Counter, Gauge } from 'prom-client';
import { adminApp, doorTerms, linkTerms, wireServer } from '../../connection/admin.js';
import { beatApp, type BeatDesk } from '../../connection/beatDoor.js';
import { EndpointLinks } from '../../connection/endpointLinks.js';
import { HopPath, hopOrderShape, probeAnswerShape, probeAskShape, verdictAskShape, HopMessages, type HopOrder, type ProbeAnswer, type ProbeAsk, type VerdictAsk } from '../../connection/hopCalls.js';
import type { Door } from '../../connection/connectionGuard.js';
import { honoDoor } from '../../connection/honoDoor.js';
import { Listener, type DoorTerms } from '../../connection/listener.js';
import { markAskShape, NodePath, snapshotAskShape, type MarkAsk, type SnapshotAsk } from '../../connection/nodeCalls.js';
import { problem } from '../../connection/operators.js';
import { orderDoor as takeOrders } from '../../connection/orderDoor.js';
import { ownSpeech, type Speech } from '../../connection/speech.js';
import { SHORT_WIRE_LIMIT, WireClient, type WireDefect } from '../../connection/wire.js';
import { StoreClient } from '../../connection/storeCalls.js';
import { addressShape } from '../../process/addressShape.js';
import { Allowance } from '../../process/allowance.js';
import type { Address, Millis, NodeName, OrderId, ServiceName } from '../../process/brands.js';
import type { Defect } from '../../process/defect.js';
import { Delivery, type DeliverySettings } from '../../process/delivery.js';
import { LocalEndpoints } from '../../process/localEndpoints.js';
import { MarkDisks } from '../../process/markDisks.js';
import { MarkReplicas } from '../../process/markReplicas.js';
import { Membership } from '../../process/membership.js';
import { OutcomeBook } from '../../process/outcomeBook.js';
import { Picker } from '../../process/picker.js';
import type { MemoryBudget } from '../../process/memoryBudget.js';
import type { Frame, Program, Running } from '../../process/program.js';
import { Reporter } from '../../process/reporter.js';
import { RolloutReporter } from '../../process/rolloutReporter.js';
import { millisSetting, placeTable, portSetting, type SettingTable } from '../../process/settings.js';
import { ShareLease } from '../../process/shareLease.js';
import { Traces } from '../../process/traces.js';
import { VersionRouter } from '../../process/versionRouter.js';
import type { Target } from '../../version/matcher.js';
import { Manifest } from '../../version/manifest.js';
import { Rehearsal } from './rehearsal.js';
import { Forwarder } from '../../request/forwarder.js';
import { Hosting } from '../../request/hosting.js';
import { departureMarkShape, type DepartureMark } from '../../version/departureMark.js';

interface SwitchboardSettings extends DeliverySettings {
  readonly orderPort: number;
  readonly beatPort: number;
  readonly highestNodes: number;
  readonly tracesKept: number;
  readonly partingMs: Millis;
  readonly ordersAtOnce: number;
  readonly rehearsedOrders: number;
  readonly endpointBacklog: number;
  readonly callingService?: string;
  readonly readyPort?: number;
  readonly endpointAt?: Address;
  readonly leavingMs: Millis;
  readonly losses: number;
  readonly firstStart: boolean;
}

/** How a switchboard meets callers, endpoints and whoever looks at its readiness. */
export interface SwitchboardDoors {
  readonly speech: Speech;
  readonly beats: (desk: BeatDesk, memory: MemoryBudget) => Door;
  /** A door for readiness alone, beside the admin port's. */
  readonly ready: (isReady: () => boolean, memory: MemoryBudget) => Door;
}

const table: SettingTable = {
  ...placeTable(7080),
  orderPort: { check: portSetting(7083), help: 'port for callers' },
  beatPort: { check: portSetting(7084), help: 'port for the endpoints of this machine' },
  highestNodes: { check: Joi.number().integer().min(1).max(1000).default(16), help: 'most switchboards there will ever be; half of each allowance is split by it for good' },
  tracesKept: { check: Joi.number().integer().min(0).max(1_000_000).default(5000), help: 'how many orders are kept for calltrace' },
  ordersAtOnce: { check: Joi.number().integer().min(1).max(100_000).default(2000), help: 'most orders under way at once; more are turned away' },
  rehearsedOrders: { check: Joi.number().integer().min(0).max(100_000).default(0), help: 'orders of its own that a starting switchboard takes through a copy of its path, so that the code is compiled before callers come; it ends with the first real one' },
  endpointBacklog: { check: Joi.number().integer().min(0).max(100).default(0), help: 'orders given to an endpoint beyond its slots, where endpoints queue by themselves: the next one is there when a slot comes free' },
  callingService: { check: Joi.string().min(1).max(64), help: 'service of this machine: endpoints are told that its requests come from it' },
  readyPort: { check: Joi.number().integer().min(1).max(65535), help: 'port of a door for readiness alone; none when not given' },
  endpointAt: { check: addressShape, help: 'address of the endpoint of this machine, of the calling service: it is asked for its instance at the start' },
  leavingMs: { check: millisSetting(0, 0), help: 'how long a stopping switchboard still offers its endpoints to others' },
  losses: { check: Joi.number().integer().min(0).max(16).default(1), help: 'how many machines may be lost at once: an endpoint\'s leaving is acknowledged when as many other processes know of it, one at least' },
  firstStart: { check: Joi.boolean().default(false), help: 'whether the whole mesh starts for the first time: no endpoint can have left before' },
  applyWithinMs: { check: millisSetting(2000, 500), help: 'within how long of its acknowledgement a manifest must be in force: a path is denied only by newer evidence that it has no binding' },
  partingMs: { check: millisSetting(1500, 0), help: 'how long a stopping switchboard goes on taking orders' },
};

const MOST_HEADER_BYTES = 64 * 1024;
/** Callers' connections at once: as many as this, and this part of the descriptors; the others are for endpoints, other processes and files. */
const CALLERS_MOST = 2000;
const CALLERS_SHARE = 0.5;
/** Marks of departure are looked after so soon after other processes have come or gone, in milliseconds. */
const REPAIR_MS = 500;
/** How often silent endpoints and idle connections are let go, in milliseconds. */
const SWEEP_MS = 500;
/** How often endpoints are looked for that are masked here and that no order has tried, in milliseconds. */
const OVERDUE_MS = 1000;

const explainShape = Joi.object({ method: Joi.string().required(), url: Joi.string().required(), host: Joi.string().allow('').required() });

const start = async (frame: Frame<SwitchboardSettings>, doors: SwitchboardDoors): Promise<Result<Running<SwitchboardSettings>, Defect>> => {
  const { settings, log, clock } = frame;
  const opened = await Membership.open(frame, 'switchboard');
  if (opened.isErr()) return err(opened.error);
  const membership = opened.value;
  const wire = new WireClient(settings.cluster, settings.listenHost, frame.sent);
  const links = new EndpointLinks(clock, settings.listenHost);
  const endpoints = new LocalEndpoints(clock, () => reporter.changed(), (said) => links.forget(said.address, said.instance), settings.endpointBacklog, (said) => marks.find(said));
  const versions: VersionRouter = new VersionRouter(() => rolloutReporter.tell(), () => delivery.isVouchedFor);
  const delivery = new Delivery(frame, membership, wire, (rows) => {
    book.keepOnly(rows);
    picker.keepOnly(rows);
  }, (rows) => rows.forEach((row) => book.forgive(row)), (rollouts) => versions.learn(rollouts));
  const book = new OutcomeBook(frame, () => delivery.healthRules());
  const picker = new Picker(settings.zone, clock, book, Math.random);
  /** A locally masked endpoint that no repeatable order tried is tried through its host. */
  const probeOverdue = async (): Promise<void> => {
    await Promise.all(book.overdue().map(async (row) => {
      const answer: Result<ProbeAnswer, WireDefect> = await wire.call<ProbeAnswer>(row.hop, HopPath.probe, { service: row.service, endpoint: row.id, instance: row.instance }, 2000, probeAnswerShape);
      if (answer.isOk() && answer.value.serves) book.forgive(row);
    }));
  };
  const shares = new ShareLease(frame, membership, wire, settings.highestNodes, () => ({ wants: allowance.isWanted(), serviceShares: delivery.allowanceRules().serviceShares }));
  const allowance: Allowance = new Allowance(clock, () => delivery.allowanceRules(), () => shares.part());
  const hosting = new Hosting(frame, endpoints, delivery, links, doors.speech, versions);
  const marks: MarkReplicas = new MarkReplicas({
    self: settings.node, clock, wire, disks: new MarkDisks(() => membership.having('ratebook').map((member) => member.wire), new StoreClient(wire)), replicas: Math.max(1, settings.losses), isFirstStart: settings.firstStart, held: () => endpoints.marks(), having: (role) => membership.having(role), rowOf: (instance) => delivery.rowOf(instance), isServing: (said) => hosting.isServing(said),
  });
  const traces = new Traces(settings.tracesKept);
  const forwarder = new Forwarder(frame, { delivery, picker, book, allowance, versions, hosting, wire, traces, speech: doors.speech, callingService: settings.callingService ?? null, random: Math.random });
  const stewardOf = (service: ServiceName): NodeName | null => delivery.tables(service).mask?.by ?? null;
  const reporter = new Reporter(frame, membership, wire, endpoints, book, () => delivery.serial(), () => delivery.listMark(), stewardOf);
  const rolloutReporter: RolloutReporter = new RolloutReporter(frame, membership, wire, versions, stewardOf);
  const beatsTurnedAway = new Counter({ name: 'opalstair_beats_turned_away_total', help: 'Announcements that were malformed or from elsewhere', registers: [frame.metrics] });
  new Gauge({ name: 'opalstair_rollout_share', help: 'Share of a service\'s requests that goes to the target version of its latest rollout', labelNames: ['service', 'target'], registers: [frame.metrics], collect() {
    this.reset();
    versions.snapshot.table.services.forEach(({ service, rollout }) => { if (rollout !== null) this.set({ service, target: rollout.target }, rollout.share); });
  } });
  new Gauge({ name: 'opalstair_allowance_tokens', help: 'Repeats left at each branch of the tree', labelNames: ['branch'], registers: [frame.metrics], collect() { allowance.views().forEach(({ branch, tokens }) => this.set({ branch }, tokens)); } });

  let closing = false;
  const meetEndpoint = async (): Promise<void> => {
    const { endpointAt, callingService, zone } = settings;
    if (endpointAt === undefined || callingService === undefined) return;
    await delivery.begun();
    await hosting.meet(endpointAt, callingService as ServiceName, zone);
  };
  let hasCarried = false;
  const rehearse = async (): Promise<void> => {
    if (settings.rehearsedOrders === 0) return;
    const rehearsal = await Rehearsal.open(frame, doors.speech);
    const whole = await rehearsal.run(settings.rehearsedOrders, () => closing || hasCarried);
    await rehearsal.close();
    log.info({ event: 'rehearsed', orders: whole });
  };
  const server = wireServer(frame, SHORT_WIRE_LIMIT);
  server.on<HopOrder>(HopPath.order, hopOrderShape, async (order, { body, holding }) => HopMessages.ofVerdict(await hosting.run(order, HopMessages.bodyOf(order, body), holding)));
  server.on<VerdictAsk>(HopPath.verdict, verdictAskShape, async (message) => HopMessages.ofVerdict(await hosting.verdictOf(message)));
  server.on<ProbeAsk>(HopPath.probe, probeAskShape, (message) => hosting.probe(message));
  server.on<SnapshotAsk>(NodePath.snapshot, snapshotAskShape, (message) => delivery.snapshot(message));
  server.on<DepartureMark>(NodePath.keepMark, departureMarkShape, (message) => endpoints.keepMark(message));
  server.on<MarkAsk>(NodePath.findMark, markAskShape, (message) => endpoints.markOf(message.instance));
  const isReady = (): boolean => delivery.isReady && !closing;
  const admin = adminApp(frame, membership, isReady);
  admin.get('/v1/state', (context) => context.json({ node: settings.node, boot: frame.boot, manifest: delivery.serial(), rollouts: versions.snapshot, fingerprint: Manifest.fingerprint(delivery.now().manifest), endpoints: endpoints.listed(), list: delivery.listMark(), allowance: allowance.views() }));
  admin.get('/v1/services/:service', (context) => context.json(delivery.tables(context.req.param('service') as ServiceName)));
  admin.get('/v1/traces/:order', (context) => {
    const trace = traces.find(context.req.param('order') as OrderId);
    if (trace !== null) return context.json(trace);
    return forwarder.hasCarried(context.req.param('order')) ? problem(context, 404, 'trace-expired', 'expired: this order was carried here, but its record has been dropped') : problem(context, 404, 'no-such-order', 'unknown: no such order was carried here');
  });
  admin.post('/v1/explain', async (context) => {
    const asked = explainShape.validate(await context.req.json().catch(() => null), { convert: false });
    return asked.error === undefined ? context.json(forwarder.explain(asked.value as Target)) : problem(context, 400, 'bad-request', asked.error.message);
  });
  const orders = takeOrders({
    carry: (order) => {
      hasCarried = hasCarried || isReady();
      return forwarder.carry(order);
    },
    isClosing: () => closing, ordersAtOnce: settings.ordersAtOnce,
    failed: (error) => log.error({ event: 'internal-defect', error: error.stack }), speech: doors.speech, limits: () => delivery.now().manifest.limits, memory: frame.memory,
  });
  const beats = doors.beats({
    endpoints, marks, ownHosts: [settings.host, settings.listenHost], checkStall: () => frame.stalls.check(),
    turnedAway: (id, reason) => {
      beatsTurnedAway.inc();
      log.warn({ event: 'beat-turned-away', endpoint: id, reason });
    },
  }, frame.memory);
  const terms = doorTerms(frame);
  const callerTerms: DoorTerms = {
    ...terms, most: Math.min(CALLERS_MOST, Math.floor(settings.descriptors * CALLERS_SHARE)), options: { maxHeaderSize: MOST_HEADER_BYTES },
    limits: () => delivery.now().manifest.limits,
  };
  const listeners = await ResultAsync.combine([
    Listener.openWire(server, settings.listenHost, settings.wirePort, linkTerms(frame, terms)), Listener.open(honoDoor(admin, frame.memory), settings.listenHost, settings.adminPort, terms),
    Listener.open(orders, settings.listenHost, settings.orderPort, callerTerms), Listener.open(beats, settings.listenHost, settings.beatPort, terms),
    ...(settings.readyPort === undefined ? [] : [Listener.open(doors.ready(isReady, frame.memory), settings.listenHost, settings.readyPort, terms)]),
  ]);
  if (listeners.isErr()) return err(listeners.error);
  const [wireDoor, adminDoor, orderDoor, beatDoor, readyDoor] = listeners.value as [Listener, Listener, Listener, Listener, Listener?];
  membership.announce();
  delivery.start();
  void meetEndpoint();
  void rehearse();
  reporter.start();
  rolloutReporter.start();
  shares.start();
  frame.ticker.every(SWEEP_MS, () => {
    endpoints.sweep();
    orderDoor.keepIdle(delivery.now().manifest.limits.idleMs);
  });
  frame.ticker.every(OVERDUE_MS, () => void probeOverdue());
  let hasNewMembers = false;
  membership.onChange(() => { hasNewMembers = true; });
  frame.ticker.every(REPAIR_MS, () => {
    if (!hasNewMembers) return;
    hasNewMembers = false;
    void marks.repair();
  });
  log.info({ event: 'listening', wire: wireDoor.address, admin: adminDoor.address, orders: orderDoor.address, beats: beatDoor.address });
  return ok({
    stop: async () => {
      closing = true;
      const rest = (length: number): Promise<void> => new Promise((settle) => { setTimeout(settle, length); });
      await rest(settings.leavingMs);
      await reporter.close();
      await rest(Math.max(0, settings.partingMs - settings.leavingMs));
      endpoints.closeAll();
      await orderDoor.close();
      hosting.stopTaking();
      await Promise.all([wireDoor.close(), beatDoor.close()]);
      await reporter.end();
      delivery.stop();
      await membership.close();
      await Promise.all([adminDoor.close(), readyDoor?.close()]);
      await wire.close();
    },
    reload: (fresh) => membership.reseed(fresh.seeds),
  });
};

/** The switchboard with the doors that it is given. */
export const switchboard = (doors: SwitchboardDoors): Program<SwitchboardSettings> => ({
  name: 'switchboard', about: 'the proxy of one machine: takes orders, forwards them to endpoints, hosts the endpoints of its machine', table,
  start: (frame) => new ResultAsync(start(frame, doors)),
});

/** Opalstair's own doors. */
export const ownDoors: SwitchboardDoors = {
  speech: ownSpeech, beats: (desk, memory) => honoDoor(beatApp(desk), memory),
  ready: (isReady, memory) => honoDoor(new Hono().get('/ready', (context) => context.json({ ready: isReady() }, isReady() ? 200 : 503)) as unknown as Hono, memory),
};
