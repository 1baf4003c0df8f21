import type { StartFrame } from '../messages/mesh-frames.js';

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly executionId: number;
  readonly frame: StartFrame;
  readonly enqueuedAt: number;
  readonly deadline: number;
  /** Monotonic time until which an answer has its full value. */
  readonly targetAt: number;
}

/**
 * Requests that wait for a slot of one server. Nested calls come first, because their parents hold
 * slots elsewhere. Then come requests that can still meet their target, the earliest target first
 * within a priority, and then those that are late already.
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

  /** The request that should start next; `serviceMilliseconds` is how long it will take. */
  public next(
    now: number,
    serviceMilliseconds: number,
    nestedFirst = true,
  ): WaitingRequest | undefined {
    const finishAt = now + serviceMilliseconds;
    let best: WaitingRequest | undefined;
    for (const request of this.waiting.values()) {
      if (best === undefined || precedes(request, best, finishAt, nestedFirst)) best = request;
    }
    return best;
  }

  /** How many waiting requests would start before the given one. */
  public ahead(request: WaitingRequest, now: number, serviceMilliseconds: number): number {
    let count = 0;
    for (const other of this.waiting.values()) {
      if (!precedes(request, other, now + serviceMilliseconds)) count += 1;
    }
    return count;
  }
}

/** Whether the first request starts before the second; `finishAt` is when either would end. */
function precedes(
  first: WaitingRequest,
  second: WaitingRequest,
  finishAt: number,
  nestedFirst = true,
): boolean {
  if (first.frame.nested !== second.frame.nested) return first.frame.nested === nestedFirst;
  const firstInTime = first.targetAt >= finishAt;
  const secondInTime = second.targetAt >= finishAt;
  if (firstInTime !== secondInTime) return firstInTime;
  if (first.frame.priority !== second.frame.priority) {
    return first.frame.priority < second.frame.priority;
  }
  if (firstInTime) return first.targetAt < second.targetAt;
  return first.deadline < second.deadline;
}
