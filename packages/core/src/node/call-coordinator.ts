import type {
  CallCommand,
  CallEngineContract,
  ConcludeCommand,
  DispatchCommand,
} from '../calls/call-contract.js';
import type { KeyedAnswer } from '../homes/home-contract.js';
import type { BodyEndpoint } from '../messages/core-command.js';
import type {
  ResponseFrame,
  CallFrame,
  RequestHead,
  RequestStartFrame,
} from '../messages/frames.js';
import { RequestClass } from '../messages/outcome.js';
import type { CallOutcome } from '../messages/outcome.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { CallerResponder } from './caller-responder.js';
import { loadReportOf, journalStepOf } from './call-journal.js';
import { CounterName } from './outbox.js';
import { CancelledKeyedAttempts, lateOutcomeOf } from './cancelled-keyed-attempts.js';
import type { Outbox } from './outbox.js';

/** The receiver of a call's outcome: a caller, or the home of a key on this node. */
export type CallOwner =
  | { readonly kind: 'caller'; readonly requestNumber: number }
  | { readonly kind: 'home'; readonly dispatchId: number };

/** A call made by this node, with the request data needed to send each attempt. */
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
  response: ResponseFrame | undefined;
}

export interface CallCoordinatorOptions {
  readonly self: string;
  readonly engine: CallEngineContract;
  readonly router: RouterContract;
  readonly outbox: Outbox;
  /** Reports the outcome of an attempt to its home after the home had already given it up. */
  readonly onHomeDispatchSettled: (
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ) => void;
  /** Offers an attempt to this node's own gate, without a network frame. */
  readonly startLocally: (
    frame: RequestStartFrame,
    body: BodyEndpoint | undefined,
    now: ClockReading,
  ) => void;
  readonly cancelLocally: (callId: number, now: ClockReading) => void;
  readonly localResponseStream: (callId: number) => BodyEndpoint | undefined;
  /** Reports the outcome of a call that a home dispatched, when the call ends. */
  readonly onHomeDispatchConcluded: (
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ) => void;
}

/**
 * Connects the call engine with callers, homes and gates: carries out its commands and passes it
 * the results.
 */
export class CallCoordinator {
  private readonly calls = new Map<number, OwnedCall>();
  private readonly callNumberByRequest = new Map<number, number>();
  private readonly attempts = new Map<number, Attempt>();
  private readonly responder: CallerResponder;
  private readonly cancelledKeyedAttempts = new CancelledKeyedAttempts();
  private nextCallNumber = 1;

  public constructor(private readonly options: CallCoordinatorOptions) {
    this.responder = new CallerResponder(options);
  }

  /** Number of unfinished calls and of responses still being streamed to callers. */
  public get inProgress(): number {
    return this.calls.size + this.responder.openStreamCount;
  }

  public begin(call: OwnedCall, remainingMilliseconds: number, now: ClockReading): void {
    const callNumber = this.nextCallNumber;
    this.nextCallNumber += 1;
    this.calls.set(callNumber, call);
    if (call.owner.kind === 'caller') {
      this.callNumberByRequest.set(call.owner.requestNumber, callNumber);
    }
    const commands = this.options.engine.begin(
      {
        isBodyReplayable: !call.streamedBody,
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

  /** Handles a gate's frame about an attempt made by this node. */
  public handleFrame(from: string, frame: CallFrame, now: ClockReading): void {
    const attempt = this.attempts.get(frame.callId);
    if (attempt?.server !== from) {
      this.handleLateFrame(from, frame, now);
      return;
    }
    const call = this.calls.get(attempt.callNumber);
    if (call !== undefined) {
      this.journalFrame(call.head.requestId, from, frame);
    }
    const { engine } = this.options;
    switch (frame.kind) {
      case 'request-admitted':
        this.apply(engine.onAdmitted(frame.callId, now), now);
        this.relayRequestBody(attempt, frame.callId);
        return;
      case 'request-refused':
        this.attempts.delete(frame.callId);
        this.apply(engine.onRefused(frame.callId, frame.refusal, now), now);
        return;
      case 'answer':
        attempt.response = frame;
        this.apply(engine.onAnswered(frame.callId, frame.status, frame.load, now), now);
        this.discardUnusedResponse(frame.callId, attempt, now);
        return;
      case 'request-failed':
        this.attempts.delete(frame.callId);
        this.apply(engine.onFailed(frame.callId, frame.load, now), now);
        return;
      case 'request-cancel':
      case 'request-start':
    }
  }

  public onNotSent(callId: number, congested: boolean, now: ClockReading): void {
    if (this.attempts.delete(callId)) {
      this.apply(this.options.engine.onNotSent(callId, congested, now), now);
    }
  }

  public onPeerLost(server: string, now: ClockReading): void {
    for (const [attemptId, attempt] of [...this.attempts]) {
      if (attempt.server === server) {
        this.attempts.delete(attemptId);
      }
    }
    this.apply(this.options.engine.onPeerLost(server, now), now);
  }

  public onCallerDisconnected(requestNumber: number, now: ClockReading): void {
    const callNumber = this.callNumberByRequest.get(requestNumber);
    if (callNumber !== undefined) {
      this.journalCallerDisconnected(callNumber);
      this.apply(this.options.engine.onCallerDisconnected(callNumber, now), now);
      this.removeCall(callNumber);
      return;
    }
    const stream = this.responder.removeStream(requestNumber);
    if (stream !== undefined) {
      this.cancelAtServer(stream.server, stream.callId, now);
    }
  }

  public onStreamFinished(requestNumber: number): void {
    this.responder.removeStream(requestNumber);
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
          this.cancelAttempt(command.attemptId, command.target.server, now);
          break;
        case 'conclude':
          this.conclude(command, now);
      }
    }
  }

  private cancelAttempt(attemptId: number, server: string, now: ClockReading): void {
    const call = this.calls.get(this.attempts.get(attemptId)?.callNumber ?? -1);
    this.attempts.delete(attemptId);
    if (call !== undefined) {
      const detail = 'the response is no longer needed';
      this.options.outbox.journal(call.head.requestId, { detail, kind: 'cancelled', server });
    }
    if (call?.owner.kind === 'home') {
      this.cancelledKeyedAttempts.add(attemptId, server, call.owner.dispatchId, now.monotonic);
    }
    this.cancelAtServer(server, attemptId, now);
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
      response: undefined,
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
    this.removeCall(callNumber);
    const attempt = attemptId === undefined ? undefined : this.attempts.get(attemptId);
    const response = attempt?.response;
    if (attemptId !== undefined) {
      this.attempts.delete(attemptId);
    }
    if (call.owner.kind === 'home') {
      const { dispatchId } = call.owner;
      const keyedAnswer = response && {
        body: response.body,
        headers: response.headers,
        status: response.status,
      };
      this.options.onHomeDispatchConcluded(dispatchId, outcome, keyedAnswer, now);
      return;
    }
    this.responder.reply(call.owner.requestNumber, outcome, attempt?.server, response);
  }

  /**
   * Cancels a streamed response that the engine did not use, such as one that lost to another
   * attempt.
   */
  private discardUnusedResponse(callId: number, attempt: Attempt, now: ClockReading): void {
    if (this.attempts.delete(callId) && attempt.response?.streamedBody === true) {
      this.cancelAtServer(attempt.server, callId, now);
    }
  }

  private handleLateFrame(from: string, frame: CallFrame, now: ClockReading): void {
    const { outbox, router } = this.options;
    this.reportLateOutcome(from, frame, now);
    const load = loadReportOf(frame);
    if (load !== undefined) {
      router.onLoadReport(from, load, now);
    }
    if (frame.kind === 'answer' || frame.kind === 'request-failed') {
      outbox.count(CounterName.LateResults, { kind: frame.kind });
    }
    if (frame.kind === 'answer' && frame.streamedBody) {
      this.cancelAtServer(from, frame.callId, now);
    }
  }

  /**
   * A gate's late report still determines the key's true outcome, so it is passed to the home that
   * gave up the attempt.
   */
  private reportLateOutcome(from: string, frame: CallFrame, now: ClockReading): void {
    const dispatchId = this.cancelledKeyedAttempts.take(frame.callId, from);
    if (dispatchId === undefined) {
      return;
    }
    const lateOutcome = lateOutcomeOf(frame);
    if (lateOutcome !== undefined) {
      this.options.onHomeDispatchSettled(dispatchId, lateOutcome.outcome, lateOutcome.answer, now);
    }
  }

  private cancelAtServer(server: string, callId: number, now: ClockReading): void {
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

  private journalCallerDisconnected(callNumber: number): void {
    const call = this.calls.get(callNumber);
    if (call !== undefined) {
      const detail = 'the caller disconnected';
      const step = { detail, kind: 'cancelled', server: undefined } as const;
      this.options.outbox.journal(call.head.requestId, step);
    }
  }

  private journalFrame(requestId: string, from: string, frame: CallFrame): void {
    const step = journalStepOf(from, frame);
    if (step !== undefined) {
      this.options.outbox.journal(requestId, step);
    }
  }

  private removeCall(callNumber: number): void {
    const call = this.calls.get(callNumber);
    if (call?.owner.kind === 'caller') {
      this.callNumberByRequest.delete(call.owner.requestNumber);
    }
    this.calls.delete(callNumber);
  }
}
