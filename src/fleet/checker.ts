/** One answer as a stand-in caller logged it; times are milliseconds of one clock for all logs. */
export interface AnswerLog {
  readonly key: string;
  readonly method: string;
  readonly url: string;
  readonly machine: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** `lost`: the connection went after the order was sent; `unsent`: there was none. */
  readonly ending: 'answered' | 'not-run' | 'unknown' | 'lost' | 'unsent';
  readonly status: number;
  /** Whether the body was whole and spoke of this order. */
  readonly isOwn: boolean;
  readonly reason: string;
}
export interface RunLog {
  readonly key: string;
  readonly method: string;
  readonly url: string;
  readonly service: string;
  readonly instance: string;
  readonly machine: string;
  readonly at: number;
}
export interface DepartureLog {
  readonly instance: string;
  readonly acknowledgedAt: number;
}
/** A push: what it would bind, and what its author was told at `at`. */
export interface ChangeLog {
  readonly base: number;
  readonly outcome: 'acknowledged' | 'turned away' | 'undecided';
  readonly serial: number;
  readonly content: string;
  readonly sentAt: number;
  readonly at: number;
  readonly routes: readonly { readonly prefix: string; readonly service: string }[];
}
/** What a switchboard had in force at a time. */
export interface ForceLog {
  readonly node: string;
  readonly serial: number;
  readonly content: string;
  readonly at: number;
}
export interface OutageLog {
  readonly backAt: number;
  readonly servedAt: number | null;
}
/**
 * Something that was harmed for a time, unplanned: a machine whose switchboard was killed, frozen or cut off from
 * all, or, without a machine, anything else.
 */
export interface HarmLog {
  readonly machine: string | null;
  readonly from: number;
  readonly until: number;
}

export interface Logs {
  /** How many orders the callers sent. */
  readonly sent: number;
  readonly answers: readonly AnswerLog[];
  /** Answers to orders that only test which version is in force. */
  readonly probes?: readonly AnswerLog[];
  readonly runs: readonly RunLog[];
  /** All that reached an endpoint, whether it ran or not. */
  readonly arrivals: readonly RunLog[];
  readonly departures: readonly DepartureLog[];
  readonly changes: readonly ChangeLog[];
  readonly forces: readonly ForceLog[];
  readonly outages: readonly OutageLog[];
  readonly harms: readonly HarmLog[];
  readonly readBack: { readonly serial: number; readonly content: string } | null;
}

/** One line of the brief's list: what broke it, if anything did. */
export interface Verdict {
  readonly line: string;
  readonly faults: readonly string[];
}

const SAFE = ['GET', 'HEAD', 'OPTIONS'];
const FORCE_MS = 2000;
const LEAVE_MS = 2000;
const WINDOW_MS = 10_000;
const RETURN_MS = 15_000;
const UNDONE_MS = 250;
/** Of all orders, while something is harmed; without any harm none may be turned away. */
const TURNED_AWAY_SHARE = 0.003;
/** A harm is felt for a while after its end: lists, beats and masks have to come back. */
const AFTERMATH_MS = 4000;

const countBy = <T>(items: readonly T[], keyOf: (item: T) => string): ReadonlyMap<string, number> =>
  items.reduce((counts, item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1), new Map<string, number>());
/** Whether the caller's own switchboard was harmed while the order was under way. */
const isHarmed = (logs: Logs, answer: AnswerLog): boolean =>
  logs.harms.some((harm) => harm.machine === answer.machine && answer.endedAt >= harm.from && answer.sentAt <= harm.until);
/** Whether anything at all was harmed, or had just been, while the order was under way. */
const isTroubled = (logs: Logs, answer: AnswerLog): boolean =>
  logs.harms.some((harm) => answer.endedAt >= harm.from && answer.sentAt <= harm.until + AFTERMATH_MS);
const isWithin = (url: string, prefix: string): boolean => url === prefix || url.startsWith(`${prefix}/`);

const doubled = (logs: Logs): readonly string[] =>
  [...countBy(logs.runs.filter((run) => !SAFE.includes(run.method)), (run) => run.key)].filter(([, count]) => count > 1).map(([key, count]) => `${key} ran ${count} times`);

const falseNotRun = (logs: Logs): readonly string[] => {
  const ran = new Set(logs.runs.map((run) => run.key));
  return logs.answers.filter((answer) => (answer.ending === 'not-run' || answer.ending === 'unsent') && ran.has(answer.key)).map((answer) => `${answer.key} was called ${answer.ending} and ran`);
};

const foreignAnswers = (logs: Logs): readonly string[] => {
  const ran = new Set(logs.runs.map((run) => run.key));
  return logs.answers.filter((answer) => answer.ending === 'answered' && (!answer.isOwn || !ran.has(answer.key))).map((answer) => `${answer.key} got an answer that is not its own`);
};

/** When a change was surely over: what was acknowledged after it had the time to be in force everywhere. */
const endOf = (logs: Logs, change: ChangeLog): number =>
  Math.min(Infinity, ...logs.changes.filter((later) => later.outcome === 'acknowledged' && (change.outcome === 'acknowledged' ? later.serial > change.serial : later.at > change.at)).map((later) => later.at + FORCE_MS));

/** Each change that was or may have been in force, and until when. */
const standingChanges = (logs: Logs): readonly (ChangeLog & { readonly until: number })[] =>
  logs.changes.filter((change) => change.outcome !== 'turned away').map((change) => ({ ...change, until: endOf(logs, change) }));

const serviceOf = (change: ChangeLog, url: string): string | undefined =>
  [...change.routes].filter(({ prefix }) => isWithin(url, prefix)).sort((one, other) => other.prefix.length - one.prefix.length)[0]?.service;

/** No harm excuses a denial: a switchboard that can't be sure of having the newest version has another answer to give. */
const deniedInForce = (logs: Logs): readonly string[] => {
  if (logs.changes.length === 0) return [];
  const standing = standingChanges(logs);
  const denials = [...logs.answers, ...(logs.probes ?? [])].filter(({ ending, status }) => ending === 'not-run' && status === 404);
  return denials.filter(({ url, sentAt, endedAt }) => !standing.some((change) => change.sentAt <= endedAt && change.until >= sentAt && serviceOf(change, url) === undefined))
    .map(({ url, machine, sentAt }) => `${url} was denied at ${machine} at ${Math.round(sentAt)}`);
};

const wrongService = (logs: Logs): readonly string[] => {
  const standing = standingChanges(logs);
  return logs.arrivals.filter((run) => {
    const harm = logs.harms.filter((one) => one.machine === run.machine && run.at >= one.from && run.at <= one.until + FORCE_MS).reduce((since, one) => Math.min(since, one.from), run.at);
    return !standing.some((change) => change.sentAt <= run.at && change.until >= harm && serviceOf(change, run.url) === run.service);
  }).map((run) => `${run.url} reached ${run.service} at ${Math.round(run.at)}`);
};

const afterLeaving = (logs: Logs): readonly string[] => {
  const leftAt = new Map(logs.departures.map((departure) => [departure.instance, departure.acknowledgedAt]));
  return logs.arrivals.filter((run) => run.at > (leftAt.get(run.instance) ?? Infinity) + LEAVE_MS).map((run) => `${run.key} reached ${run.instance} after its leaving`);
};

const lateForce = (logs: Logs): readonly string[] => {
  const acknowledged = logs.changes.filter((change) => change.outcome === 'acknowledged');
  const isExcused = (force: ForceLog): boolean => logs.harms.some((harm) => harm.machine === force.node && force.at >= harm.from && force.at <= harm.until + FORCE_MS);
  const shown = logs.forces.filter((force) => force.serial > 0);
  const late = shown.filter((force) => !isExcused(force) && acknowledged.some((change) => change.at + FORCE_MS < force.at && change.serial > force.serial))
    .map((force) => `${force.node} still had serial ${force.serial} at ${Math.round(force.at)}`);
  const highest = new Map<string, ForceLog>();
  const fallen = [...shown].sort((one, other) => one.at - other.at).flatMap((force) => {
    const former = highest.get(force.node);
    if (former === undefined || force.serial > former.serial) highest.set(force.node, force);
    const isUndone = former !== undefined && force.serial < former.serial && force.at > former.at + UNDONE_MS;
    return isUndone ? [`${force.node} fell from serial ${former.serial} to ${force.serial}`] : [];
  });
  return [...late, ...fallen];
};

const refusedInForce = (logs: Logs): readonly string[] => {
  const mayStand = new Set(logs.changes.filter((change) => change.outcome !== 'turned away').map((change) => change.content));
  const alien = logs.forces.filter((force) => force.serial > 0 && !mayStand.has(force.content)).map((force) => `${force.node} had ${force.content} in force, which was never acknowledged`);
  const acknowledged = logs.changes.filter((change) => change.outcome === 'acknowledged');
  const rivals = [...countBy(acknowledged, (change) => `base ${change.base}`), ...countBy(acknowledged, (change) => `serial ${change.serial}`)]
    .filter(([, count]) => count > 1).map(([what, count]) => `${count} changes were acknowledged on ${what}`);
  return [...alien, ...rivals];
};

const oldReadBack = (logs: Logs): readonly string[] => {
  const last = logs.changes.filter((change) => change.outcome === 'acknowledged').reduce<ChangeLog | null>((latest, change) => (latest === null || change.serial > latest.serial ? change : latest), null);
  if (last === null) return [];
  if (logs.readBack === null) return ['nothing could be read back'];
  const isOlder = logs.readBack.serial < last.serial || (logs.readBack.serial === last.serial && logs.readBack.content !== last.content);
  return isOlder ? [`read back serial ${logs.readBack.serial}, acknowledged was ${last.serial}`] : [];
};

/** Counted where it hurts, at the endpoints: each further arrival of a key is a repeat. */
const tooManyRepeats = (logs: Logs): readonly string[] =>
  [...new Set(logs.arrivals.map((run) => run.service))].flatMap((service) => {
    const seen = new Set<string>();
    const events = logs.arrivals.filter((run) => run.service === service).sort((one, other) => one.at - other.at).map(({ key, at }) => {
      const isRepeat = seen.has(key);
      seen.add(key);
      return { at, isRepeat };
    });
    let [start, firsts, repeats] = [0, 0, 0];
    return events.flatMap(({ at, isRepeat }) => {
      if (isRepeat) repeats += 1;
      else firsts += 1;
      for (let eldest = events[start]; eldest !== undefined && eldest.at < at - WINDOW_MS; eldest = events[start]) {
        if (eldest.isRepeat) repeats -= 1;
        else firsts -= 1;
        start += 1;
      }
      return repeats > firsts / 5 + 60 ? [`${service}: ${repeats} repeats on ${firsts} orders until ${Math.round(at)}`] : [];
    });
  });

const dropped = (logs: Logs): readonly string[] => [
  ...logs.answers.filter((answer) => answer.ending === 'lost' && !isHarmed(logs, answer)).map((answer) => `${answer.key} was dropped at ${answer.machine}`),
  ...logs.answers.filter((answer) => answer.ending === 'unknown' && !isTroubled(logs, answer)).map((answer) => `${answer.key} ended unknown (${answer.reason}) at ${answer.machine} while nothing was harmed`),
  ...(logs.answers.length < logs.sent ? [`${logs.sent - logs.answers.length} orders never ended`] : []),
];

const turnedAway = (logs: Logs): readonly string[] => {
  const proper = logs.answers.filter((answer) => answer.ending !== 'unsent' && answer.ending !== 'lost');
  const refused = proper.filter((answer) => answer.ending === 'not-run' && answer.status !== 404);
  const reasons = [...countBy(refused, (answer) => answer.reason)].map(([reason, count]) => `${reason} ${count}`).join(', ');
  return [
    ...refused.filter((answer) => !isTroubled(logs, answer)).map((answer) => `${answer.key} was turned away (${answer.reason}) while nothing was harmed`),
    ...(refused.length > proper.length * TURNED_AWAY_SHARE ? [`${refused.length} of ${proper.length} orders were turned away: ${reasons}`] : []),
  ];
};

const slowReturn = (logs: Logs): readonly string[] =>
  logs.outages.filter((outage) => outage.servedAt === null || outage.servedAt - outage.backAt > RETURN_MS)
    .map((outage) => (outage.servedAt === null ? 'service did not come back' : `service came back after ${Math.round(outage.servedAt - outage.backAt)} ms`));

const LINES: readonly (readonly [string, (logs: Logs) => readonly string[]])[] = [
  ['a write that is not repeatable runs twice', doubled],
  ['a write is called not run and has run', falseNotRun],
  ['an answer that is not the endpoint\'s own whole one', foreignAnswers],
  ['an order reaches a service that no manifest allowed', wrongService],
  ['a route that is in force is denied', deniedInForce],
  ['traffic after 2 s from an acknowledged leaving', afterLeaving],
  ['an acknowledged manifest is late or undone', lateForce],
  ['a refused manifest takes effect, or two rivals win', refusedInForce],
  ['the manifest read back is older than acknowledged', oldReadBack],
  ['repeats beyond a fifth of the orders plus 60 in 10 s', tooManyRepeats],
  ['an order is dropped that was read', dropped],
  ['proper orders turned away more than very rarely', turnedAway],
  ['no service within 15 s of the machines\' return', slowReturn],
];

/** Joins the logs into one verdict for each line of what must never happen. */
export const check = (logs: Logs): readonly Verdict[] => LINES.map(([line, find]) => ({ line, faults: find(logs) }));
