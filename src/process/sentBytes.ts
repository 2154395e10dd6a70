import { Counter, type Registry } from 'prom-client';

interface Sent {
  messages: number;
  bytes: number;
}

/** What a process sends to other processes of the mesh, by the kind of message: an answer counts as the kind that was asked. */
export class SentBytes {
  private readonly kinds = new Map<string, Sent>();

  constructor(metrics: Registry) {
    const kinds = this.kinds;
    const counter = (name: string, help: string, valueOf: (sent: Sent) => number): void => {
      new Counter({ name, help, labelNames: ['kind'], registers: [metrics], collect() {
        this.reset();
        kinds.forEach((sent, kind) => this.inc({ kind }, valueOf(sent)));
      } });
    };
    counter('opalstair_sent_messages_total', 'Messages and answers to other processes of the mesh, by kind', ({ messages }) => messages);
    counter('opalstair_sent_bytes_total', 'Their bytes, without those of the transport', ({ bytes }) => bytes);
  }

  add(kind: string, bytes: number): void {
    const known = this.kinds.get(kind);
    if (known === undefined) this.kinds.set(kind, { messages: 1, bytes });
    else {
      known.messages += 1;
      known.bytes += bytes;
    }
  }
}
