import type { LoadReport } from './load-report.js';
import type { Refusal, RequestClass } from './outcome.js';
import type { HeaderFields, RequestHead } from './request-head.js';

/** Asks a gate to run a request. With a streamed body the gate answers `request-admitted` first. */
export interface RequestStartFrame {
  readonly kind: 'request-start';
  /** Unique on the connection, chosen by the sender. */
  readonly callId: number;
  readonly head: RequestHead;
  readonly requestClass: RequestClass;
  readonly remainingMilliseconds: number;
  readonly streamedBody: boolean;
  readonly body?: Uint8Array | undefined;
}

export interface RequestAdmittedFrame {
  readonly kind: 'request-admitted';
  readonly callId: number;
}

/** Says that the request was not started. */
export interface RequestRefusedFrame {
  readonly kind: 'request-refused';
  readonly callId: number;
  readonly refusal: Refusal;
}

export interface RequestCancelFrame {
  readonly kind: 'request-cancel';
  readonly callId: number;
}

/** The head of an answer, with the whole body unless it is streamed. */
export interface AnswerFrame {
  readonly kind: 'answer';
  readonly callId: number;
  readonly status: number;
  readonly headers: HeaderFields;
  readonly streamedBody: boolean;
  readonly body?: Uint8Array | undefined;
  readonly load: LoadReport;
}

/** Says that the request was started and gave no answer. */
export interface RequestFailedFrame {
  readonly kind: 'request-failed';
  readonly callId: number;
  readonly detail: string;
  readonly load: LoadReport;
}

export const BodyDirection = { Answer: 'answer', Request: 'request' } as const;
export type BodyDirection = (typeof BodyDirection)[keyof typeof BodyDirection];

export interface BodyChunkFrame {
  readonly kind: 'body-chunk';
  readonly callId: number;
  readonly direction: BodyDirection;
  readonly bytes: Uint8Array;
}

export interface BodyEndFrame {
  readonly kind: 'body-end';
  readonly callId: number;
  readonly direction: BodyDirection;
}

/** Says that the body ended early; what came so far must not pass as whole. */
export interface BodyCutFrame {
  readonly kind: 'body-cut';
  readonly callId: number;
  readonly direction: BodyDirection;
}

/** Says that the receiver reads no more of the body. */
export interface BodyStopFrame {
  readonly kind: 'body-stop';
  readonly callId: number;
  readonly direction: BodyDirection;
}

/** Allows the sender of a body this many more bytes. */
export interface BodyCreditFrame {
  readonly kind: 'body-credit';
  readonly callId: number;
  readonly direction: BodyDirection;
  readonly bytes: number;
}

export type BodyFrame =
  BodyChunkFrame | BodyEndFrame | BodyCutFrame | BodyStopFrame | BodyCreditFrame;

export type CallFrame =
  | RequestStartFrame
  | RequestAdmittedFrame
  | RequestRefusedFrame
  | RequestCancelFrame
  | AnswerFrame
  | RequestFailedFrame;
