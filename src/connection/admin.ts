import { Hono } from 'hono';
import { Counter } from 'prom-client';
import type { Membership } from '../process/membership.js';
import type { Frame } from '../process/program.js';
import type { PlaceSettings } from '../process/settings.js';
import { FEW_CONNECTIONS, type DoorTerms } from './listener.js';
import { WIRE_LIMIT, WireServer } from './wire.js';

/** The part of a process's descriptors that connections of one of its lesser doors may take. */
const FEW_SHARE = 0.125;

/** Readiness, metrics and the member list: the same at every program. */
export const adminApp = (frame: Frame<PlaceSettings>, membership: Membership, isReady: () => boolean): Hono => {
  const app = new Hono();
  app.get('/ready', (context) => (isReady() ? context.json({ ready: true }) : context.json({ ready: false }, 503)));
  app.get('/metrics', async (context) => context.text(await frame.metrics.metrics(), 200, { 'content-type': frame.metrics.contentType }));
  app.get('/v1/calls', (context) => context.json({ calls: app.routes.filter(({ method }) => method !== 'ALL').map(({ method, path }) => `${method} ${path}`) }));
  app.get('/v1/members', (context) => context.json({ members: membership.living() }));
  return app;
};

/** A server for other processes of the mesh; what is malformed or foreign is counted and logged. */
export const wireServer = (frame: Frame<PlaceSettings>, limit = WIRE_LIMIT): WireServer => {
  const turnedAway = new Counter({ name: 'opalstair_wire_turned_away_total', help: 'Messages that were malformed or foreign', labelNames: ['path'], registers: [frame.metrics] });
  return new WireServer(frame.settings.cluster, {
    turnedAway: (path, reason) => {
      turnedAway.inc({ path });
      frame.log.warn({ event: 'message-turned-away', path, reason });
    },
  }, frame.sent, frame.memory, limit);
};

/** How every door of a process treats its connections; what it ends is counted by cause. */
export const doorTerms = (frame: Frame<PlaceSettings>): DoorTerms => {
  const ended = new Counter({ name: 'opalstair_connections_ended_total', help: 'Connections that were ended for what they took, by cause', labelNames: ['cause'], registers: [frame.metrics] });
  const most = Math.min(FEW_CONNECTIONS, Math.floor(frame.settings.descriptors * FEW_SHARE));
  return { ticker: frame.ticker, most, ended: (cause) => ended.inc({ cause }) };
};

/** The same for links of other processes. */
export const linkTerms = ({ settings }: Frame<PlaceSettings>, terms: DoorTerms): DoorTerms => ({ ...terms, most: Math.floor(settings.descriptors * FEW_SHARE) });
