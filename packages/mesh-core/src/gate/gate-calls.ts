import type { ReplyFrame, StartFrame } from '../messages/mesh-frames.js';

/**
 * Time past its end, and past its deadline, for which a call is remembered: an entry may send its frame
 * again until then, and has to get the same reply.
 */
const rememberedMilliseconds = 5_000;

/** A request that an entry has asked the gate to run. */
export interface GateCall {
  readonly key: string;
  readonly executionId: number;
  readonly from: string;
  readonly frame: StartFrame;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly targetAt: number;
  state: 'waiting' | 'running' | 'aborted' | 'finished';
  startedAt: number;
  runningAtStart: number;
  /** Taken although its time seemed too short: the gate was idle, and only a request can test its estimate. */
  isTrial: boolean;
  /** The server was known to work at its usual speed. */
  startedFast: boolean;
  slowdownAtStart: number;
  /** Age of the report that `slowdownAtStart` comes from, in milliseconds. */
  speedAgeAtStart: number;
  finishedAt: number;
  reply: ReplyFrame | undefined;
}

/** The calls of a gate: those in progress, and those whose replies may be asked for again. */
export class GateCalls {
  private readonly byKey = new Map<string, GateCall>();
  private readonly byExecution = new Map<number, GateCall>();
  private nextExecutionId = 1;

  /** The call that an entry's frame names, also a finished one whose reply is still remembered. */
  public find(from: string, boot: number, callId: number): GateCall | undefined {
    return this.byKey.get(callKey(from, boot, callId));
  }

  /** The call that has not finished yet. */
  public execution(executionId: number): GateCall | undefined {
    return this.byExecution.get(executionId);
  }

  public open(from: string, boot: number, frame: StartFrame, now: number): GateCall {
    const call: GateCall = {
      arrivedAt: now,
      deadline: now + frame.remainingMilliseconds,
      executionId: this.nextExecutionId,
      finishedAt: 0,
      frame,
      from,
      isTrial: false,
      key: callKey(from, boot, frame.callId),
      reply: undefined,
      runningAtStart: 0,
      slowdownAtStart: 1,
      speedAgeAtStart: Infinity,
      startedAt: 0,
      startedFast: false,
      state: 'waiting',
      targetAt: now + frame.targetMilliseconds,
    };
    this.nextExecutionId += 1;
    this.byKey.set(call.key, call);
    this.byExecution.set(call.executionId, call);
    return call;
  }

  public finish(call: GateCall, reply: ReplyFrame | undefined, now: number): void {
    call.state = 'finished';
    call.finishedAt = now;
    call.reply = reply;
    this.byExecution.delete(call.executionId);
  }

  /** Calls at the server. */
  public *running(): Generator<GateCall> {
    for (const call of this.byExecution.values()) if (call.state === 'running') yield call;
  }

  /** Forgets the calls whose replies nobody asks for any more. */
  public forgetOld(now: number): void {
    for (const { deadline, finishedAt, key, state } of this.byKey.values()) {
      const wantedUntil = Math.max(finishedAt, deadline) + rememberedMilliseconds;
      if (state === 'finished' && now > wantedUntil) this.byKey.delete(key);
    }
  }

  /** The request at the server whose call a request is, by the form of the identifiers. */
  public parentOf(requestId: string): StartFrame | undefined {
    for (const { frame, state } of this.byExecution.values()) {
      if (state === 'waiting' || requestId.length <= frame.requestId.length) continue;
      if (frame.requestId !== '' && requestId.startsWith(frame.requestId)) return frame;
    }
    return undefined;
  }
}

function callKey(from: string, boot: number, callId: number): string {
  return `${from}/${boot}/${callId}`;
}
