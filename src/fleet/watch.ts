import { callJson, type Fleet } from './fleet.js';
import type { ForceLog } from './checker.js';

/** The hops that one switchboard began for a service since the last look. */
export interface HopLog {
  readonly service: string;
  readonly at: number;
  readonly firsts: number;
  readonly repeats: number;
}

const SAMPLE_MS = 250;

/** Watches what every switchboard has in force and how many hops it begins. */
export class Watch {
  readonly forces: ForceLog[] = [];
  readonly hops: HopLog[] = [];
  private readonly counts = new Map<string, number>();
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly fleet: Fleet) {}

  start(): void {
    this.timer = setInterval(() => { for (const name of this.fleet.switchboards.keys()) void this.sample(name); }, SAMPLE_MS);
  }

  stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
  }

  private async sample(name: string): Promise<void> {
    const at = Date.now();
    const state = await this.fleet.state(name);
    const address = this.fleet.switchboards.get(name)?.adminAddress;
    const metrics = await callJson<string>('GET', `http://${address}/metrics`).then((answer) => answer.body, () => null);
    if (state === null || metrics === null) return;
    this.forces.push({ node: name, serial: state.manifest, content: state.fingerprint, at });
    const byService = new Map<string, { first: number; repeat: number }>();
    for (const [, service = '', kind = '', text = '0'] of metrics.matchAll(/^opalstair_hops_total\{service="([^"]+)",kind="(first|repeat)"\} (\d+)/gm)) {
      const key = `${name}/${state.boot}/${service}/${kind}`;
      const grown = Number(text) - (this.counts.get(key) ?? 0);
      this.counts.set(key, Number(text));
      const entry = byService.get(service) ?? { first: 0, repeat: 0 };
      byService.set(service, { ...entry, [kind]: grown });
    }
    for (const [service, { first, repeat }] of byService) if (first + repeat > 0) this.hops.push({ service, at, firsts: first, repeats: repeat });
  }
}
