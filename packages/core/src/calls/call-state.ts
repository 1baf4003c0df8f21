import { RefusalReason } from '../messages/outcome.js';
import type { Refusal, RefusedOutcome, UnknownReason } from '../messages/outcome.js';
import type { Target } from '../routing/router-contract.js';
import type { Call } from './call-contract.js';

/** One attempt to run a call at one target. */
export interface Attempt {
  readonly attemptId: number;
  readonly call: CallState;
  readonly target: Target;
  readonly sentAt: number;
}

/** The state of a call in progress. */
export class CallState {
  /** Attempts in progress. */
  public readonly liveAttempts = new Set<Attempt>();
  /** Servers that an attempt was sent to; none of them gets another attempt of this call. */
  public readonly triedServers = new Set<string>();
  public refusals = 0;
  /** Retries and hedges that used the retry budget; retries after a refusal don't. */
  public budgetedRetries = 0;
  public isHedged = false;
  /**
   * Whether an upstream consumed the streamed body, so that the call can't be sent to another one.
   */
  public isBodyConsumed = false;
  /** Why an earlier attempt may have run without an answer; undefined if none can have run. */
  public possibleRunReason: UnknownReason | undefined;
  private smallestRetryAfter: number | undefined;
  private refusalReason: RefusalReason | undefined;

  public constructor(public readonly call: Call) {}

  public recordRefusal(refusal: Refusal): void {
    this.refusals += 1;
    const isFirst = this.refusalReason === undefined;
    this.refusalReason =
      isFirst || this.refusalReason === refusal.reason
        ? refusal.reason
        : RefusalReason.AllTargetsRefused;
    const retryAfter = refusal.retryAfterMilliseconds;
    if (retryAfter === undefined) return;
    this.smallestRetryAfter = Math.min(this.smallestRetryAfter ?? Infinity, retryAfter);
  }

  /** The refusal to answer the caller with; `no-upstream` if no target was found to try. */
  public finalRefusal(retryAfterNoUpstream: number): RefusedOutcome {
    if (this.refusalReason === undefined) {
      return {
        kind: 'refused-not-run',
        reason: RefusalReason.NoUpstream,
        retryAfterMilliseconds: retryAfterNoUpstream,
      };
    }
    return {
      kind: 'refused-not-run',
      reason: this.refusalReason,
      retryAfterMilliseconds: this.smallestRetryAfter,
    };
  }
}
