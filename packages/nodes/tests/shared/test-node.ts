import type { NodeIdentity, PeerFrame } from '@peridotspring/core';

import { NodeConnections } from '../../src/index.js';
import type { CloseReason, PeerSecrets } from '../../src/index.js';

export interface TestNode {
  readonly connections: NodeConnections;
  readonly identity: NodeIdentity;
  readonly address: string;
  readonly frames: { readonly from: string; readonly frame: PeerFrame }[];
  readonly lost: string[];
  readonly rejected: CloseReason[];
  readonly unsent: PeerFrame[];
}

const openNodes: TestNode[] = [];

/** Starts the connections of a node on a free loopback port. */
export async function startNode(
  server: string,
  secrets: PeerSecrets = { current: 'secret' },
): Promise<TestNode> {
  const frames: TestNode['frames'] = [];
  const lost: string[] = [];
  const rejected: CloseReason[] = [];
  const unsent: PeerFrame[] = [];
  const identity: NodeIdentity = {
    availabilityZone: 'zone-a',
    incarnation: 1,
    peerAddress: '',
    region: 'region-a',
    server,
  };
  const connections = new NodeConnections({
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => performance.now(),
    events: {
      onDrained: () => undefined,
      onFrame: (from, frame) => frames.push({ frame, from: from.server }),
      onConnectionLost: (name) => lost.push(name),
      onConnectionRejected: (reason) => rejected.push(reason),
      onUnsent: (_server, waiting) => unsent.push(...waiting),
    },
    identity,
    random: () => 0.5,
    secrets,
  });
  const port = await connections.listen();
  const node = {
    address: `127.0.0.1:${port}`,
    connections,
    frames,
    identity,
    lost,
    rejected,
    unsent,
  };
  openNodes.push(node);
  return node;
}

export async function closeNodes(): Promise<void> {
  for (const node of openNodes.splice(0)) {
    await node.connections.close();
  }
}

const waitTimeoutMilliseconds = 20_000;

/** Waits until a condition holds; the time limit only matters when a test fails. */
export async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const startedAt = performance.now();
  while (!condition()) {
    if (performance.now() - startedAt > waitTimeoutMilliseconds) {
      throw new Error(`timed out waiting for ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
