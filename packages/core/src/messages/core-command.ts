import type { BodyDirection, CoreFrame, HeaderFields, RequestHead } from './frames.js';
import type { KeyRecord } from './home-table.js';
import type { LoadReport } from './load-report.js';
import type { CallOutcome, RefusalReason, RetryReason } from './outcome.js';
import type { Configuration } from './service-configuration.js';
import type { StoreClient, StoreOperation } from './store.js';

/** Sends a frame to another node, connecting first if need be. */
export interface SendFrameCommand {
  readonly kind: 'send-frame';
  readonly to: string;
  readonly address: string;
  readonly frame: CoreFrame;
}

/** One end of a body that is streamed by the driver. */
export type BodyEndpoint =
  | { readonly kind: 'caller'; readonly requestNumber: number }
  | { readonly kind: 'peer'; readonly server: string; readonly callId: number }
  | { readonly kind: 'upstream'; readonly executionId: number };

/** Answers the caller. */
export interface ReplyToCallerCommand {
  readonly kind: 'reply-to-caller';
  readonly requestNumber: number;
  readonly outcome: CallOutcome;
  /** Present when the outcome is `answered`. */
  readonly headers?: HeaderFields | undefined;
  /** The whole body; undefined when a `relay-body` command follows or there is none. */
  readonly body?: Uint8Array | undefined;
  readonly streamedBody: boolean;
}

/** Sends a request to the local upstream. */
export interface RunUpstreamCommand {
  readonly kind: 'run-upstream';
  readonly executionId: number;
  readonly head: RequestHead;
  readonly remainingMilliseconds: number;
  /** The whole body; undefined when a `relay-body` command to this execution follows. */
  readonly body?: Uint8Array | undefined;
  readonly streamedBody: boolean;
  /** The answer belongs to a key's record: collect it whole, up to the limit for keyed answers. */
  readonly collectAnswer: boolean;
}

/** Aborts a request at the local upstream; its `upstream-finished` still follows. */
export interface CancelUpstreamCommand {
  readonly kind: 'cancel-upstream';
  readonly executionId: number;
}

/** Lets a streamed body flow from one end to the other with back-pressure. */
export interface RelayBodyCommand {
  readonly kind: 'relay-body';
  readonly direction: BodyDirection;
  readonly from: BodyEndpoint;
  readonly to: BodyEndpoint;
}

/** Drops a streamed body that nobody needs any more. */
export interface DropBodyCommand {
  readonly kind: 'drop-body';
  readonly endpoint: BodyEndpoint;
}

export interface PollUpstreamCommand {
  readonly kind: 'poll-upstream';
}

export interface StoreCommand {
  readonly kind: 'store';
  readonly client: StoreClient;
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/** A configuration has come into force on this node. */
export interface ConfigurationInForceCommand {
  readonly kind: 'configuration-in-force';
  readonly configuration: Configuration;
}

export interface ProposalConcludedCommand {
  readonly kind: 'proposal-concluded';
  readonly proposalId: number;
  readonly result: ProposalResult;
}

/** What the home of a key knows; the state is undefined when no home could be asked in time. */
export interface KeyKnownCommand {
  readonly kind: 'key-known';
  readonly questionId: number;
  readonly home: string | undefined;
  readonly state: KeyRecord['state'] | undefined;
  readonly status: number | undefined;
}

export type ProposalResult =
  | { readonly kind: 'accepted'; readonly revision: number }
  /** Another change came first and touches the same parts. */
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      readonly changedServices: readonly string[];
    }
  /** The store could not be asked; whether the change holds is not known yet. */
  | { readonly kind: 'unresolved' }
  | { readonly kind: 'rejected'; readonly reason: string };

/** Everything of this node is handed over and finished: the process may end. */
export interface StoppedCommand {
  readonly kind: 'stopped';
}

/** Raises a counter. */
export interface CountCommand {
  readonly kind: 'count';
  readonly counter: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly by: number;
}

/** Writes one log line. */
export interface LogCommand {
  readonly kind: 'log';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** What happened to one attempt of a request. */
export type AttemptStep =
  | {
      readonly kind: 'sent';
      /** What the receiving node is to the request. */
      readonly role: 'gate' | 'home';
      readonly server: string;
      readonly retryReason?: RetryReason | undefined;
    }
  | {
      readonly kind: 'refused';
      readonly server: string;
      readonly reason: RefusalReason;
      readonly load?: LoadReport | undefined;
    }
  | {
      readonly kind: 'answered';
      readonly server: string;
      readonly status: number;
      readonly load?: LoadReport | undefined;
    }
  /** The attempt may have run and gave no answer. */
  | {
      readonly kind: 'failed';
      readonly server: string;
      readonly detail: string;
      readonly load?: LoadReport | undefined;
    }
  | {
      readonly kind: 'cancelled';
      /** Undefined when the whole request was cancelled. */
      readonly server: string | undefined;
      readonly detail: string;
    };

/** One step of a request, kept for a time so that operators can ask why it was refused. */
export interface JournalCommand {
  readonly kind: 'journal';
  readonly requestId: string;
  readonly step: AttemptStep;
}

/** Everything that the core asks of a driver. */
export type CoreCommand =
  | SendFrameCommand
  | ReplyToCallerCommand
  | RunUpstreamCommand
  | CancelUpstreamCommand
  | RelayBodyCommand
  | DropBodyCommand
  | PollUpstreamCommand
  | StoreCommand
  | ConfigurationInForceCommand
  | ProposalConcludedCommand
  | KeyKnownCommand
  | StoppedCommand
  | CountCommand
  | JournalCommand
  | LogCommand;
