import type { BodyEndpoint } from './core-command.js';
import type { CoreFrame, HeaderFields, RequestHead } from './frames.js';
import type { UpstreamAnnouncement } from './member.js';
import type { RequestClass } from './outcome.js';
import type { Configuration } from './service-configuration.js';
import type { StoreClient, StoreResult } from './store.js';

/** A caller's request whose head, and body if it is small or keyed, has been read. Bodies are only passed through. */
export interface CallerRequestMessage {
  readonly kind: 'caller-request';
  /** Chosen by the driver, unique in this node's life. */
  readonly requestNumber: number;
  readonly head: RequestHead;
  readonly requestClass: RequestClass;
  readonly deadlineMilliseconds: number;
  /** The whole body when it is small or the request is keyed, so that it can be sent again. */
  readonly body?: Uint8Array | undefined;
  /** The body is longer; the driver holds the stream under `requestNumber`. */
  readonly streamedBody: boolean;
  /** Present for non-idempotent requests. */
  readonly key?: string | undefined;
  readonly digest?: string | undefined;
}

/** The caller closed its connection before it had an answer. */
export interface CallerGoneMessage {
  readonly kind: 'caller-gone';
  readonly requestNumber: number;
}

/** A frame from another node. Streamed bodies stay with the driver, under the sender and the call identifier. */
export interface PeerFrameMessage {
  readonly kind: 'peer-frame';
  readonly from: string;
  readonly frame: CoreFrame;
}

/** A frame that the core sent never left this node: no connection could be opened, or too much is queued. */
export interface FrameNotSentMessage {
  readonly kind: 'frame-not-sent';
  readonly to: string;
  readonly congested: boolean;
  readonly frame: CoreFrame;
}

/** A connection to a server was lost; frames to it may be lost. */
export interface PeerLostMessage {
  readonly kind: 'peer-lost';
  readonly server: string;
}

/** The node's own upstream announced itself, or announced again with other numbers. */
export interface UpstreamAnnouncedMessage {
  readonly kind: 'upstream-announced';
  readonly announcement: UpstreamAnnouncement;
}

/** The node's own upstream wants no new work, or takes work again. */
export interface UpstreamDrainMessage {
  readonly kind: 'upstream-drain';
  readonly draining: boolean;
}

export interface UpstreamLeftMessage {
  readonly kind: 'upstream-left';
}

/** The upstream sent the head of its answer, or gave none. */
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
      /** The whole body if it is small, or if the execution was to collect it. */
      readonly body?: Uint8Array | undefined;
      /** The body is longer; the driver holds the stream under `executionId`. */
      readonly streamedBody: boolean;
    }
  /** The connection was refused: nothing was sent. */
  | { readonly kind: 'not-reached' }
  /** Something may have been sent, and no whole answer came. */
  | { readonly kind: 'failed'; readonly detail: string };

/** The last byte of the answer went out, or its body was cut: the slot is free. */
export interface UpstreamFinishedMessage {
  readonly kind: 'upstream-finished';
  readonly executionId: number;
  readonly complete: boolean;
}

/** A relay that was started with `relay-body` has ended. */
export interface RelayFinishedMessage {
  readonly kind: 'relay-finished';
  readonly from: BodyEndpoint;
  readonly to: BodyEndpoint;
  /** False when either side was cut. */
  readonly complete: boolean;
}

/** What the upstream's own load and health endpoints said; they lag, so they only make the gate more cautious. */
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

/** An operator's change of the configuration, built against a revision. */
export interface ProposeConfigurationMessage {
  readonly kind: 'propose-configuration';
  readonly proposalId: number;
  /** Identifies the change in the root record, so that a lost answer can be resolved. */
  readonly changeId: string;
  /** Whether the change was sent before: the write of that run may have taken effect, or still may. */
  readonly isResent?: boolean | undefined;
  readonly baseRevision: number;
  readonly configuration: Configuration;
}

/** An operator asks what is known of a key; `key-known` answers. */
export interface AskKeyMessage {
  readonly kind: 'ask-key';
  readonly questionId: number;
  readonly service: string;
  readonly key: string;
}

/** The process was asked to stop: hand over, finish what runs, then say so. */
export interface StopMessage {
  readonly kind: 'stop';
}

/** Time has passed; sent when the core says that it needs it, every 10 to 50 ms. */
export interface TickMessage {
  readonly kind: 'tick';
}

/** Everything that a driver tells the core. */
export type CoreMessage =
  | CallerRequestMessage
  | CallerGoneMessage
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
  | AskKeyMessage
  | StopMessage
  | TickMessage;
