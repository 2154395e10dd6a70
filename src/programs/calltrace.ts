#!/usr/bin/env node
import { parseArgs } from 'node:util';
import { request } from 'undici';
import { RELEASE } from '../process/release.js';

const EXIT = { done: 0, notKnown: 1, usage: 2 } as const;
const HELP = `calltrace: why an order went where it went

usage: calltrace [--switchboard IP:PORT] [--json] ORDER
       calltrace [--switchboard IP:PORT] [--json] --method METHOD --path PATH [--order-host HOST]

The first form tells of an order that was carried, by the id that its answer bore (opalstair-order); any switchboard
may be asked. The second tells where an order would go from that switchboard now; nothing is sent.

  --switchboard IP:PORT   admin address of a switchboard (default 127.0.0.1:7081)
  --json                  the record itself
  --help, --version

exit codes: 0 told, 1 not known (the reason is said), 2 wrong usage
`;

interface Row {
  readonly id: string;
  readonly node: string;
  readonly zone: string;
}
interface PickView {
  readonly chosen: { readonly row: Row; readonly isTrial: boolean } | null;
  readonly passedOver: readonly { readonly row: Row; readonly why: string }[];
}
interface TraceView {
  readonly order: string;
  readonly at: string;
  readonly method: string;
  readonly url: string;
  readonly serial: number;
  readonly binding: string | null;
  readonly service: string | null;
  readonly picks: readonly PickView[];
  readonly rounds: readonly { readonly row: Row; readonly outcome: string; readonly detail: string; readonly mayHaveRun: boolean }[];
  readonly ending: string;
  readonly tookMs: number;
}
interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const call = async (method: 'GET' | 'POST', url: string, body?: object): Promise<Answer | null> => {
  try {
    const answer = await request(url, { method, body: body === undefined ? null : JSON.stringify(body), headers: body === undefined ? {} : { 'content-type': 'application/json' } });
    return { status: answer.statusCode, body: (await answer.body.json()) as unknown };
  } catch {
    return null;
  }
};

const place = (row: Row): string => `${row.id} at ${row.node} (${row.zone})`;

const asText = (trace: TraceView): string => {
  const lines = [
    `${trace.order}  ${trace.method} ${trace.url}`,
    `manifest serial ${trace.serial}: ${trace.binding === null ? 'no binding takes it' : `binding ${trace.binding}, service ${trace.service}`}`,
    ...trace.picks.flatMap((pick, index) => [
      `round ${index + 1}: ${pick.chosen === null ? 'no endpoint was left' : `picked ${place(pick.chosen.row)}${pick.chosen.isTrial ? ', as the trial of a masked one' : ''}`}`,
      ...pick.passedOver.map(({ row, why }) => `    passed over ${place(row)}: ${why}`),
      ...trace.rounds.slice(index, index + 1).map((attempt) => `    ${attempt.outcome}${attempt.detail === '' ? '' : `: ${attempt.detail}`}${attempt.mayHaveRun ? '' : ' (did not run)'}`),
    ]),
    `ending: ${trace.ending} after ${Math.round(trace.tookMs)} ms`,
  ];
  return `${lines.join('\n')}\n`;
};

const fail = (line: string, code: number): number => {
  process.stderr.write(`calltrace: ${line}\n`);
  return code;
};

const show = (answer: Answer | null, where: string, json: boolean): number => {
  if (answer === null) return fail(`${where} does not answer`, EXIT.notKnown);
  if (answer.status !== 200) return fail((answer.body as { readonly detail?: string }).detail ?? `answered ${answer.status}`, EXIT.notKnown);
  process.stdout.write(json ? `${JSON.stringify(answer.body, null, 2)}\n` : asText(answer.body as TraceView));
  return EXIT.done;
};

/** The switchboard that carried an order: its id begins with that process's boot. */
const carrierOf = async (switchboard: string, order: string): Promise<string | null> => {
  const answer = await call('GET', `http://${switchboard}/v1/members`);
  const members = (answer?.body as { readonly members?: readonly { readonly boot: string; readonly admin: string }[] } | undefined)?.members ?? [];
  return members.find((member) => order.startsWith(`${member.boot}-`))?.admin ?? null;
};

const main = async (): Promise<number> => {
  let parsed;
  try {
    parsed = parseArgs({
      args: process.argv.slice(2), allowPositionals: true, strict: true, options: {
        switchboard: { type: 'string', default: '127.0.0.1:7081' }, json: { type: 'boolean', default: false }, method: { type: 'string' }, path: { type: 'string' }, 'order-host': { type: 'string', default: '' }, help: { type: 'boolean' }, version: { type: 'boolean' },
      },
    });
  } catch (error) {
    return fail((error as Error).message, EXIT.usage);
  }
  const { values, positionals } = parsed;
  if (values.help === true || values.version === true) {
    process.stdout.write(values.help === true ? HELP : `calltrace ${RELEASE}\n`);
    return EXIT.done;
  }
  const [order, ...more] = positionals;
  if (values.path !== undefined || values.method !== undefined) {
    if (order !== undefined || values.path === undefined || values.method === undefined) return fail('give an order id, or --method and --path', EXIT.usage);
    return show(await call('POST', `http://${values.switchboard}/v1/explain`, { method: values.method, url: values.path, host: values['order-host'] }), values.switchboard, values.json);
  }
  if (order === undefined || more.length > 0) return fail('give one order id, or --method and --path', EXIT.usage);
  if (!/^[A-Za-z0-9_-]{12}-\d+$/.test(order)) return fail(`${order} is not an order id`, EXIT.usage);
  if ((await call('GET', `http://${values.switchboard}/ready`)) === null) return fail(`${values.switchboard} does not answer`, EXIT.notKnown);
  const carrier = await carrierOf(values.switchboard, order);
  if (carrier === null) return fail('unknown: no switchboard that is here has carried this order; the one that did was stopped or replaced', EXIT.notKnown);
  return show(await call('GET', `http://${carrier}/v1/traces/${order}`), carrier, values.json);
};

process.exitCode = await main();
