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
 * Time past its deadline after which a request is aborted whatever its class: a frozen upstream would
 * hold the slot for ever. Its outcome has been unknown to everybody since the deadline.
 */
const overdueLimitMilliseconds = 60_000;
const overdueCheckMilliseconds = 1_000;

type ExecutionState = 'waiting' | 'running' | 'answered' | 'cancelled';

interface Execution {
  readonly executionId: number;
  readonly from: string;
  readonly frame: RequestStartFrame;
  /** Monotonic time by which the answer is due. */
  readonly deadline: number;
  /** Where a streamed request body comes from. */
  readonly bodyFrom: BodyEndpoint | undefined;
  state: ExecutionState;
  end: ExecutionEnd | undefined;
}

export interface ExecutionBoardOptions {
  readonly self: string;
  readonly gate: GateContract;
  readonly outbox: Outbox;
  /** Takes the results of attempts that this node made at its own gate. */
  readonly localResult: (frame: CallFrame, now: ClockReading) => void;
}

/** The requests that wait or run at this node's gate, and who sent them. */
export class ExecutionBoard {
  private readonly executions = new Map<number, Execution>();
  private readonly byCall = new Map<string, Execution>();
  private nextExecutionId = 1;
  private nextOverdueCheckAt = 0;

  public constructor(private readonly options: ExecutionBoardOptions) {}

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
      bodyFrom: frame.streamedBody ? (localBody ?? remoteBody) : undefined,
      deadline,
      end: undefined,
      executionId,
      frame,
      from,
      state: 'waiting',
    };
    this.executions.set(executionId, execution);
    this.byCall.set(callKey(from, frame.callId), execution);
    const decisions = this.options.gate.offer(
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

  /** Carries out what the gate decided. */
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

  public upstreamResult(executionId: number, result: UpstreamResult, now: ClockReading): void {
    const execution = this.executions.get(executionId);
    if (execution?.state !== 'running') {
      return;
    }
    const { callId } = execution.frame;
    execution.state = 'answered';
    switch (result.kind) {
      case 'answered':
        this.answer(execution, result, now);
        return;
      case 'not-reached': {
        execution.end = ExecutionEnd.NotReached;
        const refusal = {
          load: this.load(execution, now),
          reason: RefusalReason.UpstreamDown,
          retryAfterMilliseconds: notReachedRetryAfterMilliseconds,
        };
        this.reply(execution, { callId, kind: 'request-refused', refusal }, now);
        return;
      }
      case 'failed': {
        execution.end = ExecutionEnd.Failed;
        const load = this.load(execution, now);
        this.reply(execution, { callId, detail: result.detail, kind: 'request-failed', load }, now);
      }
    }
  }

  /** The upstream's connection is done with the request: the slot is free. */
  public upstreamFinished(executionId: number, complete: boolean, now: ClockReading): void {
    const execution = this.executions.get(executionId);
    if (execution === undefined) {
      return;
    }
    const cutEnd = execution.state === 'cancelled' ? ExecutionEnd.Cancelled : ExecutionEnd.Failed;
    const end = complete ? (execution.end ?? ExecutionEnd.Answered) : (execution.end ?? cutEnd);
    this.remove(execution);
    this.apply(this.options.gate.finished(executionId, end, now), now);
  }

  /** The sender no longer wants the answer. */
  public cancel(from: string, callId: number, now: ClockReading): void {
    const execution = this.byCall.get(callKey(from, callId));
    if (execution === undefined) {
      return;
    }
    const isKeyed = execution.frame.requestClass === RequestClass.NonIdempotent;
    if (isKeyed && execution.state !== 'waiting') {
      // Its effect is wanted, and its answer still settles the key's record.
      return;
    }
    this.withdraw(execution);
    if (isKeyed && !this.executions.has(execution.executionId)) {
      const refusal = { reason: RefusalReason.DeadlineExpired };
      this.reply(execution, { callId, kind: 'request-refused', refusal }, now);
    }
  }

  /** A node that sent requests is gone: nobody waits for their answers. */
  public peerLost(server: string): void {
    for (const execution of [...this.executions.values()]) {
      if (execution.from !== server) {
        continue;
      }
      const isRunning = execution.state !== 'waiting';
      // A non-idempotent request that runs is left to finish: its effect is wanted even unheard.
      if (!isRunning || execution.frame.requestClass === RequestClass.Idempotent) {
        this.withdraw(execution);
      }
    }
  }

  /** Aborts requests that are long overdue. */
  public tick(now: ClockReading): void {
    if (now.monotonic < this.nextOverdueCheckAt) {
      return;
    }
    this.nextOverdueCheckAt = now.monotonic + overdueCheckMilliseconds;
    for (const execution of [...this.executions.values()]) {
      if (now.monotonic - execution.deadline > overdueLimitMilliseconds) {
        this.withdraw(execution);
      }
    }
  }

  /** The stream of an answer that this node's own caller waits for. */
  public localAnswerStream(callId: number): BodyEndpoint | undefined {
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

  private answer(
    execution: Execution,
    answer: Extract<UpstreamResult, { readonly kind: 'answered' }>,
    now: ClockReading,
  ): void {
    const { body, headers, status, streamedBody } = answer;
    const { executionId, from } = execution;
    const { callId } = execution.frame;
    execution.end = status >= 500 ? ExecutionEnd.Failed : ExecutionEnd.Answered;
    const load = this.load(execution, now);
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

  private withdraw(execution: Execution): void {
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
    if (execution.bodyFrom !== undefined) {
      outbox.push({
        direction: 'request',
        from: execution.bodyFrom,
        kind: 'relay-body',
        to: { executionId, kind: 'upstream' },
      });
    }
  }

  private reply(execution: Execution, frame: CallFrame, now: ClockReading): void {
    if (execution.from === this.options.self) {
      this.options.localResult(frame, now);
      return;
    }
    this.options.outbox.reply(execution.from, frame);
  }

  private remove(execution: Execution): void {
    this.executions.delete(execution.executionId);
    this.byCall.delete(callKey(execution.from, execution.frame.callId));
  }

  private load(execution: Execution, now: ClockReading): LoadReport {
    return (
      this.options.gate.load(now) ?? {
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
