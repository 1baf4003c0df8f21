import type {
  HomeFrame,
  KeyAnswerFrame,
  KeyedOutcome,
  KeyQuestionFrame,
  KeyedRequestFrame,
  RequestHead,
} from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { CountCommand, LogCommand } from '../messages/core-command.js';
import type { MemberRecord } from '../messages/member.js';
import type { CallOutcome } from '../messages/outcome.js';
import type { StoreOperation, StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';

/**
 * Dispatches a keyed request for a single execution. The call engine may try another gate only as long
 * as no gate has started the request.
 */
export interface RunKeyedCommand {
  readonly kind: 'run-keyed';
  readonly dispatchId: number;
  readonly head: RequestHead;
  readonly body: Uint8Array;
  readonly remainingMilliseconds: number;
}

/** Sends the outcome of a `keyed-request` to the entry that forwarded it. */
export interface KeyedReplyCommand {
  readonly kind: 'keyed-reply';
  readonly to: string;
  readonly callId: number;
  readonly outcome: KeyedOutcome;
}

export interface SendHomeFrameCommand {
  readonly kind: 'send';
  readonly to: string;
  readonly frame: HomeFrame | KeyAnswerFrame;
}

export interface HomeStoreCommand {
  readonly kind: 'store';
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/**
 * The hand-over of a planned stop has ended: nothing is left to hand over, or no node can take it.
 */
export interface HandedOverCommand {
  readonly kind: 'handed-over';
}

export type HomeCommand =
  | RunKeyedCommand
  | KeyedReplyCommand
  | SendHomeFrameCommand
  | HomeStoreCommand
  | HandedOverCommand
  | CountCommand
  | LogCommand;

/** The upstream's response to a `run-keyed` command. */
export interface KeyedAnswer {
  readonly status: number;
  readonly headers: KeyedRequestFrame['head']['headers'];
  /** Undefined when the body exceeded the size limit for keyed responses. */
  readonly body: Uint8Array | undefined;
}

/** Memory use of the key records of this node. */
export interface RecordUsage {
  readonly records: number;
  /** Approximate size of the records and their recorded responses. */
  readonly bytes: number;
  /** Number of keys evicted before the end of their retention time since the process started. */
  readonly evicted: number;
}

/** State of the ranges of one service that this node is the home of. */
export interface ServiceHomeStatus {
  readonly service: string;
  readonly ranges: number;
  /** Number of those ranges that currently accept new keys. */
  readonly accepting: number;
  /** Version of the home table that this node uses. */
  readonly version: number;
  readonly witnesses: readonly string[];
  /** Witnesses whose promise of the lease has expired or was never given. */
  readonly silentWitnesses: readonly string[];
}

/** Ensures that a non-idempotent request runs at most once per idempotency key. */
export interface HomeManagerContract {
  /**
   * Handles a keyed request from an entry: this node's own (`from` is this server) or that of a
   * peer.
   */
  onRequest(from: string, frame: KeyedRequestFrame, now: ClockReading): readonly HomeCommand[];
  /** Answers a question about what is known of a key. */
  onKeyQuestion(from: string, frame: KeyQuestionFrame, now: ClockReading): readonly HomeCommand[];
  /** Handles the end of a `run-keyed`. `answer` is present if the outcome is `answered`. */
  onAttemptConcluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): readonly HomeCommand[];
  /**
   * Handles the outcome that a gate reports for a `run-keyed` which had already ended with an unknown
   * outcome, so that later requests and questions get the actual outcome.
   */
  onLateOutcome(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): readonly HomeCommand[];
  onFrame(from: string, frame: HomeFrame, now: ClockReading): readonly HomeCommand[];
  onStoreResult(
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): readonly HomeCommand[];
  /**
   * Called with all members known to this node, and the servers in unreachable availability zones,
   * whenever either changes.
   */
  onMembersChanged(
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ): readonly HomeCommand[];
  /** Starts the hand-over of a planned stop. A `handed-over` command reports its end. */
  startHandOver(now: ClockReading): readonly HomeCommand[];
  tick(now: ClockReading): readonly HomeCommand[];
  /** Monotonic time at which the next tick is needed. */
  readonly nextTickAt: number;
  /**
   * The newest home table of a service known to this node. An entry looks up in it the home to which it
   * forwards a keyed request.
   */
  table(service: string): HomeTable | undefined;
  /** The number of the range that a key belongs to, 0 to 15. */
  rangeOf(key: string): number;
  /** State of each service that this node is a home of, shown to operators. */
  statuses(now: ClockReading): readonly ServiceHomeStatus[];
  readonly recordUsage: RecordUsage;
}
