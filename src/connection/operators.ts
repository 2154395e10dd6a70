import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import Joi from 'joi';
import type { Result } from 'neverthrow';
import type { ReplaceMessage } from './storeCalls.js';
import type { ChangeId, Serial } from '../process/brands.js';
import type { RolloutClerk } from '../process/rolloutClerk.js';
import type { StoreClerk, ClerkDefect, ReadBack } from '../process/storeClerk.js';
import { projectFile } from '../process/release.js';
import { MANIFEST_KEY } from '../version/entry.js';
import { Manifest } from '../version/manifest.js';
import { rolloutOrderShape, type RolloutOrder } from '../version/rollout.js';

/** An operator's call may be this long; a manifest must fit into one message between processes. */
const BODY_LIMIT = 8 * 1024 * 1024;
const PROBLEM = 'application/problem+json';
const putShape = Joi.object({
  base: Joi.number().integer().min(0).required(),
  change: Joi.string().min(1).max(128),
  serial: Joi.number().integer().min(1),
  manifest: Joi.object().unknown(true).required(),
});

const replaceBody = Joi.object({ lost: Joi.string().min(1).max(64).required(), replacement: Joi.string().min(1).max(64).required() });

interface PutBody {
  readonly base: Serial;
  readonly change?: ChangeId;
  readonly serial?: Serial;
  readonly manifest: unknown;
}

/** A problem of RFC 9457. */
export const problem = (context: Context, status: 400 | 404 | 409 | 413 | 502 | 503 | 504, type: string, detail: string, extra: object = {}): Response =>
  context.body(JSON.stringify({ type: `urn:opalstair:${type}`, title: type, status, detail, ...extra }), status, { 'content-type': PROBLEM });

const jsonBody = async (context: Context): Promise<unknown> => {
  try {
    return await context.req.json();
  } catch {
    return null;
  }
};

const turnAway = (context: Context, defect: ClerkDefect): Response => {
  if (defect.kind === 'change-undecided') {
    return problem(context, 504, 'undecided', defect.detail, { outcome: 'undecided' });
  }
  const status = defect.reason === 'stale-base' ? 409 : defect.reason === 'not-above' ? 400 : 503;
  if (status === 503) context.header('retry-after', '2');
  return problem(context, status, defect.reason, defect.detail, { outcome: 'turned-away', ...(defect.reason === 'stale-base' ? { serial: defect.serial } : {}) });
};

/** What operators see of the mesh beside the manifest; each is a whole JSON document. */
export interface OperatorViews {
  readonly fleet: () => object;
  readonly endpoints: () => object;
  readonly lists: () => object;
  readonly roster: () => object;
  readonly allowances: () => object;
  readonly rollouts: () => object;
}

/** The operators' calls, as written in schema/opalstair.openapi.json. */
export const addOperatorCalls = (app: Hono, clerk: StoreClerk, rollouts: RolloutClerk, views: OperatorViews): void => {
  app.use('/v1/*', bodyLimit({ maxSize: BODY_LIMIT, onError: (context) => problem(context, 413, 'too-long', `more than ${BODY_LIMIT} bytes`, { outcome: 'turned-away' }) }));
  app.get('/v1/manifest', async (context) => {
    const found: Result<ReadBack, ClerkDefect> = await clerk.read(MANIFEST_KEY);
    return found.match(({ serial, value }) => context.json({ serial, manifest: value }), (defect) => turnAway(context, defect));
  });
  app.put('/v1/manifest', async (context) => {
    const body = putShape.validate(await jsonBody(context), { convert: false });
    if (body.error !== undefined) return problem(context, 400, 'bad-request', body.error.message, { outcome: 'turned-away' });
    const wanted = body.value as PutBody;
    const manifest = Manifest.check(wanted.manifest);
    if (manifest.isErr()) return problem(context, 400, 'invalid-manifest', 'nothing was changed', { outcome: 'turned-away', faults: manifest.error.faults });
    const change = wanted.change ?? (randomUUID() as ChangeId);
    const outcome = await clerk.change(MANIFEST_KEY, { base: wanted.base, value: manifest.value, id: change, ...(wanted.serial === undefined ? {} : { serial: wanted.serial }) });
    return outcome.match((serial) => context.json({ outcome: 'acknowledged', serial, change }), (defect) => turnAway(context, defect));
  });
  app.post('/v1/manifest/validate', async (context) => {
    const manifest = Manifest.check(await jsonBody(context));
    return manifest.match((checked) => context.json({ valid: true, manifest: checked }), (defect) => context.json({ valid: false, faults: defect.faults }));
  });
  app.post('/v1/roster/replace', async (context) => {
    const body = replaceBody.validate(await jsonBody(context), { convert: false });
    if (body.error !== undefined) return problem(context, 400, 'bad-request', body.error.message, { outcome: 'turned-away' });
    const outcome = await clerk.replaceDisk(body.value as ReplaceMessage);
    return outcome.match((serial) => context.json({ outcome: 'acknowledged', serial }), (defect) => turnAway(context, defect));
  });
  app.get('/v1/schema', (context) => context.body(readFileSync(projectFile('schema/opalstair.openapi.json'), 'utf8'), 200, { 'content-type': 'application/json' }));
  app.get('/v1/fleet', (context) => context.json(views.fleet()));
  app.get('/v1/endpoints', (context) => context.json(views.endpoints()));
  app.get('/v1/lists', (context) => context.json(views.lists()));
  app.get('/v1/roster', (context) => context.json(views.roster()));
  app.get('/v1/allowances', (context) => context.json(views.allowances()));
  app.post('/v1/rollouts', async (context) => {
    const body = rolloutOrderShape.validate(await jsonBody(context), { convert: false });
    if (body.error !== undefined) return problem(context, 400, 'bad-request', body.error.message, { outcome: 'turned-away' });
    const begun = await rollouts.begin(body.value as RolloutOrder);
    return begun.match((versions) => context.json({ outcome: 'acknowledged', ...versions }), (defect) => (defect.kind === 'rollout-under-way'
      ? problem(context, 409, 'rollout-under-way', defect.detail, { outcome: 'turned-away' }) : turnAway(context, defect)));
  });
  app.get('/v1/rollouts', (context) => context.json(views.rollouts()));
};
