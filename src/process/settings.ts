import { readFileSync } from 'node:fs';
import { parseArgs, type ParseArgsConfig } from 'node:util';
import Joi from 'joi';
import { addressShape } from './addressShape.js';
import { err, ok, type Result } from 'neverthrow';
import { Address, type Millis, type NodeName, type ZoneName } from './brands.js';
import { SettingsDefect, UsageDefect } from './defect.js';

/** What every program must know of its place. */
export interface PlaceSettings {
  readonly node: NodeName;
  readonly zone: ZoneName;
  readonly cluster: string;
  readonly host: string;
  readonly listenHost: string;
  readonly seeds: readonly Address[];
  readonly wirePort: number;
  readonly adminPort: number;
  readonly memberPort: number;
  readonly logLevel: string;
  /** What the process may use, in MB. */
  readonly memoryMb: number;
  /** How many descriptors it may have open. */
  readonly descriptors: number;
  readonly probeMs: Millis;
  readonly suspectMs: Millis;
}

/** One setting: its check, and what its flag says in `--help`. */
export interface SettingRow {
  readonly check: Joi.Schema;
  readonly help: string;
  readonly many?: boolean;
}
export type SettingTable = Readonly<Record<string, SettingRow>>;

/** A listening port; others must know it, so the system does not choose it. */
export const portSetting = (fallback: number): Joi.Schema => Joi.number().integer().min(1).max(65535).default(fallback);
/** A port that is a fixed step above `portBase` where that is given. */
const steppedPort = (fallback: number, step: number): Joi.Schema =>
  Joi.number().integer().min(1).max(65535).default((settings: { readonly portBase?: number }) => (settings.portBase === undefined ? fallback : Number(settings.portBase) + step));
/** Where the ratebooks' ports begin above `portBase`; switchboards and directories begin at it. */
export const RATEBOOK_STEP = 2;
/** A setting in whole milliseconds. */
export const millisSetting = (fallback: number, least = 1): Joi.Schema => Joi.number().integer().min(least).max(86_400_000).default(fallback);
/** A list of `ip:port` addresses. */
export const addressList = Joi.array().items(addressShape);

/** The settings of every program, with the ports that the program starts from. */
export const placeTable = (firstPort: number, step = 0): SettingTable => ({
  node: { check: Joi.string().pattern(/^[A-Za-z0-9._-]{1,64}$/, 'node name').required(), help: 'name of this process in the mesh, one of its kind' },
  zone: { check: Joi.string().pattern(/^[A-Za-z0-9._-]{1,64}$/, 'zone name').required(), help: 'zone of this machine' },
  cluster: { check: Joi.string().min(1).max(64).default('opalstair'), help: 'name of the mesh; others are not listened to' },
  host: { check: Joi.string().ip({ version: ['ipv4'], cidr: 'forbidden' }).required(), help: 'own address, as others reach it' },
  listenHost: { check: Joi.string().ip({ version: ['ipv4'], cidr: 'forbidden' }).default(Joi.ref('host')), help: 'address to listen on (default: host)' },
  seeds: { check: addressList.min(1).max(16).required(), help: 'membership address of a core process, ip:port; give it three times', many: true },
  portBase: { check: Joi.number().integer().min(1).max(65530), help: 'first of four ports that all machines keep free: ports not named follow it, and seeds may name any port' },
  wirePort: { check: steppedPort(firstPort, step), help: 'port for other opalstair processes' },
  adminPort: { check: steppedPort(firstPort + 1, step + 1), help: 'port for readiness, metrics and operators' },
  memberPort: { check: steppedPort(firstPort + 2, step), help: 'UDP port for membership' },
  logLevel: { check: Joi.string().valid('debug', 'info', 'warn', 'error').default('info'), help: 'debug, info, warn or error' },
  memoryMb: { check: Joi.number().integer().min(64).max(1_048_576).default(350), help: 'memory of this process in MB; bodies and answers that it holds take a third of it at most' },
  descriptors: { check: Joi.number().integer().min(64).max(10_000_000).default(4096), help: 'descriptors of this process; callers\' connections take half of them at most' },
  probeMs: { check: millisSetting(500, 20), help: 'time between membership probes' },
  suspectMs: { check: millisSetting(2500, 50), help: 'how long a silent member is suspected before it is removed' },
});

/** `orderPort` becomes `--order-port`. */
export const flagName = (setting: string): string => setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`).replace(/^seeds$/, 'seed');

export interface CommandLine {
  readonly help: boolean;
  readonly version: boolean;
  readonly settingsFile: string | null;
  readonly flags: Readonly<Record<string, string | readonly string[]>>;
}

/** Reads the command line of a daemon whose settings are in the table. */
export const readCommandLine = (table: SettingTable, words: readonly string[]): Result<CommandLine, UsageDefect> => {
  const options: NonNullable<ParseArgsConfig['options']> = { settings: { type: 'string' }, help: { type: 'boolean' }, version: { type: 'boolean' } };
  for (const [name, row] of Object.entries(table)) options[flagName(name)] = { type: 'string', multiple: row.many === true };
  try {
    const { values } = parseArgs({ args: [...words], options, strict: true, allowPositionals: false });
    const flags: Record<string, string | readonly string[]> = {};
    for (const name of Object.keys(table)) {
      const given = values[flagName(name)];
      if (given !== undefined && typeof given !== 'boolean') flags[name] = given as string | readonly string[];
    }
    return ok({ help: values['help'] === true, version: values['version'] === true, settingsFile: (values['settings'] as string | undefined) ?? null, flags });
  } catch (error) {
    return err(new UsageDefect('the command line', error));
  }
};

const readFile = (file: string | null): Result<Readonly<Record<string, unknown>>, SettingsDefect> => {
  if (file === null) return ok({});
  try {
    const parsed: unknown = JSON.parse(readFileSync(file, 'utf8'));
    return typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed)
      ? ok(parsed as Readonly<Record<string, unknown>>) : err(new SettingsDefect(`${file} must hold one JSON object`));
  } catch (error) {
    return err(new SettingsDefect(`can't read ${file}`, error));
  }
};

/** A time may be a text of a number and its unit, `ms` or `s`; a port may be an address, of which the port counts. */
const plain = (name: string, value: unknown): unknown => {
  if (typeof value !== 'string') return value;
  const time = name.endsWith('Ms') ? /^(\d+(?:\.\d+)?)(ms|s)$/.exec(value) : null;
  if (time !== null) return Number(time[1]) * (time[2] === 's' ? 1000 : 1);
  return name.endsWith('Port') && Address.isValid(value) ? value.slice(value.indexOf(':') + 1) : value;
};

const withSeedPorts = (settings: PlaceSettings & { readonly portBase?: number }): PlaceSettings => {
  const { portBase } = settings;
  return portBase === undefined ? settings : { ...settings, seeds: settings.seeds.map((seed) => Address.of(Address.host(seed), portBase + RATEBOOK_STEP)) };
};

/** How many descriptors this process may really open; null where the system doesn't say. */
const openFilesLimit = (): number | null => {
  try {
    const soft = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1];
    return soft === undefined ? null : Number(soft);
  } catch {
    return null;
  }
};

const withinSystem = <S extends PlaceSettings>(settings: S): S => {
  const limit = openFilesLimit();
  return limit === null || limit >= settings.descriptors ? settings : { ...settings, descriptors: limit };
};

/** Joins file and flags (flags win), checks them all and fills in the defaults. A setting that the file gives as null counts as not given. */
export const readSettings = <S>(table: SettingTable, line: CommandLine): Result<S, SettingsDefect> =>
  readFile(line.settingsFile).andThen((fromFile) => {
    const checks = Object.fromEntries(Object.entries(table).map(([name, row]) => [name, row.check]));
    const given = Object.fromEntries(Object.entries({ ...fromFile, ...line.flags }).filter(([, value]) => value !== null).map(([name, value]) => [name, plain(name, value)]));
    const checked = Joi.object(checks).validate(given, { abortEarly: true, errors: { label: 'path' } });
    return checked.error === undefined ? ok(withinSystem(withSeedPorts(checked.value as PlaceSettings)) as S) : err(new SettingsDefect(checked.error.message));
  });

/** The text of `--help`. */
export const helpText = (program: string, about: string, table: SettingTable): string => {
  const rows = Object.entries(table).map(([name, row]) => `  --${flagName(name)} VALUE`.padEnd(32) + row.help);
  return [`${program}: ${about}`, '', `usage: ${program} [--settings FILE] [flags]`, '',
    '  --settings FILE               JSON file with the settings below by their camelCase names; flags win',
    ...rows, '  --help, --version', '', 'exit codes: 0 stopped as asked, 1 could not start, 2 bad flags or settings', ''].join('\n');
};
