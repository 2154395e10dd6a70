import { err, ok, type Result } from 'neverthrow';
import { Defect } from '../process/defect.js';

/** A path that endpoints could read in another way than the routes do. */
export class AmbiguousPath extends Defect {
  readonly kind = 'doubtful-path';
}

/** A path prefix that no route can be given. */
export class InvalidPrefix extends Defect {
  readonly kind = 'invalid-prefix';
}

/** The characters of a path segment by RFC 3986, section 3.3. The alternatives exclude each other, so the time is linear in the length. */
const PREFIX_SEGMENT = /^(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})+$/;
/** What a decoder may turn into another path: encoded or foreign separators, and the end of a C string. */
const AMBIGUOUS = /%2f|%5c|%00|\\/i;

const decodeSegment = (segment: string): Result<string, AmbiguousPath> => {
  if (AMBIGUOUS.test(segment)) return err(new AmbiguousPath('the path holds an encoded slash, a backslash or a null'));
  try {
    const decoded = decodeURIComponent(segment);
    return decoded === '.' || decoded === '..' ? err(new AmbiguousPath('the path holds a dot segment')) : ok(decoded);
  } catch (error) {
    return err(new AmbiguousPath('the path holds a broken percent code', error));
  }
};

const decodeAll = (segments: readonly string[]): Result<readonly string[], AmbiguousPath> => {
  const decodedSegments: string[] = [];
  for (const segment of segments) {
    const decoded = decodeSegment(segment);
    if (decoded.isErr()) return err(decoded.error);
    decodedSegments.push(decoded.value);
  }
  return ok(decodedSegments);
};

/** Request paths and the prefixes of routes as lists of decoded segments, so that both are compared in one form. */
export const PathSegments = {
  /** The decoded segments of a request path that begins with a slash. */
  ofPath: (path: string): Result<readonly string[], AmbiguousPath> => decodeAll(path.slice(1).split('/')),
  /** The decoded segments of a route's prefix; a slash at its end adds none. */
  ofPrefix: (prefix: string): Result<readonly string[], AmbiguousPath | InvalidPrefix> => {
    if (!prefix.startsWith('/')) return err(new InvalidPrefix('must start with /'));
    const segments = prefix.slice(1).split('/');
    if (segments.at(-1) === '') segments.pop();
    const invalid = segments.find((segment) => !PREFIX_SEGMENT.test(segment));
    if (invalid !== undefined) return err(new InvalidPrefix(invalid === '' ? 'holds an empty segment' : 'holds a character that a path can\'t hold unless it is percent-encoded'));
    return decodeAll(segments);
  },
} as const;
