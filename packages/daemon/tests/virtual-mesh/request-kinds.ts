import type { Route } from '@peridotspring/mesh-core';
import { createRoute } from '@peridotspring/mesh-core/fixtures';

/** A kind of request of a simulation that plays several kinds against each other. */
export interface RequestKind {
  readonly name: string;
  /** The service whose servers run it. */
  readonly service: string;
  readonly workMilliseconds: number;
  readonly targetMilliseconds: number;
  readonly timeoutMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Name of the kind that each run calls once, while it holds its slot. */
  readonly calls?: string;
}

export function createRouteOfKind(kind: RequestKind): Route {
  const { name, priority, service, targetMilliseconds, timeoutMilliseconds } = kind;
  return createRoute({
    host: 'shop',
    idempotent: true,
    name,
    pathPrefix: `/${name}/`,
    priority,
    split: [{ service, weight: 1 }],
    targetLatencyMilliseconds: targetMilliseconds,
    timeoutMilliseconds,
  });
}
