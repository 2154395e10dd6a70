import type { Hono } from 'hono';
import Joi from 'joi';
import { Counter } from 'prom-client';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { adminApp, doorTerms, linkTerms, wireServer } from '../../connection/admin.js';
import { honoDoor } from '../../connection/honoDoor.js';
import { Listener } from '../../connection/listener.js';
import { aliveShape, listAskShape, listNewsShape, markAskShape, maskAnswerShape, maskMessageShape, NodePath, nodePollShape, nodeReportShape, outcomeReportShape, rolloutReportShape, shareAskShape, type AliveMessage, type ListAsk, type ListNews, type MarkAsk, type MaskMessage, type NodePoll, type NodeReport, type OutcomeReport, type RolloutReport, type SnapshotAsk } from '../../connection/nodeCalls.js';
import { HopPath, probeAnswerShape, type ProbeAnswer } from '../../connection/hopCalls.js';
import { addOperatorCalls } from '../../connection/operators.js';
import { StoreClient } from '../../connection/storeCalls.js';
import { SHORT_WIRE_LIMIT, WireClient, type WireDefect } from '../../connection/wire.js';
import type { Millis, Serial } from '../../process/brands.js';
import type { Defect } from '../../process/defect.js';
import { Desk, maskDutyKey } from '../../process/desk.js';
import { Duties } from '../../process/duties.js';
import { RolloutClerk } from '../../process/rolloutClerk.js';
import { RolloutController } from '../../process/rolloutController.js';
import { StoreClerk } from '../../process/storeClerk.js';
import { MarkDisks } from '../../process/markDisks.js';
import { Membership } from '../../process/membership.js';
import type { Frame, Program, Running } from '../../process/program.js';
import { millisSetting, placeTable, type PlaceSettings, type SettingTable } from '../../process/settings.js';
import { repeat } from '../../process/repeat.js';
import type { ShareAsk } from '../../process/shareBook.js';
import { RolloutTable } from '../../version/rollout.js';
import type { AllowanceDefaults } from '../../version/manifest.js';
import { Windows } from '../../version/windows.js';
import { StoreFollower } from '../../process/storeFollower.js';
import { departureMarkShape, type DepartureMark } from '../../version/departureMark.js';

interface DirectorySettings extends PlaceSettings {
  readonly lapseMs: Millis;
  readonly warmMs: Millis;
  readonly probeEveryMs: Millis;
  readonly changeMs: Millis;
  readonly windows: readonly string[];
  readonly operatorPort?: number;
  readonly earn?: number;
  readonly serviceShares?: number;
}

/** How a directory meets operators beside opalstair's own calls; null when only by those. */
export type OperatorDoor = (clerk: StoreClerk, rollouts: RolloutClerk, allowance: AllowanceDefaults) => Hono;

const table: SettingTable = {
  ...placeTable(7180),
  lapseMs: { check: millisSetting(3000, 200), help: 'silence after which a node\'s endpoints are unlisted' },
  warmMs: { check: millisSetting(1500, 0), help: 'how long a started directory listens before it hands out a list' },
  probeEveryMs: { check: millisSetting(5000, 50), help: 'time between probes of a masked endpoint' },
  changeMs: { check: millisSetting(8000, 100), help: 'how long a change of the manifest may take before it is undecided' },
  operatorPort: { check: Joi.number().integer().min(1).max(65535), help: 'port of a door for operators that speak other words than opalstair\'s own; none when not given' },
  earn: { check: Joi.number().min(0).max(0.2), help: 'what a first order earns of a repeat, for manifests from that door' },
  serviceShares: { check: Joi.number().integer().min(0).max(100_000), help: 'repeats that a service may have beside what orders earn, for manifests from that door' },
  windows: { check: Joi.array().items(Joi.string().min(1)).default([]), help: 'iCalendar file of maintenance windows; may be given more than once', many: true },
};

/** What a repeated run calls counts as repeats too, where it calls: this part of each allowance is kept back for that. */
const KEPT_BACK_PART = 0.3;
/** The fleet as a whole may repeat as much as so many services. */
const FLEET_SERVICES = 10;
const keptBack = ({ earn, serviceShares }: DirectorySettings): AllowanceDefaults => {
  const shares = serviceShares === undefined ? undefined : Math.floor(serviceShares * (1 - KEPT_BACK_PART));
  return { earn: earn === undefined ? undefined : earn * (1 - KEPT_BACK_PART), fleetShares: shares === undefined ? undefined : FLEET_SERVICES * shares, serviceShares: shares, bindingShares: shares };
};

/** How often the rollouts are looked at, in milliseconds. */
const ROLLOUT_MS = 100;
/** A node that was not heard for so long is out of touch: a rollout goes on without its word. Nodes report each second. */
const TOUCH_MS = 1600;

/** How many nodes are asked for the masks in force before a new holder of a duty makes its first. */
const NODES_ASKED = 5;

const start = async (frame: Frame<DirectorySettings>, door: OperatorDoor | null): Promise<Result<Running<DirectorySettings>, Defect>> => {
  const { settings, log } = frame;
  const opened = await Membership.open(frame, 'directory');
  if (opened.isErr()) return err(opened.error);
  const membership = opened.value;
  const wire = new WireClient(settings.cluster, settings.listenHost, frame.sent);
  const store = new StoreClient(wire);
  const follower = new StoreFollower(frame, membership, store);
  const markDisks = new MarkDisks(() => follower.ratebooks(), store);
  const duties = new Duties(frame, follower, () => membership.having('directory').map((member) => member.name));
  const desk = new Desk(frame, follower, duties, settings, {
    probe: async (row) => {
      const answer: Result<ProbeAnswer, WireDefect> = await wire.call<ProbeAnswer>(row.hop, HopPath.probe, { endpoint: row.id, instance: row.instance, service: row.service }, 2000, probeAnswerShape);
      return answer.match((found) => found.serves, () => false);
    },
    tellDirectories: (message) => {
      for (const member of membership.having('directory')) {
        if (member.boot !== frame.boot) void wire.call<{ readonly list?: ListNews }>(member.wire, NodePath.mask, message, 1000, maskAnswerShape).then((answer) => answer.map(({ list }) => {
          if (list !== undefined) desk.learnList(member.name, list);
        }));
      }
    },
    askList: async (name, ask) => {
      const asked = membership.having('directory').find((member) => member.name === name);
      return asked === undefined ? null : (await wire.call<ListNews>(asked.wire, NodePath.list, ask, 1000, listNewsShape)).unwrapOr(null);
    },
    readMarks: () => markDisks.read(),
    masksOf: async (nodes) => {
      const members = membership.having('switchboard').filter((one) => nodes === null || nodes.includes(one.name));
      const asked = [...members].sort(() => Math.random() - 0.5).slice(0, NODES_ASKED);
      const answers = await Promise.all(asked.map(async ({ wire: address }) =>
        (await wire.call<MaskMessage>(address, NodePath.snapshot, { wantsList: false } satisfies SnapshotAsk, 500, Joi.object({ masks: maskMessageShape.extract('masks') }))).match((found) => found.masks, () => [])));
      return answers.flat();
    },
  });
  const calendarDefects = new Counter({ name: 'opalstair_calendar_defects_total', help: 'Calendars that could not be used; the former windows stayed in force', registers: [frame.metrics] });
  const readWindows = (files: readonly string[]): void => Windows.read(files).match((windows) => desk.keepWindows(windows), (defect) => {
    calendarDefects.inc();
    log.error({ event: 'calendar-turned-away', defect: defect.describe() });
  });
  readWindows(settings.windows);
  const server = wireServer(frame, SHORT_WIRE_LIMIT);
  server.on<NodePoll>(NodePath.poll, nodePollShape, (message) => desk.poll(message));
  server.on<NodeReport>(NodePath.report, nodeReportShape, (message) => desk.report(message));
  server.on<AliveMessage>(NodePath.alive, aliveShape, (message) => desk.alive(message));
  server.on<OutcomeReport>(NodePath.outcomes, outcomeReportShape, (message) => desk.outcomes(message));
  server.on<ShareAsk>(NodePath.shares, shareAskShape, (message) => desk.lend(message));
  server.on<MaskMessage>(NodePath.mask, maskMessageShape, (message) => desk.learnMasks(message));
  server.on<ListAsk>(NodePath.list, listAskShape, (message) => desk.answerList(message));
  server.on<DepartureMark>(NodePath.keepMark, departureMarkShape, (message) => desk.keepMark(message));
  server.on<MarkAsk>(NodePath.findMark, markAskShape, (message) => desk.markOf(message));
  let stopping = false;
  const admin = adminApp(frame, membership, () => !stopping && follower.voters() !== null && desk.registry.current() !== null);
  const clerk = new StoreClerk(follower, store, frame.clock, settings.changeMs);
  const rollouts = new RolloutClerk(clerk, frame.clock, (service, target) => {
    const [version, ...others] = new Set(desk.registry.rowsOf(service).map((row) => row.version).filter((one) => one !== undefined && one !== target));
    return version === undefined || others.length > 0 ? null : version;
  });
  const controller = new RolloutController({
    table: () => follower.rollouts() ?? { serial: 0 as Serial, table: RolloutTable.empty },
    isSteering: (service) => duties.epochOf(maskDutyKey(service)) !== null,
    nodesInTouch: () => {
      const living = new Set(membership.having('switchboard').map(({ name }) => name));
      return desk.registry.nodeViews().filter(({ node, silentMs }) => silentMs < TOUCH_MS && living.has(node));
    },
    services: () => (follower.isCurrent() && desk.registry.current() !== null ? desk.registry.services() : []),
    rowsOf: (service) => desk.registry.rowsOf(service),
    change: async (base, table) => (await rollouts.change(base, table)).isOk(),
  }, frame.clock, log);
  server.on<RolloutReport>(NodePath.rollout, rolloutReportShape, (message) => {
    controller.hear(message);
    return {};
  });
  addOperatorCalls(admin, clerk, rollouts, {
    rollouts: () => ({ serial: follower.rollouts()?.serial ?? 0, rollouts: controller.views() }),
    fleet: () => ({ serial: follower.manifest()?.serial ?? 0, isCurrent: follower.isCurrent(), nodes: desk.registry.nodeViews(), members: membership.living() }),
    endpoints: () => ({
      endpoints: (desk.registry.current()?.rows ?? []).map((row) => {
        const entry = desk.masks.all().find((mask) => mask.service === row.service)?.entries.find((one) => one.endpoint === row.id && one.instance === row.instance);
        return { ...row, state: row.leaving ? 'leaving' : row.resting === true ? 'resting' : entry !== undefined ? 'masked' : 'serving', reason: entry?.reason ?? null, since: entry?.since ?? null };
      }),
      windows: desk.openWindows(),
      calendars: desk.calendarViews(),
      duties: desk.registry.services().map((service) => ({ service, epoch: duties.epochOf(maskDutyKey(service)) })),
    }),
    lists: () => desk.agreement.view(),
    roster: () => ({ voters: follower.voters(), isCurrent: follower.isCurrent() }),
    allowances: () => ({ rules: follower.manifest()?.manifest.allowance ?? null, shares: desk.shareViews() }),
  });
  const terms = doorTerms(frame);
  const listeners = await ResultAsync.combine([Listener.openWire(server, settings.listenHost, settings.wirePort, linkTerms(frame, terms)), Listener.open(honoDoor(admin, frame.memory), settings.listenHost, settings.adminPort, terms),
    ...(door === null || settings.operatorPort === undefined ? [] : [Listener.open(honoDoor(door(clerk, rollouts, keptBack(settings)), frame.memory), settings.listenHost, settings.operatorPort, terms)])]);
  if (listeners.isErr()) return err(listeners.error);
  membership.announce();
  desk.start();
  repeat({ firstAfter: ROLLOUT_MS, period: ROLLOUT_MS, isOver: () => stopping }, async () => {
    rollouts.follow(follower.rollouts()?.table ?? RolloutTable.empty);
    await controller.step();
  });
  log.info({ event: 'listening', wire: listeners.value[0]?.address, admin: listeners.value[1]?.address });
  return ok({
    stop: async () => {
      stopping = true;
      await duties.stop();
      desk.stop();
      follower.stop();
      await membership.close();
      await Promise.all(listeners.value.map((listener) => listener.close()));
      await wire.close();
    },
    reload: (fresh) => {
      membership.reseed(fresh.seeds);
      readWindows(fresh.windows);
    },
  });
};

/** The directory, with a door for operators beside its own where one is given. */
export const directory = (door: OperatorDoor | null): Program<DirectorySettings> => ({
  name: 'directory', about: 'knows the endpoints and their health, answers nodes and operators', table,
  start: (frame) => new ResultAsync(start(frame, door)),
});
