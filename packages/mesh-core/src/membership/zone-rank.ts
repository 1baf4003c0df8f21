import { hashString } from '@peridotspring/core';

import type { MeshNode } from '../messages/mesh-frames.js';

/** Sort key that gives all nodes the same order of the nodes of a zone. The name breaks ties between hashes. */
export function zoneRank({ name }: Pick<MeshNode, 'name'>): string {
  return `${hashString(name).toString(16).padStart(8, '0')} ${name}`;
}
