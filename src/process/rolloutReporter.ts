import { NodePath, type RolloutReport } from '../connection/nodeCalls.js';
import type { WireClient } from '../connection/wire.js';
import type { NodeName, ServiceName } from './brands.js';
import type { Membership } from './membership.js';
import type { Frame } from './program.js';
import type { PlaceSettings } from './settings.js';
import type { RolloutProgress, VersionRouter } from './versionRouter.js';

const TURN_MS = 250;
/** A report that says nothing new is sent all the same each so many turns: whoever steers may be another by now. */
const EVERY_TURNS = 4;
const TELL_MS = 1000;

/** Tells whoever steers the running rollouts how far this node has come with them. */
export class RolloutReporter {
  private sequence = 0;
  private turn = 0;
  private lastTold = '';

  constructor(private readonly frame: Frame<PlaceSettings>, private readonly membership: Membership, private readonly wire: WireClient, private readonly router: VersionRouter, private readonly stewardOf: (service: ServiceName) => NodeName | null) {}

  start(): void {
    this.frame.ticker.every(TURN_MS, () => this.tell());
  }

  /** Reports at once where there is news: a stage waits for every node's word. */
  tell(): void {
    const rollouts = this.router.progress();
    if (rollouts.length === 0) return;
    this.turn += 1;
    const news = JSON.stringify(rollouts);
    if (news === this.lastTold && this.turn % EVERY_TURNS !== 0) return;
    this.lastTold = news;
    this.sequence += 1;
    const directories = this.membership.having('directory');
    const known = new Set(directories.map(({ name }) => name));
    for (const { name, wire } of directories) {
      const isForIt = ({ service }: RolloutProgress): boolean => {
        const steward = this.stewardOf(service);
        return steward === null || !known.has(steward) || steward === name;
      };
      const report: RolloutReport = { node: this.frame.settings.node, boot: this.frame.boot, sequence: this.sequence, rollouts: rollouts.filter(isForIt) };
      if (report.rollouts.length > 0) void this.wire.call(wire, NodePath.rollout, report, TELL_MS);
    }
  }
}
