import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';
import { createLoad, createNode } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MeshLinks } from '../src/index.js';
import {
  encodeMeshFrame,
  MeshFrameDecoder,
  meshProtocolVersion,
} from '../src/mesh/mesh-frame-codec.js';
import type { MeshWireFrame } from '../src/mesh/mesh-frame-codec.js';

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

class Peer {
  public readonly events: string[] = [];
  public readonly frames: MeshFrame[] = [];
  public readonly links: MeshLinks;
  private readonly timer: NodeJS.Timeout;

  public constructor(public readonly self: MeshNode) {
    this.links = new MeshLinks({
      bindHost: '127.0.0.1',
      bindPort: Number(self.address.split(':')[1]),
      clock: () => performance.now(),
      events: {
        connected: ({ node }) => this.events.push(`connected ${node.name}`),
        dialFailed: ({ name }, _detail, isRefused) =>
          this.events.push(`failed ${name}${isRefused ? ' refused' : ''}`),
        disconnected: ({ name }) => this.events.push(`lost ${name}`),
        frame: (_from, frame) => this.frames.push(frame),
      },
      greeting: () => ({
        configurationVersion: 3,
        knownNodes: 1,
        load: createLoad(),
        reachesStore: true,
      }),
      self,
    });
    this.timer = setInterval(() => {
      this.links.tick(performance.now());
    }, 20);
  }

  public close(): void {
    clearInterval(this.timer);
    this.links.close();
  }
}

async function nodeAt(name: string, boot = 1): Promise<MeshNode> {
  const address = `127.0.0.1:${await freePort()}`;
  return createNode(name, { address, boot });
}

async function until(condition: () => boolean): Promise<void> {
  const limit = Date.now() + 8_000;
  while (!condition()) {
    if (Date.now() > limit) throw new Error('the condition did not come true in 8 s');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

async function withPeers(run: (first: Peer, second: Peer) => Promise<void>): Promise<void> {
  const peers = [new Peer(await nodeAt('a')), new Peer(await nodeAt('b'))] as const;
  try {
    for (const { links } of peers) await links.listen();
    await run(...peers);
  } finally {
    for (const peer of peers) peer.close();
  }
}

test('frames pass in both directions once both sides have said hello', async () => {
  await withPeers(async (first, second) => {
    first.links.dial(second.self);
    await until(
      () => second.events.includes('connected a') && first.events.includes('connected b'),
    );
    assert.ok(first.links.send('b', { kind: 'version', version: 4 }));
    assert.ok(second.links.send('a', { callId: 1, kind: 'cancel' }));
    await until(() => first.frames.length === 1 && second.frames.length === 1);
    assert.equal(second.frames, [{ kind: 'version', version: 4 }]);
  });
});

// The first frame told that the server was absent. It was ready before the other side's first frame came, the
// others were not told, and none of them sent a request there until the next change.
test('what changes while a connection is being set up is told on it', async () => {
  await withPeers(async (first, second) => {
    first.links.dial(second.self);
    first.links.broadcast({ kind: 'load', load: createLoad({ running: 1 }) });
    await until(() => second.frames.length > 0);
    assert.equal(second.frames, [{ kind: 'load', load: createLoad({ running: 1 }) }]);
  });
});

test('two nodes that dial each other at once keep one connection, the same on both sides', async () => {
  await withPeers(async (first, second) => {
    first.links.dial(second.self);
    second.links.dial(first.self);
    await until(
      () => first.events.includes('connected b') && second.events.includes('connected a'),
    );
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.ok(first.links.send('b', { kind: 'version', version: 1 }));
    assert.ok(second.links.send('a', { kind: 'version', version: 2 }));
    await until(() => first.frames.length === 1 && second.frames.length === 1);
  });
});

test('a dial of an address without a process says that the process has ended', async () => {
  await withPeers(async (first) => {
    first.links.dial(await nodeAt('gone'));
    await until(() => first.events.includes('failed gone refused'));
  });
});

test('another node at the address means that the one looked for has ended', async () => {
  await withPeers(async (first, second) => {
    first.links.dial({ ...second.self, name: 'earlier' });
    await until(() => first.events.includes('failed earlier refused'));
  });
});

test('nothing is sent without a connection', async () => {
  await withPeers(async (first) => {
    await Promise.resolve();
    assert.not(first.links.send('b', { kind: 'version', version: 1 }));
  });
});

async function dialRaw(peer: Peer, frames: readonly MeshWireFrame[]): Promise<Socket> {
  const socket = connect(Number(peer.self.address.split(':')[1]), '127.0.0.1');
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

test('a connection that goes silent while answers are due is noticed within two seconds', async () => {
  await withPeers(async (first) => {
    const other = await nodeAt('silent');
    const socket = await dialRaw(first, [hello(other)]);
    await until(() => first.events.includes('connected silent'));
    const startedAt = performance.now();
    first.links.send('silent', { callId: 1, kind: 'start' } as MeshFrame);
    await until(() => first.events.includes('lost silent'));
    assert.ok(performance.now() - startedAt < 2_000);
    socket.destroy();
  });
});

/** What a connection sends that is closed for it. */
const rejected: readonly (readonly [string, readonly MeshWireFrame[]])[] = [
  ['a frame before hello', [{ kind: 'version', version: 1 }]],
  [
    'another protocol',
    [
      hello(
        { address: 'x:1', availabilityZone: 'z', boot: 1, name: 'x', region: 'r', service: 's' },
        99,
      ),
    ],
  ],
  ['an unknown kind of frame', [{ kind: 'nonsense' } as unknown as MeshWireFrame]],
  ['a frame without its fields', [{ kind: 'hello' } as unknown as MeshWireFrame]],
];

for (const [name, frames] of rejected) {
  test(`${name} ends the connection it came on and nothing else`, async () => {
    await withPeers(async (first, second) => {
      first.links.dial(second.self);
      await until(() => first.events.includes('connected b'));
      const socket = await dialRaw(first, frames);
      socket.resume();
      await until(() => socket.closed);
      assert.ok(first.links.send('b', { kind: 'version', version: 1 }));
    });
  });
}

test('frames that arrive in pieces are put together', () => {
  const frame: MeshWireFrame = { kind: 'version', version: 12 };
  const bytes = Buffer.concat([encodeMeshFrame(frame), encodeMeshFrame({ kind: 'ping' })]);
  const decoder = new MeshFrameDecoder();
  const decoded = [...bytes].flatMap((byte) => decoder.push(Buffer.from([byte])));
  assert.equal(
    decoded.map((result) => result.kind === 'frame' && result.frame.kind),
    ['version', 'ping'],
  );
});

// A configuration of 1,400 routes that one node sends to ten others took seconds of a link of 10 Mbit/s.
test('a configuration is compressed between nodes', () => {
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

test('a configuration that cannot be unpacked is a fault of the frame', () => {
  const packed = encodeMeshFrame({
    content: Buffer.from('routes'),
    kind: 'configuration',
    version: 7,
  });
  packed[packed.indexOf('content') + 'content'.length + 1] = 0xff;
  const [decoded] = new MeshFrameDecoder().push(packed);
  assert.is(decoded?.kind, 'fault');
});

test('who has not named itself can send no more than a first frame', async () => {
  await withPeers(async (first) => {
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

test('what was sent is known to be read once the other side answered, or its connection has ended', async () => {
  await withPeers(async (first, second) => {
    first.links.dial(second.self);
    await until(
      () => first.events.includes('connected b') && second.events.includes('connected a'),
    );
    first.links.broadcast({ kind: 'version', version: 9 });
    await first.links.whenRead();
    assert.equal(second.frames, [{ kind: 'version', version: 9 }]);
    const read = first.links.whenRead();
    second.close();
    await read;
  });
});

test.run();
