import type { StoreOperation, StoreResult } from '../messages/store.js';
import type { ClockReading } from './clock-reading.js';

/** Asks the driver to run a store operation. */
export interface StoreRequestCommand {
  readonly kind: 'store';
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/** Receives the result of one operation. */
export type StoreResultHandler = (result: StoreResult, now: ClockReading) => void;

interface PendingRequest {
  readonly deadline: number;
  readonly onResult: StoreResultHandler;
}

/**
 * The store client times out after 2 s, so this only covers a result that was lost before it
 * reached the core.
 */
const resultTimeoutMilliseconds = 5_000;

/** Matches store results to pending requests; late and duplicate results are ignored. */
export class StoreRequests {
  private nextOperationId = 1;
  private readonly pending = new Map<number, PendingRequest>();

  public constructor(private readonly emit: (command: StoreRequestCommand) => void) {}

  /** Starts an operation. `onResult` is called once, with `unknown` if no result arrives in time. */
  public start(operation: StoreOperation, now: ClockReading, onResult: StoreResultHandler): void {
    const operationId = this.nextOperationId;
    this.nextOperationId += 1;
    const deadline =
      operation.kind === 'watch'
        ? Number.POSITIVE_INFINITY
        : now.monotonic + resultTimeoutMilliseconds;
    this.pending.set(operationId, { deadline, onResult });
    this.emit({ kind: 'store', operationId, operation });
  }

  public handleResult(operationId: number, result: StoreResult, now: ClockReading): void {
    const request = this.pending.get(operationId);
    if (request === undefined) return;
    this.pending.delete(operationId);
    request.onResult(result, now);
  }

  /** Monotonic time at which the next pending request times out. */
  public get nextDeadline(): number {
    let next = Number.POSITIVE_INFINITY;
    for (const { deadline } of this.pending.values()) next = Math.min(next, deadline);
    return next;
  }

  public tick(now: ClockReading): void {
    for (const [operationId, request] of this.pending) {
      if (request.deadline <= now.monotonic)
        this.handleResult(operationId, { kind: 'unknown' }, now);
    }
  }
}
