import { createHash } from 'node:crypto';
import Joi from 'joi';
import { err, ok, type Result } from 'neverthrow';
import type { BindingId, Millis, ServiceName } from '../process/brands.js';
import { Defect } from '../process/defect.js';
import { PathSegments } from './pathSegments.js';

/** One rule of the operators: which orders go to which service. */
export interface Binding {
  readonly id: BindingId;
  /** Every service that requests may go to, with the weight of its part. */
  readonly split: readonly WeightedService[];
  readonly host: string | null;
  readonly prefix: string;
  readonly methods: readonly string[];
  readonly kind: BindingKind;
  readonly repeatable: readonly string[];
  readonly cutoffMs: Millis;
  /** The time within which an answer is of full use; null when only the time limit counts. */
  readonly aimMs: Millis | null;
  /** 0 is the highest. */
  readonly priority: number;
  /** The greatest number of endpoints that one request may be sent to. */
  readonly attempts: number;
}

/** Whether a request may run more than once: as its method says, always, or never. */
export type BindingKind = 'by-method' | 'repeatable' | 'once';

export interface WeightedService {
  readonly service: ServiceName;
  readonly weight: number;
}

export interface ServiceEntry {
  readonly name: ServiceName;
  /** The path of a probe; null where each endpoint names its own. */
  readonly probe: string | null;
  /** The most connections that an endpoint takes from its switchboard. */
  readonly connections: number;
}

/** Allowance rules for manifests that name none; what is not given stays as opalstair has it. */
export interface AllowanceDefaults {
  readonly earn?: number | undefined;
  readonly fleetShares?: number | undefined;
  readonly serviceShares?: number | undefined;
  readonly bindingShares?: number | undefined;
}

/** What callers may send, and how long they may take or stay idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: Millis;
  readonly idleMs: Millis;
}

/** The health rules of the TSeer paper, section 4.2, with its figures as defaults. */
export interface HealthRules {
  readonly cycleMs: Millis;
  readonly leastFailures: number;
  readonly errorShare: number;
  readonly runLength: number;
  readonly runWindowMs: Millis;
  readonly retryMs: Millis;
  readonly capShare: number;
}

/** How much repeat traffic each branch of fleet, service and binding may draw. */
export interface AllowanceRules {
  readonly earn: number;
  readonly fleetShares: number;
  readonly serviceShares: number;
  readonly bindingShares: number;
}

/** What operators push as a whole: services, bindings and the rules around them. */
export interface Manifest {
  readonly services: readonly ServiceEntry[];
  readonly bindings: readonly Binding[];
  readonly health: HealthRules;
  readonly allowance: AllowanceRules;
  readonly limits: CallerLimits;
  /** The text that the manifest was made from, when it was written in another form; read back as it was sent. */
  readonly source: string | null;
}

/** One fault of a manifest: where it is and why it is one. */
export interface ManifestFault {
  readonly path: string;
  readonly reason: string;
}

export class InvalidManifest extends Defect {
  readonly kind = 'invalid-manifest';
  constructor(readonly faults: readonly ManifestFault[]) {
    super(faults.map((fault) => `${fault.path}: ${fault.reason}`).join('; '));
  }
}

export const METHODS = ['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

const nameSchema = Joi.string().pattern(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'name');
const methodsSchema = Joi.array().items(Joi.string().valid(...METHODS)).unique();
const prefixSchema = Joi.string().max(1024).custom((prefix: string, helpers) =>
  PathSegments.ofPrefix(prefix).match(() => prefix, (defect) => helpers.error('any.custom', { error: new Error(defect.detail) })));
/** The target of a probe: a path, with a query perhaps, of characters that a request line can hold. */
export const probeShape = Joi.string().pattern(/^\/[!-~]*$/, 'path without blanks').max(256);
const count = (least: number, most: number): Joi.NumberSchema => Joi.number().integer().min(least).max(most);

const MOST_SERVICES = 10_000;
const MOST_BINDINGS = 20_000;
/** Of a manifest with more services and bindings than this only the first fault is reported. */
const ALL_FAULTS_ENTRIES = 500;

const manifestSchema = Joi.object({
  services: Joi.array().max(MOST_SERVICES).required().items(Joi.object({
    name: nameSchema.required(),
    probe: probeShape.allow(null).default(null),
    connections: count(1, 100_000).default(120),
  })),
  bindings: Joi.array().max(MOST_BINDINGS).required().items(Joi.object({
    id: nameSchema.required(),
    service: nameSchema,
    split: Joi.array().min(1).max(64).items(Joi.object({ service: nameSchema.required(), weight: Joi.number().min(0).max(1_000_000).required() })),
    host: Joi.string().lowercase().pattern(/^[a-z0-9.-]{1,253}$/, 'host name').allow(null).default(null),
    prefix: prefixSchema.required(),
    methods: methodsSchema.min(1).default([...METHODS]),
    repeatable: methodsSchema.default([]),
    kind: Joi.string().valid('by-method', 'repeatable', 'once').default('by-method'),
    cutoffMs: count(10, 60_000).default(5000),
    aimMs: count(1, 60_000).allow(null).default(null),
    priority: count(0, 100).default(0),
    attempts: count(1, 8).default(8),
  }).xor('service', 'split')),
  health: Joi.object({
    cycleMs: count(200, 3_600_000).default(60_000),
    leastFailures: count(1, 1000).default(2),
    errorShare: Joi.number().min(0).max(1).default(0.5),
    runLength: count(1, 1000).default(5),
    runWindowMs: count(100, 600_000).default(5000),
    retryMs: count(200, 3_600_000).default(30_000),
    capShare: Joi.number().min(0).max(1).default(0.5),
  }).default(),
  allowance: Joi.object({
    earn: Joi.number().min(0).max(0.2).default(0.2),
    fleetShares: count(0, 100_000).default(600),
    serviceShares: count(0, 100_000).default(60),
    bindingShares: count(0, 100_000).default(60),
  }).default(),
  limits: Joi.object({
    headerBytes: count(1024, 1024 * 1024).default(32 * 1024),
    bodyBytes: count(0, 1024 * 1024 * 1024).default(16 * 1024 * 1024),
    headerMs: count(10, 600_000).default(15_000),
    idleMs: count(10, 3_600_000).default(30_000),
  }).default(),
  source: Joi.string().allow(null).default(null),
}).required();

/** One form for both ways of naming services: a single one is a split with one part. */
const withSplit = (binding: Binding & { readonly service?: ServiceName }): Binding => {
  const { service, split, ...rest } = binding;
  return { ...rest, split: service === undefined ? split : [{ service, weight: 1 }] };
};

const crossFaults = (manifest: Manifest): readonly ManifestFault[] => {
  const foundFaults: ManifestFault[] = [];
  const knownServices = new Set<string>();
  manifest.services.forEach((service, index) => {
    if (knownServices.has(service.name)) foundFaults.push({ path: `services[${index}].name`, reason: `service "${service.name}" is named twice` });
    knownServices.add(service.name);
  });
  const knownBindings = new Set<string>();
  const knownMatches = new Map<string, string>();
  manifest.bindings.forEach((binding, index) => {
    const path = `bindings[${index}]`;
    if (knownBindings.has(binding.id)) foundFaults.push({ path: `${path}.id`, reason: `binding "${binding.id}" is named twice` });
    knownBindings.add(binding.id);
    binding.split.forEach(({ service }) => {
      if (!knownServices.has(service)) foundFaults.push({ path: binding.split.length === 1 ? `${path}.service` : `${path}.split`, reason: `service "${service}" is not among services` });
    });
    if (new Set(binding.split.map(({ service }) => service)).size < binding.split.length) foundFaults.push({ path: `${path}.split`, reason: 'names a service twice' });
    if (!binding.split.some(({ weight }) => weight > 0)) foundFaults.push({ path: `${path}.split`, reason: 'no part has a weight above 0' });
    const matchedPrefix = PathSegments.ofPrefix(binding.prefix).unwrapOr([]).map(encodeURIComponent).join('/');
    for (const method of binding.methods) {
      const matchKey = `${binding.host ?? '*'} ${matchedPrefix} ${method}`;
      const rivalId = knownMatches.get(matchKey);
      if (rivalId !== undefined) foundFaults.push({ path: `${path}.prefix`, reason: `matches the same ${method} orders as binding "${rivalId}"` });
      else knownMatches.set(matchKey, binding.id);
    }
    for (const method of binding.repeatable) {
      if (!binding.methods.includes(method)) foundFaults.push({ path: `${path}.repeatable`, reason: `${method} is not among the binding's methods` });
    }
  });
  return foundFaults;
};

const lengthOf = (candidate: unknown, field: 'services' | 'bindings'): number => {
  const list = typeof candidate === 'object' && candidate !== null ? (candidate as Readonly<Record<string, unknown>>)[field] : null;
  return Array.isArray(list) ? list.length : 0;
};
const entriesOf = (candidate: unknown): number => lengthOf(candidate, 'services') + lengthOf(candidate, 'bindings');

/** A list that is longer than it may be: said before each of its entries is looked at. */
const excessOf = (candidate: unknown): ManifestFault | null => {
  if (lengthOf(candidate, 'services') > MOST_SERVICES) return { path: 'services', reason: `"services" must contain less than or equal to ${MOST_SERVICES} items` };
  if (lengthOf(candidate, 'bindings') > MOST_BINDINGS) return { path: 'bindings', reason: `"bindings" must contain less than or equal to ${MOST_BINDINGS} items` };
  return null;
};

const pathOf = (steps: readonly (string | number)[]): string =>
  steps.reduce<string>((path, step) => (typeof step === 'number' ? `${path}[${step}]` : path === '' ? step : `${path}.${step}`), '') || '(manifest)';

export const Manifest = {
  /**
   * Checks what an operator sent, fills the defaults in and reports every fault that it finds; of a long manifest only
   * the first, since each fault that is noted takes as much as many bindings.
   */
  check: (candidate: unknown): Result<Manifest, InvalidManifest> => {
    const excess = excessOf(candidate);
    if (excess !== null) return err(new InvalidManifest([excess]));
    const checked = manifestSchema.validate(candidate, { abortEarly: entriesOf(candidate) > ALL_FAULTS_ENTRIES, convert: false });
    if (checked.error !== undefined) {
      return err(new InvalidManifest(checked.error.details.map((fault) => ({ path: pathOf(fault.path), reason: fault.message }))));
    }
    const given = checked.value as Manifest;
    const manifest: Manifest = { ...given, bindings: given.bindings.map(withSplit) };
    const faults = crossFaults(manifest);
    return faults.length > 0 ? err(new InvalidManifest(faults)) : ok(manifest);
  },
  /** A short mark by which two processes can tell whether they hold the same manifest. */
  fingerprint: (manifest: Manifest): string => createHash('sha256').update(JSON.stringify(manifest)).digest('hex').slice(0, 16),
  /** Whether an order of this method may be sent again after it may have run. */
  isRepeatable: (binding: Binding, method: string): boolean =>
    (binding.kind === 'by-method' ? SAFE_METHODS.includes(method) || binding.repeatable.includes(method) : binding.kind === 'repeatable'),
  /** Whether a binding lets its requests go to a service. */
  allows: (binding: Binding | null, service: ServiceName): boolean => binding?.split.some((part) => part.service === service && part.weight > 0) ?? false,
  /** The service of one request, drawn by the weights; `random` gives numbers from 0 up to 1. */
  draw: (binding: Binding, random: () => number): ServiceName => {
    const [only] = binding.split;
    if (binding.split.length === 1 && only !== undefined) return only.service;
    let rest = random() * binding.split.reduce((sum, part) => sum + part.weight, 0);
    const drawn = binding.split.find((part) => {
      rest -= part.weight;
      return rest < 0;
    });
    return (drawn ?? binding.split.filter((part) => part.weight > 0).at(-1) ?? (only as WeightedService)).service;
  },
} as const;
