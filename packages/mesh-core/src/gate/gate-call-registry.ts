import type { ReplyFrame, StartFrame } from '../messages/mesh-frames.js';

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
  /** Estimated memory of the reply. */
  replyBytes: number;
}

/** Estimated memory of a reply and of each of its header fields, beyond their bytes. */
const replyOverheadBytes = 512;
const headerFieldOverheadBytes = 128;

/**
 * The calls of a gate: those in progress, and finished ones whose reply may have to be sent again. The memory of
 * retained replies is limited: beyond it, the largest are replaced by one that says that the answer is gone.
 */
export class GateCallRegistry {
  private retainedBytes = 0;
  private readonly byKey = new Map<string, GateCall>();
  private readonly unfinishedByExecutionId = new Map<number, GateCall>();
  private nextExecutionId = 1;

  public constructor(private readonly maximumRetainedBytes: number) {}

  /** The call that an entry's frame refers to, in progress or finished and still retained. */
  public find(from: string, boot: number, callId: number): GateCall | undefined {
    return this.byKey.get(callKey(from, boot, callId));
  }

  /** The call with this execution identifier, if it has not finished. */
  public findByExecutionId(executionId: number): GateCall | undefined {
    return this.unfinishedByExecutionId.get(executionId);
  }

  public open(from: string, boot: number, frame: StartFrame, now: number): GateCall {
    const call: GateCall = {
      arrivedAt: now,
      boot,
      deadline: now + frame.remainingMilliseconds,
      executionId: this.nextExecutionId,
      finishedAt: 0,
      frame,
      from,
      isTrial: false,
      key: callKey(from, boot, frame.callId),
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
    call.reply = reply;
    call.replyBytes = bytesOf(reply);
    this.retainedBytes += call.replyBytes;
    this.unfinishedByExecutionId.delete(call.executionId);
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
    for (const { deadline, finishedAt, key, replyBytes, state } of this.byKey.values()) {
      const retainedUntil = Math.max(finishedAt, deadline) + replyRetentionMilliseconds;
      if (state !== 'finished' || now <= retainedUntil) continue;
      this.byKey.delete(key);
      this.retainedBytes -= replyBytes;
    }
  }

  private enforceRetentionLimit(): void {
    while (this.retainedBytes > this.maximumRetainedBytes) {
      const largest = this.findLargestAnswer();
      if (largest?.reply?.kind !== 'answered') return;
      const { callId, load } = largest.reply;
      this.retainedBytes -= largest.replyBytes;
      // The request has run, so the entry must not be told that it was declined.
      largest.reply = { callId, detail: 'answer is no longer retained', kind: 'failed', load };
      largest.replyBytes = bytesOf(largest.reply);
      this.retainedBytes += largest.replyBytes;
    }
  }

  private findLargestAnswer(): GateCall | undefined {
    let largest: GateCall | undefined;
    for (const call of this.byKey.values()) {
      if (call.reply?.kind === 'answered' && call.replyBytes > (largest?.replyBytes ?? 0))
        largest = call;
    }
    return largest;
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

function bytesOf(reply: ReplyFrame | undefined): number {
  if (reply === undefined) return 0;
  if (reply.kind !== 'answered') return replyOverheadBytes;
  let bytes = replyOverheadBytes + reply.body.length;
  for (const [name, value] of reply.headers)
    bytes += headerFieldOverheadBytes + name.length + value.length;
  return bytes;
}

function callKey(from: string, boot: number, callId: number): string {
  return `${from}/${boot}/${callId}`;
}
