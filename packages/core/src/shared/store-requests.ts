import type { StoreOperation, StoreResult } from '../messages/store.js';
import type { ClockReading } from './clock-reading.js';

/** Asks the driver to carry out a store operation. */
export interface StoreRequestCommand {
  readonly kind: 'store';
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/** Receives the result of one operation. */
export type StoreConclusion = (result: StoreResult, now: ClockReading) => void;

interface WaitingRequest {
  readonly deadline: number;
  readonly conclude: StoreConclusion;
}

/** The client gives up after 2 s; this only covers a result that was lost on the way to the core. */
const resultTimeoutMilliseconds = 5_000;

/** Matches store results to the requests that wait for them; late and duplicated results are dropped. */
export class StoreRequests {
  private nextOperationId = 1;
  private readonly waiting = new Map<number, WaitingRequest>();

  public constructor(private readonly emit: (command: StoreRequestCommand) => void) {}

  /** Starts an operation; `conclude` runs once, with `unknown` if no result arrives in time. */
  public start(operation: StoreOperation, now: ClockReading, conclude: StoreConclusion): void {
    const operationId = this.nextOperationId;
    this.nextOperationId += 1;
    const deadline =
      operation.kind === 'watch'
        ? Number.POSITIVE_INFINITY
        : now.monotonic + resultTimeoutMilliseconds;
    this.waiting.set(operationId, { deadline, conclude });
    this.emit({ kind: 'store', operationId, operation });
  }

  public deliver(operationId: number, result: StoreResult, now: ClockReading): void {
    const request = this.waiting.get(operationId);
    if (request === undefined) return;
    this.waiting.delete(operationId);
    request.conclude(result, now);
  }

  /** When the next request without a result is given up. */
  public get nextDeadline(): number {
    let next = Number.POSITIVE_INFINITY;
    for (const { deadline } of this.waiting.values()) next = Math.min(next, deadline);
    return next;
  }

  public tick(now: ClockReading): void {
    for (const [operationId, request] of this.waiting) {
      if (request.deadline <= now.monotonic) this.deliver(operationId, { kind: 'unknown' }, now);
    }
  }
}
