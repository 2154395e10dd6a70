/** Counts of times by powers of the root of two: bucket `n` holds times of at least 2^(n/2) milliseconds, the last one all longer ones. */
export type LatencyCounts = readonly number[];

const BUCKETS_A_DOUBLING = 2;
/** The last bucket begins at 16.4 s, beyond every timeout that is usual. */
const BUCKETS = 29;

export const LatencyHistogram = {
  buckets: BUCKETS,
  bucketsADoubling: BUCKETS_A_DOUBLING,
  empty: (): number[] => new Array<number>(BUCKETS).fill(0),
  bucketOf: (tookMs: number): number => Math.min(BUCKETS - 1, Math.max(0, Math.floor(BUCKETS_A_DOUBLING * Math.log2(Math.max(1, tookMs))))),
  total: (counts: LatencyCounts): number => counts.reduce((sum, count) => sum + count, 0),
  sum: (one: LatencyCounts, other: LatencyCounts): LatencyCounts => one.map((count, index) => count + (other[index] ?? 0)),
  /** How many lie in a bucket or beyond it. */
  from: (counts: LatencyCounts, bucket: number): number => LatencyHistogram.total(counts.slice(bucket)),
  /** The first bucket from which on no more than this part of all lies. */
  tailBucket: (counts: LatencyCounts, part: number): number => {
    const most = part * LatencyHistogram.total(counts);
    const found = counts.findIndex((_count, index) => LatencyHistogram.from(counts, index) <= most);
    return found < 0 ? BUCKETS : found;
  },
} as const;
