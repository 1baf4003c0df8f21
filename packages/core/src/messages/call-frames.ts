import type { LoadReport } from './load-report.js';
import type { Refusal, RequestClass } from './outcome.js';
import type { HeaderFields, RequestHead } from './request-head.js';

/**
 * Asks a gate to run a request. If the body is streamed, the gate first replies with
 * `request-admitted`.
 */
export interface RequestStartFrame {
  readonly kind: 'request-start';
  /** Chosen by the sender; unique on the connection. */
  readonly callId: number;
  readonly head: RequestHead;
  readonly requestClass: RequestClass;
  readonly remainingMilliseconds: number;
  readonly streamedBody: boolean;
  readonly body?: Uint8Array | undefined;
}

/** Reports that the gate started the request, so that the sender streams its body. */
export interface RequestAdmittedFrame {
  readonly kind: 'request-admitted';
  readonly callId: number;
}

/** Reports that the request was not started. */
export interface RequestRefusedFrame {
  readonly kind: 'request-refused';
  readonly callId: number;
  readonly refusal: Refusal;
}

/** Reports that the sender no longer needs the response. */
export interface RequestCancelFrame {
  readonly kind: 'request-cancel';
  readonly callId: number;
}

/** The head of an HTTP response, with the whole body unless it is streamed. */
export interface ResponseFrame {
  readonly kind: 'answer';
  readonly callId: number;
  readonly status: number;
  readonly headers: HeaderFields;
  readonly streamedBody: boolean;
  readonly body?: Uint8Array | undefined;
  readonly load: LoadReport;
}

/** Reports that the request was started, but no complete response was received. */
export interface RequestFailedFrame {
  readonly kind: 'request-failed';
  readonly callId: number;
  readonly detail: string;
  readonly load: LoadReport;
}

/** Whether a body belongs to the request or to its response. */
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

/** Reports that the body ended early: the chunks received so far must not be treated as complete. */
export interface BodyAbortedFrame {
  readonly kind: 'body-cut';
  readonly callId: number;
  readonly direction: BodyDirection;
}

/** Reports that the receiver no longer reads the body. */
export interface BodyStopFrame {
  readonly kind: 'body-stop';
  readonly callId: number;
  readonly direction: BodyDirection;
}

/** Flow control: allows the sender of a body to send this many more bytes. */
export interface BodyCreditFrame {
  readonly kind: 'body-credit';
  readonly callId: number;
  readonly direction: BodyDirection;
  readonly bytes: number;
}

export type BodyFrame =
  BodyChunkFrame | BodyEndFrame | BodyAbortedFrame | BodyStopFrame | BodyCreditFrame;

export type CallFrame =
  | RequestStartFrame
  | RequestAdmittedFrame
  | RequestRefusedFrame
  | RequestCancelFrame
  | ResponseFrame
  | RequestFailedFrame;
