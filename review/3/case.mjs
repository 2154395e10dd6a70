// The beats of an endpoint come some seconds late; it departs meanwhile, which is acknowledged; then the late beats arrive.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configurationOf, Mesh, runCase, sleep } from '../stand-ins/mesh.mjs';
import { Clients, Endpoint, ready } from '../stand-ins/endpoint.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const LATE_MS = 6000;
const DRAIN_MS = 2000;
const MANY_SECONDS_MS = 8000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, held) => {
  const mesh = held.mesh = await Mesh.open(record, { sidecars: ['line', 'line', 'cargo'] });
  mesh.startAll();
  await sleep(2500);
  if (await mesh.replace(0, configurationOf(3, [{ name: 'r-line', prefix: '/line/', service: 'line' }, { name: 'r-cargo', prefix: '/cargo/', service: 'cargo' }], ['line', 'cargo'])) !== 200) throw new Error('no configuration');
  for (const name of ['app1', 'app2', 'app3']) await ready(mesh, name);
  const endpoints = ['app1', 'app2', 'app3'].map((name) => new Endpoint(mesh, name, { workMs: 200 }));
  await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const [leaving] = endpoints;
  await sleep(2500);
  const clients = new Clients(mesh, 'app3');
  const stop = clients.stream(40, () => clients.send('POST', '/line/port', { body: '{"port":1}' }));
  await sleep(4000);
  record.say(`requests that reached ${leaving.instance} so far: ${leaving.arrivals.length}`);

  for (const last = leaving.sequence; leaving.sequence === last;) await sleep(10);
  if (hasTrouble) {
    leaving.lateMs = LATE_MS;
    record.say(`platform: the beats of ${leaving.instance} come ${LATE_MS} ms late from now on`);
  }
  await sleep(6900);
  const acknowledgedAt = await leaving.depart();
  if (acknowledgedAt === null) throw new Error('the departure was not acknowledged');
  await sleep(DRAIN_MS + MANY_SECONDS_MS);
  const late = leaving.arrivals.filter(({ at }) => at > acknowledgedAt + DRAIN_MS);
  record.say(`${leaving.instance} ends; it is at work on ${leaving.running} requests`);
  leaving.end();
  await sleep(1500);
  await stop();
  const statuses = {};
  for (const { status } of clients.tries.values()) statuses[status] = (statuses[status] ?? 0) + 1;
  record.say(`what clients got: ${JSON.stringify(statuses)}`);
  const ran = new Set(leaving.arrivals.map(({ id }) => id));
  const lost = [...clients.tries.values()].filter(({ id, status }) => ran.has(id) && status !== 200);
  record.say(`requests that ran at ${leaving.instance} and whose clients got no success: ${lost.length} ${lost.slice(0, 5).map(({ id, status }) => `${id}: ${status}`).join(', ')}`);
  late.slice(0, 5).forEach(({ id, at, method, url }) => record.say(`${method} ${url} ${id} reached ${leaving.instance} ${((at - acknowledgedAt) / 1000).toFixed(2)} s after the acknowledgement`));
  return { broken: late.length > 0, why: `${late.length} requests reached ${leaving.instance} later than ${DRAIN_MS} ms after its departure was acknowledged` };
});
