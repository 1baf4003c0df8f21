import { RefusalReason, UnknownReason } from '../messages/outcome.js';
import type { HomeSettings } from './home-settings.js';

/** What a range's tenure says about keys that it has no record of. */
export interface TenureBounds {
  /** Keys created at or before this wall time may have run at an earlier home. */
  readonly cutoff: number | undefined;
  /** Attempts that entered at or before this wall time may belong to a key that was refused. */
  readonly voidUntil: number | undefined;
  /** Keys created at or before this wall time may have run here and been forgotten. */
  readonly forgottenUntil?: number | undefined;
}

export type KeyVerdict =
  | { readonly kind: 'run' }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason };

const beforeTakeover: KeyVerdict = {
  kind: 'unknown',
  reason: UnknownReason.CreatedBeforeTakeover,
};

/**
 * Decides about a key without a record. The cutoff comes before the check of the future, because the
 * clock of the earlier home may have been ahead of this one's.
 */
export function judgeNewKey(
  createdAt: number | undefined,
  receivedAt: number,
  bounds: TenureBounds,
  wall: number,
  settings: HomeSettings,
): KeyVerdict {
  const { cutoff, forgottenUntil, voidUntil } = bounds;
  if (cutoff !== undefined) {
    const protectedUntil = createdAt ?? wall - settings.retentionMilliseconds;
    if (protectedUntil <= cutoff) return beforeTakeover;
  }
  if (createdAt !== undefined && forgottenUntil !== undefined && createdAt <= forgottenUntil) {
    return { kind: 'unknown', reason: UnknownReason.KeyTooOld };
  }
  if (createdAt !== undefined && createdAt > wall + settings.futureToleranceMilliseconds) {
    return { kind: 'refuse', reason: RefusalReason.KeyFromFuture };
  }
  if (createdAt !== undefined && createdAt < wall - settings.retentionMilliseconds) {
    return { kind: 'unknown', reason: UnknownReason.KeyTooOld };
  }
  if (voidUntil !== undefined && receivedAt <= voidUntil) {
    return { kind: 'refuse', reason: RefusalReason.VoidAttempt };
  }
  return { kind: 'run' };
}

/** Whether an attempt entered, by its entry's clock, possibly before its key was refused. */
export function isVoid(receivedAt: number, refusedAt: number, settings: HomeSettings): boolean {
  return receivedAt <= refusedAt + settings.skewMilliseconds;
}

/** The bounds of a range that was taken over at this wall time. */
export function takeoverBounds(wall: number, settings: HomeSettings): TenureBounds {
  return {
    cutoff: wall + settings.futureToleranceMilliseconds + settings.skewMilliseconds,
    voidUntil: wall + settings.skewMilliseconds,
  };
}
