import type { MemberRecord } from '@peridotspring/core';
import * as assert from 'uvu/assert';

import { ControlNetwork, type ControlNetworkOptions } from '../src/control-network.js';

/** Zones and their regions: three zones in one region and one in another. */
export const testZones = [
  ['regina-hall', 'prairie-west'],
  ['saskatoon-hall', 'prairie-west'],
  ['brandon-hall', 'prairie-west'],
  ['bern-a', 'ch-mittelland'],
] as const;

/** Starts `count` nodes spread over the first `zoneCount` zones and lets them find each other. */
export function startNetwork(
  count: number,
  zoneCount: number,
  options: ControlNetworkOptions,
): ControlNetwork {
  const network = new ControlNetwork({ tickMilliseconds: 20, ...options });
  for (let index = 0; index < count; index += 1) {
    startNode(network, index, zoneCount);
  }
  network.run(20_000);
  return network;
}

/** Starts, or restarts, the node of an index in its zone. */
export function startNode(network: ControlNetwork, index: number, zoneCount: number): void {
  const [zone, region] = testZones[index % zoneCount] ?? testZones[0];
  network.start(serverName(index), zone, region);
}

/** Name of the server of an index. */
export function serverName(index: number): string {
  return `server-${index}`;
}

/** How many running nodes hold a view of the server that satisfies the condition. */
export function countViews(
  network: ControlNetwork,
  server: string,
  accepts: (record: MemberRecord | undefined) => boolean,
): number {
  return network.running.filter((node) => accepts(node.membership.member(server))).length;
}

/** Fails with the first few disagreements between the nodes. */
export function assertMembersAgree(network: ControlNetwork): void {
  assert.equal(findMemberFaults(network).slice(0, 5), []);
}

/** Describes every disagreement between the nodes' members and the nodes that run. */
export function findMemberFaults(network: ControlNetwork): readonly string[] {
  const faults: string[] = [];
  const running = new Set(network.running.map((node) => node.server));
  for (const node of network.running) {
    for (const server of running) {
      const state = node.membership.member(server)?.state ?? 'unknown';
      const own = network.nodes.get(server)?.membership.member(server)?.state;
      if (state !== own)
        faults.push(`${node.server} takes ${server} for ${state}, not ${own ?? '?'}`);
    }
    for (const { server, state } of node.membership.members()) {
      if (!running.has(server) && state !== 'dead' && state !== 'left') {
        faults.push(`${node.server} takes the stopped ${server} for ${state}`);
      }
    }
  }
  return faults;
}
