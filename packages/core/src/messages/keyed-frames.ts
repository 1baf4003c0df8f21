import type { HomeTable, KeyRecord } from './home-table.js';
import type { RefusalReason, UnknownReason } from './outcome.js';
import type { HeaderFields, RequestHead } from './request-head.js';

/** A non-idempotent request, sent by an entry to the home of its key. */
export interface KeyedRequestFrame {
  readonly kind: 'keyed-request';
  readonly callId: number;
  readonly head: RequestHead;
  readonly key: string;
  /** SHA-256 of method, path and body, in hexadecimal. */
  readonly digest: string;
  /** Wall time at which the entry received the request, by the entry's clock. */
  readonly receivedAt: number;
  readonly remainingMilliseconds: number;
  readonly body: Uint8Array;
}

/** The final outcome of a keyed request, sent by its home. */
export interface KeyedOutcomeFrame {
  readonly kind: 'keyed-outcome';
  readonly callId: number;
  readonly outcome: KeyedOutcome;
}

export type KeyedOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderFields;
      readonly body: Uint8Array;
      /** Whether this is the recorded response to an earlier request with the same key. */
      readonly recorded: boolean;
    }
  | {
      readonly kind: 'refused-not-run';
      readonly reason: RefusalReason;
      readonly retryAfterMilliseconds?: number | undefined;
    }
  | {
      readonly kind: 'outcome-unknown';
      readonly reason: UnknownReason;
      readonly attemptStarted: boolean;
      readonly retryAfterMilliseconds?: number | undefined;
    }
  /** The receiver is not the home of the key, so it did not look up the key. */
  | { readonly kind: 'not-home'; readonly table: HomeTable | undefined };

/** Asks a home for the state of a key. */
export interface KeyQuestionFrame {
  readonly kind: 'key-question';
  readonly callId: number;
  readonly service: string;
  readonly key: string;
}

export interface KeyAnswerFrame {
  readonly kind: 'key-answer';
  readonly callId: number;
  readonly state: KeyRecord['state'];
  readonly status?: number | undefined;
}

export type KeyedFrame = KeyedRequestFrame | KeyedOutcomeFrame | KeyQuestionFrame | KeyAnswerFrame;
