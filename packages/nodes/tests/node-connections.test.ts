import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { Encoder } from 'cbor-x';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CloseReason, maximumFrameBytes, protocolVersion } from '../src/index.js';
import { closeNodes, startNode, waitUntil } from './shared/test-node.js';

const encoder = new Encoder({ tagUint8Array: false, useRecords: false });

function encodeWithLength(value: unknown): Buffer {
  const encoded = encoder.encode(value);
  const buffer = Buffer.alloc(4 + encoded.length);
  buffer.writeUInt32BE(encoded.length, 0);
  encoded.copy(buffer, 4);
  return buffer;
}

const hello = {
  identity: { server: 'intruder' },
  kind: 'hello',
  nonce: new Uint8Array(16),
  version: protocolVersion,
};
const oversizedLength = Buffer.alloc(4);
oversizedLength.writeUInt32BE(maximumFrameBytes + 1, 0);

/** What a faulty or hostile peer may send, and the close reason that must be counted for it. */
const malformedInputs: readonly (readonly [string, Buffer, CloseReason])[] = [
  ['a frame that is too long', oversizedLength, CloseReason.TooLarge],
  ['an HTTP request', Buffer.from('GET / HTTP/1.1\r\n\r\n'), CloseReason.TooLarge],
  ['bytes that are not CBOR', Buffer.from([0, 0, 0, 2, 0x5b, 0xff]), CloseReason.BadEncoding],
  ['a value that is not a map', encodeWithLength(5), CloseReason.BadShape],
  ['an unknown kind', encodeWithLength({ kind: 'surprise' }), CloseReason.BadShape],
  [
    'a kind that is a property of every object',
    encodeWithLength({ kind: 'toString' }),
    CloseReason.BadShape,
  ],
  ['a hello without a nonce', encodeWithLength({ ...hello, nonce: 'text' }), CloseReason.BadShape],
  [
    'another protocol version',
    encodeWithLength({ ...hello, version: 99 }),
    CloseReason.VersionMismatch,
  ],
  [
    'a frame before the hello',
    encodeWithLength({ kind: 'load-probe', service: 'a' }),
    CloseReason.BadHello,
  ],
  [
    'a proof before the hello',
    encodeWithLength({ kind: 'proof', signature: new Uint8Array(32) }),
    CloseReason.BadHello,
  ],
  [
    'two hellos',
    Buffer.concat([encodeWithLength(hello), encodeWithLength(hello)]),
    CloseReason.BadHello,
  ],
  [
    'a wrong proof',
    Buffer.concat([
      encodeWithLength(hello),
      encodeWithLength({ kind: 'proof', signature: new Uint8Array(32) }),
    ]),
    CloseReason.BadProof,
  ],
];

async function dial(address: string): Promise<Socket> {
  const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

test.after(closeNodes);

test('frames reach the other node, and its answers come back on the same connection', async () => {
  const first = await startNode('first');
  const second = await startNode('second');
  first.connections.send('second', second.address, { kind: 'load-probe', service: 'a' });
  await waitUntil(() => second.frames.length === 1, 'the first frame');
  assert.is(second.frames[0]?.from, 'first');
  // The address is wrong on purpose: the existing connection must be used.
  second.connections.send('first', '127.0.0.1:1', { kind: 'load-report', load: undefined });
  await waitUntil(() => first.frames.length === 1, 'the answer');
});

for (const [name, bytes, reason] of malformedInputs) {
  test(`${name} closes its connection with a counted reason and does not affect others`, async () => {
    const node = await startNode('victim');
    const neighbour = await startNode('neighbour');
    neighbour.connections.send('victim', node.address, { kind: 'load-probe', service: 'a' });
    await waitUntil(() => node.frames.length === 1, 'the first frame of the neighbour');
    const socket = await dial(node.address);
    const closed = once(socket, 'close');
    socket.resume();
    socket.write(bytes);
    await closed;
    assert.is(node.connections.closeCounts.get(reason), 1);
    assert.equal(node.rejected, [reason]);
    neighbour.connections.send('victim', node.address, { kind: 'load-probe', service: 'b' });
    await waitUntil(() => node.frames.length === 2, 'the second frame of the neighbour');
    assert.equal(neighbour.lost, []);
  });
}

test('a frame before the proof that is longer than a hello closes its connection', async () => {
  const node = await startNode('victim');
  const socket = await dial(node.address);
  const closed = once(socket, 'close');
  socket.resume();
  socket.write(Buffer.from([0, 1, 0, 0]));
  await closed;
  assert.equal(node.rejected, [CloseReason.TooLarge]);
});

test('heartbeats before the proof do not keep a connection open', async () => {
  const node = await startNode('victim');
  const socket = await dial(node.address);
  socket.resume();
  const timer = setInterval(() => socket.write(encodeWithLength({ kind: 'heartbeat' })), 100);
  try {
    await waitUntil(() => node.rejected.length === 1, 'the end of the connection');
  } finally {
    clearInterval(timer);
  }
  assert.equal(node.rejected, [CloseReason.Silent]);
});

test('a frame of the largest size that is sent right behind the proof arrives', async () => {
  const first = await startNode('first');
  const second = await startNode('second');
  first.connections.send('second', second.address, {
    bytes: new Uint8Array(1_048_576),
    callId: 1,
    direction: 'answer',
    kind: 'body-chunk',
  });
  await waitUntil(() => second.frames.length === 1, 'the frame');
});

test('a node with another secret can deliver no frames, and its frames are reported as unsent', async () => {
  const node = await startNode('guarded');
  const stranger = await startNode('stranger', { current: 'guess' });
  stranger.connections.send('guarded', node.address, { kind: 'load-probe', service: 'a' });
  await waitUntil(() => stranger.unsent.length === 1, 'the frame to be reported as unsent');
  assert.equal(node.frames, []);
});

test('the previous secret is accepted while the current one is rolled out', async () => {
  const updated = await startNode('updated', { current: 'new', previous: 'old' });
  const behind = await startNode('behind', { current: 'old', previous: 'new' });
  behind.connections.send('updated', updated.address, { kind: 'load-probe', service: 'a' });
  await waitUntil(() => updated.frames.length === 1, 'the frame of the node with the old secret');
});

test('frames to an address where no process listens are reported as unsent, not as lost', async () => {
  const node = await startNode('alone');
  const gone = await startNode('gone');
  await gone.connections.close();
  node.connections.send('gone', gone.address, { callId: 1, kind: 'request-cancel' });
  await waitUntil(() => node.unsent.length === 1, 'the unsent frame');
  assert.equal(node.lost, []);
});

test('a node at the dialed address with another server name gets no frames', async () => {
  const node = await startNode('dialer');
  const other = await startNode('other');
  node.connections.send('expected', other.address, { kind: 'load-probe', service: 'a' });
  await waitUntil(() => node.unsent.length === 1, 'the unsent frame');
  assert.equal(other.frames, []);
});

test('a lost connection is reported, so that attempts on it need not wait for their deadline', async () => {
  const first = await startNode('stays');
  const second = await startNode('dies');
  first.connections.send('dies', second.address, { kind: 'load-probe', service: 'a' });
  await waitUntil(() => second.frames.length === 1, 'the frame');
  await second.connections.close();
  await waitUntil(() => first.lost.includes('dies'), 'the report of the loss');
});

test.run();
