import type { EndedServer } from '@peridotspring/mesh-core';

/** Validates a server incarnation that a peer sent. */
export function isEndedServer(value: unknown): value is EndedServer {
  if (typeof value !== 'object' || value === null || !('instanceId' in value)) return false;
  const startedAt = 'startedAt' in value ? value.startedAt : undefined;
  const isValidStart = startedAt === undefined || Number.isSafeInteger(startedAt);
  return isValidStart && typeof value.instanceId === 'string' && value.instanceId !== '';
}
