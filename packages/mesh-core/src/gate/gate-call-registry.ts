import { headMemory } from '../clients/message-memory.js';
import type { MemoryAccount } from '../memory/memory-account.js';
import type { MemoryHold } from '../memory/memory-hold.js';
import { MemoryPlace } from '../memory/memory-place.js';
import type { ReplyFrame, StartFrame } from '../messages/mesh-frames.js';
import type { WaitingRequest } from '../admission/admission-queue.js';
import { DeclinedCalls } from './declined-calls.js';
import type { Decline } from './declined-calls.js';

/**
 * Time for which a finished call is retained after its end or its deadline, whichever is later. Until then
 * an entry may resend the frame and must receive the same reply.
 */
const replyRetentionMilliseconds = 5_000;

/** A request that an entry has asked the gate to run. */
export interface GateCall {
  readonly key: string;
  readonly executionId: number;
  readonly from: string;
  /** Incarnation of the entry's process that sent the request. */
  readonly boot: number;
  /** Without the content of the request once the call has finished. */
  frame: StartFrame;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly targetAt: number;
  /** Time on the `LeaseClock` until which the key of the request may be acted on; infinite without a limit. */
  keyValidUntil: number;
  /** `lost`: the connection to the server closed, and it is being checked whether the server crashed. */
  state: 'waiting' | 'running' | 'aborted' | 'lost' | 'finished';
  startedAt: number;
  runningAtStart: number;
  /** Time for which the server had been crowded in total when the call started. */
  crowdedMillisecondsAtStart: number;
  /** Whether the call started in one of the last slots of the server. */
  isCrowdedAtStart: boolean;
  /**
   * Whether the call was admitted although its remaining time seemed too short: on an idle gate only a request
   * can show whether the estimated service time is still right.
   */
  isTrial: boolean;
  /** Whether the server was known to run at its normal speed when the call started. */
  isFastAtStart: boolean;
  slowdownAtStart: number;
  /** Age of the report that `slowdownAtStart` was taken from, in milliseconds. */
  slowdownAgeAtStart: number;
  finishedAt: number;
  reply: ReplyFrame | undefined;
  /** Memory of the call beside the bodies of its request and its reply. */
  readonly hold: MemoryHold;
  /** Whether there was memory for the call when it arrived. */
  readonly hasMemory: boolean;
  /** Memory of the request's body, or of the body of the retained reply. */
  bodyHold: MemoryHold | undefined;
  /** Estimated memory of the reply. */
  replyBytes: number;
}

/** Limits on the memory of calls. */
export interface CallMemory {
  /** Counts bodies and answers. */
  readonly account: MemoryAccount;
  /** Counts what is kept for each call beside them. */
  readonly protocol: MemoryAccount;
  /** Limit on retained replies. */
  readonly retainedBytes: number;
}

/** Memory of a call without its header fields, which are given up when it finishes. */
const callBytes = 1_024;
/** Share of the account that the calls of the gate may take; the rest is for callers. */
const maximumCallShare = 0.5;
/** Estimated memory of a reply and of each of its header fields, beyond their bytes. */
const replyOverheadBytes = 512;
const headerFieldOverheadBytes = 128;
/** Answers that take more than this share of the limit are forgotten before the others. */
const longAnswerShare = 1 / 64;

/**
 * The calls of a gate: those in progress, and finished ones whose reply may have to be sent again. The memory of
 * retained replies is limited: beyond it, answers are replaced by a reply that says that the answer is gone.
 */
export class GateCallRegistry {
  private retainedBytes = 0;
  /** Calls whose answer is retained, in the order in which they finished. */
  private readonly longAnswers = new Set<GateCall>();
  private readonly shortAnswers = new Set<GateCall>();
  private readonly byKey = new Map<string, GateCall>();
  private readonly unfinishedByExecutionId = new Map<number, GateCall>();
  private readonly declined: DeclinedCalls;
  private nextExecutionId = 1;

  public constructor(private readonly memory: CallMemory) {
    this.declined = new DeclinedCalls(memory.protocol);
  }

  /** The call that an entry's frame refers to, in progress or finished and still retained. */
  public find(from: string, boot: number, callId: number): GateCall | undefined {
    return this.byKey.get(callKey(from, boot, callId));
  }

  /** The declined call that an entry's frame refers to, if it is still remembered. */
  public findDeclined(from: string, boot: number, callId: number): Decline | undefined {
    return this.declined.find(callKey(from, boot, callId));
  }

  /** The call with this execution identifier, if it has not finished. */
  public findByExecutionId(executionId: number): GateCall | undefined {
    return this.unfinishedByExecutionId.get(executionId);
  }

  public open(from: string, boot: number, frame: StartFrame, now: number): GateCall {
    const { protocol } = this.memory;
    const hold = protocol.open({ place: MemoryPlace.GateCall }, now);
    const call: GateCall = {
      hasMemory:
        protocol.shareOf(MemoryPlace.GateCall) < maximumCallShare &&
        hold.tryResize(callBytes + headMemoryOf(frame), now),
      hold,
      arrivedAt: now,
      bodyHold: this.holdBody(frame.body, MemoryPlace.PeerInput, now),
      boot,
      deadline: now + frame.remainingMilliseconds,
      executionId: this.nextExecutionId,
      finishedAt: 0,
      frame,
      from,
      isTrial: false,
      key: callKey(from, boot, frame.callId),
      keyValidUntil: Infinity,
      reply: undefined,
      replyBytes: 0,
      runningAtStart: 0,
      crowdedMillisecondsAtStart: 0,
      isCrowdedAtStart: false,
      slowdownAtStart: 1,
      slowdownAgeAtStart: Infinity,
      startedAt: 0,
      isFastAtStart: false,
      state: 'waiting',
      targetAt: now + frame.targetMilliseconds,
    };
    this.nextExecutionId += 1;
    this.byKey.set(call.key, call);
    this.unfinishedByExecutionId.set(call.executionId, call);
    return call;
  }

  public finish(call: GateCall, reply: ReplyFrame | undefined, now: number): void {
    call.state = 'finished';
    call.finishedAt = now;
    // Only the reply may be needed again; bodies of requests can be as large as the caller's limit.
    call.frame = { ...call.frame, body: undefined, headers: [] };
    call.bodyHold?.release();
    call.hold.resize(callBytes);
    this.unfinishedByExecutionId.delete(call.executionId);
    if (reply?.kind === 'declined') {
      this.forget(call);
      this.declined.add(call.key, reply, now);
      return;
    }
    this.retain(call, reply);
    this.holdAnswer(call, now);
    this.enforceRetentionLimit();
  }

  /** Calls that the server is running; aborted ones are not included. */
  public *runningCalls(): Generator<GateCall> {
    for (const call of this.unfinishedByExecutionId.values())
      if (call.state === 'running') yield call;
  }

  public *runningFrames(): Generator<StartFrame> {
    for (const { frame } of this.runningCalls()) yield frame;
  }

  /** Removes finished calls whose retention period has passed. */
  public removeExpired(now: number): void {
    this.declined.removeExpired(now);
    for (const call of this.byKey.values()) {
      if (call.state === 'finished' && now > retainedUntil(call)) this.forget(call);
    }
  }

  private forget(call: GateCall): void {
    this.byKey.delete(call.key);
    call.hold.release();
    this.release(call);
  }

  /** Forgets the oldest of the long answers, then the oldest of the others, until the rest is within the limit. */
  private enforceRetentionLimit(): void {
    for (const calls of [this.longAnswers, this.shortAnswers]) {
      for (const call of calls) {
        if (this.retainedBytes <= this.memory.retainedBytes) return;
        this.forgetAnswer(call);
      }
    }
  }

  private holdBody(
    buffer: Uint8Array | undefined,
    place: MemoryPlace,
    now: number,
  ): MemoryHold | undefined {
    if (buffer === undefined || buffer.length === 0) return undefined;
    return this.memory.account.share({ buffer, place }, now);
  }

  /** Counts a retained answer. It is the first to go when others need its memory. */
  private holdAnswer(call: GateCall, now: number): void {
    const { reply } = call;
    if (reply?.kind !== 'answered' || reply.body.length === 0) return;
    const place = MemoryPlace.RetainedAnswer;
    const end = (): void => {
      this.forgetAnswer(call);
    };
    call.bodyHold = this.memory.account.tryShare({ buffer: reply.body, end, place }, now);
    if (call.bodyHold === undefined) this.forgetAnswer(call);
  }

  private retain(call: GateCall, reply: ReplyFrame | undefined): void {
    call.reply = reply;
    call.replyBytes = bytesOf(reply);
    this.retainedBytes += call.replyBytes;
    if (reply?.kind !== 'answered') return;
    const isLong = call.replyBytes > this.memory.retainedBytes * longAnswerShare;
    (isLong ? this.longAnswers : this.shortAnswers).add(call);
  }

  private release(call: GateCall): void {
    call.bodyHold?.release();
    this.retainedBytes -= call.replyBytes;
    this.longAnswers.delete(call);
    this.shortAnswers.delete(call);
  }

  private forgetAnswer(call: GateCall): void {
    if (call.reply === undefined) return;
    const { callId, load } = call.reply;
    this.release(call);
    // The request has run, so the entry must not be told that it was declined.
    this.retain(call, { callId, detail: 'answer is no longer retained', kind: 'failed', load });
  }

  /**
   * Finds the running request that issued the given request as a nested call. The identifier of a nested call
   * starts with that of its parent.
   */
  public findParent(requestId: string): StartFrame | undefined {
    for (const { frame, state } of this.unfinishedByExecutionId.values()) {
      if (state === 'waiting' || requestId.length <= frame.requestId.length) continue;
      if (frame.requestId !== '' && requestId.startsWith(frame.requestId)) return frame;
    }
    return undefined;
  }
}

function retainedUntil({ deadline, finishedAt }: GateCall): number {
  return Math.max(finishedAt, deadline) + replyRetentionMilliseconds;
}

function bytesOf(reply: ReplyFrame | undefined): number {
  if (reply === undefined) return 0;
  if (reply.kind !== 'answered') return replyOverheadBytes;
  let bytes = replyOverheadBytes + reply.body.length;
  for (const [name, value] of reply.headers)
    bytes += headerFieldOverheadBytes + name.length + value.length;
  return bytes;
}

function headMemoryOf({ headers }: StartFrame): number {
  let byteCount = 0;
  for (const [name, value] of headers) byteCount += name.length + value.length;
  return headMemory(byteCount, headers.length);
}

function callKey(from: string, boot: number, callId: number): string {
  return `${from}/${boot}/${callId}`;
}

/** The call as it waits for a slot from now on. */
export function toWaitingRequest(call: GateCall, now: number): WaitingRequest {
  const { deadline, executionId, frame, targetAt } = call;
  return { deadline, enqueuedAt: now, executionId, frame, targetAt };
}
