import type { KeyedAnswer } from '../homes/home-contract.js';
import type { CallFrame } from '../messages/frames.js';
import type { CallOutcome } from '../messages/outcome.js';

/** How long after its cancellation an attempt's late result can still update the key's record. */
const lateResultLimitMilliseconds = 120_000;
/** Bounds memory use when many requests at a slow upstream exceed their deadline. */
const maximumCancelledAttempts = 10_000;

interface CancelledKeyedAttempt {
  readonly server: string;
  readonly dispatchId: number;
  readonly cancelledAt: number;
}

/**
 * Tracks attempts of keyed requests that were cancelled at their deadline, because a late result
 * still determines the key's outcome.
 */
export class CancelledKeyedAttempts {
  private readonly attempts = new Map<number, CancelledKeyedAttempt>();

  public add(attemptId: number, server: string, dispatchId: number, nowMilliseconds: number): void {
    this.attempts.set(attemptId, { dispatchId, server, cancelledAt: nowMilliseconds });
    this.evictOld(nowMilliseconds);
  }

  /** Removes the attempt and returns the identifier of its dispatch; undefined if it is not known. */
  public take(attemptId: number, server: string): number | undefined {
    const attempt = this.attempts.get(attemptId);
    if (attempt?.server !== server) {
      return undefined;
    }
    this.attempts.delete(attemptId);
    return attempt.dispatchId;
  }

  private evictOld(nowMilliseconds: number): void {
    for (const [attemptId, { cancelledAt }] of this.attempts) {
      const isOld = nowMilliseconds - cancelledAt > lateResultLimitMilliseconds;
      if (!isOld && this.attempts.size <= maximumCancelledAttempts) {
        return;
      }
      this.attempts.delete(attemptId);
    }
  }
}

/** The outcome of an attempt according to a frame received after the attempt was cancelled. */
export interface LateOutcome {
  readonly outcome: CallOutcome;
  readonly answer: KeyedAnswer | undefined;
}

/** Returns undefined for a frame that does not determine the outcome of the attempt. */
export function lateOutcomeOf(frame: CallFrame): LateOutcome | undefined {
  if (frame.kind === 'answer') {
    const { body, headers, status } = frame;
    return { answer: { body, headers, status }, outcome: { kind: 'answered', status } };
  }
  if (frame.kind !== 'request-refused') {
    return undefined;
  }
  const { reason, retryAfterMilliseconds } = frame.refusal;
  return {
    answer: undefined,
    outcome: { kind: 'refused-not-run', reason, retryAfterMilliseconds },
  };
}
