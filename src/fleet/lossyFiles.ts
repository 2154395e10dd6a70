import { basename, dirname } from 'node:path';
import type { Files, FolderEntry } from '../process/disk.js';
import type { Chance } from './chance.js';

/** A file's content: what a program reads, and what a power loss leaves. */
interface Content {
  readonly bytes: Uint8Array;
  isSynced: boolean;
}
type Name = Content | 'folder';
interface Folder {
  readonly shown: Map<string, Name>;
  readonly lasting: Map<string, Name>;
  /** Changes of names since the last sync, in order. */
  pending: (readonly [string, Name | null])[];
}

const notThere = (path: string): Error => Object.assign(new Error(`no ${path}`), { code: 'ENOENT' });

/**
 * A file system in memory that loses power: content that was not synced is gone or torn, and names that were not
 * synced in their folder are as before, or not, each for itself. After the loss no call is answered any more.
 */
export class LossyFiles implements Files {
  private folders = new Map<string, Folder>([['/', { shown: new Map(), lasting: new Map(), pending: [] }]]);
  private isOff = false;
  private callsLeft = Infinity;
  private onLoss: () => void = () => undefined;

  constructor(private readonly chance: Chance) {}

  /** The power goes after so many more calls; the last one is cut short at a random point. Resolves when it has gone. */
  cutAfter(calls: number): Promise<void> {
    this.callsLeft = calls;
    return new Promise((settle) => { this.onLoss = settle; });
  }

  get hasPower(): boolean {
    return !this.isOff;
  }

  /** Only the process was killed: all that it did is there, synced or not. */
  async revive(): Promise<void> {
    await this.quiet();
    this.isOff = false;
    this.callsLeft = Infinity;
  }

  /** Power is back: what lasted is there. */
  async restore(): Promise<void> {
    await this.quiet();
    const kept = new Map<string, Folder>();
    const keep = (path: string): void => {
      const folder = this.folders.get(path);
      const names = new Map(folder?.lasting ?? []);
      for (const [name, value] of folder?.pending ?? []) {
        if (!this.chance.happens(0.5)) continue;
        if (value === null) names.delete(name);
        else names.set(name, value);
      }
      const after = new Map([...names].map(([name, value]): [string, Name] => [name, value === 'folder' || value.isSynced ? value : { bytes: this.torn(value.bytes), isSynced: true }]));
      kept.set(path, { shown: after, lasting: new Map(after), pending: [] });
      for (const [name, value] of after) if (value === 'folder') keep(`${path === '/' ? '' : path}/${name}`);
    };
    keep('/');
    this.folders = kept;
    await this.revive();
  }

  makeFolder(folder: string): Promise<string | undefined> {
    return this.call(() => {
      if (this.folders.has(folder)) return undefined;
      const missing: string[] = [];
      for (let path = folder; !this.folders.has(path); path = dirname(path)) missing.unshift(path);
      for (const path of missing) {
        this.folders.set(path, { shown: new Map(), lasting: new Map(), pending: [] });
        this.put(path, 'folder');
      }
      return missing[0];
    });
  }

  async write(file: string, bytes: Uint8Array): Promise<void> {
    const content: Content = { bytes, isSynced: false };
    await this.call(() => this.put(file, content));
    await this.call(() => { content.isSynced = true; });
  }

  rename(from: string, to: string): Promise<void> {
    return this.call(() => {
      const value = this.folderOf(from).shown.get(basename(from));
      if (value === undefined) throw notThere(from);
      this.put(to, value);
      this.put(from, null);
    });
  }

  syncFolder(path: string): Promise<void> {
    return this.call(() => {
      const folder = this.folders.get(path);
      if (folder === undefined) throw notThere(path);
      for (const [name, value] of folder.pending) {
        if (value === null) folder.lasting.delete(name);
        else folder.lasting.set(name, value);
      }
      folder.pending = [];
    });
  }

  list(path: string): Promise<readonly FolderEntry[]> {
    return this.call(() => {
      const folder = this.folders.get(path);
      if (folder === undefined) throw notThere(path);
      return [...folder.shown].map(([name, value]) => ({ name, isFile: value !== 'folder', bytes: value === 'folder' ? 0 : value.bytes.length }));
    });
  }

  read(file: string): Promise<Uint8Array> {
    return this.call(() => {
      const value = this.folderOf(file).shown.get(basename(file));
      if (value === undefined || value === 'folder') throw notThere(file);
      return value.bytes;
    });
  }

  remove(file: string): Promise<void> {
    return this.call(() => this.put(file, null));
  }

  private async call<T>(act: () => T): Promise<T> {
    await new Promise((settle) => { setImmediate(settle); });
    if (this.isOff) return new Promise<T>(() => undefined);
    this.callsLeft -= 1;
    if (this.callsLeft > 0) return act();
    if (this.chance.happens(0.5)) act();
    this.isOff = true;
    this.onLoss();
    return new Promise<T>(() => undefined);
  }

  /** Calls of the former life that were begun come to nothing. */
  private async quiet(): Promise<void> {
    this.isOff = true;
    for (let turn = 0; turn < 3; turn += 1) await new Promise((settle) => { setImmediate(settle); });
  }

  private folderOf(path: string): Folder {
    const folder = this.folders.get(dirname(path));
    if (folder === undefined) throw notThere(path);
    return folder;
  }

  private put(path: string, value: Name | null): void {
    const folder = this.folderOf(path);
    if (value === null) folder.shown.delete(basename(path));
    else folder.shown.set(basename(path), value);
    folder.pending.push([basename(path), value]);
  }

  private torn(bytes: Uint8Array): Uint8Array {
    return bytes.slice(0, this.chance.below(bytes.length + 1));
  }
}
