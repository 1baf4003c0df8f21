import type { StartFrame } from '../messages/mesh-frames.js';

/** What the place of a request in the order depends on. */
export interface OrderedRequest {
  readonly frame: Pick<StartFrame, 'nested' | 'priority' | 'routeName'>;
  readonly targetAt: number;
  readonly deadline: number;
}

export interface OrderContext {
  readonly now: number;
  /** Whether nested calls precede requests of callers; otherwise they follow them. */
  readonly isNestedFirst: boolean;
  /** Expected work of a request of the route at this server, in milliseconds. */
  readonly workOf: (routeName: string) => number;
}

/** Whether a request would meet its target if it started now. */
export function isInTime({ frame, targetAt }: OrderedRequest, context: OrderContext): boolean {
  return targetAt >= context.now + context.workOf(frame.routeName);
}

/**
 * Whether the first request starts before the second. Nested calls come first, because their parents hold slots of
 * other servers. Requests that can still meet their target follow, ordered by priority and then by target. Those that
 * will miss it come last, ordered by priority and then by work, so that most of them get an answer.
 */
export function precedes(
  first: OrderedRequest,
  second: OrderedRequest,
  context: OrderContext,
): boolean {
  if (first.frame.nested !== second.frame.nested)
    return first.frame.nested === context.isNestedFirst;
  const isFirstInTime = isInTime(first, context);
  if (isFirstInTime !== isInTime(second, context)) return isFirstInTime;
  if (first.frame.priority !== second.frame.priority)
    return first.frame.priority < second.frame.priority;
  const workDifference =
    context.workOf(first.frame.routeName) - context.workOf(second.frame.routeName);
  if (isFirstInTime) {
    return first.targetAt === second.targetAt
      ? workDifference < 0
      : first.targetAt < second.targetAt;
  }
  return workDifference === 0 ? first.deadline < second.deadline : workDifference < 0;
}
