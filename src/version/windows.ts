import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import ICAL from 'ical.js';
import { err, ok, type Result } from 'neverthrow';
import { Defect } from '../process/defect.js';
import type { EndpointRow } from './snapshots.js';

/** A calendar that can't be used; the former windows stay in force. */
export class BadCalendar extends Defect {
  readonly kind = 'bad-calendar';
}

export type WindowScope = 'zone' | 'machine' | 'endpoint';

/** One maintenance window: what rests, and when. */
interface Window {
  readonly scope: WindowScope;
  readonly name: string;
  readonly event: ICAL.Event;
  readonly title: string;
}

const LONGEST_LOOK = 100_000;
const SUMMARY = /^(zone|machine|endpoint)\s+([A-Za-z0-9._-]{1,64})$/;

const windowOf = (component: ICAL.Component, file: string): Result<Window, BadCalendar> => {
  const event = new ICAL.Event(component);
  const title = event.summary ?? '';
  const match = SUMMARY.exec(title.trim());
  const [, scope, name] = match ?? [];
  if (scope === undefined || name === undefined) return err(new BadCalendar(`${file}: the summary "${title}" must be "zone NAME", "machine NAME" or "endpoint ID"`));
  if (event.startDate === null || event.endDate === null) return err(new BadCalendar(`${file}: "${title}" lacks its start or end`));
  if (event.endDate.compare(event.startDate) <= 0) return err(new BadCalendar(`${file}: "${title}" ends before it starts`));
  return ok({ scope: scope as WindowScope, name, event, title });
};

const readCalendar = (file: string): Result<readonly Window[], BadCalendar> => {
  try {
    const calendar = new ICAL.Component(ICAL.parse(readFileSync(file, 'utf8')) as ConstructorParameters<typeof ICAL.Component>[0]);
    if (calendar.name !== 'vcalendar') return err(new BadCalendar(`${file}: not one VCALENDAR`));
    for (const zone of calendar.getAllSubcomponents('vtimezone')) ICAL.TimezoneService.register(zone);
    return calendar.getAllSubcomponents('vevent').reduce<Result<readonly Window[], BadCalendar>>(
      (windows, component) => windows.andThen((known) => windowOf(component, file).map((window) => [...known, window])), ok([]));
  } catch (error) {
    return err(new BadCalendar(file, error));
  }
};

const isOpen = ({ event }: Window, at: Date): boolean => {
  const covers = (start: ICAL.Time, end: ICAL.Time): boolean => start.toJSDate() <= at && at < end.toJSDate();
  if (!event.isRecurring()) return covers(event.startDate, event.endDate);
  const occurrences = event.iterator();
  for (let count = 0; count < LONGEST_LOOK; count += 1) {
    const start = occurrences.next() as ICAL.Time | null;
    if (start === null || start.toJSDate() > at) return false;
    const { startDate, endDate } = event.getOccurrenceDetails(start);
    if (covers(startDate, endDate)) return true;
  }
  return false;
};

const names = (window: Window, row: EndpointRow): boolean =>
  (window.scope === 'zone' ? row.zone : window.scope === 'machine' ? row.node : row.id) === window.name;

const fingerprintOf = (files: readonly string[]): string => (files.length === 0 ? ''
  : createHash('sha256').update(files.map((file) => readFileSync(file, 'utf8')).sort().join()).digest('hex').slice(0, 16));

/** The maintenance windows of one or more iCalendar files (RFC 5545), with recurrence and time zones. */
export class Windows {
  private looked: { readonly second: number; readonly open: readonly Window[] } = { second: -1, open: [] };

  /** `fingerprint` is the same at every directory that reads the same calendars. */
  private constructor(private readonly windows: readonly Window[], readonly fingerprint: string) {}

  static readonly none = new Windows([], '');

  static read(files: readonly string[]): Result<Windows, BadCalendar> {
    return files.reduce<Result<readonly Window[], BadCalendar>>((all, file) => all.andThen((known) => readCalendar(file).map((more) => [...known, ...more])), ok([]))
      .map((windows) => new Windows(windows, fingerprintOf(files)));
  }

  /** The windows that are open at a time, by title. */
  openAt(at: Date): readonly string[] {
    return this.open(at).map((window) => window.title);
  }

  /** Recurrences are walked once a second at most. */
  private open(at: Date): readonly Window[] {
    const second = Math.floor(at.getTime() / 1000);
    if (second !== this.looked.second) this.looked = { second, open: this.windows.filter((window) => isOpen(window, at)) };
    return this.looked.open;
  }

  /** Marks the rows that rest at a time; a service whose every endpoint would rest keeps them all. */
  mark(rows: readonly EndpointRow[], at: Date): readonly EndpointRow[] {
    const open = this.open(at);
    if (open.length === 0) return rows;
    const rests = (row: EndpointRow): boolean => open.some((window) => names(window, row));
    const serving = new Set(rows.filter((row) => !row.leaving && !rests(row)).map((row) => row.service));
    return rows.map((row) => (rests(row) && serving.has(row.service) ? { ...row, resting: true } : row));
  }
}
