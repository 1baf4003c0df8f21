import type { KeyedAnswer } from '../homes/home-contract.js';
import type { CallFrame } from '../messages/frames.js';
import type { CallOutcome } from '../messages/outcome.js';

/** How long a gate's word on an attempt that was given up can still settle a key's record. */
const lateLimitMilliseconds = 120_000;
/** Bounds memory when an upstream lets many requests pass their deadline. */
const maximumLateAttempts = 10_000;

interface LateAttempt {
  readonly server: string;
  readonly dispatchId: number;
  readonly since: number;
}

/** Attempts for keys that were given up at their deadline, whose end is still worth knowing. */
export class LateAttempts {
  private readonly attempts = new Map<number, LateAttempt>();

  public add(attemptId: number, server: string, dispatchId: number, monotonic: number): void {
    this.attempts.set(attemptId, { dispatchId, server, since: monotonic });
    this.forgetOld(monotonic);
  }

  /** Returns the dispatch that the attempt belongs to, once. */
  public take(attemptId: number, server: string): number | undefined {
    const attempt = this.attempts.get(attemptId);
    if (attempt?.server !== server) {
      return undefined;
    }
    this.attempts.delete(attemptId);
    return attempt.dispatchId;
  }

  private forgetOld(monotonic: number): void {
    for (const [attemptId, { since }] of this.attempts) {
      const isOld = monotonic - since > lateLimitMilliseconds;
      if (!isOld && this.attempts.size <= maximumLateAttempts) {
        return;
      }
      this.attempts.delete(attemptId);
    }
  }
}

/** What a late frame of a gate says of an attempt. */
export interface Settlement {
  readonly outcome: CallOutcome;
  readonly answer: KeyedAnswer | undefined;
}

/** Undefined for a frame that leaves the end of the attempt open. */
export function settlementOf(frame: CallFrame): Settlement | undefined {
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
