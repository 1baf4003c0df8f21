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

/** Runs a keyed request once; the call engine may try other gates only while none has started it. */
export interface RunKeyedCommand {
  readonly kind: 'run-keyed';
  readonly dispatchId: number;
  readonly head: RequestHead;
  readonly body: Uint8Array;
  readonly remainingMilliseconds: number;
}

/** Answers a `keyed-request`. */
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

/** Every range and record of this node has been handed over, or there was nothing to hand over. */
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

/** What the upstream answered to a `run-keyed`. */
export interface KeyedAnswer {
  readonly status: number;
  readonly headers: KeyedRequestFrame['head']['headers'];
  /** Undefined when the answer exceeded the limit for keyed answers. */
  readonly body: Uint8Array | undefined;
}

/** The key records of a node. */
export interface RecordUsage {
  readonly records: number;
  /** Approximate memory of the records and their answers. */
  readonly bytes: number;
  /** Keys that were forgotten before their retention time since the start, for lack of room. */
  readonly forgotten: number;
}

/** What a node holds of one service as a home of its keys. */
export interface HeldHome {
  readonly service: string;
  readonly ranges: number;
  /** Of them, those that accept new keys now. */
  readonly accepting: number;
  /** Version of the table that this node goes by. */
  readonly version: number;
  readonly witnesses: readonly string[];
  /** Witnesses whose promise has ended or was never given. */
  readonly silentWitnesses: readonly string[];
}

/** Makes non-idempotent requests run at most once. */
export interface HomeKeeperContract {
  /** A request for a key, from this node's entry (`from` is the own server) or another node's. */
  request(from: string, frame: KeyedRequestFrame, now: ClockReading): readonly HomeCommand[];
  question(from: string, frame: KeyQuestionFrame, now: ClockReading): readonly HomeCommand[];
  /** The end of a `run-keyed`. `answer` is present when the outcome is `answered`. */
  concluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): readonly HomeCommand[];
  /** What a gate said of a `run-keyed` whose end was unknown before: later questions get the truth. */
  settled(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): readonly HomeCommand[];
  frame(from: string, frame: HomeFrame, now: ClockReading): readonly HomeCommand[];
  storeResult(operationId: number, result: StoreResult, now: ClockReading): readonly HomeCommand[];
  /** All members known to this node and those out of reach, whenever one of them changed. */
  members(
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ): readonly HomeCommand[];
  /** Starts the hand-over of a planned stop; ends with `handed-over`. */
  handOver(now: ClockReading): readonly HomeCommand[];
  tick(now: ClockReading): readonly HomeCommand[];
  /** Monotonic time at which the next tick is needed. */
  readonly nextTickAt: number;
  /** The newest known table of a service, for entries. */
  table(service: string): HomeTable | undefined;
  /** The range of a key: 0 to 15. */
  rangeOf(key: string): number;
  /** The services of which this node is a home, for operators. */
  held(now: ClockReading): readonly HeldHome[];
  readonly recordUsage: RecordUsage;
}
