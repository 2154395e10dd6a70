import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { placeTable, readSettings, type PlaceSettings } from '../src/process/settings.js';
import { suite } from './harness.js';

const { test, run } = suite('settings');

const PLACE = { node: 'a', zone: 'z', host: '127.0.0.1', seeds: ['127.0.0.1:9'] };
const read = (given: object): ReturnType<typeof readSettings<PlaceSettings>> => {
  const folder = mkdtempSync(join(tmpdir(), 'opalstair-settings-'));
  try {
    const file = join(folder, 'settings.json');
    writeFileSync(file, JSON.stringify(given));
    return readSettings<PlaceSettings>(placeTable(7000), { help: false, version: false, settingsFile: file, flags: {} });
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

// Guards against a program that does not start where a template names a field that a platform does not give.
test('a setting that the file gives as null counts as not given', () => {
  assert.is(read({ ...PLACE, memoryMb: null })._unsafeUnwrap().memoryMb, read(PLACE)._unsafeUnwrap().memoryMb);
  assert.is(read({ ...PLACE, descriptors: null })._unsafeUnwrap().descriptors, read(PLACE)._unsafeUnwrap().descriptors);
  assert.match(read({ ...PLACE, zone: null })._unsafeUnwrapErr().describe(), /"zone" is required/);
  assert.match(read({ ...PLACE, memoryMb: 'much' })._unsafeUnwrapErr().describe(), /"memoryMb" must be a number/);
});

run();
