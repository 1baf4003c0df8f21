import { hashString } from '@peridotspring/core';

import type { MeshNode } from '../messages/mesh-frames.js';

/** Orders the nodes of a zone in the same way everywhere; the name breaks ties of the hash. */
export function zoneRank({ name }: Pick<MeshNode, 'name'>): string {
  return `${hashString(name).toString(16).padStart(8, '0')} ${name}`;
}
