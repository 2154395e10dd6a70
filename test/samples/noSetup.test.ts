import { suite } from '../harness.js';

const { test, before, after, run } = suite('no set-up');
let parts: readonly string[] | undefined;

before(() => Promise.reject(new Error('no parts')));
after(async () => { await Promise.resolve((parts as readonly string[]).length); });

test('never runs', () => undefined);

run();
