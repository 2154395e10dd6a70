import { suite as uvuSuite } from 'uvu';
import { knownRed } from './knownRed.js';

let passed = 0;
let failed = 0;

/** Counts of every test of this run, for the closing line. */
export const results = {
  get passed(): number { return passed; },
  get failed(): number { return failed; },
};

const textOf = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error);
  const { details } = error as Error & { readonly details?: unknown };
  return `${error.stack ?? error.message}${typeof details === 'string' ? `\n${details}` : ''}`;
};

/** Counts a failure and shows it. */
export const fail = (what: string, error: unknown): void => {
  failed += 1;
  process.stdout.write(`\nFAIL ${what}\n${textOf(error)}\n`);
};

/** Ends the test that runs; null between tests. */
let failRunning: ((error: unknown) => void) | null = null;
let lastName = 'before the first test';

const takeStray = (error: unknown): void => {
  if (failRunning !== null) failRunning(error);
  else fail(`outside of tests, last was ${lastName}`, error);
};

/** From now on an uncaught error or an unhandled rejection fails the test that runs, and the others run on. */
export const catchStrays = (): void => {
  process.on('uncaughtException', takeStray);
  process.on('unhandledRejection', takeStray);
};

/** Runs a body until its end or the first stray error, whichever is earlier. */
const runAlone = async (name: string, body: () => Promise<void> | void): Promise<void> => {
  lastName = name;
  const stray = new Promise<never>((_settle, reject) => { failRunning = reject; });
  const whole = async (): Promise<void> => {
    await body();
    // A rejection of the body's last turn is told only after that turn.
    await new Promise((settle) => { setImmediate(settle); });
  };
  try {
    await Promise.race([whole(), stray]);
  } finally {
    failRunning = null;
  }
};

export interface Suite {
  /** Adds a test, unless it is known to be red; with ONLY in the environment, just those whose name holds it run. */
  readonly test: (name: string, body: () => Promise<void> | void) => void;
  readonly before: (work: () => Promise<void>) => void;
  readonly after: (work: () => Promise<void>) => void;
  /** What is done after a test that failed, so that the next ones find what they need. */
  readonly restore: (work: () => Promise<void>) => void;
  readonly run: () => void;
}

/** A uvu suite whose outcomes are counted and whose tests are shown by name. */
export const suite = (title: string): Suite => {
  const inner = uvuSuite(title);
  let restoring: () => Promise<void> = () => Promise.resolve();
  let isSetUp = true;
  return {
    test: (name, body) => name.includes(process.env['ONLY'] ?? '') && !knownRed.passesOver(`${title}: ${name}`) && inner(name, async () => {
      const startTime = Date.now();
      try {
        await runAlone(`${title}: ${name}`, body);
        passed += 1;
        process.stdout.write(`\nok   ${title}: ${name} (${Date.now() - startTime} ms) `);
      } catch (error) {
        fail(`${title}: ${name} (${Date.now() - startTime} ms)`, error);
        await restoring().catch((defect: unknown) => process.stdout.write(`not restored: ${textOf(defect)}\n`));
        throw error;
      }
    }),
    before: (work) => inner.before(async () => {
      try {
        await runAlone(`${title}: setting up`, work);
      } catch (error) {
        isSetUp = false;
        fail(`${title}: setting up, so none of its tests ran`, error);
        throw error;
      }
    }),
    after: (work) => inner.after(async () => {
      await runAlone(`${title}: cleaning up`, work).catch((error: unknown) => { if (isSetUp) fail(`${title}: cleaning up`, error); });
    }),
    restore: (work) => { restoring = work; },
    run: () => inner.run(),
  };
};
