#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { UsageDefect, type Defect, LostDefect, UnreachableDefect } from '../process/defect.js';
import { RELEASE } from '../process/release.js';

const EXIT = { done: 0, turnedAway: 1, usage: 2, undecided: 3 } as const;
const HELP = `opalctl: the operators' calls of opalstair

usage: opalctl [--directory IP:PORT]... COMMAND

  manifest get                          read back the manifest in force
  manifest put FILE --base SERIAL       put a whole manifest in force on top of that serial
               [--change ID]            the same id again asks what became of an undecided change
               [--serial N]             the serial that it gets, above the one in force; the next one when not given
  manifest validate FILE                check a manifest and change nothing
  rollout begin SERVICE --to VERSION    move the service's requests to endpoints of that version, stage by stage;
               --within MS              taken back when it isn't complete by then, or as soon as the version proves bad
  fleet | endpoints | lists | roster | allowances | rollouts | members | schema
  roster replace ID --with ID           put an empty disk in the place of a lost one

  --directory IP:PORT   admin address of a directory; more than one are tried in turn
                        (default: OPALSTAIR_DIRECTORY, then 127.0.0.1:7181)
  --help, --version

exit codes: 0 done, 1 turned away, 2 wrong usage, 3 undecided
`;

interface Call {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body: unknown;
  readonly isChange: boolean;
}
interface Answer {
  readonly status: number;
  readonly text: string;
}

const readJson = (file: string): Result<unknown, UsageDefect> => {
  try {
    return ok(JSON.parse(readFileSync(file, 'utf8')) as unknown);
  } catch (error) {
    return err(new UsageDefect(`can't read ${file}`, error));
  }
};

const get = (path: string): Result<Call, UsageDefect> => ok({ method: 'GET', path, body: undefined, isChange: false });

/** The options that commands take, as they were given. */
interface Options {
  readonly base?: string | undefined;
  readonly change?: string | undefined;
  readonly serial?: string | undefined;
  readonly with?: string | undefined;
  readonly to?: string | undefined;
  readonly within?: string | undefined;
}

const rolloutCall = (service: string, { to, within }: Options): Result<Call, UsageDefect> => {
  if (to === undefined || within === undefined || !/^[1-9]\d*$/.test(within)) return err(new UsageDefect('rollout begin needs --to VERSION and --within MS, a whole number'));
  return ok({ method: 'POST', path: '/v1/rollouts', body: { service, target: to, durationMs: Number(within) }, isChange: true });
};

const callOf = (words: readonly string[], options: Options): Result<Call, UsageDefect> => {
  const { base, change, serial, with: replacement } = options;
  const [command, verb, operand, ...more] = words;
  if (more.length > 0) return err(new UsageDefect(`too many words after ${command}`));
  if (command === 'manifest' && verb === 'get' && operand === undefined) return get('/v1/manifest');
  if (command === 'manifest' && verb === 'validate' && operand !== undefined) return readJson(operand).map((body) => ({ method: 'POST', path: '/v1/manifest/validate', body, isChange: false }));
  if (command === 'manifest' && verb === 'put' && operand !== undefined) {
    if (base === undefined || !/^\d+$/.test(base)) return err(new UsageDefect('manifest put needs --base SERIAL, the serial that you read back'));
    if (serial !== undefined && !/^[1-9]\d*$/.test(serial)) return err(new UsageDefect('--serial must be a whole number above 0'));
    return readJson(operand).map((manifest) => ({ method: 'PUT', path: '/v1/manifest', body: { base: Number(base), manifest, ...(change === undefined ? {} : { change }), ...(serial === undefined ? {} : { serial: Number(serial) }) }, isChange: true }));
  }
  if (command === 'roster' && verb === 'replace' && operand !== undefined) {
    if (replacement === undefined) return err(new UsageDefect('roster replace needs --with ID'));
    return ok({ method: 'POST', path: '/v1/roster/replace', body: { lost: operand, replacement }, isChange: true });
  }
  if (command === 'rollout' && verb === 'begin' && operand !== undefined) return rolloutCall(operand, options);
  const views = ['fleet', 'endpoints', 'lists', 'roster', 'allowances', 'rollouts', 'members', 'schema'];
  if (command !== undefined && views.includes(command) && verb === undefined) return get(`/v1/${command}`);
  return err(new UsageDefect(command === undefined ? 'no command given' : `no such command: ${words.join(' ')}`));
};

const send = async (directory: string, call: Call): Promise<Result<Answer, Defect>> => {
  try {
    const answer = await request(`http://${directory}${call.path}`, {
      method: call.method, body: call.body === undefined ? null : JSON.stringify(call.body), headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
      headersTimeout: 20_000, bodyTimeout: 20_000,
    });
    return ok({ status: answer.statusCode, text: await answer.body.text() });
  } catch (error) {
    const code = (error as { readonly code?: string }).code ?? '';
    return err(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(code) ? new UnreachableDefect(directory, error) : new LostDefect(directory, error));
  }
};

const show = (answer: Answer, call: Call): number => {
  let body: Readonly<Record<string, unknown>> = {};
  try {
    body = JSON.parse(answer.text) as Readonly<Record<string, unknown>>;
  } catch {
    process.stderr.write(`opalctl: the answer is not JSON: ${answer.text.slice(0, 200)}\n`);
    return call.isChange ? EXIT.undecided : EXIT.turnedAway;
  }
  process.stdout.write(`${JSON.stringify(body, null, 2)}\n`);
  if (body['outcome'] === 'undecided') return EXIT.undecided;
  return answer.status < 300 && body['valid'] !== false ? EXIT.done : EXIT.turnedAway;
};

const main = async (): Promise<number> => {
  let parsed;
  try {
    parsed = parseArgs({
      args: process.argv.slice(2), allowPositionals: true, strict: true,
      options: { directory: { type: 'string', multiple: true }, base: { type: 'string' }, change: { type: 'string' }, serial: { type: 'string' }, with: { type: 'string' }, to: { type: 'string' }, within: { type: 'string' }, help: { type: 'boolean' }, version: { type: 'boolean' } },
    });
  } catch (error) {
    process.stderr.write(`opalctl: ${(error as Error).message}\n`);
    return EXIT.usage;
  }
  const { values, positionals } = parsed;
  if (values.help === true || values.version === true) {
    process.stdout.write(values.help === true ? HELP : `opalctl ${RELEASE}\n`);
    return EXIT.done;
  }
  const call = callOf(positionals, values);
  if (call.isErr()) {
    process.stderr.write(`opalctl: ${call.error.detail}${call.error.cause.mapOr('', (error) => ` (${error.message})`)}\n`);
    return EXIT.usage;
  }
  for (const directory of values.directory ?? [process.env['OPALSTAIR_DIRECTORY'] ?? '127.0.0.1:7181']) {
    const answer = await send(directory, call.value);
    if (answer.isOk()) return show(answer.value, call.value);
    process.stderr.write(`opalctl: ${answer.error.describe()}\n`);
    if (answer.error.kind === 'lost' && call.value.isChange) return EXIT.undecided;
  }
  return EXIT.turnedAway;
};

process.exitCode = await main();
