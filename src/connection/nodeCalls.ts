import Joi from 'joi';
import type { Address, BootId, EndpointId, InstanceId, NodeName, Serial, ServiceName, ZoneName } from '../process/brands.js';
import type { HostWord, ServiceMarks } from '../version/endpointList.js';
import { plainShape } from './shapes.js';
import { markStates, type DepartureMark } from '../version/departureMark.js';
import { LatencyHistogram } from '../version/latencyHistogram.js';
import { rolloutSnapshotShape, type RolloutSnapshot } from '../version/rollout.js';
import type { ToldMoment } from '../process/moment.js';
import type { RolloutProgress } from '../process/versionRouter.js';
import { endpointSnapshotShape, endpointRowShape, manifestSnapshotShape, maskSnapshotShape, type EndpointSnapshot, type EndpointRow, type ManifestSnapshot, type MaskSnapshot } from '../version/snapshots.js';

/** The calls that a directory takes from switchboards and from other directories. */
export const NodePath = { poll: '/node/poll', report: '/node/report', alive: '/node/alive', outcomes: '/node/outcomes', mask: '/directory/mask', snapshot: '/node/digest', rollout: '/node/rollout', shares: '/node/shares', list: '/directory/list', keepMark: '/node/marks/keep', findMark: '/node/marks/find' } as const;

const text = Joi.string().max(256).required();
const whole = Joi.number().integer().min(0).required();
/** One of a list that may be empty: an item that must be there would forbid that. */
const item = Joi.string().max(256);

/** A switchboard asks with what it has. */
export interface NodePoll {
  readonly node: NodeName;
  readonly manifest: Serial;
  readonly directory: BootId | '';
  readonly endpoints: Serial;
  readonly masks: readonly { readonly service: ServiceName; readonly epoch: number; readonly serial: number }[];
  readonly waitMs: number;
  /** The serial of the rollouts that it has; a node of the former release takes none. */
  readonly rollouts?: Serial;
  /** Whether the asker takes a difference against the list that it names; a node of the former release takes whole ones only. */
  readonly takesChanges?: boolean;
  /** False when the list of endpoints is asked for elsewhere; taken as true when it is not given. */
  readonly wantsList?: boolean;
}
export const nodePollShape = Joi.object({
  node: text, manifest: whole, directory: Joi.string().allow('').max(64).required(), endpoints: whole,
  masks: Joi.array().items(Joi.object({ service: text, epoch: whole, serial: whole })).required(), waitMs: Joi.number().min(0).max(30_000).required(), takesChanges: Joi.boolean(), wantsList: Joi.boolean(), rollouts: Joi.number().integer().min(0),
});

/**
 * What is news to the asker; `isCurrent` says whether this directory is in touch with the ratebooks' majority, `isWarming`
 * that it has not yet heard all nodes out: such a list is for those that have none.
 */
export interface NodeNews {
  readonly manifest: ManifestSnapshot | null;
  readonly endpoints: EndpointSnapshot | null;
  readonly masks: readonly MaskSnapshot[];
  readonly isCurrent: boolean;
  readonly isWarming?: boolean;
  readonly rollouts?: RolloutSnapshot;
  /** When a ratebook learned that the manifest is committed, or earlier; with a manifest from a directory. */
  readonly committedAt?: ToldMoment;
  /** Everything that was committed before this moment is known to the directory; absent in answers of the former release. */
  readonly provenAt?: ToldMoment;
}
export const nodeNewsShape = Joi.object({
  manifest: manifestSnapshotShape.allow(null).required(), endpoints: endpointSnapshotShape.allow(null).required(),
  masks: Joi.array().items(maskSnapshotShape).required(), isCurrent: Joi.boolean().required(), isWarming: Joi.boolean(), rollouts: rolloutSnapshotShape, committedAt: Joi.number(), provenAt: Joi.number(),
});

/** What a neighbour is asked for: a manifest later than the one that the asker has, its masks, and its list of endpoints. */
export interface SnapshotAsk {
  readonly manifest?: Serial;
  /** False when no list is asked for; taken as true when it is not given. */
  readonly wantsList?: boolean;
  /** The mark of the list that the asker has, if it has one: the same list is not sent, nor one that no directory vouches for. */
  readonly listMark?: string;
  /** The serial of the rollouts that it has; later ones are told. */
  readonly rollouts?: Serial;
}
export const snapshotAskShape = Joi.object({ manifest: Joi.number().integer().min(0), rollouts: Joi.number().integer().min(0), wantsList: Joi.boolean(), listMark: Joi.string().allow('').max(64) });

/** A switchboard's whole list of the endpoints on its machine. */
export interface NodeReport {
  readonly node: NodeName;
  readonly boot: BootId;
  /** Wall time of the boot: tells a newer process of the same name from an older one. */
  readonly life: number;
  readonly sequence: number;
  readonly zone: ZoneName;
  readonly hop: Address;
  readonly manifest: Serial;
  readonly rows: readonly EndpointRow[];
  /** The sequence with which the list last became what it is. */
  readonly changed?: number;
  /** Instances that signed off lately: whatever anybody says, they are not listed again. */
  readonly departed?: readonly InstanceId[];
  /** Instances that lately said that they leave: whatever a later boot of this host says, they take no new request. */
  readonly leaving?: readonly InstanceId[];
  /** The mark of the list that this node holds. */
  readonly mark?: string;
}
export const nodeReportShape = Joi.object({
  node: text, boot: text, life: Joi.number().required(), sequence: whole, zone: text, hop: text, manifest: whole, rows: Joi.array().items(endpointRowShape).max(10_000).required(),
  changed: Joi.number().integer().min(0), departed: Joi.array().items(item).max(10_000), leaving: Joi.array().items(item).max(10_000), mark: Joi.string().allow('').max(64),
});

/** A switchboard's word that its list is what it last reported; its numbers are those of a report. */
export type AliveMessage = Pick<NodeReport, 'node' | 'boot' | 'life' | 'sequence' | 'manifest'> & { readonly changed: number; readonly mark: string };
export const aliveShape = plainShape({ node: 'text', boot: 'text', life: 'number', sequence: 'whole', manifest: 'whole', changed: 'whole', mark: 'text' });
/** Whether the directory holds that list; if not, it wants the report whole. */
export interface AliveAnswer extends ReportAnswer { readonly isKnown: boolean }
export const aliveAnswerShape = Joi.object({ isKnown: Joi.boolean().required(), above: Joi.number().min(0), departed: Joi.array().items(item), leaving: Joi.array().items(item) });

/** Whether the process that was asked to keep a mark holds it now. */
export interface MarkKept { readonly isKept: boolean }
export const markKeptShape = Joi.object({ isKept: Joi.boolean().required() });

/** Asks whether there is a mark of an instance. */
export interface MarkAsk { readonly instance: InstanceId }
export const markAskShape = Joi.object({ instance: text });

/** The mark of an instance, if this process holds one; `isComplete` when it has heard of every mark that others hold. */
export interface MarkAnswer {
  readonly state: DepartureMark['state'] | null;
  readonly isComplete: boolean;
}
export const markAnswerShape = Joi.object({ state: Joi.string().valid(...markStates).allow(null).required(), isComplete: Joi.boolean().required() });

/** What a host should know of its report: a later boot's word stands above it, or it names instances that have departed or leave. */
export interface ReportAnswer {
  readonly above?: number;
  readonly departed?: readonly InstanceId[];
  readonly leaving?: readonly InstanceId[];
}
export const reportAnswerShape = Joi.object({ above: Joi.number().min(0), departed: Joi.array().items(item), leaving: Joi.array().items(item) });

/** The totals of one caller for one endpoint since the caller's boot, and its latest outcomes by age. */
export interface OutcomeRow {
  readonly service: ServiceName;
  readonly endpoint: EndpointId;
  readonly instance: InstanceId;
  readonly calls: number;
  readonly failures: number;
  readonly turnAways: number;
  readonly pathDefects: number;
  readonly recent: readonly { readonly agoMs: number; readonly failed: boolean }[];
}
export interface OutcomeReport {
  readonly node: NodeName;
  readonly boot: BootId;
  readonly life: number;
  readonly sequence: number;
  readonly rows: readonly OutcomeRow[];
}
export const outcomeReportShape = Joi.object({
  node: text, boot: text, life: Joi.number().required(), sequence: whole,
  rows: Joi.array().max(10_000).required().items(Joi.object({
    service: text, endpoint: text, instance: text, calls: whole, failures: whole, turnAways: whole, pathDefects: whole,
    recent: Joi.array().max(32).required().items(Joi.object({ agoMs: Joi.number().min(0).required(), failed: Joi.boolean().required() })),
  })),
});

/** How far one node has come with the running rollouts, and what it has seen of them; totals since it learned of each. */
export interface RolloutReport {
  readonly node: NodeName;
  readonly boot: BootId;
  readonly sequence: number;
  readonly rollouts: readonly RolloutProgress[];
}
export const rolloutReportShape = Joi.object({
  node: text, boot: text, sequence: whole,
  rollouts: Joi.array().max(10_000).required().items(Joi.object({
    service: text, begunAt: whole, stage: whole, isDrained: Joi.boolean().required(),
    totals: Joi.array().max(10_000).required().items(Joi.object({
      binding: text, isTarget: Joi.boolean().required(), calls: whole, failures: whole, times: Joi.array().items(Joi.number().integer().min(0)).max(LatencyHistogram.buckets).required(),
    })),
  })),
});

export const shareAskShape = Joi.object({ node: text, boot: text, carried: Joi.number().min(0).max(1).required(), wants: Joi.boolean(), least: Joi.number().min(0) });

/** What directories tell one another: masks, and by a mark whether they read the same calendars. */
export interface MaskMessage {
  readonly masks: readonly MaskSnapshot[];
  readonly from?: NodeName;
  readonly calendar?: string;
  readonly list?: ListHint;
}
const departuresShape = Joi.array().items(Joi.object({ instance: text, agoMs: Joi.number().min(0).required() }));
export const maskMessageShape = Joi.object({
  masks: Joi.array().items(maskSnapshotShape).required(), from: Joi.string().max(64), calendar: Joi.string().allow('').max(64),
  list: Joi.object({ mark: text, silent: Joi.array().items(item).max(10_000).required(), departed: departuresShape, leaving: departuresShape }),
});

/** What one directory tells another each second of its list of endpoints. */
export interface ListHint {
  readonly mark: string;
  /** Hosts that it does not hear itself. */
  readonly silent: readonly NodeName[];
  /** What it learned lately. */
  readonly departed?: ListNews['departed'];
  readonly leaving?: ListNews['departed'];
}

/** A host's word as one directory passes it on; `silentMs` since it came to it. */
export interface PassedWord extends HostWord { readonly silentMs: number }
export interface ListNews {
  readonly words: readonly PassedWord[];
  readonly departed: readonly MarkedInstance[];
  /** Instances that said that they leave. */
  readonly leaving?: readonly MarkedInstance[];
}
/** An instance and how long ago its mark was given. */
export interface MarkedInstance { readonly instance: InstanceId; readonly agoMs: number }
const passedWordShape = Joi.object({
  node: text, boot: text, life: Joi.number().required(), sequence: whole, changed: whole.allow(null), manifest: whole, isDropped: Joi.boolean().required(),
  rows: Joi.array().items(endpointRowShape).max(10_000).required(), silentMs: Joi.number().min(0).required(),
});
export const listNewsShape = Joi.object({
  words: Joi.array().items(passedWordShape).required(), departed: departuresShape.required(), leaving: departuresShape,
});
/** The answer to a mask message: words of hosts that the other does not hear, if it has any. */
export const maskAnswerShape = Joi.object({ list: listNewsShape });

/** Asks for what differs, by the marks that the asker has. */
export interface ListAsk {
  readonly from: NodeName;
  readonly services: ServiceMarks;
}
export const listAskShape = Joi.object({ from: text, services: Joi.object().pattern(Joi.string().max(256), Joi.string().max(64)).required() });
