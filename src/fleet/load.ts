import { Agent, request } from 'undici';
import type { AnswerLog } from './checker.js';
import type { Chance } from './chance.js';
import type { Fleet } from './fleet.js';
import type { Home } from './homes.js';

/** How much of the traffic of a binding that takes writes is writes. */
const WRITE_SHARE = 0.7;

/** Stand-in callers: they send a home's orders at a steady rate, come what may unless so many at once are the most, and log each answer. */
export class Load {
  readonly answers: AnswerLog[] = [];
  /** How many orders were sent. */
  sent = 0;
  private readonly agent = new Agent({ keepAliveTimeout: 800, keepAliveMaxTimeout: 800, connections: 64, headersTimeout: 60_000 });
  private readonly running = new Set<Promise<void>>();
  private timer: NodeJS.Timeout | null = null;
  private count = 0;
  private started = 0;

  constructor(private readonly fleet: Fleet, private readonly home: Home, private readonly chance: Chance, private readonly rate: number, private readonly machines: () => readonly string[], private readonly keyPrefix = 'k', private readonly mostAtOnce = Infinity) {}

  start(): void {
    this.started = performance.now();
    const base = this.count;
    this.timer = setInterval(() => {
      const due = base + Math.floor(((performance.now() - this.started) / 1000) * this.rate);
      while (this.count < due && this.running.size < this.mostAtOnce) this.launch();
    }, 5);
  }

  /** Sends no more and waits for the last answer. */
  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
    await Promise.all(this.running);
    await this.agent.destroy();
  }

  /** One order to a machine; the answer is logged. */
  async send(machine: string, method: string, url: string): Promise<AnswerLog> {
    this.count += 1;
    const key = `${this.keyPrefix}${this.count}`;
    const sentAt = Date.now();
    this.sent += 1;
    const log = await this.exchange(machine, method, url, key, sentAt);
    this.answers.push(log);
    return log;
  }

  private launch(): void {
    const machines = this.machines();
    if (machines.length === 0) return void (this.count += 1);
    const binding = this.chance.of(this.home.manifest.bindings);
    const canWrite = binding.methods === undefined;
    const method = canWrite && this.chance.happens(WRITE_SHARE) ? this.chance.of(['POST', 'PUT']) : 'GET';
    const done = this.send(this.chance.of(machines), method, `${binding.prefix}/${this.count}`).then(() => { this.running.delete(done); });
    this.running.add(done);
  }

  private async exchange(machine: string, method: string, url: string, key: string, sentAt: number): Promise<AnswerLog> {
    const log = { key, method, url, machine, sentAt };
    try {
      const answer = await request(this.fleet.orderUrl(machine, url), {
        method: method as 'GET', dispatcher: this.agent, headers: { 'x-order-key': key }, body: method === 'GET' ? null : `{"key":"${key}"}`,
      });
      const text = await answer.body.text();
      const outcome = answer.headers['opalstair-outcome'];
      const body = JSON.parse(text) as { readonly key?: string; readonly url?: string; readonly title?: string };
      const ending = outcome === 'not-run' || outcome === 'unknown' ? outcome : 'answered';
      return { ...log, endedAt: Date.now(), ending, status: answer.statusCode, isOwn: body.key === key && body.url === url, reason: body.title ?? '' };
    } catch (error) {
      const code = (error as { readonly code?: string }).code ?? '';
      const ending = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'].includes(code) ? 'unsent' : error instanceof SyntaxError ? 'answered' : 'lost';
      return { ...log, endedAt: Date.now(), ending, status: 0, isOwn: false, reason: code };
    }
  }
}
