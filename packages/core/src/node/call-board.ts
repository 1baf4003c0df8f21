import type {
  CallCommand,
  CallEngineContract,
  ConcludeCommand,
  DispatchCommand,
} from '../calls/call-contract.js';
import type { KeyedAnswer } from '../homes/home-contract.js';
import type { BodyEndpoint } from '../messages/core-command.js';
import type { AnswerFrame, CallFrame, RequestHead, RequestStartFrame } from '../messages/frames.js';
import { RequestClass } from '../messages/outcome.js';
import type { CallOutcome } from '../messages/outcome.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { AnswerStreams } from './answer-streams.js';
import { loadOf, stepOf } from './call-journal.js';
import { CounterName } from './outbox.js';
import { LateAttempts, settlementOf } from './late-attempts.js';
import type { Outbox } from './outbox.js';

/** Who waits for the outcome of a call. */
export type CallOwner =
  | { readonly kind: 'caller'; readonly requestNumber: number }
  | { readonly kind: 'home'; readonly dispatchId: number };

/** A call that this node makes, with what is needed to send it. */
export interface OwnedCall {
  readonly owner: CallOwner;
  readonly head: RequestHead;
  readonly requestClass: RequestClass;
  readonly body: Uint8Array | undefined;
  readonly streamedBody: boolean;
}

interface Attempt {
  readonly callNumber: number;
  readonly server: string;
  answer: AnswerFrame | undefined;
}

export interface CallBoardOptions {
  readonly self: string;
  readonly engine: CallEngineContract;
  readonly router: RouterContract;
  readonly outbox: Outbox;
  /** Tells a home the end of an attempt that it had to give up before. */
  readonly homeSettled: (
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ) => void;
  /** Offers an attempt to this node's own gate. */
  readonly startLocally: (
    frame: RequestStartFrame,
    body: BodyEndpoint | undefined,
    now: ClockReading,
  ) => void;
  readonly cancelLocally: (callId: number, now: ClockReading) => void;
  readonly localAnswerStream: (callId: number) => BodyEndpoint | undefined;
  readonly homeConcluded: (
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ) => void;
}

/** Connects the call engine with callers, homes and gates. */
export class CallBoard {
  private readonly calls = new Map<number, OwnedCall>();
  private readonly callOfRequest = new Map<number, number>();
  private readonly attempts = new Map<number, Attempt>();
  private readonly streams: AnswerStreams;
  private readonly late = new LateAttempts();
  private nextCallNumber = 1;

  public constructor(private readonly options: CallBoardOptions) {
    this.streams = new AnswerStreams(options);
  }

  /** Calls and streamed answers that are not finished. */
  public get inProgress(): number {
    return this.calls.size + this.streams.size;
  }

  public begin(call: OwnedCall, remainingMilliseconds: number, now: ClockReading): void {
    const callNumber = this.nextCallNumber;
    this.nextCallNumber += 1;
    this.calls.set(callNumber, call);
    if (call.owner.kind === 'caller') {
      this.callOfRequest.set(call.owner.requestNumber, callNumber);
    }
    const commands = this.options.engine.begin(
      {
        bodyHeld: !call.streamedBody,
        callNumber,
        deadline: now.monotonic + remainingMilliseconds,
        preferredServer: call.owner.kind === 'home' ? this.options.self : undefined,
        requestClass: call.requestClass,
        service: call.head.service,
      },
      now,
    );
    this.apply(commands, now);
  }

  /** A frame from a gate about an attempt of this node. */
  public frame(from: string, frame: CallFrame, now: ClockReading): void {
    const attempt = this.attempts.get(frame.callId);
    if (attempt?.server !== from) {
      this.dropLate(from, frame, now);
      return;
    }
    const call = this.calls.get(attempt.callNumber);
    if (call !== undefined) {
      this.journalFrame(call.head.requestId, from, frame);
    }
    const { engine } = this.options;
    switch (frame.kind) {
      case 'request-admitted':
        this.apply(engine.admitted(frame.callId, now), now);
        this.relayRequestBody(attempt, frame.callId);
        return;
      case 'request-refused':
        this.attempts.delete(frame.callId);
        this.apply(engine.refused(frame.callId, frame.refusal, now), now);
        return;
      case 'answer':
        attempt.answer = frame;
        this.apply(engine.answered(frame.callId, frame.status, frame.load, now), now);
        this.dropUnused(frame.callId, attempt, now);
        return;
      case 'request-failed':
        this.attempts.delete(frame.callId);
        this.apply(engine.failed(frame.callId, frame.load, now), now);
        return;
      case 'request-cancel':
      case 'request-start':
    }
  }

  public notSent(callId: number, congested: boolean, now: ClockReading): void {
    if (this.attempts.delete(callId)) {
      this.apply(this.options.engine.notSent(callId, congested, now), now);
    }
  }

  public peerLost(server: string, now: ClockReading): void {
    for (const [attemptId, attempt] of [...this.attempts]) {
      if (attempt.server === server) {
        this.attempts.delete(attemptId);
      }
    }
    this.apply(this.options.engine.peerLost(server, now), now);
  }

  /** The caller closed its connection. */
  public callerGone(requestNumber: number, now: ClockReading): void {
    const callNumber = this.callOfRequest.get(requestNumber);
    if (callNumber !== undefined) {
      this.journalGone(callNumber);
      this.apply(this.options.engine.abandon(callNumber, now), now);
      this.forget(callNumber);
      return;
    }
    const stream = this.streams.end(requestNumber);
    if (stream !== undefined) {
      this.cancel(stream.server, stream.callId, now);
    }
  }

  public streamFinished(requestNumber: number): void {
    this.streams.end(requestNumber);
  }

  public tick(now: ClockReading): void {
    this.apply(this.options.engine.tick(now), now);
  }

  private apply(commands: readonly CallCommand[], now: ClockReading): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'dispatch':
          this.dispatch(command, now);
          break;
        case 'cancel-attempt':
          this.withdraw(command.attemptId, command.target.server, now);
          break;
        case 'conclude':
          this.conclude(command, now);
      }
    }
  }

  private withdraw(attemptId: number, server: string, now: ClockReading): void {
    const call = this.calls.get(this.attempts.get(attemptId)?.callNumber ?? -1);
    this.attempts.delete(attemptId);
    if (call !== undefined) {
      const detail = 'the answer is no longer wanted';
      this.options.outbox.journal(call.head.requestId, { detail, kind: 'cancelled', server });
    }
    if (call?.owner.kind === 'home') {
      this.late.add(attemptId, server, call.owner.dispatchId, now.monotonic);
    }
    this.cancel(server, attemptId, now);
  }

  private dispatch(command: DispatchCommand, now: ClockReading): void {
    const call = this.calls.get(command.callNumber);
    if (call === undefined) {
      return;
    }
    const { attemptId, remainingMilliseconds, retryReason, target } = command;
    const { outbox, self } = this.options;
    const { head, owner, requestClass, streamedBody } = call;
    this.attempts.set(attemptId, {
      answer: undefined,
      callNumber: command.callNumber,
      server: target.server,
    });
    outbox.journal(head.requestId, {
      kind: 'sent',
      retryReason,
      role: 'gate',
      server: target.server,
    });
    if (retryReason !== undefined) {
      outbox.count(CounterName.Retries, { reason: retryReason, service: head.service });
    }
    const frame: RequestStartFrame = {
      body: call.body,
      callId: attemptId,
      head,
      kind: 'request-start',
      remainingMilliseconds,
      requestClass,
      streamedBody,
    };
    if (target.server !== self) {
      outbox.push({ address: target.peerAddress, frame, kind: 'send-frame', to: target.server });
      return;
    }
    const body: BodyEndpoint | undefined =
      owner.kind === 'caller' ? { kind: 'caller', requestNumber: owner.requestNumber } : undefined;
    this.options.startLocally(frame, body, now);
  }

  private conclude({ attemptId, callNumber, outcome }: ConcludeCommand, now: ClockReading): void {
    const call = this.calls.get(callNumber);
    if (call === undefined) {
      return;
    }
    this.forget(callNumber);
    const attempt = attemptId === undefined ? undefined : this.attempts.get(attemptId);
    const answer = attempt?.answer;
    if (attemptId !== undefined) {
      this.attempts.delete(attemptId);
    }
    if (call.owner.kind === 'home') {
      const { dispatchId } = call.owner;
      const keyed = answer && { body: answer.body, headers: answer.headers, status: answer.status };
      this.options.homeConcluded(dispatchId, outcome, keyed, now);
      return;
    }
    this.streams.reply(call.owner.requestNumber, outcome, attempt?.server, answer);
  }

  /** The engine took another attempt's answer: this one's stream is not wanted. */
  private dropUnused(callId: number, attempt: Attempt, now: ClockReading): void {
    if (this.attempts.delete(callId) && attempt.answer?.streamedBody === true) {
      this.cancel(attempt.server, callId, now);
    }
  }

  private dropLate(from: string, frame: CallFrame, now: ClockReading): void {
    const { outbox, router } = this.options;
    this.settleLate(from, frame, now);
    const load = loadOf(frame);
    if (load !== undefined) {
      router.reported(from, load, now);
    }
    if (frame.kind === 'answer' || frame.kind === 'request-failed') {
      outbox.count(CounterName.LateResults, { kind: frame.kind });
    }
    if (frame.kind === 'answer' && frame.streamedBody) {
      this.cancel(from, frame.callId, now);
    }
  }

  /** What a gate says of an attempt that a home gave up is still the truth about the key. */
  private settleLate(from: string, frame: CallFrame, now: ClockReading): void {
    const dispatchId = this.late.take(frame.callId, from);
    if (dispatchId === undefined) {
      return;
    }
    const settlement = settlementOf(frame);
    if (settlement !== undefined) {
      this.options.homeSettled(dispatchId, settlement.outcome, settlement.answer, now);
    }
  }

  private cancel(server: string, callId: number, now: ClockReading): void {
    const { cancelLocally, outbox, self } = this.options;
    if (server === self) {
      cancelLocally(callId, now);
      return;
    }
    outbox.push({ endpoint: { callId, kind: 'peer', server }, kind: 'drop-body' });
    outbox.send(server, { callId, kind: 'request-cancel' });
  }

  private relayRequestBody(attempt: Attempt, callId: number): void {
    const owner = this.calls.get(attempt.callNumber)?.owner;
    if (owner?.kind !== 'caller' || attempt.server === this.options.self) {
      return;
    }
    this.options.outbox.push({
      direction: 'request',
      from: { kind: 'caller', requestNumber: owner.requestNumber },
      kind: 'relay-body',
      to: { callId, kind: 'peer', server: attempt.server },
    });
  }

  private journalGone(callNumber: number): void {
    const call = this.calls.get(callNumber);
    if (call !== undefined) {
      const detail = 'the caller went away';
      const step = { detail, kind: 'cancelled', server: undefined } as const;
      this.options.outbox.journal(call.head.requestId, step);
    }
  }

  private journalFrame(requestId: string, from: string, frame: CallFrame): void {
    const step = stepOf(from, frame);
    if (step !== undefined) {
      this.options.outbox.journal(requestId, step);
    }
  }

  private forget(callNumber: number): void {
    const call = this.calls.get(callNumber);
    if (call?.owner.kind === 'caller') {
      this.callOfRequest.delete(call.owner.requestNumber);
    }
    this.calls.delete(callNumber);
  }
}
