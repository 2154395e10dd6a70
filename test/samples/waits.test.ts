import { suite } from '../harness.js';

const { test, run } = suite('waits');

test('for what never comes', () => new Promise(() => undefined));

run();
