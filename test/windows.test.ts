import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import * as assert from 'uvu/assert';
import { callJson, Fleet, until } from '../src/fleet/fleet.js';
import type { EndpointRow } from '../src/version/snapshots.js';
import { Windows } from '../src/version/windows.js';
import { suite } from './harness.js';

const { test, run } = suite('maintenance windows');

const folder = mkdtempSync(join(tmpdir(), 'opalstair-windows-'));
const calendar = (name: string, ...events: readonly string[]): string => {
  const file = join(folder, name);
  const zone = ['BEGIN:VTIMEZONE', 'TZID:Home', 'BEGIN:STANDARD', 'DTSTART:19701025T030000', 'RRULE:FREQ=YEARLY;BYMONTH=10;BYDAY=-1SU', 'TZOFFSETFROM:+0200', 'TZOFFSETTO:+0100', 'END:STANDARD', 'BEGIN:DAYLIGHT', 'DTSTART:19700329T020000', 'RRULE:FREQ=YEARLY;BYMONTH=3;BYDAY=-1SU', 'TZOFFSETFROM:+0100', 'TZOFFSETTO:+0200', 'END:DAYLIGHT', 'END:VTIMEZONE'];
  writeFileSync(file, ['BEGIN:VCALENDAR', 'VERSION:2.0', 'PRODID:-//opalstair//test//EN', ...zone, ...events.flatMap((event, index) => ['BEGIN:VEVENT', `UID:e${index}`, 'DTSTAMP:20260101T000000Z', ...event.split('|'), 'END:VEVENT']), 'END:VCALENDAR', ''].join('\r\n'));
  return file;
};
const stamp = (date: Date): string => date.toISOString().replace(/[-:]|\.\d+/g, '');
const row = (id: string, zone: string, node: string, service = 'line'): EndpointRow => ({ id, service, zone, node, instance: 'i', address: 'a', slots: 1, leaving: false, nodeBoot: 'b', hop: 'h' }) as unknown as EndpointRow;
const restingAt = (windows: Windows, rows: readonly EndpointRow[], at: string): readonly string[] => windows.mark(rows, new Date(at)).filter((one) => one.resting === true).map((one) => one.id);

test('recurrence, exceptions and time zones are kept, summer time too', () => {
  const weekly = Windows.read([calendar('weekly.ics', 'SUMMARY:zone north|DTSTART;TZID=Home:20260601T020000|DTEND;TZID=Home:20260601T040000|RRULE:FREQ=WEEKLY;BYDAY=MO|EXDATE;TZID=Home:20260615T020000')])._unsafeUnwrap();
  const rows = [row('a', 'north', 'app1'), row('b', 'south', 'app2')];
  for (const [at, resting] of [['2026-06-08T00:30:00Z', ['a']], ['2026-06-08T02:30:00Z', []], ['2026-06-15T00:30:00Z', []], ['2026-11-30T00:30:00Z', []], ['2026-11-30T01:30:00Z', ['a']], ['2026-06-09T00:30:00Z', []]] as const) {
    assert.equal(restingAt(weekly, rows, at), resting, at);
  }
});

test('a machine and an endpoint may be named; the last endpoints of a service never rest', () => {
  const windows = Windows.read([calendar('named.ics', 'SUMMARY:machine app1|DTSTART:20260601T000000Z|DTEND:20260601T010000Z', 'SUMMARY:endpoint c|DTSTART:20260601T000000Z|DTEND:20260601T010000Z')])._unsafeUnwrap();
  const at = '2026-06-01T00:30:00Z';
  assert.equal(restingAt(windows, [row('a', 'z', 'app1'), row('b', 'z', 'app2'), row('c', 'z', 'app3')], at), ['a', 'c']);
  assert.equal(restingAt(windows, [row('a', 'z', 'app1'), row('c', 'z', 'app3'), row('d', 'z', 'app1', 'port'), row('e', 'z', 'app2', 'port')], at), ['d']);
});

test('a calendar that can not be used says why', () => {
  const cases: readonly (readonly [string, RegExp])[] = [
    [calendar('odd.ics', 'SUMMARY:clean the windows|DTSTART:20260601T000000Z|DTEND:20260601T010000Z'), /must be "zone NAME"/],
    [calendar('back.ics', 'SUMMARY:zone z|DTSTART:20260601T010000Z|DTEND:20260601T000000Z'), /ends before/],
    [join(folder, 'missing.ics'), /ENOENT/],
  ];
  writeFileSync(join(folder, 'junk.ics'), 'no calendar');
  for (const [file, reason] of [...cases, [join(folder, 'junk.ics'), /bad-calendar/] as const]) assert.match(Windows.read([file])._unsafeUnwrapErr().describe(), reason);
});

test('an open window keeps new orders away, SIGHUP takes a new file, a broken one changes nothing', async () => {
  const file = calendar('live.ics');
  const fleet = await Fleet.start({ switchboards: 2, zones: 1, flags: { directory: ['--windows', file] } });
  try {
    await fleet.inForce(await fleet.push({ services: [{ name: 'line' }], bindings: [{ id: 'lines', service: 'line', prefix: '/line' }] }));
    const [first, second] = await Promise.all(['app1', 'app2'].map((machine, index) => fleet.endpoint(machine, 'line', `line-${index + 1}`)));
    await fleet.listed('line', ['line-1', 'line-2']);
    const reload = (event: string): Promise<unknown> => Promise.all([...fleet.directories.values()].map((daemon) => {
      const heard = daemon.next(event);
      daemon.signal('SIGHUP');
      return heard;
    }));
    const restingSeen = (count: number): Promise<unknown> => Promise.all([...fleet.switchboards.values()].map((daemon) => until(`${count} resting`, async () => {
      const answer = await callJson<{ readonly rows: readonly { readonly resting?: boolean }[] }>('GET', `http://${daemon.adminAddress}/v1/services/line`);
      return answer.body.rows.filter((one) => one.resting === true).length === count;
    })));
    const now = Date.now();
    calendar('live.ics', `SUMMARY:machine app1|DTSTART:${stamp(new Date(now - 3_600_000))}|DTEND:${stamp(new Date(now + 3_600_000))}`);
    await reload('reloaded');
    await restingSeen(1);
    await until('this directory shows the window and what rests', async () => {
      const views = await callJson<{ readonly endpoints: readonly { readonly state: string }[]; readonly windows: readonly string[] }>('GET', `${fleet.operator()}/v1/endpoints`);
      return views.body.windows.join() === 'machine app1' && views.body.endpoints.map((view) => view.state).join() === 'resting,serving';
    });
    const marks = async (): Promise<number> => {
      const { body } = await callJson<{ readonly calendars: readonly { readonly fingerprint: string }[] }>('GET', `${fleet.operator()}/v1/endpoints`);
      return body.calendars.length === 3 ? new Set(body.calendars.map((view) => view.fingerprint)).size : 0;
    };
    await until('all directories show the same calendars', async () => (await marks()) === 1);
    for (let count = 0; count < 20; count += 1) assert.is((await callJson('POST', fleet.orderUrl('app1', '/line/1'), {})).status, 200);
    assert.equal([first?.runs.length, second?.runs.length], [0, 20]);
    writeFileSync(file, 'no calendar any more');
    await reload('calendar-turned-away');
    await restingSeen(1);
    calendar('live.ics');
    const [forerunner] = [...fleet.directories.values()];
    const heard = forerunner?.next('reloaded');
    forerunner?.signal('SIGHUP');
    await heard;
    await until('unlike calendars are shown', async () => (await marks()) === 2);
    await reload('reloaded');
    await restingSeen(0);
    await until('they are alike again', async () => (await marks()) === 1);
  } finally {
    await fleet.end();
  }
});

run();
