import { BSON } from 'bson';
import { err, ok, type Result } from 'neverthrow';
import type { Address } from './brands.js';
import type { Disk, StoreDefect } from './disk.js';

const FOLDER = 'founding';
const FILE = 'founders';

/** Who may found the mesh, as each disk that takes part notes it at the first start. */
export interface Founders {
  /** The membership addresses of the ratebooks that found the mesh together. */
  readonly seeds: readonly Address[];
  /** Whether a majority of them may do so: only where it was said that this is the first start, so that no disk of an earlier one was lost. */
  readonly isMajorityEnough: boolean;
}

/**
 * The founders of the mesh; null when this disk takes no part. A disk notes them before anything else, so that founders which are killed
 * before they have founded may still do so at their next start, when the settings no longer speak of a first one. The seeds may be others
 * by then: those of the first start count. `isFirstStart` is null where the settings don't say.
 */
export const foundersOf = async (disk: Disk, isFirstStart: boolean | null, seeds: readonly Address[]): Promise<Result<Founders | null, StoreDefect>> => {
  const listed = await disk.list(FOLDER);
  if (listed.isErr()) return err(listed.error);
  if (!listed.value.includes(FILE)) {
    if (isFirstStart === false) return ok(null);
    const founders: Founders = { seeds: [...new Set(seeds)], isMajorityEnough: isFirstStart === true };
    const noted = await disk.put(FOLDER, FILE, BSON.serialize(founders));
    return noted.map(() => founders);
  }
  const bytes = await disk.get(FOLDER, FILE);
  if (bytes.isErr()) return bytes.error.kind === 'damaged-file' ? ok(null) : err(bytes.error);
  return ok(BSON.deserialize(bytes.value) as unknown as Founders);
};
