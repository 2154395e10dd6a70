import { createHash } from 'node:crypto';
import { mkdir, open, readdir, readFile, rename, rm, stat } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import { Defect } from './defect.js';

/** The disk has no room; nothing of the write is left. */
export class DiskFull extends Defect {
  readonly kind = 'disk-full';
}

/** A write or sync failed; whether its file will be there after a restart is not known. */
export class DiskDefect extends Defect {
  readonly kind = 'disk-defect';
}

/** A file is there and is not what was written. */
export class DamagedFile extends Defect {
  readonly kind = 'damaged-file';
}

export type StoreDefect = DiskFull | DiskDefect;

/** The few things the store needs of a file system; tests put failing ones in its place. */
export interface Disk {
  /** Puts the file there whole and synced, or says that it did not. */
  put(folder: string, name: string, bytes: Uint8Array): Promise<Result<void, StoreDefect>>;
  /**
   * The names in a folder; called once for each folder, at the start. They last from then on: a process that was
   * killed may have renamed a file without syncing its folder, and this one will answer by what the file says.
   */
  list(folder: string): Promise<Result<readonly string[], DiskDefect>>;
  get(folder: string, name: string): Promise<Result<Uint8Array, DiskDefect | DamagedFile>>;
  drop(folder: string, name: string): Promise<void>;
}

/** One name in a folder. */
export interface FolderEntry {
  readonly name: string;
  readonly isFile: boolean;
  readonly bytes: number;
}

/** What a folder disk asks of the file system; each call may fail as Node's do. */
export interface Files {
  /** Makes a folder and those above it that lack; gives the first that was made. */
  makeFolder(folder: string): Promise<string | undefined>;
  /** Writes a file and syncs its content. */
  write(file: string, bytes: Uint8Array): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  /** Makes the names in a folder last. */
  syncFolder(folder: string): Promise<void>;
  list(folder: string): Promise<readonly FolderEntry[]>;
  read(file: string): Promise<Uint8Array>;
  remove(file: string): Promise<void>;
}

const CHECK_BYTES = 32;
const checksumOf = (bytes: Uint8Array): Buffer => createHash('sha256').update(bytes).digest();

/** The file system of this machine. */
export const machineFiles: Files = {
  makeFolder: (folder) => mkdir(folder, { recursive: true }),
  write: async (file, bytes) => {
    const handle = await open(file, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
  rename,
  syncFolder: async (folder) => {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
  list: async (folder) => {
    const found = await readdir(folder, { withFileTypes: true });
    return Promise.all(found.map(async (entry) => ({ name: entry.name, isFile: entry.isFile(), bytes: entry.isFile() ? (await stat(join(folder, entry.name))).size : 0 })));
  },
  read: (file) => readFile(file),
  remove: (file) => rm(file, { force: true }),
};

/** Files below one data folder, kept within a quota of bytes. */
export class FolderDisk implements Disk {
  private usedBytes = 0;
  /** Folders whose names, and those above, this process has synced: one before it may have died too early. */
  private readonly lastingFolders = new Set<string>();
  private readonly sizes = new Map<string, number>();

  constructor(private readonly root: string, private readonly quotaBytes: number, private readonly files: Files = machineFiles) {}

  async put(folder: string, name: string, bytes: Uint8Array): Promise<Result<void, StoreDefect>> {
    const home = join(this.root, folder);
    const aside = join(home, `${name}.aside`);
    const size = bytes.length + CHECK_BYTES;
    let renamed = false;
    try {
      if (this.usedBytes + size > this.quotaBytes) return err(new DiskFull(`${this.usedBytes} of ${this.quotaBytes} bytes are used`));
      if (!this.lastingFolders.has(home)) await this.makeLast(home);
      await this.files.write(aside, Buffer.concat([checksumOf(bytes), bytes]));
      renamed = true;
      await this.files.rename(aside, join(home, name));
      await this.files.syncFolder(home);
      this.grow(join(home, name), size);
      return ok(undefined);
    } catch (error) {
      await this.files.remove(aside).catch(() => undefined);
      const isFull = !renamed && ['ENOSPC', 'EDQUOT'].includes((error as NodeJS.ErrnoException).code ?? '');
      return err(isFull ? new DiskFull(home, error) : new DiskDefect(`writing ${home}/${name}`, error));
    }
  }

  /** A folder is there for good only when each folder above it is synced. */
  private async makeLast(home: string): Promise<void> {
    const data = dirname(resolve(this.root));
    const made = await this.files.makeFolder(home);
    const top = made !== undefined && data.startsWith(dirname(made)) ? dirname(made) : data;
    for (let folder = dirname(resolve(home)); folder.startsWith(top); folder = dirname(folder)) {
      await this.files.syncFolder(folder);
      if (folder === top) break;
    }
    this.lastingFolders.add(home);
  }

  async list(folder: string): Promise<Result<readonly string[], DiskDefect>> {
    try {
      const found = await this.files.list(join(this.root, folder));
      await this.files.syncFolder(join(this.root, folder));
      const kept = found.filter((entry) => !entry.name.endsWith('.aside'));
      for (const entry of found) {
        if (!kept.includes(entry)) await this.files.remove(join(this.root, folder, entry.name));
        else if (entry.isFile) this.grow(join(this.root, folder, entry.name), entry.bytes);
      }
      return ok(kept.map((entry) => entry.name));
    } catch (error) {
      return (error as NodeJS.ErrnoException).code === 'ENOENT' ? ok([]) : err(new DiskDefect(`listing ${folder}`, error));
    }
  }

  async get(folder: string, name: string): Promise<Result<Uint8Array, DiskDefect | DamagedFile>> {
    try {
      const file = Buffer.from(await this.files.read(join(this.root, folder, name)));
      const bytes = file.subarray(CHECK_BYTES);
      return checksumOf(bytes).equals(file.subarray(0, CHECK_BYTES)) ? ok(bytes) : err(new DamagedFile(`${folder}/${name} does not match its checksum`));
    } catch (error) {
      return err(new DiskDefect(`reading ${folder}/${name}`, error));
    }
  }

  async drop(folder: string, name: string): Promise<void> {
    const file = join(this.root, folder, name);
    await this.files.remove(file).then(() => this.grow(file, 0), () => undefined);
  }

  private grow(file: string, bytes: number): void {
    this.usedBytes += bytes - (this.sizes.get(file) ?? 0);
    if (bytes === 0) this.sizes.delete(file);
    else this.sizes.set(file, bytes);
  }
}
