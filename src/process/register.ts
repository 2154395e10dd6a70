import { Entry } from '../version/entry.js';
import type { Epoch, Instant, Millis } from './brands.js';

/** Who claims a key: a process by name and boot, so that a restarted one is another holder. */
export type Holder = string;

/** What a replica must remember of a key across a restart. */
export interface RegisterState {
  readonly promised: Epoch;
  readonly holder: Holder;
  readonly accepted: Entry | null;
}

/** What a replica only needs while it runs. */
export interface Grant {
  readonly holder: Holder;
  readonly until: Instant;
}

export type RegisterAsk =
  /** What has been accepted here, and under which promise? Changes nothing. */
  | { readonly kind: 'show'; readonly epoch: 0; readonly holder: Holder }
  /** Would a claim find the key free? Changes nothing. */
  | { readonly kind: 'inquire'; readonly epoch: Epoch; readonly holder: Holder }
  | { readonly kind: 'claim'; readonly epoch: Epoch; readonly holder: Holder; readonly leaseMs: Millis }
  | { readonly kind: 'renew'; readonly epoch: Epoch; readonly holder: Holder; readonly leaseMs: Millis }
  | { readonly kind: 'accept'; readonly epoch: Epoch; readonly holder: Holder; readonly entry: Entry; readonly isMending: boolean }
  | { readonly kind: 'release'; readonly epoch: Epoch; readonly holder: Holder };

export type RegisterReply =
  | { readonly kind: 'shown'; readonly promised: Epoch; readonly acceptedEpoch: number; readonly acceptedSerial: number }
  | { readonly kind: 'free'; readonly promised: Epoch }
  | { readonly kind: 'granted'; readonly accepted: Entry | null }
  | { readonly kind: 'kept'; readonly acceptedEpoch: Epoch; readonly acceptedSerial: number }
  | { readonly kind: 'stored' }
  | { readonly kind: 'released' }
  | { readonly kind: 'refused'; readonly promised: Epoch; readonly holder: Holder; readonly leaseLeftMs: Millis };

/** The next state to sync before the reply may leave; null when nothing changed on disk. */
export interface RegisterStep {
  readonly store: RegisterState | null;
  readonly grant: Grant | null;
  readonly reply: RegisterReply;
}

/**
 * Whether a holder is the same ratebook in a later life: it says which disk it has, and one process at a time has a
 * disk, so the earlier life is over and what it was granted binds nobody.
 */
const isLaterLife = (one: Holder, other: Holder): boolean => one.includes('/') && one.slice(0, one.lastIndexOf('@')) === other.slice(0, other.lastIndexOf('@'));

const NOTHING: RegisterState = { promised: 0 as Epoch, holder: '', accepted: null };

/**
 * One key at one replica, without any input or output: an ask and the time give the next state and a reply.
 * An epoch belongs to the holder that claimed it first; a lower one is refused for ever.
 */
export const Register = {
  empty: NOTHING,
  step: (state: RegisterState, grant: Grant | null, ask: RegisterAsk, now: Instant, graceUntil: Instant): RegisterStep => {
    const isOwn = state.promised === ask.epoch && state.holder === ask.holder;
    const isFreed = (holder: Holder): boolean => holder === ask.holder || isLaterLife(ask.holder, holder);
    const leaseEnd = Math.max(grant === null || isFreed(grant.holder) ? 0 : grant.until, state.holder !== '' && isFreed(state.holder) ? 0 : graceUntil);
    const refused = (leaseLeft: number): RegisterStep => ({
      store: null, grant,
      reply: { kind: 'refused', promised: state.promised, holder: grant?.holder ?? state.holder, leaseLeftMs: Math.max(0, leaseLeft) as Millis },
    });
    switch (ask.kind) {
      case 'show':
        return { store: null, grant, reply: { kind: 'shown', promised: state.promised, acceptedEpoch: state.accepted?.epoch ?? 0, acceptedSerial: state.accepted?.serial ?? 0 } };
      case 'inquire':
        return now < leaseEnd ? refused(leaseEnd - now) : { store: null, grant, reply: { kind: 'free', promised: state.promised } };
      case 'claim': {
        if (ask.epoch <= state.promised && !isOwn) return refused(0);
        if (now < leaseEnd) return refused(leaseEnd - now);
        const granted: RegisterReply = { kind: 'granted', accepted: state.accepted };
        const nextGrant = { holder: ask.holder, until: (now + ask.leaseMs) as Instant };
        return { store: isOwn ? null : { ...state, promised: ask.epoch, holder: ask.holder }, grant: nextGrant, reply: granted };
      }
      case 'renew': {
        if (!isOwn && (ask.epoch <= state.promised || now < leaseEnd)) return refused(leaseEnd - now);
        return {
          store: isOwn ? null : { ...state, promised: ask.epoch, holder: ask.holder }, grant: { holder: ask.holder, until: (now + ask.leaseMs) as Instant },
          reply: { kind: 'kept', acceptedEpoch: state.accepted?.epoch ?? (0 as Epoch), acceptedSerial: state.accepted?.serial ?? 0 },
        };
      }
      case 'accept': {
        if (!isOwn && ask.epoch <= state.promised) return refused(0);
        if (!Entry.isLater(ask.entry, state.accepted)) {
          const same = state.accepted?.epoch === ask.entry.epoch && state.accepted.serial === ask.entry.serial;
          return same ? { store: null, grant, reply: { kind: 'stored' } } : refused(0);
        }
        return { store: { promised: ask.epoch, holder: ask.holder, accepted: ask.entry }, grant, reply: { kind: 'stored' } };
      }
      case 'release':
        return { store: null, grant: isOwn ? null : grant, reply: { kind: 'released' } };
    }
  },
} as const;
