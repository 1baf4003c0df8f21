import { ExecutionEnd } from '../gate/gate-contract.js';
import type { GateContract, GateDecision } from '../gate/gate-contract.js';
import type { UpstreamResult } from '../messages/core-message.js';
import type { BodyEndpoint } from '../messages/core-command.js';
import type { CallFrame, RequestStartFrame } from '../messages/frames.js';
import type { LoadReport } from '../messages/load-report.js';
import { RefusalReason, RequestClass } from '../messages/outcome.js';
import type { Refusal } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { CounterName } from './outbox.js';
import type { Outbox } from './outbox.js';

const notReachedRetryAfterMilliseconds = 1_000;
/**
 * How long after its deadline a running request is aborted, even if it is non-idempotent: a hung
 * upstream would otherwise occupy the slot forever. Its outcome has been reported as unknown since
 * the deadline.
 */
const overdueAbortMilliseconds = 60_000;
const overdueCheckIntervalMilliseconds = 1_000;

type ExecutionState = 'waiting' | 'running' | 'answered' | 'cancelled';

interface Execution {
  readonly executionId: number;
  readonly from: string;
  readonly frame: RequestStartFrame;
  /** Monotonic time by which the response is due. */
  readonly deadline: number;
  /** Source of a streamed request body. */
  readonly bodySource: BodyEndpoint | undefined;
  state: ExecutionState;
  end: ExecutionEnd | undefined;
}

export interface ExecutionManagerOptions {
  readonly self: string;
  readonly gate: GateContract;
  readonly outbox: Outbox;
  /** Receives the result frames of attempts that this node made at its own gate. */
  readonly onLocalResult: (frame: CallFrame, now: ClockReading) => void;
}

/**
 * Tracks the requests that wait at this node's gate or run at its upstream, and replies to their
 * senders.
 */
export class ExecutionManager {
  private readonly executions = new Map<number, Execution>();
  private readonly byCall = new Map<string, Execution>();
  private nextExecutionId = 1;
  private nextOverdueCheckAt = 0;

  public constructor(private readonly options: ExecutionManagerOptions) {}

  public get size(): number {
    return this.executions.size;
  }

  /** Offers a request to the gate. */
  public start(
    from: string,
    frame: RequestStartFrame,
    localBody: BodyEndpoint | undefined,
    now: ClockReading,
  ): void {
    const executionId = this.nextExecutionId;
    this.nextExecutionId += 1;
    const remoteBody: BodyEndpoint = { callId: frame.callId, kind: 'peer', server: from };
    const deadline = now.monotonic + frame.remainingMilliseconds;
    const execution: Execution = {
      bodySource: frame.streamedBody ? (localBody ?? remoteBody) : undefined,
      deadline,
      end: undefined,
      executionId,
      frame,
      from,
      state: 'waiting',
    };
    this.executions.set(executionId, execution);
    this.byCall.set(callKey(from, frame.callId), execution);
    const decisions = this.options.gate.submit(
      {
        deadline,
        executionId,
        service: frame.head.service,
        tenant: frame.head.tenant,
      },
      now,
    );
    this.apply(decisions, now);
  }

  /** Carries out the gate's decisions. */
  public apply(decisions: readonly GateDecision[], now: ClockReading): void {
    for (const decision of decisions) {
      const execution = this.executions.get(decision.executionId);
      if (execution === undefined) {
        continue;
      }
      if (decision.kind === 'start') {
        this.run(execution, now);
      } else {
        this.refuse(execution, decision.refusal, now);
      }
    }
  }

  public handleUpstreamResult(
    executionId: number,
    result: UpstreamResult,
    now: ClockReading,
  ): void {
    const execution = this.executions.get(executionId);
    if (execution?.state !== 'running') {
      return;
    }
    const { callId } = execution.frame;
    execution.state = 'answered';
    switch (result.kind) {
      case 'answered':
        this.sendResponse(execution, result, now);
        return;
      case 'not-reached': {
        execution.end = ExecutionEnd.NotReached;
        const refusal = {
          load: this.loadReport(execution, now),
          reason: RefusalReason.UpstreamDown,
          retryAfterMilliseconds: notReachedRetryAfterMilliseconds,
        };
        this.reply(execution, { callId, kind: 'request-refused', refusal }, now);
        return;
      }
      case 'failed': {
        execution.end = ExecutionEnd.Failed;
        const load = this.loadReport(execution, now);
        this.reply(execution, { callId, detail: result.detail, kind: 'request-failed', load }, now);
      }
    }
  }

  /** The exchange with the upstream has ended, so the request's slot is free. */
  public onUpstreamFinished(executionId: number, complete: boolean, now: ClockReading): void {
    const execution = this.executions.get(executionId);
    if (execution === undefined) {
      return;
    }
    const incompleteEnd =
      execution.state === 'cancelled' ? ExecutionEnd.Cancelled : ExecutionEnd.Failed;
    const end = complete
      ? (execution.end ?? ExecutionEnd.Answered)
      : (execution.end ?? incompleteEnd);
    this.remove(execution);
    this.apply(this.options.gate.onFinished(executionId, end, now), now);
  }

  /** Cancels a request whose sender no longer needs the response. */
  public cancel(from: string, callId: number, now: ClockReading): void {
    const execution = this.byCall.get(callKey(from, callId));
    if (execution === undefined) {
      return;
    }
    const isKeyed = execution.frame.requestClass === RequestClass.NonIdempotent;
    if (isKeyed && execution.state !== 'waiting') {
      // The request's effect is still wanted, and its response determines the outcome in the key's
      // record.
      return;
    }
    this.abort(execution);
    if (isKeyed && !this.executions.has(execution.executionId)) {
      const refusal = { reason: RefusalReason.DeadlineExpired };
      this.reply(execution, { callId, kind: 'request-refused', refusal }, now);
    }
  }

  /** The connection to a sender was lost, so nobody waits for the responses to its requests. */
  public onPeerLost(server: string): void {
    for (const execution of [...this.executions.values()]) {
      if (execution.from !== server) {
        continue;
      }
      const isRunning = execution.state !== 'waiting';
      // A running non-idempotent request may finish: its effect is wanted even if nobody receives
      // the response.
      if (!isRunning || execution.frame.requestClass === RequestClass.Idempotent) {
        this.abort(execution);
      }
    }
  }

  /** Aborts requests that are overdue by more than `overdueAbortMilliseconds`. */
  public tick(now: ClockReading): void {
    if (now.monotonic < this.nextOverdueCheckAt) {
      return;
    }
    this.nextOverdueCheckAt = now.monotonic + overdueCheckIntervalMilliseconds;
    for (const execution of [...this.executions.values()]) {
      if (now.monotonic - execution.deadline > overdueAbortMilliseconds) {
        this.abort(execution);
      }
    }
  }

  /** Returns the response body of a call that this node made at its own gate. */
  public localResponseStream(callId: number): BodyEndpoint | undefined {
    const execution = this.byCall.get(callKey(this.options.self, callId));
    return execution && { executionId: execution.executionId, kind: 'upstream' };
  }

  private refuse(execution: Execution, refusal: Refusal, now: ClockReading): void {
    this.remove(execution);
    const { callId, head } = execution.frame;
    this.options.outbox.count(CounterName.Refusals, {
      reason: refusal.reason,
      said_by: 'gate',
      service: head.service,
    });
    this.reply(execution, { callId, kind: 'request-refused', refusal }, now);
  }

  private sendResponse(
    execution: Execution,
    response: Extract<UpstreamResult, { readonly kind: 'answered' }>,
    now: ClockReading,
  ): void {
    const { body, headers, status, streamedBody } = response;
    const { executionId, from } = execution;
    const { callId } = execution.frame;
    execution.end = status >= 500 ? ExecutionEnd.Failed : ExecutionEnd.Answered;
    const load = this.loadReport(execution, now);
    this.reply(
      execution,
      { body, callId, headers, kind: 'answer', load, status, streamedBody },
      now,
    );
    if (streamedBody && from !== this.options.self) {
      this.options.outbox.push({
        direction: 'answer',
        from: { executionId, kind: 'upstream' },
        kind: 'relay-body',
        to: { callId, kind: 'peer', server: from },
      });
    }
  }

  private abort(execution: Execution): void {
    const { executionId } = execution;
    if (execution.state === 'waiting') {
      if (this.options.gate.cancelWaiting(executionId)) {
        this.remove(execution);
      }
      return;
    }
    if (execution.state !== 'cancelled') {
      execution.state = 'cancelled';
      execution.end = ExecutionEnd.Cancelled;
      this.options.outbox.push({ executionId, kind: 'cancel-upstream' });
    }
  }

  private run(execution: Execution, now: ClockReading): void {
    const { executionId, frame } = execution;
    const { outbox } = this.options;
    execution.state = 'running';
    outbox.count(CounterName.Admitted, { service: frame.head.service });
    if (frame.streamedBody) {
      this.reply(execution, { callId: frame.callId, kind: 'request-admitted' }, now);
    }
    outbox.push({
      body: frame.body,
      collectAnswer: frame.requestClass === RequestClass.NonIdempotent,
      executionId,
      head: frame.head,
      kind: 'run-upstream',
      remainingMilliseconds: Math.max(1, execution.deadline - now.monotonic),
      streamedBody: frame.streamedBody,
    });
    if (execution.bodySource !== undefined) {
      outbox.push({
        direction: 'request',
        from: execution.bodySource,
        kind: 'relay-body',
        to: { executionId, kind: 'upstream' },
      });
    }
  }

  private reply(execution: Execution, frame: CallFrame, now: ClockReading): void {
    if (execution.from === this.options.self) {
      this.options.onLocalResult(frame, now);
      return;
    }
    this.options.outbox.reply(execution.from, frame);
  }

  private remove(execution: Execution): void {
    this.executions.delete(execution.executionId);
    this.byCall.delete(callKey(execution.from, execution.frame.callId));
  }

  private loadReport(execution: Execution, now: ClockReading): LoadReport {
    return (
      this.options.gate.loadReport(now) ?? {
        inFlight: 0,
        latencyMilliseconds: 0,
        limit: 0,
        queued: 0,
        service: execution.frame.head.service,
        state: 'down',
      }
    );
  }
}

function callKey(from: string, callId: number): string {
  return `${from}#${callId}`;
}
