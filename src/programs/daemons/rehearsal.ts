import { Agent, createServer, request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Registry } from 'prom-client';
import { EndpointLinks } from '../../connection/endpointLinks.js';
import { HopMessages, HopPath, hopOrderShape, type HopOrder } from '../../connection/hopCalls.js';
import { Listener } from '../../connection/listener.js';
import { orderDoor } from '../../connection/orderDoor.js';
import type { Speech } from '../../connection/speech.js';
import { WireClient, WireServer } from '../../connection/wire.js';
import { Allowance } from '../../process/allowance.js';
import { Address, type BootId, type EndpointId, type InstanceId, type NodeName, type Serial, type ServiceName } from '../../process/brands.js';
import { InForce, type TablesInForce } from '../../process/delivery.js';
import { LocalEndpoints } from '../../process/localEndpoints.js';
import { OutcomeBook } from '../../process/outcomeBook.js';
import { Picker } from '../../process/picker.js';
import type { Frame } from '../../process/program.js';
import type { PlaceSettings } from '../../process/settings.js';
import { VersionRouter } from '../../process/versionRouter.js';
import { Traces } from '../../process/traces.js';
import type { EndpointRow } from '../../version/snapshots.js';
import { Manifest } from '../../version/manifest.js';
import { Forwarder } from '../../request/forwarder.js';
import { Hosting, type HostManifest } from '../../request/hosting.js';

const SERVICE = 'rehearsal' as ServiceName;
const ENDPOINT = 'rehearsal' as EndpointId;
const INSTANCE = 'rehearsal' as InstanceId;
const HOST_BOOT = 'rehearsal-host' as BootId;
const CALLER_BOOT = 'rehearsal-caller' as BootId;
const CUTOFF_MS = 2000;
const SLOTS = 8;
const AT_ONCE = 3;
const BODY_BYTES = 1500;
/** Headers that belong to one connection; the endpoint of a rehearsal gives back all others. */
const NOT_ECHOED: readonly string[] = ['host', 'connection', 'content-length', 'transfer-encoding', 'keep-alive'];

const MANIFEST = {
  services: [{ name: SERVICE, probe: '/' }],
  bindings: [
    { id: 'rehearsal-again', service: SERVICE, prefix: '/again/', kind: 'repeatable', cutoffMs: CUTOFF_MS, aimMs: 1000 },
    { id: 'rehearsal-once', service: SERVICE, prefix: '/once/', kind: 'once', cutoffMs: CUTOFF_MS, aimMs: 1000 },
  ],
};

/** An endpoint that says of each request that it has no such thing, and gives its headers back: nothing runs. */
const echo = (host: string): Promise<Server> => new Promise((settle, fail) => {
  const body = Buffer.alloc(BODY_BYTES, 'r');
  const server = createServer((incoming, outgoing) => {
    incoming.resume();
    incoming.on('end', () => {
      const kept: string[] = [];
      for (let index = 0; index < incoming.rawHeaders.length; index += 2) {
        const name = incoming.rawHeaders[index] as string;
        if (!NOT_ECHOED.includes(name.toLowerCase())) kept.push(name, incoming.rawHeaders[index + 1] ?? '');
      }
      outgoing.writeHead(404, [...kept, 'content-length', String(body.length)]);
      outgoing.end(body);
    });
  });
  server.once('error', fail);
  server.listen(0, host, () => settle(server));
});

/**
 * Takes requests of its own all the way through a copy of the path: a door, a host and an endpoint that only this object
 * knows, on free ports of this machine. It shares nothing with the real path but the code, which the runtime has then
 * seen and compiled before the first caller comes.
 */
export class Rehearsal {
  private constructor(
    private readonly door: Listener, private readonly hostDoor: Listener, private readonly endpoint: Server, private readonly wire: WireClient, private readonly speech: Speech, private readonly listenHost: string,
  ) {}

  static async open(frame: Frame<PlaceSettings>, speech: Speech): Promise<Rehearsal> {
    const { listenHost, zone, cluster } = frame.settings;
    const metrics = new Registry();
    const hostFrame = { ...frame, metrics, boot: HOST_BOOT };
    const callerFrame = { ...frame, metrics: new Registry(), boot: CALLER_BOOT };
    const endpoint = await echo(listenHost);
    const address = Address.of(listenHost, (endpoint.address() as AddressInfo).port);
    const inForce = InForce.of({ serial: 1 as Serial, manifest: Manifest.check(MANIFEST)._unsafeUnwrap() });
    const rows: EndpointRow[] = [];
    const tables: TablesInForce & HostManifest = {
      proven: () => Promise.resolve(inForce), isUnsure: false, isVouchedFor: true, evidenceAgeMs: 0, now: () => inForce, tables: () => ({ rows, mask: null }), reach: () => Promise.resolve(true),
      serial: () => inForce.serial, bindingOf: (id) => inForce.bindings.get(id) ?? null, probeOf: () => '/',
    };
    const links = new EndpointLinks(frame.clock, listenHost);
    const endpoints = new LocalEndpoints(frame.clock, () => undefined);
    endpoints.beat({ id: ENDPOINT, instance: INSTANCE, service: SERVICE, address, zone, probe: '/', slots: SLOTS, leaving: false, nonce: '', fenced: true, sequence: 0 });
    const versions = new VersionRouter(() => undefined, () => true);
    const hosting = new Hosting(hostFrame, endpoints, tables, links, speech, versions);
    const server = new WireServer(cluster, { turnedAway: () => undefined });
    server.on<HopOrder>(HopPath.order, hopOrderShape, async (order, { body, holding }) => HopMessages.ofVerdict(await hosting.run(order, HopMessages.bodyOf(order, body), holding)));
    const hostDoor = (await Listener.openWire(server, listenHost, 0))._unsafeUnwrap();
    rows.push({ id: ENDPOINT, service: SERVICE, instance: INSTANCE, address, zone, slots: SLOTS, leaving: false, node: 'rehearsal' as NodeName, nodeBoot: HOST_BOOT, hop: hostDoor.address });
    const wire = new WireClient(cluster, listenHost);
    const book = new OutcomeBook(callerFrame, () => inForce.manifest.health);
    const forwarder = new Forwarder(callerFrame, {
      delivery: tables, picker: new Picker(zone, frame.clock, book, Math.random), book, allowance: new Allowance(frame.clock, () => inForce.manifest.allowance, () => 1), hosting, wire,
      versions, traces: new Traces(0), speech, callingService: SERVICE, random: Math.random,
    });
    const door = (await Listener.open(orderDoor({
      carry: (order) => forwarder.carry(order), isClosing: () => false, ordersAtOnce: SLOTS, failed: (error) => frame.log.error({ event: 'internal-defect', error: error.stack }), speech, limits: () => inForce.manifest.limits, memory: frame.memory,
    }), listenHost, 0))._unsafeUnwrap();
    return new Rehearsal(door, hostDoor, endpoint, wire, speech, listenHost);
  }

  /** Runs so many requests, or fewer when it is over before; tells how many came back as they should. */
  async run(most: number, isOver: () => boolean): Promise<number> {
    const agent = new Agent({ keepAlive: true });
    let sent = 0;
    let whole = 0;
    const line = async (): Promise<void> => {
      while (sent < most && !isOver()) {
        sent += 1;
        if (await this.one(agent, sent)) whole += 1;
      }
    };
    await Promise.all(Array.from({ length: AT_ONCE }, line));
    agent.destroy();
    return whole;
  }

  async close(): Promise<void> {
    await this.wire.close();
    this.door.cut();
    this.hostDoor.cut();
    this.endpoint.close();
    this.endpoint.closeAllConnections();
  }

  private one(agent: Agent, number: number): Promise<boolean> {
    const body = number % 2 === 0 ? null : Buffer.alloc(BODY_BYTES, 'r');
    const headers = ['Host', 'rehearsal', 'Accept', '*/*', ...this.speech.rehearsed(`rehearsal-${number}`), ...(body === null ? [] : ['Content-Length', String(body.length)])];
    return new Promise((settle) => {
      const sent = request({ agent, host: this.listenHost, port: this.door.port, localAddress: this.listenHost, method: body === null ? 'GET' : 'POST', path: body === null ? '/again/1' : '/once/1', headers: headers as never, setHost: false }, (answer) => {
        let length = 0;
        answer.on('data', (chunk: Buffer) => { length += chunk.length; });
        answer.on('error', () => settle(false));
        answer.on('end', () => settle(answer.statusCode === 404 && length === BODY_BYTES));
      });
      sent.on('error', () => settle(false));
      sent.end(body ?? undefined);
    });
  }
}
