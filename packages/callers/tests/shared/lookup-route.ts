import type { CallerLimits, Route } from '@peridotspring/mesh-core';

export const lookupRoute: Route = {
  host: 'shop.example',
  idempotent: true,
  isPublic: false,
  maximumAttempts: 1,
  name: 'lookup',
  pathPrefix: '/a/',
  priority: 0,
  split: [{ service: 'shop', weight: 1 }],
  targetLatencyMilliseconds: 100,
  timeoutMilliseconds: 700,
};

export function callerLimits(idleTimeoutMilliseconds: number): CallerLimits {
  return {
    bodyBytes: 1_000,
    headerBytes: 16_384,
    headerTimeoutMilliseconds: 1_000,
    idleTimeoutMilliseconds,
  };
}
