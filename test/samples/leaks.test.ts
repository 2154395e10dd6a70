import { suite } from '../harness.js';

const { test, after, restore, run } = suite('leaks');
let isWhole = true;

restore(() => {
  isWhole = true;
  return Promise.resolve();
});
after(() => Promise.reject(new Error('no cleaning up')));

test('a rejection that nobody awaits', async () => {
  isWhole = false;
  void Promise.reject(new Error('stray rejection'));
  await new Promise(() => undefined);
});

test('a rejection at the very end', () => {
  void Promise.reject(new Error('late rejection'));
});

test('an error thrown by a timer', async () => {
  await new Promise(() => { setTimeout(() => { throw new Error('stray error'); }, 1); });
});

test('one that is well finds all restored', () => {
  if (!isWhole) throw new Error('not restored');
});

run();
