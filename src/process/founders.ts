import { err, ok, type Result } from 'neverthrow';
import { Address } from './brands.js';
import type { Disk, StoreDefect } from './disk.js';

const FOLDER = 'founding';
const FILE = 'seeds';

/**
 * The seeds that found the mesh together; null when this disk may not take part. A disk that was there at the first start notes them before
 * anything else, so that founders which are killed before they have founded may still do so at their next start, when the settings no longer
 * speak of a first one. The seeds may be others by then: those of the first start count.
 */
export const foundersOf = async (disk: Disk, mayFound: boolean, seeds: readonly Address[]): Promise<Result<readonly Address[] | null, StoreDefect>> => {
  const listed = await disk.list(FOLDER);
  if (listed.isErr()) return err(listed.error);
  if (!listed.value.includes(FILE)) {
    if (!mayFound) return ok(null);
    const noted = await disk.put(FOLDER, FILE, new TextEncoder().encode(seeds.join('\n')));
    return noted.map(() => seeds);
  }
  const bytes = await disk.get(FOLDER, FILE);
  if (bytes.isErr()) return bytes.error.kind === 'damaged-file' ? ok(null) : err(bytes.error);
  return ok(new TextDecoder().decode(bytes.value).split('\n').filter((seed): seed is Address => Address.isValid(seed)));
};
