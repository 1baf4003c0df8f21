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

const opened: TestNode[] = [];

/** Starts a node's connections on a free loopback port. */
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
      drained: () => undefined,
      frame: (from, frame) => frames.push({ frame, from: from.server }),
      lost: (name) => lost.push(name),
      rejected: (reason) => rejected.push(reason),
      unsent: (_server, waiting) => unsent.push(...waiting),
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
  opened.push(node);
  return node;
}

export async function closeNodes(): Promise<void> {
  for (const node of opened.splice(0)) {
    await node.connections.close();
  }
}

const waitLimitMilliseconds = 20_000;

/** Waits until a condition holds; the limit only bounds a failing test. */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
  const startedAt = performance.now();
  while (!condition()) {
    if (performance.now() - startedAt > waitLimitMilliseconds) {
      throw new Error(`waited too long for: ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
