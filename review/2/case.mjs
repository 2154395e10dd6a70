// An operator sends one configuration that adds a route with a long path prefix that holds a percent-encoded letter. It gets
// no answer, so it is sent again as it was, to the other nodes. Later the operator reads the configuration back.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, configurationOf, Mesh, PORTS, runCase, sleep } from '../stand-ins/mesh.mjs';
import { Clients, Endpoint, ready } from '../stand-ins/endpoint.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const SENT_FOR_MS = 12_000;
const READ_FOR_MS = 30_000;
const CONTACT_MS = 3000;
const LONG = '/portabilidad/solicitudes/operadores-donantes/aprobaci%C3%B3n/';
const PLAIN = '/portabilidad/solicitudes/operadores-donantes/aprobacion/';
const routes = [{ name: 'r-line', prefix: '/line/', service: 'line' }, { name: 'r-cargo', prefix: '/cargo/', service: 'cargo' }];

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, held) => {
  const mesh = held.mesh = await Mesh.open(record, { sidecars: ['line', 'line', 'cargo'] });
  mesh.startAll();
  await sleep(2500);
  if (await mesh.replace(0, configurationOf(3, routes, ['line', 'cargo'])) !== 200) throw new Error('no configuration');
  for (const name of ['app1', 'app2', 'app3']) await ready(mesh, name);
  const endpoints = ['app1', 'app2', 'app3'].map((name) => new Endpoint(mesh, name));
  await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  await sleep(2500);
  const clients = new Clients(mesh, 'app3');
  const answers = await Promise.all(Array.from({ length: 20 }, () => clients.send('POST', '/line/1', { body: '{}' })));
  record.say(`20 requests got ${answers.map(({ status }) => status).join()}`);
  if ((await mesh.readAnywhere(3000)).version !== 3) throw new Error('version 3 is not read back');

  const added = configurationOf(5, [...routes, { name: 'r-added', prefix: hasTrouble ? LONG : PLAIN, service: 'cargo' }], ['line', 'cargo']);
  record.say(`operator: version 5 adds the prefix ${added.routes[2].path_prefix}`);
  const status = await mesh.replace(3, added, SENT_FOR_MS);
  record.say(status === 0 ? `operator: no clear answer within ${SENT_FOR_MS} ms` : `operator: version 5 got ${status}`);
  await sleep(CONTACT_MS);

  // The end of the day: the operator reads the configuration back, again and again. No process is in trouble.
  for (const core of mesh.cores()) {
    const answer = await call('GET', `${core.host}:${PORTS.internal + 1}`, '/ready', { timeoutMs: 1000 });
    record.say(`directory of ${core.name} says of its readiness: ${answer.status === 0 ? answer.text : answer.status}; its process ${mesh.of(core.name).every(({ isRunning }) => isRunning) ? 'runs' : 'has ended'}`);
  }
  const found = await mesh.readAnywhere(READ_FOR_MS);
  const expected = status === 200 ? [5] : status === 0 ? [3, 5] : [3];
  if (found.version === null) return { broken: true, why: `the configuration does not come: no read was answered in ${READ_FOR_MS / 1000} s, at any of the ${mesh.cores().length} nodes` };
  return { broken: !expected.includes(found.version), why: `version ${found.version} is read back, ${expected.join(' or ')} was expected` };
});
