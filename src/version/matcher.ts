import { err, ok, type Result } from 'neverthrow';
import { Defect } from '../process/defect.js';
import type { Binding, Manifest } from './manifest.js';
import { AmbiguousPath, PathSegments } from './pathSegments.js';

export class NoBinding extends Defect {
  readonly kind = 'no-binding';
}

export interface Target {
  readonly host: string;
  readonly method: string;
  readonly url: string;
}

/** `least` is how many segments a path must have: below a prefix that ends with a slash there must be something. */
interface Ranked {
  readonly binding: Binding;
  readonly segments: readonly string[];
  readonly least: number;
}

/**
 * The bindings of one manifest made ready for matching. Paths are matched by decoded segments and
 * sent on as they came; what could be read in two ways is turned away instead of normalised.
 */
export class Matcher {
  private readonly ofHost: ReadonlyMap<string, readonly Ranked[]>;
  private readonly ofAnyHost: readonly Ranked[];

  constructor(manifest: Manifest) {
    const ranked = manifest.bindings
      .map((binding): Ranked => {
        const segments = PathSegments.ofPrefix(binding.prefix).unwrapOr([]);
        return { binding, segments, least: segments.length + (segments.length > 0 && binding.prefix.endsWith('/') ? 1 : 0) };
      })
      .sort((one, other) => other.segments.length - one.segments.length);
    this.ofAnyHost = ranked.filter(({ binding }) => binding.host === null);
    const hosts = new Map<string, Ranked[]>();
    for (const one of ranked) {
      const { host } = one.binding;
      if (host === null) continue;
      const ofHost = hosts.get(host);
      if (ofHost === undefined) hosts.set(host, [one]);
      else ofHost.push(one);
    }
    this.ofHost = hosts;
  }

  /** The binding of an order: a named host before any host, then the longest prefix. */
  match(target: Target): Result<Binding, AmbiguousPath | NoBinding> {
    if (!target.url.startsWith('/')) return err(new AmbiguousPath('the request target must be a path'));
    const path = target.url.split(/[?#]/, 1)[0] ?? '/';
    const decoded = PathSegments.ofPath(path);
    if (decoded.isErr()) return err(decoded.error);
    const host = target.host.toLowerCase().replace(/:\d+$/, '');
    const takes = ({ binding, segments, least }: Ranked): boolean => binding.methods.includes(target.method)
      && least <= decoded.value.length && segments.every((segment, index) => segment === decoded.value[index]);
    const chosenEntry = this.ofHost.get(host)?.find(takes) ?? this.ofAnyHost.find(takes);
    return chosenEntry === undefined ? err(new NoBinding(`no binding takes ${target.method} ${path}`)) : ok(chosenEntry.binding);
  }
}
