import type { StartFrame } from '../messages/mesh-frames.js';
import { precedes } from './start-order.js';
import type { OrderContext } from './start-order.js';

/** A request that waits for a free slot of the server. */
export interface WaitingRequest {
  readonly executionId: number;
  readonly frame: StartFrame;
  readonly enqueuedAt: number;
  readonly deadline: number;
  /** Monotonic time at which the target latency of the route expires. */
  readonly targetAt: number;
}

/** Requests that wait for a slot of one server, which start in the order of `precedes`. */
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
   * @param mayStart whether a request may start now; others are passed over
   */
  public next(
    context: OrderContext,
    mayStart: (request: WaitingRequest) => boolean = () => true,
  ): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    for (const request of this.waiting.values()) {
      if (best !== undefined && !precedes(request, best, context)) continue;
      if (mayStart(request)) best = request;
    }
    return best;
  }

  /** The other waiting requests that would start before the given one. */
  public ahead(request: WaitingRequest, context: OrderContext): readonly WaitingRequest[] {
    return [...this.waiting.values()].filter(
      (other) => other.executionId !== request.executionId && !precedes(request, other, context),
    );
  }
}
