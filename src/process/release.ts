import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** The project's folder, above wherever this file was built to. */
const projectFolder = (): string => {
  for (let folder = dirname(fileURLToPath(import.meta.url)); ; folder = dirname(folder)) {
    if (existsSync(join(folder, 'package.json')) || folder === dirname(folder)) return folder;
  }
};

/** A file of the project by its path from the project's folder. */
export const projectFile = (path: string): string => join(projectFolder(), path);

/** The release of this build. */
export const RELEASE = (JSON.parse(readFileSync(projectFile('package.json'), 'utf8')) as { readonly version: string }).version;
