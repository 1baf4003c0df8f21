import type { MeshNode } from '@peridotspring/mesh-core';
import { createNode, createStartFrame } from '@peridotspring/mesh-core/fixtures';
import { findFreePorts, SilencingForwarder, SilentDirection } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MeshTestNode, waitUntil } from './shared/mesh-test-node.js';

/** Time within which a request on a silent connection has to be sent again on another one. */
const recoveryMilliseconds = 500;

/** A node whose connections from other nodes pass through a forwarder. */
class ForwardedNode extends MeshTestNode {
  public constructor(
    self: MeshNode,
    port: number,
    public readonly forwarder: SilencingForwarder,
  ) {
    super(self, port);
  }

  public override close(): void {
    super.close();
    this.forwarder.close();
  }
}

async function startNode(name: string): Promise<ForwardedNode> {
  const [port = 0] = await findFreePorts(1);
  const forwarder = new SilencingForwarder('127.0.0.1', port);
  const address = `127.0.0.1:${await forwarder.listen()}`;
  const node = new ForwardedNode(createNode(name, { address }), port, forwarder);
  await node.connections.listen();
  return node;
}

async function withNodes(
  names: readonly string[],
  run: (nodes: readonly ForwardedNode[]) => Promise<void>,
): Promise<void> {
  const nodes = await Promise.all(names.map(startNode));
  try {
    await run(nodes);
  } finally {
    for (const node of nodes) node.close();
  }
}

const start = createStartFrame();
const dialers = [
  ['first', 'second'],
  ['second', 'first'],
] as const;

// When both nodes kept the connection that the first one by name had opened, a new one was turned away until that
// node had noticed the silence too.
for (const direction of Object.values(SilentDirection)) {
  for (const [dialerName, requesterName] of [...dialers, ['first', 'first'] as const]) {
    test(`a connection opened by the ${dialerName} node that is silent (${direction}) is replaced when the ${requesterName} one sends a request`, async () => {
      await withNodes(['a', 'b'], async ([first, second]) => {
        assert.ok(first !== undefined && second !== undefined);
        const dialer = dialerName === 'first' ? first : second;
        const requester = requesterName === 'first' ? first : second;
        const [dialed, gate] = [
          dialer === first ? second : first,
          requester === first ? second : first,
        ];
        dialer.connections.dial(dialed.self);
        await waitUntil(() => first.connectedCount + second.connectedCount === 2, 2_000);
        await first.connections.whenRead();
        dialed.forwarder.silence('', direction);
        requester.connections.send(gate.self.name, start);
        const isReplaced = (): boolean =>
          requester.connectedCount === 2 && gate.connectedCount === 2;
        await waitUntil(
          isReplaced,
          direction === SilentDirection.Both ? recoveryMilliseconds : 2_000,
        );
        gate.frames.length = 0;
        requester.connections.send(gate.self.name, start);
        await waitUntil(() => gate.frames.length > 0, recoveryMilliseconds);
      });
    });
  }
}

test('once a connection is found to be silent, the idle ones of the same node are replaced too', async () => {
  await withNodes(['a', 'b', 'c', 'd'], async ([first, ...others]) => {
    assert.ok(first !== undefined);
    for (const { self } of others) first.connections.dial(self);
    await waitUntil(() => first.connectedCount === 3, 2_000);
    await first.connections.whenRead();
    for (const { forwarder } of others) forwarder.silence();
    first.connections.send('b', start);
    await waitUntil(() => first.connectedCount === 6, 2 * recoveryMilliseconds);
    for (const { connectedCount } of others) assert.is(connectedCount, 2);
  });
});

test('a silent connection is closed at once when no process listens at its address any more', async () => {
  await withNodes(['a', 'b'], async ([first, second]) => {
    assert.ok(first !== undefined && second !== undefined);
    first.connections.dial(second.self);
    await waitUntil(() => first.connectedCount === 1, 2_000);
    await first.connections.whenRead();
    second.forwarder.silence();
    second.forwarder.stopListening();
    first.connections.send('b', start);
    await waitUntil(() => first.events.includes('failed b refused'), recoveryMilliseconds);
    assert.equal(first.events, ['connected b', 'suspected b', 'lost b', 'failed b refused']);
  });
});

test('nodes that both open another connection keep the same one', async () => {
  await withNodes(['a', 'b'], async ([first, second]) => {
    assert.ok(first !== undefined && second !== undefined);
    first.connections.dial(second.self);
    await waitUntil(() => first.connectedCount + second.connectedCount === 2, 2_000);
    await first.connections.whenRead();
    second.forwarder.silence();
    first.connections.send('b', start);
    second.connections.send('a', start);
    await waitUntil(() => first.connectedCount >= 2 && second.connectedCount >= 2, 1_000);
    await new Promise((resolve) => setTimeout(resolve, 300));
    first.frames.length = 0;
    second.frames.length = 0;
    first.connections.send('b', start);
    second.connections.send('a', start);
    await waitUntil(() => first.frames.length === 1 && second.frames.length === 1, 500);
  });
});

test.run();
