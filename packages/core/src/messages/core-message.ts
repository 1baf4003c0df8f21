import type { BodyEndpoint } from './core-command.js';
import type { CoreFrame, HeaderFields, RequestHead } from './frames.js';
import type { UpstreamAnnouncement } from './member.js';
import type { RequestClass } from './outcome.js';
import type { Configuration } from './service-configuration.js';
import type { StoreClient, StoreResult } from './store.js';

/**
 * A caller's request, delivered once its head has been read, and its body too if that is small or the
 * request is keyed. The core does not read bodies; it only passes them on.
 */
export interface CallerRequestMessage {
  readonly kind: 'caller-request';
  /** Chosen by the driver; unique within this node's incarnation. */
  readonly requestNumber: number;
  readonly head: RequestHead;
  readonly requestClass: RequestClass;
  readonly deadlineMilliseconds: number;
  /** The whole body if it is small or the request is keyed, so that it can be sent again in a retry. */
  readonly body?: Uint8Array | undefined;
  /**
   * Whether the body is too large to buffer; the driver then holds its stream under
   * `requestNumber`.
   */
  readonly streamedBody: boolean;
  /** Idempotency key; present for non-idempotent requests. */
  readonly key?: string | undefined;
  /** Digest of method, path and body; present for non-idempotent requests. */
  readonly digest?: string | undefined;
}

/** The caller closed its connection before it received the complete response. */
export interface CallerDisconnectedMessage {
  readonly kind: 'caller-gone';
  readonly requestNumber: number;
}

/**
 * A frame from another node. The driver holds streamed bodies, identified by the sender and the
 * call identifier.
 */
export interface PeerFrameMessage {
  readonly kind: 'peer-frame';
  readonly from: string;
  readonly frame: CoreFrame;
}

/**
 * A frame from the core was not sent because no connection could be opened or the send queue is
 * full.
 */
export interface FrameNotSentMessage {
  readonly kind: 'frame-not-sent';
  readonly to: string;
  /** True if the send queue is full; false if there is no connection. */
  readonly congested: boolean;
  readonly frame: CoreFrame;
}

/** The connection to a server was lost; frames sent to it recently may not have arrived. */
export interface PeerLostMessage {
  readonly kind: 'peer-lost';
  readonly server: string;
}

/** The node's own upstream announced itself, possibly again with changed values. */
export interface UpstreamAnnouncedMessage {
  readonly kind: 'upstream-announced';
  readonly announcement: UpstreamAnnouncement;
}

/** The node's own upstream stopped or resumed accepting requests. */
export interface UpstreamDrainMessage {
  readonly kind: 'upstream-drain';
  readonly draining: boolean;
}

/** The node's own upstream withdrew its announcement. */
export interface UpstreamLeftMessage {
  readonly kind: 'upstream-left';
}

/** The upstream sent the head of its response, or the request failed without one. */
export interface UpstreamResultMessage {
  readonly kind: 'upstream-result';
  readonly executionId: number;
  readonly result: UpstreamResult;
}

export type UpstreamResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderFields;
      /** The whole body if it is small or `collectAnswer` was set for the execution. */
      readonly body?: Uint8Array | undefined;
      /**
       * Whether the body is too large to buffer; the driver then holds its stream under
       * `executionId`.
       */
      readonly streamedBody: boolean;
    }
  /** The connection was refused: nothing was sent. */
  | { readonly kind: 'not-reached' }
  /** The request may have been sent, but no complete response was received. */
  | { readonly kind: 'failed'; readonly detail: string };

/** The response was sent on completely, or its body was aborted: the slot is free. */
export interface UpstreamFinishedMessage {
  readonly kind: 'upstream-finished';
  readonly executionId: number;
  readonly complete: boolean;
}

/** A relay started by a `relay-body` command has ended. */
export interface RelayFinishedMessage {
  readonly kind: 'relay-finished';
  readonly from: BodyEndpoint;
  readonly to: BodyEndpoint;
  /** False if either side was aborted. */
  readonly complete: boolean;
}

/**
 * Result of polling the upstream's load and health endpoints. It lags behind, so the gate only uses
 * it to admit less.
 */
export interface UpstreamPolledMessage {
  readonly kind: 'upstream-polled';
  readonly healthy: boolean;
  readonly inFlight: number | undefined;
}

export interface StoreResultMessage {
  readonly kind: 'store-result';
  readonly client: StoreClient;
  readonly operationId: number;
  readonly result: StoreResult;
}

/** Proposes an operator's configuration change, based on the revision `baseRevision`. */
export interface ProposeConfigurationMessage {
  readonly kind: 'propose-configuration';
  readonly proposalId: number;
  /**
   * Identifies the change in the store's root record, so that a write whose result was lost can be
   * resolved.
   */
  readonly changeId: string;
  /**
   * Whether the change was submitted before: the earlier write may already have taken effect, or
   * still may.
   */
  readonly isResent?: boolean | undefined;
  readonly baseRevision: number;
  readonly configuration: Configuration;
}

/** An operator's query for the state of a key; answered by a `key-known` command. */
export interface KeyStateQueryMessage {
  readonly kind: 'ask-key';
  readonly questionId: number;
  readonly service: string;
  readonly key: string;
}

/** Starts a graceful shutdown; a `stopped` command reports its end. */
export interface StopMessage {
  readonly kind: 'stop';
}

/** Time has passed. Delivered no later than `NodeCore.nextTickAt`, which is every 10 to 50 ms. */
export interface TickMessage {
  readonly kind: 'tick';
}

/** Messages from the driver to the core. */
export type CoreMessage =
  | CallerRequestMessage
  | CallerDisconnectedMessage
  | PeerFrameMessage
  | FrameNotSentMessage
  | PeerLostMessage
  | UpstreamAnnouncedMessage
  | UpstreamDrainMessage
  | UpstreamLeftMessage
  | UpstreamResultMessage
  | UpstreamFinishedMessage
  | RelayFinishedMessage
  | UpstreamPolledMessage
  | StoreResultMessage
  | ProposeConfigurationMessage
  | KeyStateQueryMessage
  | StopMessage
  | TickMessage;
