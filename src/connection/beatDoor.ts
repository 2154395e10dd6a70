import type { HttpBindings } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import Joi from 'joi';
import type { Result } from 'neverthrow';
import { addressShape } from '../process/addressShape.js';
import { Address, type EndpointId, type InstanceId } from '../process/brands.js';
import type { TooManyDepartures } from '../process/departures.js';
import type { Announcement, BeatAnswer, Departed } from '../process/announcement.js';
import type { LocalEndpoints } from '../process/localEndpoints.js';
import type { MarkNotKept, MarkReplicas } from '../process/markReplicas.js';
import { probeShape } from '../version/manifest.js';
import { problem } from './operators.js';

/** The names of endpoints, instances, services and zones. */
export const nameShape = Joi.string().pattern(/^[A-Za-z0-9._-]{1,64}$/, 'name').required();
export const announcementShape = Joi.object({
  service: nameShape, instance: nameShape, zone: nameShape,
  address: addressShape.required(),
  probe: probeShape.default('/'),
  slots: Joi.number().integer().min(1).max(120).default(9),
  version: Joi.string().min(1).max(128),
  coldMs: Joi.number().min(0),
  leaving: Joi.boolean().default(false),
  nonce: Joi.string().allow('').max(64).default(''),
  fenced: Joi.boolean().default(false),
  sequence: Joi.number().integer().min(0).allow(null).default(null),
});

/** What the door needs of the process behind it. */
export interface BeatDesk {
  readonly endpoints: LocalEndpoints;
  /** Where a mark must be held before it is acknowledged. */
  readonly marks: Pick<MarkReplicas, 'keep'>;
  readonly ownHosts: readonly string[];
  checkStall(): void;
  turnedAway(id: string, reason: string): void;
}

/** Takes a heartbeat; that an endpoint leaves is acknowledged once others hold the mark. */
export const acknowledgeBeat = async (desk: BeatDesk, said: Announcement): Promise<Result<BeatAnswer, Departed | TooManyDepartures | MarkNotKept>> => {
  const answer = desk.endpoints.beat(said);
  if (answer.isErr() || !said.leaving) return answer;
  const kept = await desk.marks.keep({ instance: said.instance, state: 'leaving' });
  return kept.andThen(() => answer);
};

/** Takes a departure; it is acknowledged once nothing runs at the endpoint, or the time is up, and others hold the mark. */
export const acknowledgeDeparture = async (desk: BeatDesk, id: EndpointId, instance: InstanceId, mostMs?: number): Promise<Result<void, TooManyDepartures | MarkNotKept>> => {
  const [left, kept] = await Promise.all([desk.endpoints.signOff(id, instance, mostMs), desk.marks.keep({ instance, state: 'departed' })]);
  return left.andThen(() => kept);
};

/** Endpoints announce themselves here, each to the switchboard of its own machine. */
export const beatApp = (desk: BeatDesk): Hono<{ Bindings: HttpBindings }> => {
  const app = new Hono<{ Bindings: HttpBindings }>();
  const isOwn = (host: string | undefined): boolean => host !== undefined && desk.ownHosts.includes(host.replace(/^::ffff:/, ''));
  const turnAway = (context: Context, status: 400 | 409 | 503, id: string, reason: string, detail: string): Response => {
    desk.turnedAway(id, `${reason}: ${detail}`);
    return problem(context, status, reason, detail);
  };
  app.use('*', async (context, next) => {
    const remote = context.env.incoming.socket.remoteAddress;
    if (isOwn(remote)) return next();
    desk.turnedAway('', `foreign machine ${remote}`);
    return context.json({ type: 'urn:opalstair:foreign-machine', title: 'foreign-machine', status: 403, detail: 'endpoints announce themselves to the switchboard of their own machine' }, 403);
  });
  app.put('/v1/endpoints/:id', async (context) => {
    desk.checkStall();
    const id = context.req.param('id') as EndpointId;
    const body: unknown = await context.req.json().catch(() => null);
    const checked = announcementShape.validate(body, { convert: false });
    if (checked.error !== undefined || nameShape.validate(id).error !== undefined) return turnAway(context, 400, id, 'bad-announcement', checked.error?.message ?? 'bad endpoint id');
    const said = { ...(checked.value as Omit<Announcement, 'id'>), id };
    if (!isOwn(Address.host(said.address))) return turnAway(context, 400, id, 'foreign-address', `${said.address} is not on this machine`);
    const answer = await acknowledgeBeat(desk, said);
    return answer.match((found) => context.json(found), (defect) => turnAway(context, defect.kind === 'departed' ? 409 : 503, id, defect.kind, defect.detail));
  });
  app.delete('/v1/endpoints/:id', async (context) => {
    desk.checkStall();
    const id = context.req.param('id') as EndpointId;
    const instance = context.req.query('instance');
    if (nameShape.validate(instance).error !== undefined || nameShape.validate(id).error !== undefined) return turnAway(context, 400, id, 'bad-announcement', 'bad endpoint id or instance');
    const left = await acknowledgeDeparture(desk, id, instance as InstanceId);
    return left.match(() => context.json({ left: true }), (defect) => turnAway(context, 503, id, defect.kind, defect.detail));
  });
  return app;
};
