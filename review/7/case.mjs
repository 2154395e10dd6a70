// An endpoint reports its departure and gets its acknowledgement. Right after that every process is killed and comes back within a
// second. Heartbeats that the endpoint made before its departure come late.
import { Mesh, configuration, now, runCase, sleep } from '../common-2/mesh.mjs';

const LATE_MS = 6000;
const BEAT_MS = 1500;
const DOWN_MS = 700;
const DRAIN_MS = 2000;
const CONTACT_MS = 3000;
const SERVES_ON_MS = 14_000;
const EVERY_MS = 25;

await runCase(import.meta.dirname, async (record, isTroubled) => {
  const mesh = new Mesh(['line', 'line', 'cargo']);
  await mesh.start();
  await mesh.serve({ say: () => undefined }, configuration(1, ['line', 'cargo']));
  record.say('operator: version 1 acknowledged; three machines: line, line, cargo');
  await sleep(3000);
  const [leaving, staying] = mesh.endpoints;

  const sent = new Map();
  const statuses = {};
  let isOver = false;
  const one = async (number) => {
    const machine = mesh.sidecars[number % 3];
    const id = `line-${number}`;
    sent.set(id, { at: now(), machine: machine.name });
    const found = await mesh.call(machine.host, mesh.ports.outbound, 'POST', '/line/new', { host: 'mesh.example', 'attempt-id': id, 'deadline-remaining': '1500' }, 'body', 2000).catch(() => ({ status: 'none' }));
    statuses[found.status] = (statuses[found.status] ?? 0) + 1;
  };
  const clients = (async () => {
    for (let number = 1; !isOver; number += 1) {
      void one(number);
      await sleep(EVERY_MS);
    }
  })();
  await sleep(2000);

  record.say(`endpoint ${leaving.id}: its heartbeats are ${LATE_MS} ms on their way from now on`);
  leaving.isBeating = false;
  let late = [];
  const make = () => {
    leaving.sequence += 1;
    late.push({ at: now() + LATE_MS, beat: leaving.beatText(leaving.sequence, 'ready'), sequence: leaving.sequence });
  };
  const making = setInterval(make, BEAT_MS);
  const delivering = setInterval(() => {
    const due = late.filter(({ at }) => at <= now());
    late = late.filter((other) => !due.includes(other));
    for (const { beat, sequence } of due) leaving.send(beat).then((answer) => record.say(`endpoint ${leaving.id}: heartbeat ${sequence}, made before its departure, gets ${answer.status}`), (error) => record.say(`endpoint ${leaving.id}: heartbeat ${sequence}: ${error.message}`));
  }, 20);
  await sleep(3 * BEAT_MS + 100);
  clearInterval(making);

  leaving.state = 'leaving';
  let acknowledgedAt = null;
  for (let tries = 0; acknowledgedAt === null && tries < 20; tries += 1) {
    const answer = await leaving.depart().catch((error) => ({ status: error.message }));
    record.say(`endpoint ${leaving.id}: reports its departure, gets ${answer.status}`);
    if (answer.status === 200) acknowledgedAt = now();
    else await sleep(300);
  }
  if (acknowledgedAt === null) throw new Error('the departure was not acknowledged');
  let inTouchFrom = acknowledgedAt;
  if (isTroubled) {
    const all = mesh.processes();
    all.forEach((process) => process.signal('SIGKILL'));
    await Promise.all(all.map((process) => process.ended));
    record.say(`platform: all ${all.length} processes are killed, right after that acknowledgement`);
    await sleep(DOWN_MS);
    all.forEach((process) => process.start(false));
    inTouchFrom = now() + 2 * CONTACT_MS;
    record.say(`platform: all are started again; machines are in touch from ${(inTouchFrom / 1000).toFixed(3)} on, twice contact later`);
  }
  await sleep(SERVES_ON_MS);
  isOver = true;
  clearInterval(delivering);
  await clients;
  await sleep(1500);

  const after = leaving.ran.filter(({ at }) => at > acknowledgedAt + DRAIN_MS);
  const counted = after.filter(({ id }) => (sent.get(id)?.at ?? 0) > inTouchFrom);
  const machines = [...new Set(counted.map(({ id }) => sent.get(id).machine))].sort().join(', ');
  for (const { id, at } of counted.slice(0, 5)) record.say(`for instance ${id}: sent to ${sent.get(id).machine} at ${(sent.get(id).at / 1000).toFixed(3)}, at ${leaving.id} at ${(at / 1000).toFixed(3)}`);
  record.say(`clients: ${sent.size} requests, ended ${JSON.stringify(statuses)}; ${staying.id} ran ${staying.ran.length}`);
  record.say(`${leaving.id} ran ${after.length} requests later than ${DRAIN_MS} ms after the acknowledgement of its departure; ${counted.length} of them were sent to machines in touch (${machines})`);
  await mesh.end();
  return counted.length > 0;
});
