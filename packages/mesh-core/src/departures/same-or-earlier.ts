import type { EndedServer } from '../messages/mesh-frames.js';

/**
 * Whether an incarnation is the other one or an earlier one under the same identifier, so that the departure of the other one
 * binds it. If a start is unknown, both may be the same incarnation.
 */
export function isSameOrEarlier(incarnation: EndedServer, other: EndedServer): boolean {
  if (incarnation.instanceId !== other.instanceId) return false;
  if (incarnation.startedAt === undefined || other.startedAt === undefined) return true;
  return incarnation.startedAt <= other.startedAt;
}
