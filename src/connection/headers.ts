const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'http2-settings']);
const OWN_PREFIX = 'opalstair-';
const BODILESS = new Set(['GET', 'HEAD', 'OPTIONS', 'DELETE']);

/** Raw headers are flat lists of names and values, as they came. */
export type RawHeaders = readonly string[];

const namedByConnection = (raw: RawHeaders): ReadonlySet<string> | null => {
  let named: Set<string> | null = null;
  for (let index = 0; index < raw.length; index += 2) {
    if ((raw[index] as string).toLowerCase() !== 'connection') continue;
    named ??= new Set();
    for (const word of (raw[index + 1] ?? '').split(',')) named.add(word.trim().toLowerCase());
  }
  return named;
};

const passOn = (raw: RawHeaders, alsoDropped: readonly string[]): string[] => {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] as string;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || lower.startsWith(OWN_PREFIX) || named?.has(lower) === true || alsoDropped.includes(lower)) continue;
    kept.push(name, raw[index + 1] ?? '');
  }
  return kept;
};

/** What goes on in each direction, and what belongs to one connection or to opalstair alone. */
export const Headers = {
  /** A caller's headers as the endpoint shall see them; the body goes on whole, so its length is set anew. */
  ofOrder: (raw: RawHeaders, method: string, bodyLength: number): RawHeaders => {
    const kept = passOn(raw, ['content-length', 'expect']);
    return bodyLength > 0 || !BODILESS.has(method) ? [...kept, 'content-length', String(bodyLength)] : kept;
  },
  /** An endpoint's headers as the caller shall see them. */
  ofAnswer: (raw: RawHeaders, method: string, status: number, bodyLength: number): RawHeaders => {
    if (method === 'HEAD' || status === 304) return passOn(raw, []);
    return status === 204 ? passOn(raw, ['content-length']) : [...passOn(raw, ['content-length']), 'content-length', String(bodyLength)];
  },
  /** The first value of a header, by its name in small letters. */
  valueOf: (raw: RawHeaders, wanted: string): string | null => {
    for (let index = 0; index < raw.length; index += 2) {
      const name = raw[index] as string;
      if (name.length === wanted.length && name.toLowerCase() === wanted) return raw[index + 1] ?? '';
    }
    return null;
  },
  /** All headers but the named ones, given in small letters. */
  without: (raw: RawHeaders, dropped: readonly string[]): readonly string[] => {
    const kept: string[] = [];
    for (let index = 0; index < raw.length; index += 2) {
      if (!dropped.includes((raw[index] as string).toLowerCase())) kept.push(raw[index] as string, raw[index + 1] ?? '');
    }
    return kept;
  },
  /** Headers by name, those that came more than once as lists. */
  toRecord: (raw: RawHeaders): Readonly<Record<string, string | readonly string[]>> => {
    const record = Object.create(null) as Record<string, string | readonly string[]>;
    const spelt = new Map<string, string>();
    for (let index = 0; index < raw.length; index += 2) {
      const name = raw[index] as string;
      const value = raw[index + 1] ?? '';
      const known = spelt.get(name.toLowerCase());
      if (known === undefined) {
        spelt.set(name.toLowerCase(), name);
        record[name] = value;
      } else {
        const former = record[known] ?? [];
        record[known] = [...(typeof former === 'string' ? [former] : former), value];
      }
    }
    return record;
  },
} as const;
