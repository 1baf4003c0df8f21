import type { WaitingRequest } from './admission-queue.js';
import { reserveFactor } from './server-room.js';

/** A kind of request that has not arrived twice within this time does not keep a slot free. */
const recentMilliseconds = 1_000;
/** Kinds that are remembered; those that arrived longest ago are forgotten first. */
const maximumKinds = 64;
/** Weight of one request: the average covers about the last ten requests of a kind. */
const targetWeight = 0.1;

/** The requests of one route, priority and origin that arrive at the server. */
interface ArrivingKind {
  readonly routeName: string;
  readonly isNested: boolean;
  readonly priority: number;
  /** Mean time that is left until the target when a request arrives, in milliseconds. */
  targetMilliseconds: number;
  lastArrivedAt: number;
  previousArrivedAt: number;
}

/** The running requests, and the limits of the requests that may precede others. */
export interface ReserveContext {
  readonly now: number;
  readonly limit: number;
  readonly nestedLimit: number;
  readonly remainingWork: readonly number[];
  readonly workOf: (routeName: string) => number;
}

/**
 * Keeps the last free slot of a server for more urgent requests that arrive often, where requests that hold all slots
 * would not end soon enough for them. Long requests of low priority otherwise fill the slots on which short calls wait.
 */
export class SlotReserve {
  private readonly kinds = new Map<string, ArrivingKind>();

  public recordArrival({ frame, targetAt }: WaitingRequest, now: number): void {
    const { nested, priority, routeName } = frame;
    const key = `${String(nested)} ${priority} ${routeName}`;
    const targetMilliseconds = targetAt - now;
    const kind = this.kinds.get(key);
    if (kind === undefined) {
      this.kinds.set(key, {
        isNested: nested,
        lastArrivedAt: now,
        previousArrivedAt: Number.NEGATIVE_INFINITY,
        priority,
        routeName,
        targetMilliseconds,
      });
      this.removeOldest();
      return;
    }
    kind.previousArrivedAt = kind.lastArrivedAt;
    kind.lastArrivedAt = now;
    // A caller that returns after a refusal has less time than the kind usually has.
    if (targetMilliseconds > 0)
      kind.targetMilliseconds += targetWeight * (targetMilliseconds - kind.targetMilliseconds);
  }

  /** Whether the request may take the last free slot. */
  public mayTakeLastSlot(request: WaitingRequest, context: ReserveContext): boolean {
    const { limit, now, remainingWork, workOf } = context;
    if (request.frame.nested || limit <= 1) return true;
    const work = workOf(request.frame.routeName);
    const release = Math.min(...remainingWork, work) * reserveFactor;
    for (const kind of this.kinds.values()) {
      if (now - kind.previousArrivedAt > recentMilliseconds) continue;
      const isMoreUrgent = kind.isNested || kind.priority < request.frame.priority;
      if (!isMoreUrgent) continue;
      // Nested calls have slots of their own if their limit is higher.
      if (kind.isNested && context.nestedLimit > limit) continue;
      const kindWork = workOf(kind.routeName);
      if (kindWork >= kind.targetMilliseconds) continue;
      if (release > kind.targetMilliseconds - kindWork * reserveFactor) return false;
    }
    return true;
  }

  private removeOldest(): void {
    if (this.kinds.size <= maximumKinds) return;
    let oldestKey: string | undefined;
    let oldestAt = Infinity;
    for (const [key, { lastArrivedAt }] of this.kinds) {
      if (lastArrivedAt >= oldestAt) continue;
      oldestAt = lastArrivedAt;
      oldestKey = key;
    }
    if (oldestKey !== undefined) this.kinds.delete(oldestKey);
  }
}
