// A stand-in endpoint of the platform: it beats, checks who is meant, runs, seals, reports its departure and ends.
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { call, PORTS, sleep } from './mesh.mjs';

export class Endpoint {
  constructor(mesh, machineName, { workMs = 20, slots = 9, beatMs = 1500 } = {}) {
    const machine = mesh.machines.get(machineName);
    Object.assign(this, {
      mesh, machine, service: machine.service, workMs, slots, beatMs, instance: `i-${randomBytes(4).toString('hex')}`, address: `${machine.host}:${PORTS.application}`,
      sequence: 0, isLeaving: false, isBeating: false, isAlive: true, arrivals: [], running: 0, lateMs: 0, sockets: new Set(),
    });
  }

  async start() {
    this.server = createServer({ keepAliveTimeout: 10_000 }, (incoming, outgoing) => void this.take(incoming, outgoing));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise((settle, fail) => {
      this.server.once('error', fail);
      this.server.listen(PORTS.application, this.machine.host, settle);
    });
    this.isBeating = true;
    void this.beatOn();
  }

  say(text) {
    this.mesh.record.say(`endpoint ${this.instance} of ${this.service} on ${this.machine.name}: ${text}`);
  }

  async beatOn() {
    while (this.isBeating && this.isAlive) {
      void this.beat();
      await sleep(this.beatMs);
    }
  }

  /** One beat as it is now; with `lateMs` it comes that much later. */
  async beat() {
    this.sequence += 1;
    const number = this.sequence;
    const madeAt = performance.now();
    const body = JSON.stringify({
      address: this.address, information: { service: this.service, version: 'v1', zone: 'zone-a', capacity_slots: this.slots },
      status: { state: this.isLeaving ? 'draining' : 'ready', call_sequence: number, cold_remaining: '0ms' },
    });
    const late = this.lateMs;
    if (late > 0) await sleep(late);
    const answer = await this.post(`/-/instances/${this.instance}/heartbeat`, body);
    if (late > 0 || answer.status !== 200) this.say(`beat ${number}, ${((performance.now() - madeAt) / 1000).toFixed(1)} s after it was made: ${answer.status}`);
  }

  post(path, body) {
    return call('POST', `${this.machine.host}:${PORTS.control}`, path, { headers: { 'content-type': 'application/json' }, body, localAddress: this.machine.host });
  }

  /** Reports its departure until that is acknowledged; no beat is made after it. */
  async depart() {
    this.isLeaving = true;
    this.isBeating = false;
    for (let tries = 0; tries < 10; tries += 1) {
      const answer = await this.post(`/-/instances/${this.instance}/departure`);
      this.say(`departure: ${answer.status}`);
      if (answer.status >= 200 && answer.status < 300) return performance.now();
      await sleep(100);
    }
    return null;
  }

  /** Ends: nothing listens any more and every connection is cut. */
  end() {
    this.isAlive = false;
    this.isBeating = false;
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  async take(incoming, outgoing) {
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      return;
    }
    if (incoming.url === '/health') return void outgoing.writeHead(this.isLeaving ? 503 : 200, { 'instance-id': this.instance, 'content-length': 0 }).end();
    const id = String(incoming.headers['attempt-id'] ?? '');
    const expected = incoming.headers['expected-instance'];
    const refuse = (status) => outgoing.writeHead(status, { 'request-not-run': '1', 'content-length': 0, ...(id === '' ? {} : { 'attempt-id': id }) }).end();
    if (id === '') return void refuse(400);
    if (expected !== undefined && expected !== this.instance) return void refuse(421);
    if (this.running >= this.slots + 36) return void refuse(503);
    this.running += 1;
    this.arrivals.push({ id, at: performance.now(), method: incoming.method, url: incoming.url, callingService: incoming.headers['calling-service'], body: Buffer.concat(chunks).toString('latin1') });
    await sleep(this.workMs);
    this.running -= 1;
    if (!this.isAlive) return;
    const body = JSON.stringify({ instance: this.instance, id });
    outgoing.writeHead(200, { 'attempt-id': id, 'server-seal': `${this.instance}.${id}`, 'content-length': body.length, 'content-type': 'application/json', ...(this.isLeaving ? { connection: 'close' } : {}) });
    outgoing.end(body);
  }
}

/** Clients of one machine: each request is one try with an id of its own. */
export class Clients {
  constructor(mesh, machineName) {
    Object.assign(this, { mesh, machine: mesh.machines.get(machineName), count: 0, tries: new Map() });
  }

  async send(method, path, { body, leftMs = 1000, id = `t${(this.count += 1)}-${randomBytes(3).toString('hex')}`, headers = {} } = {}) {
    const sentAt = performance.now();
    const answer = await call(method, `${this.machine.host}:${PORTS.outbound}`, path, { body, timeoutMs: leftMs + 300, headers: { host: 'shop.example', 'attempt-id': id, 'deadline-remaining': String(leftMs), ...headers } });
    const outcome = { id, sentAt, status: answer.status, headers: answer.headers, text: answer.text };
    this.tries.set(id, outcome);
    return outcome;
  }

  /** Sends so many a second until told to stop. */
  stream(perSecond, make) {
    let isOver = false;
    const done = (async () => {
      const all = [];
      while (!isOver) {
        all.push(make());
        await sleep(1000 / perSecond);
      }
      await Promise.all(all);
    })();
    return () => {
      isOver = true;
      return done;
    };
  }
}

/** Waits until a machine's node says that it is ready. */
export const ready = async (mesh, machineName, mostMs = 15_000) => {
  const end = performance.now() + mostMs;
  while (performance.now() < end) {
    if ((await call('GET', `${mesh.machines.get(machineName).host}:${PORTS.readiness}`, '/-/readiness')).status === 200) return;
    await sleep(100);
  }
  throw new Error(`${machineName} is not ready`);
};
