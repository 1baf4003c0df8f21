import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';
import { createLoad, createNode, createStartFrame } from '@peridotspring/mesh-core/fixtures';
import { findFreePorts, SilencingForwarder, SilentDirection } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MeshConnections } from '../src/index.js';

/** Time within which a request on a silent connection has to be sent again on another one. */
const recoveryMilliseconds = 500;

/** A node whose connections from other nodes pass through a forwarder. */
class TestNode {
  public readonly connections: MeshConnections;
  public readonly frames: MeshFrame[] = [];
  public readonly events: string[] = [];
  public connectedCount = 0;
  private readonly timer: NodeJS.Timeout;

  public constructor(
    public readonly self: MeshNode,
    port: number,
    public readonly forwarder: SilencingForwarder,
  ) {
    this.connections = new MeshConnections({
      bindHost: '127.0.0.1',
      bindPort: port,
      clock: () => performance.now(),
      events: {
        onConfirmed: () => undefined,
        onConnected: () => {
          this.connectedCount += 1;
        },
        onDialFailed: ({ name }) => this.events.push(`failed ${name}`),
        onDisconnected: ({ name }) => this.events.push(`lost ${name}`),
        onFrame: (_from, frame) => this.frames.push(frame),
        onSuspected: () => undefined,
      },
      helloPayload: () => ({
        configurationVersion: 3,
        knownNodes: 1,
        load: createLoad(),
        reachesStore: true,
      }),
      self,
    });
    this.timer = setInterval(() => {
      this.connections.tick(performance.now());
    }, 20);
  }

  public close(): void {
    clearInterval(this.timer);
    this.connections.close();
    this.forwarder.close();
  }
}

async function startNode(name: string): Promise<TestNode> {
  const [port = 0] = await findFreePorts(1);
  const forwarder = new SilencingForwarder('127.0.0.1', port);
  const address = `127.0.0.1:${await forwarder.listen()}`;
  const node = new TestNode(createNode(name, { address }), port, forwarder);
  await node.connections.listen();
  return node;
}

async function withNodes(
  names: readonly string[],
  run: (nodes: readonly TestNode[]) => Promise<void>,
): Promise<void> {
  const nodes = await Promise.all(names.map(startNode));
  try {
    await run(nodes);
  } finally {
    for (const node of nodes) node.close();
  }
}

async function waitUntil(condition: () => boolean, milliseconds: number): Promise<void> {
  const deadline = performance.now() + milliseconds;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`not the case within ${milliseconds} ms`);
    await new Promise((resolve) => setTimeout(resolve, 5));
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
    await waitUntil(() => first.events.length === 2, recoveryMilliseconds);
    assert.equal(first.events, ['lost b', 'failed b']);
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
