import { Maybe } from 'true-myth';

/**
 * The root of every failure. `kind` names the type, `detail` tells a reader what happened,
 * and `cause` holds the error of a library where there was one.
 */
export abstract class Defect {
  abstract readonly kind: string;
  readonly detail: string;
  readonly cause: Maybe<Error>;

  constructor(detail: string, cause: unknown = undefined) {
    this.detail = detail;
    this.cause = cause instanceof Error ? Maybe.just(cause) : Maybe.nothing();
  }

  /** One line for logs and for people. */
  describe(): string {
    return `${this.kind}: ${this.detail}${this.cause.mapOr('', (error) => ` (${error.message})`)}`;
  }
}

export class SettingsDefect extends Defect {
  readonly kind = 'bad-settings';
}

export class UsageDefect extends Defect {
  readonly kind = 'bad-usage';
}

/** A message of another process that can't be read. */
export class MessageDefect extends Defect {
  readonly kind = 'bad-message';
}

/** The other side was never reached: nothing was sent. */
export class UnreachableDefect extends Defect {
  readonly kind = 'unreachable';
}

/** Something was sent and no whole answer came: the other side may have acted. */
export class LostDefect extends Defect {
  readonly kind = 'lost';
}

/** The other side had no room for the message, and didn't look at it. */
export class NoRoomDefect extends Defect {
  readonly kind = 'no-room';
}

/** The other side answered with a status that says no; `isUnread` when it said so before it looked at the message. */
export class TurnedAwayDefect extends Defect {
  readonly kind = 'turned-away';
  constructor(detail: string, readonly isUnread: boolean) {
    super(detail);
  }
}
