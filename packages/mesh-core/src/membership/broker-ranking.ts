import { hashString } from '@peridotspring/core';

import type { MeshNode } from '../messages/mesh-frames.js';
import { isSameZone } from '../shared/same-zone.js';

/** Number of reachable nodes that every node connects to for each group: the broker and those that take over from it. */
const brokersPerGroup = 2;
/** Unreachable nodes stay in the list in addition to their replacements, up to this length. */
const maximumCandidatesPerGroup = 5;
/** In larger fleets each availability zone has brokers of its own, since all nodes connect to them. */
const maximumNodesOfOneBroker = 512;

/**
 * Returns the candidates for the broker of a group, the preferred one first, by rendezvous hashing over all known nodes. Nodes
 * that know the same nodes have the same candidates.
 */
export function rankBrokers(
  group: number,
  self: MeshNode,
  others: readonly MeshNode[],
  isReachable: (name: string) => boolean,
): readonly string[] {
  const isDividedByZone = others.length >= maximumNodesOfOneBroker;
  const ranked = [self, ...others]
    .filter((node) => !isDividedByZone || isSameZone(node, self))
    .map(({ name }) => ({ name, weight: hashString(`${group}/${name}`) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1));
  const candidates: string[] = [];
  let reachableCount = 0;
  for (const { name } of ranked) {
    if (reachableCount === brokersPerGroup || candidates.length === maximumCandidatesPerGroup)
      break;
    candidates.push(name);
    if (name === self.name || isReachable(name)) reachableCount += 1;
  }
  return candidates;
}
