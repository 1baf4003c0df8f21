import type { HomeTable, KeyRecord } from './home-table.js';
import type { LoadReport } from './load-report.js';
import type { MemberRecord, ZoneReachability } from './member.js';
import type { Refusal, RefusalReason, RequestClass, UnknownReason } from './outcome.js';
import type { Configuration } from './service-configuration.js';

export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/** What is sent on of a request; the body follows in the same frame or as chunks. */
export interface RequestHead {
  readonly service: string;
  readonly method: string;
  /** Path and query as the upstream sees them. */
  readonly path: string;
  readonly headers: HeaderFields;
  readonly tenant: string;
  readonly depth: number;
  readonly requestId: string;
}

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

/** A home asks a witness to confirm its lease. */
export interface HomeConfirmFrame {
  readonly kind: 'home-confirm';
  readonly service: string;
  readonly version: number;
  /**
   * Left out once the witness has accepted this version: the table takes about 1 KB, and sent with each
   * of a home's five requests a second it would take the whole control budget of 4 KB/s.
   */
  readonly table?: HomeTable | undefined;
  /** Sequence number that the promise repeats, so that the home knows when it asked. */
  readonly sequence: number;
  /** Ranges that the sender has given up in a planned stop; no promise holds for them any more. */
  readonly released: boolean;
}

/** The witness's answer: it accepted this version, or knows a newer one, or must wait. */
export interface HomePromiseFrame {
  readonly kind: 'home-promise';
  readonly service: string;
  readonly sequence: number;
  readonly accepted: boolean;
  readonly version: number;
  /** The newest table that the witness accepted, sent when it did not accept the asked one. */
  readonly table?: HomeTable | undefined;
}

/** Asks a witness which of these homes still hold a promise, before they are replaced unheard. */
export interface HomeLeaseQuestionFrame {
  readonly kind: 'home-lease-question';
  readonly service: string;
  readonly round: number;
  readonly homes: readonly string[];
}

export interface HomeLeaseAnswerFrame {
  readonly kind: 'home-lease-answer';
  readonly service: string;
  readonly round: number;
  /** Those of the homes asked for to which this witness has promised the lease. */
  readonly bound: readonly string[];
}

export interface HomeTableRequestFrame {
  readonly kind: 'home-table-request';
  readonly service: string;
}

export interface HomeTableFrame {
  readonly kind: 'home-table';
  readonly service: string;
  readonly table: HomeTable | undefined;
}

/** Hands records of a range to its next home during a planned stop. */
export interface RecordsTransferFrame {
  readonly kind: 'records-transfer';
  readonly service: string;
  readonly range: number;
  /** Identifies this hand-over; the table that completes it names the same transfer. */
  readonly transfer: string;
  readonly part: number;
  readonly last: boolean;
  /** Wall time at or before which keys without a record have an unknown outcome. */
  readonly cutoff: number | undefined;
  /** Attempts without a record that entered at or before this wall time are void. */
  readonly voidUntil: number | undefined;
  /** Keys without a record created at or before this wall time may have been forgotten. */
  readonly forgottenUntil: number | undefined;
  readonly records: readonly KeyRecord[];
}

export interface RecordsReceivedFrame {
  readonly kind: 'records-received';
  readonly service: string;
  readonly range: number;
  readonly transfer: string;
  readonly part: number;
}

export type KeyedFrame = KeyedRequestFrame | KeyedOutcomeFrame | KeyQuestionFrame | KeyAnswerFrame;

export type HomeFrame =
  | HomeConfirmFrame
  | HomePromiseFrame
  | HomeLeaseQuestionFrame
  | HomeLeaseAnswerFrame
  | HomeTableRequestFrame
  | HomeTableFrame
  | RecordsTransferFrame
  | RecordsReceivedFrame;

export interface PingFrame {
  readonly kind: 'ping';
  readonly sequence: number;
  readonly updates: readonly MemberRecord[];
  readonly configurationRevision: number;
}

export interface AcknowledgementFrame {
  readonly kind: 'acknowledgement';
  readonly sequence: number;
  /** The server that is alive; differs from the sender for an indirect ping. */
  readonly server: string;
  readonly updates: readonly MemberRecord[];
  readonly configurationRevision: number;
}

/** Asks a member to ping another on the sender's behalf. */
export interface PingRequestFrame {
  readonly kind: 'ping-request';
  readonly sequence: number;
  readonly target: string;
}

export interface MemberUpdatesFrame {
  readonly kind: 'member-updates';
  readonly updates: readonly MemberRecord[];
  /** Reachability of other zones as the sender's bridges see it; only sent within a zone. */
  readonly zones?: ZoneReachability | undefined;
}

/** Server, incarnation and rank of the state: enough to see which of two records is newer. */
export type MemberStamp = readonly [server: string, incarnation: number, stateRank: number];

/** First step of a comparison: digest of the live members of each availability zone. */
export interface MemberSyncZonesFrame {
  readonly kind: 'member-sync';
  readonly step: 'zones';
  readonly digests: Readonly<Record<string, number>>;
}

/** Second step: digests of the buckets of a zone whose digests differ. */
export interface MemberSyncBucketsFrame {
  readonly kind: 'member-sync';
  readonly step: 'buckets';
  readonly availabilityZone: string;
  readonly digests: readonly number[];
}

/** Third step: what the sender has in the buckets that differ. */
export interface MemberSyncStampsFrame {
  readonly kind: 'member-sync';
  readonly step: 'stamps';
  readonly availabilityZone: string;
  readonly buckets: readonly number[];
  readonly stamps: readonly MemberStamp[];
}

/** Fourth step: records that are newer at the sender, and servers whose records it wants. */
export interface MemberSyncRecordsFrame {
  readonly kind: 'member-sync';
  readonly step: 'records';
  readonly records: readonly MemberRecord[];
  readonly wanted: readonly string[];
}

/** Compares what two nodes know; each step answers the one before and is bounded in size. */
export type MemberSyncFrame =
  MemberSyncZonesFrame | MemberSyncBucketsFrame | MemberSyncStampsFrame | MemberSyncRecordsFrame;

export type MembershipFrame =
  PingFrame | AcknowledgementFrame | PingRequestFrame | MemberUpdatesFrame | MemberSyncFrame;

/** Passes a revision on: the changed parts if the receiver has the base, else it pulls. */
export interface ConfigurationPushFrame {
  readonly kind: 'configuration-push';
  readonly baseRevision: number;
  readonly revision: number;
  /** The whole configuration, or only the changed services when `baseRevision` is above 0. */
  readonly configuration: Configuration;
  readonly removedServices: readonly string[];
  /** False when the drained servers and zones are as at the base; they are then left out. */
  readonly drainsChanged: boolean;
}

/** Says that a revision is in force at the sender; a receiver that lacks it pulls it. */
export interface ConfigurationAnnouncementFrame {
  readonly kind: 'configuration-announcement';
  readonly revision: number;
}

export interface ConfigurationPullFrame {
  readonly kind: 'configuration-pull';
  readonly haveRevision: number;
}

export type ConfigurationFrame =
  ConfigurationAnnouncementFrame | ConfigurationPushFrame | ConfigurationPullFrame;

export interface LoadProbeFrame {
  readonly kind: 'load-probe';
  readonly service: string;
}

export interface LoadReportFrame {
  readonly kind: 'load-report';
  readonly load: LoadReport | undefined;
}

export type LoadFrame = LoadProbeFrame | LoadReportFrame;

/** A question of an operator, gathered by the node that was asked. The payloads are JSON text. */
export interface OperatorQuestionFrame {
  readonly kind: 'operator-question';
  readonly questionId: number;
  readonly question: string;
}

export interface OperatorAnswerFrame {
  readonly kind: 'operator-answer';
  readonly questionId: number;
  readonly answer: string;
}

export type OperatorFrame = OperatorQuestionFrame | OperatorAnswerFrame;

/** Every frame between nodes after the hello. */
export type PeerFrame =
  | CallFrame
  | BodyFrame
  | KeyedFrame
  | HomeFrame
  | MembershipFrame
  | ConfigurationFrame
  | LoadFrame
  | OperatorFrame;

/** Frames that the core decides on; bodies and operators' questions are relayed by the daemon. */
export type CoreFrame =
  CallFrame | KeyedFrame | HomeFrame | MembershipFrame | ConfigurationFrame | LoadFrame;
