import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MemoryPlace } from '../../src/index.js';
import type { MemoryHold } from '../../src/index.js';
import { GateCallRegistry } from '../../src/gate/gate-call-registry.js';
import type { GateCall } from '../../src/gate/gate-call-registry.js';
import { createLoad, createMemoryAccount, createStartFrame } from '../fixtures.js';

function decline(registry: GateCallRegistry, call: GateCall, now: number): void {
  const { callId } = call.frame;
  const reply = { callId, expectedMilliseconds: 0, load: createLoad(), reason: 'busy' } as const;
  registry.finish(call, { ...reply, kind: 'declined' }, now);
}

// Guards against bodies of requests that a gate kept for seconds after their end, until they filled its memory.
test('a finished call keeps its reply, but not the content of its request', () => {
  const registry = new GateCallRegistry({
    account: createMemoryAccount(),
    protocol: createMemoryAccount(),
    retainedBytes: 10_000,
  });
  const frame = createStartFrame({ body: Buffer.alloc(1_000), callId: 3, headers: [['a', 'b']] });
  const call = registry.open('entry', 1, frame, 0);
  assert.is(call.frame.body?.length, 1_000);
  const reply = { callId: 3, detail: 'x', kind: 'failed', load: createLoad() } as const;
  registry.finish(call, reply, 10);
  const found = registry.find('entry', 1, 3);
  assert.ok(found);
  assert.equal(found.reply, reply);
  assert.is(found.frame.body, undefined);
  assert.equal(found.frame.headers, []);
  assert.is(found.frame.requestId, frame.requestId);
});

test('replies that were removed after their retention no longer count towards the limit', () => {
  const registry = new GateCallRegistry({
    account: createMemoryAccount(),
    protocol: createMemoryAccount(),
    retainedBytes: 10_000,
  });
  const answer = (callId: number, now: number): void => {
    const frame = createStartFrame({ callId, remainingMilliseconds: 100 });
    const call = registry.open('entry', 1, frame, now);
    const body = Buffer.alloc(6_000);
    const load = createLoad();
    registry.finish(call, { body, callId, headers: [], kind: 'answered', load, status: 200 }, now);
  };
  answer(1, 0);
  registry.removeExpired(10_000);
  answer(2, 10_000);
  assert.is(registry.find('entry', 1, 1), undefined);
  assert.is(registry.find('entry', 1, 2)?.reply?.kind, 'answered');
  answer(3, 10_001);
  const kinds = [2, 3].map((callId) => registry.find('entry', 1, callId)?.reply?.kind);
  assert.equal(kinds.sort(), ['answered', 'failed']);
});

test('long answers are forgotten before short ones, and of each the oldest first', () => {
  const registry = new GateCallRegistry({
    account: createMemoryAccount(),
    protocol: createMemoryAccount(),
    retainedBytes: 100_000,
  });
  const lengths = [2_000, 500, 60_000, 500, 50_000, 500];
  for (const [callId, length] of lengths.entries()) {
    const call = registry.open('entry', 1, createStartFrame({ callId }), 0);
    const body = Buffer.alloc(length);
    const load = createLoad();
    registry.finish(call, { body, callId, headers: [], kind: 'answered', load, status: 200 }, 0);
  }
  const kinds = lengths.map((_, callId) => registry.find('entry', 1, callId)?.reply?.kind);
  assert.equal(kinds, ['failed', 'answered', 'failed', 'answered', 'answered', 'answered']);
});

// Guards against heads of requests that fill the memory of a gate.
test('calls are counted with their heads until they are forgotten, declined ones soon, and half of the memory is left', () => {
  const protocol = createMemoryAccount(100_000);
  const registry = new GateCallRegistry({
    account: createMemoryAccount(),
    protocol,
    retainedBytes: 10_000,
  });
  const headers = Array.from({ length: 50 }, (_, index): [string, string] => [`x${index}`, '1']);
  const open = (callId: number): ReturnType<typeof registry.open> =>
    registry.open(
      'entry',
      1,
      createStartFrame({ callId, headers, remainingMilliseconds: 60_000 }),
      0,
    );
  const calls = Array.from({ length: 20 }, (_, index) => open(index));
  assert.ok(calls[0]?.hasMemory);
  assert.not.ok(calls.at(-1)?.hasMemory);
  assert.ok(protocol.heldBytes < 70_000, `${protocol.heldBytes} bytes`);
  for (const call of calls) decline(registry, call, 100);
  registry.removeExpired(5_000);
  assert.equal(registry.findDeclined('entry', 1, 0)?.reason, 'busy');
  registry.removeExpired(5_200);
  assert.is(registry.findDeclined('entry', 1, 0), undefined);
  assert.is(protocol.heldBytes, 0);
});

// Guards against a crowd whose declined requests fill the memory, so that the gate declines all others beside an idle server.
test('a call has memory however many others were declined just before, and the newest of those are remembered', () => {
  const protocol = createMemoryAccount(1_000_000);
  const registry = new GateCallRegistry({
    account: createMemoryAccount(),
    protocol,
    retainedBytes: 10_000,
  });
  for (let callId = 0; callId < 10_000; callId += 1) {
    const call = registry.open('entry', 1, createStartFrame({ callId }), callId / 10);
    assert.ok(call.hasMemory, `call ${callId}`);
    decline(registry, call, callId / 10);
  }
  assert.ok(protocol.heldBytes < 500_000, `${protocol.heldBytes} bytes`);
  for (const callId of [9_000, 9_999])
    assert.is(registry.findDeclined('entry', 1, callId)?.reason, 'busy');
});

// Guards against a crowd of callers at whose entry the gate declines all requests, although they only stall.
test('a call has memory while callers that stall hold nearly all of it', () => {
  const protocol = createMemoryAccount(100_000);
  const registry = new GateCallRegistry({
    account: createMemoryAccount(),
    protocol,
    retainedBytes: 10_000,
  });
  for (let count = 0; count < 9; count += 1) {
    const hold: MemoryHold = protocol.open(
      {
        end: () => {
          hold.release();
        },
        place: MemoryPlace.CallerRequest,
      },
      0,
    );
    assert.ok(hold.tryResize(11_000, 0));
  }
  assert.ok(registry.open('entry', 1, createStartFrame({ callId: 1 }), 2_000).hasMemory);
});

test.run();
