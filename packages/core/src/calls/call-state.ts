import { RefusalReason } from '../messages/outcome.js';
import type { Refusal, RefusedOutcome, UnknownReason } from '../messages/outcome.js';
import type { Target } from '../routing/router-contract.js';
import type { Call } from './call-contract.js';

/** One sending of a call to one target. */
export interface Attempt {
  readonly attemptId: number;
  readonly call: CallState;
  readonly target: Target;
  readonly sentAt: number;
}

/** A call in progress. */
export class CallState {
  /** Attempts without a result. */
  public readonly live = new Set<Attempt>();
  /** Servers that were tried and are not tried again. */
  public readonly tried = new Set<string>();
  public refusals = 0;
  /** Retries and hedges. */
  public repeats = 0;
  public hedged = false;
  /** A streamed body was consumed by an upstream, so that the call can't be sent elsewhere. */
  public bodyConsumed = false;
  /** Why an earlier attempt may have run without an answer; undefined if none may have. */
  public mayHaveRun: UnknownReason | undefined;
  private smallestRetryAfter: number | undefined;
  private refusalReason: RefusalReason | undefined;

  public constructor(public readonly call: Call) {}

  public noteRefusal(refusal: Refusal): void {
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

  /** The final refusal; without any target there was none to refuse. */
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
