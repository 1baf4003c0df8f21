import type { HomeTable, KeyRecord } from './home-table.js';
import type { RefusalReason, UnknownReason } from './outcome.js';
import type { HeaderFields, RequestHead } from './request-head.js';

/** A non-idempotent request on its way from an entry to the home of its key. */
export interface KeyedRequestFrame {
  readonly kind: 'keyed-request';
  readonly callId: number;
  readonly head: RequestHead;
  readonly key: string;
  /** SHA-256 of method, path and body, in hexadecimal. */
  readonly digest: string;
  /** Wall time of the entry when it received the request. */
  readonly receivedAt: number;
  readonly remainingMilliseconds: number;
  readonly body: Uint8Array;
}

/** The home's final word on a keyed request. */
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
      /** Whether this is the recorded answer of an earlier attempt. */
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
  /** The receiver is not the home; nothing was looked up. */
  | { readonly kind: 'not-home'; readonly table: HomeTable | undefined };

/** Asks the home what is known of a key. */
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
