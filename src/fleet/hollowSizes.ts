import { writeFileSync } from 'node:fs';
import { checkShape, readBson, writeBson } from '../connection/wire.js';
import { Address, type BootId, type EndpointId, type Instant, type InstanceId, type Millis, type NodeName, type Serial, type ServiceName, type ZoneName } from '../process/brands.js';
import { Members, type Gossip, type Member } from '../process/members.js';
import { endpointSnapshotShape, manifestSnapshotShape, type EndpointSnapshot, type EndpointRow } from '../version/snapshots.js';
import { Manifest } from '../version/manifest.js';
import { hollowManifest } from './hollowFleet.js';

/** What one document costs: bytes on a link, reading and checking it, and the heap that it fills. */
interface Size {
  readonly what: string;
  readonly count: number;
  readonly bytes: number;
  readonly readMs: number;
  readonly heldMiB: number;
}

const HELP = `node --expose-gc dist/src/fleet/hollowSizes.js [FILE]: sizes of lists, manifests and member tables, as one JSON

exit codes: 0 measured, 2 wrong usage
`;
const COUNTS = [300, 1000, 3000, 9000, 27_000] as const;
const kept: unknown[] = [];
const collect = (globalThis as { readonly gc?: () => void }).gc;
const rounded = (value: number): number => Math.round(value * 100) / 100;
const hostOf = (index: number): string => `10.${Math.floor(index / 65536)}.${Math.floor(index / 256) % 256}.${index % 256}`;
const rowOf = (index: number): EndpointRow => ({
  id: `service-${index % 3000}-node-${index}` as EndpointId, service: `service-${index % 3000}` as ServiceName, instance: `${100_000_000_000 + index}` as InstanceId, address: Address.of(hostOf(index), 8080),
  zone: `region${index % 9}-zone${index % 31}` as ZoneName, slots: 100, leaving: false, node: `node-${index}` as NodeName, nodeBoot: `boot${10_000_000 + index}` as BootId, hop: Address.of(hostOf(index), 7080),
});

const sizeOf = (what: string, count: number, document: object, read: (bytes: Uint8Array) => unknown): Size => {
  const bytes = writeBson(document);
  read(bytes);
  collect?.();
  const before = process.memoryUsage().heapUsed;
  const start = performance.now();
  kept.push(read(bytes));
  const readMs = performance.now() - start;
  collect?.();
  return { what, count, bytes: bytes.length, readMs: rounded(readMs), heldMiB: rounded((process.memoryUsage().heapUsed - before) / 1048576) };
};

const listSize = (count: number): Size => {
  const snapshot: EndpointSnapshot = { directory: 'directory1' as BootId, serial: 1 as Serial, rows: Array.from({ length: count }, (_, index) => rowOf(index)) };
  return sizeOf('list of endpoints', count, snapshot, (bytes) => readBson<EndpointSnapshot>(bytes, endpointSnapshotShape)._unsafeUnwrap());
};

const manifestSize = (count: number): Size => {
  const manifest = Manifest.check(hollowManifest({ services: Math.min(count, 3000), routes: count }, 1))._unsafeUnwrap();
  return sizeOf('manifest, routes', count, { serial: 1, manifest: { ...manifest, source: null } }, (bytes) => checkShape(readBson<object>(bytes, manifestSnapshotShape)._unsafeUnwrap(), manifestSnapshotShape)._unsafeUnwrap());
};

const memberOf = (index: number): Member => ({
  name: `node-${index}` as NodeName, role: 'switchboard', zone: `region${index % 9}-zone${index % 31}` as ZoneName, boot: `boot${10_000_000 + index}` as BootId,
  member: Address.of(hostOf(index), 7082), wire: Address.of(hostOf(index), 7080), admin: Address.of(hostOf(index), 7081), life: 1, state: 'alive',
});

/** What it costs a member to answer the question for the whole list, and to make one probe. */
const membersCost = (count: number): object => {
  let now = 0;
  collect?.();
  const before = process.memoryUsage().heapUsed;
  const members = new Members(memberOf(0), { cluster: 'one', probeMs: 500 as Millis, suspectMs: 2500 as Millis, helpers: 3, keepGoneMs: 60_000 as Millis, newsPerPacket: 6 }, [], { now: () => now as Instant }, Math.random);
  const news = (from: number): Gossip => ({ cluster: 'one', kind: 'news', probe: 0, from: memberOf(1).member, about: '' as Address, news: Array.from({ length: Math.min(6, count - from) }, (_, index) => memberOf(from + index + 1)) });
  const joinStart = performance.now();
  for (let from = 0; from < count; from += 6) members.hear(news(from));
  const joinMs = performance.now() - joinStart;
  const syncStart = performance.now();
  const answers = members.hear({ ...news(0), kind: 'sync', news: [] });
  const syncMs = performance.now() - syncStart;
  const bytes = answers.reduce((sum, answer) => sum + (answer.kind === 'send' ? writeBson(answer.gossip).length : 0), 0);
  now += 600;
  const tickStart = performance.now();
  members.tick();
  const tickMs = performance.now() - tickStart;
  collect?.();
  const heldMiB = (process.memoryUsage().heapUsed - before) / 1048576;
  kept.push(members);
  return { what: 'member table', count, joinMs: rounded(joinMs), syncMs: rounded(syncMs), syncPackets: answers.length, syncBytes: bytes, tickMs: rounded(tickMs), heldMiB: rounded(heldMiB) };
};

const [file] = process.argv.slice(2);
if (file === '--help' || collect === undefined) {
  process.stdout.write(HELP);
  process.exit(file === '--help' ? 0 : 2);
}
const bareMiB = rounded(process.memoryUsage.rss() / 1048576);
const sizes = [...COUNTS.map(listSize), ...[300, 3000, 12_000].map(manifestSize)];
const members = [300, 1000, 3000].map(membersCost);
const text = `${JSON.stringify({ rssBeforeMiB: bareMiB, sizes, members }, null, 1)}\n`;
if (file !== undefined) writeFileSync(file, text);
process.stdout.write(text);
