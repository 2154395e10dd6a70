import * as assert from 'uvu/assert';
import { callJson, Fleet, until, type JsonAnswer } from '../src/fleet/fleet.js';
import { suite } from './harness.js';

const { test, run } = suite('zones');

test('orders stay in their zone while it has room, spill to others when it is full or empty, and come back', async () => {
  const fleet = await Fleet.start({ switchboards: 2, zones: 2 });
  const order = (key: string): Promise<JsonAnswer<{ readonly endpoint?: string }>> => callJson('POST', fleet.orderUrl('app1', '/line/1'), {}, { 'x-order-key': key });
  try {
    await fleet.inForce(await fleet.push({ services: [{ name: 'line' }], bindings: [{ id: 'lines', service: 'line', prefix: '/line', cutoffMs: 30_000 }] }));
    const [near, far] = [await fleet.endpoint('app1', 'line', 'near', { slots: 2 }), await fleet.endpoint('app2', 'line', 'far', { slots: 2 })];
    await fleet.listed('line', ['near', 'far']);
    for (let count = 0; count < 20; count += 1) assert.is((await order('calm')).body.endpoint, 'near');
    let open: () => void = () => undefined;
    const gate = new Promise<void>((settle) => { open = settle; });
    near.onRun = (record) => (record.key === 'long' ? gate : undefined);
    const long = [order('long'), order('long')];
    await until('the own zone is full', () => near.running === 2);
    for (let count = 0; count < 10; count += 1) assert.is((await order('busy')).body.endpoint, 'far');
    open();
    assert.equal((await Promise.all(long)).map((answer) => answer.body.endpoint), ['near', 'near']);
    await until('the own zone is gone back to', async () => (await order('calm again')).body.endpoint === 'near');
    await near.signOff();
    for (let count = 0; count < 10; count += 1) {
      const answer = await order('alone');
      assert.ok(answer.body.endpoint === 'far' || answer.headers['opalstair-outcome'] === 'not-run');
    }
    assert.ok(far.runs.some((record) => record.key === 'alone'));
  } finally {
    await fleet.end();
  }
});

run();
