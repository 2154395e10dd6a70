import * as assert from 'uvu/assert';
import { Fleet } from '../src/fleet/fleet.js';
import { suite } from './harness.js';

const { test, run } = suite('whole fleet');

const NODES = 20;
const CHANGES = 4;
/** What operators ask: a change is in force everywhere within 5 s of its acknowledgement. */
const FORCE_MS = 5000;

test(`every change comes into force at each of ${NODES} nodes within ${FORCE_MS} ms of its acknowledgement`, async () => {
  const fleet = await Fleet.start({ switchboards: NODES, zones: 4 });
  try {
    for (let change = 1; change <= CHANGES; change += 1) {
      const serial = await fleet.push({ services: [{ name: 'line' }], bindings: [{ id: `lines-${change}`, service: 'line', prefix: '/line' }] });
      const acknowledgedAt = performance.now();
      await fleet.inForce(serial);
      assert.ok(performance.now() - acknowledgedAt < FORCE_MS, `change ${change}: ${Math.round(performance.now() - acknowledgedAt)} ms`);
    }
    const states = await Promise.all([...fleet.switchboards.keys()].map((node) => fleet.state(node)));
    assert.is(new Set(states.map((state) => `${state?.manifest}/${state?.fingerprint}`)).size, 1);
  } finally {
    await fleet.end();
  }
});

run();
