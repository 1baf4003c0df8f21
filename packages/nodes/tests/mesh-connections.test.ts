import { connect } from 'node:net';
import type { Socket } from 'node:net';

import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';
import { createLoad, createNode } from '@peridotspring/mesh-core/fixtures';
import { findFreePorts } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  encodeMeshFrame,
  maximumMeshBodyBytes,
  MeshFrameDecoder,
  meshProtocolVersion,
} from '../src/mesh/mesh-frame-codec.js';
import type { MeshWireFrame } from '../src/mesh/mesh-frame-codec.js';
import { MeshTestNode, waitUntil } from './shared/mesh-test-node.js';

test('an answer that is cut off at any byte between two nodes is not delivered', () => {
  const answer = encodeMeshFrame({
    body: Buffer.from('the whole body'),
    callId: 7,
    headers: [['content-type', 'text/plain']],
    kind: 'answered',
    load: createLoad(),
    status: 200,
  });
  for (let cut = 0; cut < answer.length; cut += 1) {
    const decoder = new MeshFrameDecoder();
    decoder.allowLargeFrames();
    assert.equal(decoder.push(answer.subarray(0, cut)), [], `cut after ${cut} bytes`);
  }
});

// Guards against an answer that a gate accepts from its server and that ends the connection to the entry.
test('an answer with the longest body and head that a gate accepts is decoded by the entry', () => {
  const body = Buffer.alloc(maximumMeshBodyBytes);
  const headers = Array.from({ length: 4_000 }, () => ['a', ''] as const);
  const load = createLoad();
  const frame = { body, callId: 7, headers, kind: 'answered', load, status: 200 } as const;
  const decoder = new MeshFrameDecoder();
  decoder.allowLargeFrames();
  const [decoded] = decoder.push(encodeMeshFrame(frame));
  assert.is(decoded?.kind, 'frame');
});

/** Frames with parts that only another version or a faulty node sends. */
const malformedFrames: readonly (readonly [string, object])[] = [
  ['a field without a value', { headers: [['x-a']] }],
  ['a field value that is a number', { headers: [['x-a', 1]] }],
  ['a field that is no pair', { headers: ['x-a'] }],
  ['a load without a state', { load: { ...createLoad(), state: undefined } }],
  ['a load with a text in place of a number', { load: { ...createLoad(), running: 'many' } }],
];

// Guards against values that end the process when they are used: the decoder checked only the outermost fields.
for (const [name, change] of malformedFrames) {
  test(`an answer with ${name} is a fault of its connection`, () => {
    const answer = {
      body: Buffer.from('body'),
      callId: 7,
      headers: [],
      kind: 'answered',
      load: createLoad(),
      status: 200,
      ...change,
    };
    const decoder = new MeshFrameDecoder();
    const [decoded] = decoder.push(encodeMeshFrame(answer as unknown as MeshWireFrame));
    assert.is(decoded?.kind, 'fault');
  });
}

async function nodeOnFreePort(name: string, boot = 1): Promise<MeshNode> {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  return createNode(name, { address, boot });
}

async function withTwoNodes(
  run: (first: MeshTestNode, second: MeshTestNode) => Promise<void>,
): Promise<void> {
  const nodes = [
    new MeshTestNode(await nodeOnFreePort('a')),
    new MeshTestNode(await nodeOnFreePort('b')),
  ] as const;
  try {
    for (const { connections } of nodes) await connections.listen();
    await run(...nodes);
  } finally {
    for (const testNode of nodes) testNode.close();
  }
}

test('frames are delivered in both directions once both sides have received a hello', async () => {
  await withTwoNodes(async (first, second) => {
    first.connections.dial(second.self);
    await waitUntil(
      () => second.events.includes('connected a') && first.events.includes('connected b'),
    );
    assert.ok(first.connections.send('b', { kind: 'version', version: 4 }));
    assert.ok(second.connections.send('a', { callId: 1, kind: 'cancel' }));
    await waitUntil(() => first.frames.length === 1 && second.frames.length === 1);
    assert.equal(second.frames, [{ kind: 'version', version: 4 }]);
  });
});

// Regression: if the state of the server changed after a node had sent its hello and before it received the peer's
// hello, the change was not sent on the new connection. When the hello announced the server as absent and the server
// became ready in the meantime, no node sent requests to the server until its next change.
test('a change during the handshake of a connection is sent on it', async () => {
  await withTwoNodes(async (first, second) => {
    first.connections.dial(second.self);
    first.connections.broadcast({ kind: 'load', load: createLoad({ running: 1 }) });
    await waitUntil(() => second.frames.length > 0);
    assert.equal(second.frames, [{ kind: 'load', load: createLoad({ running: 1 }) }]);
  });
});

test('two nodes that dial each other at once keep one connection, the same on both sides', async () => {
  await withTwoNodes(async (first, second) => {
    first.connections.dial(second.self);
    second.connections.dial(first.self);
    await waitUntil(
      () => first.events.includes('connected b') && second.events.includes('connected a'),
    );
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.ok(first.connections.send('b', { kind: 'version', version: 1 }));
    assert.ok(second.connections.send('a', { kind: 'version', version: 2 }));
    await waitUntil(() => first.frames.length === 1 && second.frames.length === 1);
  });
});

test('dialing an address where no process listens reports the connection as refused', async () => {
  await withTwoNodes(async (first) => {
    first.connections.dial(await nodeOnFreePort('gone'));
    await waitUntil(() => first.events.includes('failed gone refused'));
  });
});

test('a refused dial does not close a connection that works', async () => {
  await withTwoNodes(async (first, second) => {
    first.connections.dial(second.self);
    await waitUntil(() => second.events.includes('connected a'));
    first.connections.dial({ ...(await nodeOnFreePort('b')) });
    await waitUntil(() => first.events.includes('failed b refused'));
    assert.not(first.events.includes('lost b'));
    assert.ok(first.connections.send('b', { kind: 'version', version: 1 }));
    await waitUntil(() => second.frames.length === 1);
  });
});

test('finding another node at the address reports the dialed node as refused', async () => {
  await withTwoNodes(async (first, second) => {
    first.connections.dial({ ...second.self, name: 'earlier' });
    await waitUntil(() => first.events.includes('failed earlier refused'));
  });
});

test('send returns false without a connection', async () => {
  await withTwoNodes(async (first) => {
    await Promise.resolve();
    assert.not(first.connections.send('b', { kind: 'version', version: 1 }));
  });
});

async function sendRaw(target: MeshTestNode, frames: readonly MeshWireFrame[]): Promise<Socket> {
  const socket = connect(Number(target.self.address.split(':')[1]), '127.0.0.1');
  socket.on('error', () => undefined);
  for (const frame of frames) socket.write(encodeMeshFrame(frame));
  await Promise.resolve();
  return socket;
}

const hello = (node: MeshNode, protocol = meshProtocolVersion): MeshWireFrame => ({
  configurationVersion: 0,
  kind: 'hello',
  knownNodes: 0,
  load: createLoad(),
  node,
  protocol,
  reachesStore: true,
});

test('a connection that becomes silent while answers are pending is closed within two seconds', async () => {
  await withTwoNodes(async (first) => {
    const other = await nodeOnFreePort('silent');
    const socket = await sendRaw(first, [hello(other)]);
    await waitUntil(() => first.events.includes('connected silent'));
    const startedAt = performance.now();
    first.connections.send('silent', { callId: 1, kind: 'start' } as MeshFrame);
    await waitUntil(() => first.events.includes('lost silent'));
    assert.ok(performance.now() - startedAt < 2_000);
    socket.destroy();
  });
});

// Of a silent connection without requests, nothing but an unanswered ping shows that it is dead.
test('a connection that becomes silent while it is idle is closed, and a new one to the same node works', async () => {
  await withTwoNodes(async (first) => {
    const other = await nodeOnFreePort('silent');
    const silent = await sendRaw(first, [hello(other)]);
    await waitUntil(() => first.events.includes('connected silent'));
    const startedAt = performance.now();
    await waitUntil(() => first.events.includes('lost silent'));
    const milliseconds = performance.now() - startedAt;
    assert.ok(milliseconds > 1_000 && milliseconds < 7_000, `${milliseconds} ms`);
    silent.destroy();
    const next = await sendRaw(first, [hello(other)]);
    await waitUntil(
      () => first.events.filter((event) => event === 'connected silent').length === 2,
    );
    next.destroy();
  });
});

/** Invalid input, after which the connection that sent it is closed. */
const invalidInputs: readonly (readonly [string, readonly MeshWireFrame[]])[] = [
  ['a frame before hello', [{ kind: 'version', version: 1 }]],
  [
    'another protocol version',
    [
      hello(
        { address: 'x:1', availabilityZone: 'z', boot: 1, name: 'x', region: 'r', service: 's' },
        99,
      ),
    ],
  ],
  ['an unknown frame kind', [{ kind: 'nonsense' } as unknown as MeshWireFrame]],
  ['a frame without its required fields', [{ kind: 'hello' } as unknown as MeshWireFrame]],
];

for (const [name, frames] of invalidInputs) {
  test(`${name} closes the connection it was received on and no other`, async () => {
    await withTwoNodes(async (first, second) => {
      first.connections.dial(second.self);
      await waitUntil(() => first.events.includes('connected b'));
      const socket = await sendRaw(first, frames);
      socket.resume();
      await waitUntil(() => socket.closed);
      assert.ok(first.connections.send('b', { kind: 'version', version: 1 }));
    });
  });
}

test('frames that arrive in pieces are reassembled', () => {
  const frame: MeshWireFrame = { kind: 'version', version: 12 };
  const bytes = Buffer.concat([encodeMeshFrame(frame), encodeMeshFrame({ kind: 'ping' })]);
  const decoder = new MeshFrameDecoder();
  const decoded = [...bytes].flatMap((byte) => decoder.push(Buffer.from([byte])));
  assert.equal(
    decoded.map((result) => result.kind === 'frame' && result.frame.kind),
    ['version', 'ping'],
  );
});

// Uncompressed, a configuration of 1,400 routes that one node sends to ten others took seconds on a 10 Mbit/s link.
test('a configuration is compressed when sent to other nodes', () => {
  const routes = Array.from({ length: 1_400 }, (_, index) => ({
    hostname: `shop-${index}.example`,
    kind: 'safe',
    prefix: `/route-${index}/`,
    timeout_ms: 1_000,
  }));
  const content = Buffer.from(JSON.stringify(routes));
  const encoded = encodeMeshFrame({ content, kind: 'configuration', version: 7 });
  assert.ok(encoded.length * 5 < content.length, `${encoded.length} of ${content.length} bytes`);
  const [decoded] = new MeshFrameDecoder().push(encoded);
  assert.is(decoded?.kind, 'frame');
  const frame = decoded?.kind === 'frame' ? decoded.frame : undefined;
  assert.is(frame?.kind, 'configuration');
  if (frame?.kind !== 'configuration') return;
  assert.ok(content.equals(frame.content));
  assert.is(frame.version, 7);
});

test('a configuration that cannot be decompressed makes the frame invalid', () => {
  const packed = encodeMeshFrame({
    content: Buffer.from('routes'),
    kind: 'configuration',
    version: 7,
  });
  packed[packed.indexOf('content') + 'content'.length + 1] = 0xff;
  const [decoded] = new MeshFrameDecoder().push(packed);
  assert.is(decoded?.kind, 'fault');
});

test('before the hello, a frame longer than a hello may be closes the connection', async () => {
  await withTwoNodes(async (first) => {
    const socket = connect({ host: '127.0.0.1', port: Number(first.self.address.split(':')[1]) });
    socket.on('error', () => undefined);
    socket.resume();
    const closed = new Promise((resolve) => socket.once('close', resolve));
    const length = Buffer.alloc(4);
    length.writeUInt32BE(1_048_576);
    const startedAt = performance.now();
    socket.write(length);
    await closed;
    assert.ok(performance.now() - startedAt < 1_000);
  });
});

test('whenRead resolves once the other side has read everything sent, or its connection has closed', async () => {
  await withTwoNodes(async (first, second) => {
    first.connections.dial(second.self);
    await waitUntil(
      () => first.events.includes('connected b') && second.events.includes('connected a'),
    );
    first.connections.broadcast({ kind: 'version', version: 9 });
    await first.connections.whenRead();
    assert.equal(second.frames, [{ kind: 'version', version: 9 }]);
    const read = first.connections.whenRead();
    second.close();
    await read;
  });
});

test.run();
