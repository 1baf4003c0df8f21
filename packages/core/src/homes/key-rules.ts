import { RefusalReason, UnknownReason } from '../messages/outcome.js';
import type { HomeSettings } from './home-settings.js';

/** Wall times that restrict which keys without a record may run in a range; see {@link decideNewKey}. */
export interface RangeTimeBounds {
  /**
   * Keys created at or before this time may have run at an earlier home whose records are lost. They don't
   * run; their outcome is unknown.
   */
  readonly cutoff: number | undefined;
  /**
   * Attempts that their entry received at or before this time may belong to a key that was refused.
   * They are refused.
   */
  readonly voidUntil: number | undefined;
  /**
   * Keys created at or before this time may have run here and had their record evicted. They don't run;
   * their outcome is unknown.
   */
  readonly forgottenUntil?: number | undefined;
}

export type NewKeyDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason };

const unknownBeforeTakeover: NewKeyDecision = {
  kind: 'unknown',
  reason: UnknownReason.CreatedBeforeTakeover,
};

/**
 * Decides whether a key without a record may run. A key without a creation time is treated as created
 * one retention time ago. The cutoff is checked before creation times in the future, because the clock
 * of the earlier home may have been ahead of the clock of this one.
 */
export function decideNewKey(
  createdAt: number | undefined,
  receivedAt: number,
  bounds: RangeTimeBounds,
  wall: number,
  settings: HomeSettings,
): NewKeyDecision {
  const { cutoff, forgottenUntil, voidUntil } = bounds;
  if (cutoff !== undefined) {
    const earliestCreatedAt = createdAt ?? wall - settings.retentionMilliseconds;
    if (earliestCreatedAt <= cutoff) return unknownBeforeTakeover;
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

/**
 * Whether an attempt may have been received before its key was refused, given the possible clock skew
 * between its entry and this node.
 */
export function isVoidAttempt(
  receivedAt: number,
  refusedAt: number,
  settings: HomeSettings,
): boolean {
  return receivedAt <= refusedAt + settings.maximumClockSkewMilliseconds;
}

/**
 * The bounds of a range that was taken over, without the records of its earlier home, at this wall
 * time.
 */
export function takeoverBounds(wall: number, settings: HomeSettings): RangeTimeBounds {
  return {
    cutoff: wall + settings.futureToleranceMilliseconds + settings.maximumClockSkewMilliseconds,
    voidUntil: wall + settings.maximumClockSkewMilliseconds,
  };
}
