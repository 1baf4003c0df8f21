import type { StartFrame } from '../messages/mesh-frames.js';

/** A request that waits for a free slot of the server. */
export interface WaitingRequest {
  readonly executionId: number;
  readonly frame: StartFrame;
  readonly enqueuedAt: number;
  readonly deadline: number;
  /** Monotonic time at which the target latency of the route expires. */
  readonly targetAt: number;
}

/**
 * Requests that wait for a slot of one server. Nested calls come first, because their parents hold slots of
 * other servers. Requests that can still meet their target latency follow, ordered by priority and then by
 * target, and after them requests that will miss it, ordered by priority and then by deadline.
 */
export class AdmissionQueue {
  private readonly waiting = new Map<number, WaitingRequest>();

  public get size(): number {
    return this.waiting.size;
  }

  public add(request: WaitingRequest): void {
    this.waiting.set(request.executionId, request);
  }

  public remove(executionId: number): WaitingRequest | undefined {
    const request = this.waiting.get(executionId);
    this.waiting.delete(executionId);
    return request;
  }

  public values(): IterableIterator<WaitingRequest> {
    return this.waiting.values();
  }

  /**
   * The request that should start next.
   *
   * @param serviceMilliseconds expected service time, which decides whether a request can meet its target
   * @param mayStart whether a request may start now; others are passed over
   */
  public next(
    now: number,
    serviceMilliseconds: number,
    isNestedFirst = true,
    mayStart: (request: WaitingRequest) => boolean = () => true,
  ): WaitingRequest | undefined {
    const finishAt = now + serviceMilliseconds;
    let best: WaitingRequest | undefined;
    for (const request of this.waiting.values()) {
      if (best !== undefined && !precedes(request, best, finishAt, isNestedFirst)) continue;
      if (mayStart(request)) best = request;
    }
    return best;
  }

  /** Number of waiting requests that would start before the given one. */
  public countAhead(request: WaitingRequest, now: number, serviceMilliseconds: number): number {
    let count = 0;
    for (const other of this.waiting.values()) {
      if (!precedes(request, other, now + serviceMilliseconds)) count += 1;
    }
    return count;
  }
}

/** Whether the first request starts before the second; `finishAt` is when either would finish if it started now. */
function precedes(
  first: WaitingRequest,
  second: WaitingRequest,
  finishAt: number,
  isNestedFirst = true,
): boolean {
  if (first.frame.nested !== second.frame.nested) return first.frame.nested === isNestedFirst;
  const isFirstInTime = first.targetAt >= finishAt;
  const isSecondInTime = second.targetAt >= finishAt;
  if (isFirstInTime !== isSecondInTime) return isFirstInTime;
  if (first.frame.priority !== second.frame.priority) {
    return first.frame.priority < second.frame.priority;
  }
  if (isFirstInTime) return first.targetAt < second.targetAt;
  return first.deadline < second.deadline;
}
