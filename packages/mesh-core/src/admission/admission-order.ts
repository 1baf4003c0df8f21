import type { StartFrame } from '../messages/mesh-frames.js';
import { AdmissionQueue } from './admission-queue.js';
import type { WaitingRequest } from './admission-queue.js';
import { expectedWait, reserveFactor } from './server-room.js';
import type { ServerRoom } from './server-room.js';
import { SlotReserve } from './slot-reserve.js';
import type { OrderContext } from './start-order.js';

/**
 * Requests that will miss their target wait only while the queue is shorter than this share of the slots.
 * They are meant to use slots that would otherwise be idle; in a longer queue, requests that can meet their
 * target would precede them until their deadline.
 */
const lateQueueShare = 0.5;

/**
 * Share of this queue, and at least one place, that requests sent behind others leave free. The next request on a connection
 * takes the place of the one that was answered before any other caller can, so a few connections would hold all places.
 */
const unpipelinedShare = 0.1;

/** The work of a route counts as different from the mean of all routes if it differs by at least this factor. */
const distinctFactor = 3;

/** The service times that the order weighs, in milliseconds. */
export interface ServiceTimeSource {
  expectedServiceMilliseconds(routeName: string): number;
  minimumNestedMilliseconds(routeName: string): number;
  readonly meanServiceMilliseconds: number;
}

/**
 * Decides which requests wait for a slot of a server and in which order they start, by their priority, target, deadline
 * and expected work. What is declined should be what costs callers least.
 */
export class AdmissionOrder {
  public readonly queue = new AdmissionQueue();
  private readonly reserve = new SlotReserve();

  public constructor(private readonly times: ServiceTimeSource) {}

  /** The request that should start next; those that may not start now are passed over. */
  public next(
    now: number,
    isNestedFirst: boolean,
    mayStart: (request: WaitingRequest) => boolean,
  ): WaitingRequest | undefined {
    return this.queue.next(this.contextOf(now, isNestedFirst), mayStart);
  }

  public recordArrival(request: WaitingRequest, now: number): void {
    this.reserve.recordArrival(request, now);
  }

  /** Whether all waiting requests would start after the given one. */
  public isFirst(request: WaitingRequest, now: number): boolean {
    return this.queue.ahead(request, this.contextOf(now)).length === 0;
  }

  /** Whether there is a slot for the request, apart from one that is kept for more urgent requests. */
  public hasSlot(request: WaitingRequest, room: ServerRoom, now: number): boolean {
    if (room.running >= room.limit) return false;
    if (room.running + 1 < room.limit) return true;
    return this.reserve.mayTakeLastSlot(request, {
      ...room,
      now,
      workOf: this.contextOf(now).workOf,
    });
  }

  /** Expected time until an answer to a request that is in the queue or would join it. */
  public expectedAnswer(request: WaitingRequest, room: ServerRoom, now: number): number {
    const work = this.times.expectedServiceMilliseconds(request.frame.routeName);
    return this.waitOf(request, room, now) + work;
  }

  /** Expected time until a request starts that all waiting ones precede. */
  public waitOfLast(room: ServerRoom): number {
    return expectedWait(
      [...this.queue.values()].map((request) => this.workOf(request)),
      room,
    );
  }

  /**
   * Whether a waiting request can no longer meet its target while the queue is long. Requests that can would precede it
   * until its deadline, so it is declined while there is time for a refusal or for another server.
   */
  public isOvertaken(request: WaitingRequest, limit: number, now: number): boolean {
    if (request.frame.nested || this.queue.size <= lateQueueLimit(limit)) return false;
    const work = this.times.expectedServiceMilliseconds(request.frame.routeName);
    return now + work > request.targetAt;
  }

  /**
   * Whether a request may wait: if it is expected to meet its target, or if it will miss the target but is
   * certain to finish before its deadline. In a lasting overload all others are declined at once, since
   * queueing them would make every request miss its target.
   */
  public mayWait(request: WaitingRequest, room: ServerRoom, now: number): boolean {
    const { deadline, frame, targetAt } = request;
    const wait = this.waitOf(request, room, now);
    if (frame.nested)
      return now + wait + this.times.minimumNestedMilliseconds(frame.routeName) <= deadline;
    const work = this.times.expectedServiceMilliseconds(frame.routeName);
    const reservedUntil = now + wait + work * reserveFactor;
    if (reservedUntil <= targetAt) return true;
    return this.queue.size < waitingLimit(frame, room.limit) && reservedUntil <= deadline;
  }

  private waitOf(request: WaitingRequest, room: ServerRoom, now: number): number {
    const ahead = this.queue.ahead(request, this.contextOf(now));
    return expectedWait(
      ahead.map((other) => this.workOf(other)),
      room,
    );
  }

  private workOf({ frame }: WaitingRequest): number {
    return this.workOfRoute(frame.routeName);
  }

  /** The estimate of a single route varies, so the mean of all routes is used unless the route differs much. */
  private workOfRoute(routeName: string): number {
    const own = this.times.expectedServiceMilliseconds(routeName);
    const mean = this.times.meanServiceMilliseconds;
    const isDifferent = own > mean * distinctFactor || own * distinctFactor < mean;
    return isDifferent ? own : mean;
  }

  private contextOf(now: number, isNestedFirst = true): OrderContext {
    return { isNestedFirst, now, workOf: (routeName) => this.workOfRoute(routeName) };
  }
}

/** Length of the queue below which the request may wait if it will miss its target. */
function waitingLimit({ pipelined }: StartFrame, limit: number): number {
  const places = lateQueueLimit(limit);
  return pipelined === true ? Math.max(1, places - Math.max(1, places * unpipelinedShare)) : places;
}

/** Length of the queue below which requests that will miss their target may wait. */
function lateQueueLimit(limit: number): number {
  return Math.max(1, limit * lateQueueShare);
}
