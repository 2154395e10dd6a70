import type { ReportAnswer } from '../connection/nodeCalls.js';
import type { EndpointRow } from '../version/snapshots.js';

/** How a host's report stands among all of its reports. */
export interface Standing {
  readonly life: number;
  readonly sequence: number;
  readonly changed: number;
}

/** Numbers a host's reports, and raises its life above that of any boot which stands above it: clocks are stepped. */
export class HostVoice {
  private sequence = 0;
  private changed = 0;
  private said = '';

  constructor(private lifeNow: number) {}

  get life(): number {
    return this.lifeNow;
  }

  next(): number {
    this.sequence += 1;
    return this.sequence;
  }

  /** The numbers of a report of these endpoints. */
  say(rows: readonly EndpointRow[]): Standing {
    const sequence = this.next();
    const text = JSON.stringify(rows);
    if (text !== this.said) this.changed = sequence;
    this.said = text;
    return { life: this.lifeNow, sequence, changed: this.changed };
  }

  /** Whether the host has to speak again, with a higher life. */
  hear(answer: ReportAnswer): boolean {
    if (answer.above === undefined || answer.above < this.lifeNow) return false;
    this.lifeNow = answer.above + 1;
    return true;
  }
}
