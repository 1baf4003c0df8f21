import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MemoryAccount, MemoryPlace } from '../../src/index.js';
import type { MemoryHold } from '../../src/index.js';
import { createMemoryAccount } from '../fixtures.js';

const mebibyte = 1_048_576;
const place = MemoryPlace.CallerBody;

/** Opens a hold that gives its bytes back when it is ended. */
function openEndable(account: MemoryAccount, bytes: number, now: number): MemoryHold {
  const hold: MemoryHold = account.open(
    {
      end: () => {
        hold.release();
      },
      place,
    },
    now,
  );
  assert.ok(hold.tryResize(bytes, now));
  return hold;
}

// Guards against large bodies that take the memory that ordinary requests need.
test('a part of the account has room for ordinary requests only', () => {
  const account = createMemoryAccount(50 * mebibyte);
  const large = account.open({ place }, 0);
  assert.not.ok(large.tryResize(46 * mebibyte, 0));
  assert.ok(large.tryResize(45 * mebibyte, 0));
  for (let count = 0; count < 5; count += 1)
    assert.ok(account.open({ place }, 0).tryResize(mebibyte, 0));
  assert.not.ok(account.open({ place }, 0).tryResize(1, 0));
});

// Guards against a crowd that takes the room of a single body of the largest size, and leaves as much again as garbage.
test('several large bodies together have less room than a single one', () => {
  const account = createMemoryAccount(50 * mebibyte);
  const first = account.open({ place }, 0);
  const second = account.open({ place }, 0);
  assert.ok(first.tryResize(20 * mebibyte, 0));
  assert.not.ok(second.tryResize(20 * mebibyte, 0));
  assert.ok(second.tryResize(10 * mebibyte, 0));
  second.release();
  assert.ok(first.tryResize(45 * mebibyte, 0));
});

// Guards against stalled bodies that keep the memory of an account until their time limits.
test('the largest of the stalled holds is ended for others, and no hold that makes progress', () => {
  const ended: number[] = [];
  const account = new MemoryAccount({
    limitBytes: 100,
    onEnded: (_place, bytes) => ended.push(bytes),
    onRefused: () => undefined,
    onReleased: () => undefined,
  });
  openEndable(account, 20, 0);
  openEndable(account, 50, 0);
  const active = openEndable(account, 25, 0);
  active.progressedAt = 1_500;
  assert.not.ok(account.open({ place }, 0).tryResize(10, 500), 'nothing has stalled for a second');
  assert.ok(account.open({ place }, 0).tryResize(10, 1_600));
  assert.equal(ended, [50]);
  assert.not.ok(account.open({ place }, 0).tryResize(80, 1_700));
  assert.is(account.heldBytes, 35, 'the other stalled hold was ended in vain');
});

// Guards against a body that is counted for its caller, for each node that it is sent to and for the gate.
test('a buffer that several places hold counts once, until the last of them releases it', () => {
  const account = createMemoryAccount(100);
  const buffer = new Uint8Array(60);
  const first = account.tryShare({ buffer, place }, 0);
  const second = account.tryShare({ buffer, place: MemoryPlace.PeerOutput }, 0);
  assert.is(account.heldBytes, 60);
  first?.release();
  first?.release();
  assert.is(account.heldBytes, 60);
  assert.is(account.tryShare({ buffer: new Uint8Array(60), place }, 0), undefined);
  second?.release();
  assert.is(account.heldBytes, 0);
  assert.is(second?.options.buffer, undefined, 'a released hold does not keep the buffer');
});

// Guards against bytes that are given back twice or never, which would let the account drift.
test('random takes, ends and releases come back to zero and never below it', () => {
  const operation = fc.record({
    bytes: fc.nat(60),
    kind: fc.constantFrom('open', 'resize', 'release', 'share', 'move'),
    pick: fc.nat(1_000),
    wait: fc.nat(700),
  });
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 200 }), (operations) => {
      const account = createMemoryAccount(100);
      const buffers = Array.from({ length: 4 }, (_, index) => new Uint8Array(index * 10));
      const holds: MemoryHold[] = [];
      let now = 0;
      for (const { bytes, kind, pick, wait } of operations) {
        now += wait;
        const hold = holds[pick % Math.max(1, holds.length)];
        const buffer = buffers[pick % buffers.length] ?? new Uint8Array(0);
        if (kind === 'open') {
          const opened: MemoryHold = account.open(
            {
              end: () => {
                opened.release();
              },
              place,
            },
            now,
          );
          holds.push(opened);
        } else if (kind === 'share') {
          const shared = account.tryShare({ buffer, place: MemoryPlace.PeerOutput }, now);
          if (shared !== undefined) holds.push(shared);
        } else if (kind === 'move')
          holds.push(account.share({ buffer, place: MemoryPlace.PeerInput }, now));
        else if (kind === 'release') hold?.release();
        else if (hold?.options.place === place) hold.tryResize(bytes, now);
        assert.ok(account.heldBytes >= 0);
        for (const held of account.heldByPlace.values()) assert.ok(held >= 0);
      }
      for (const hold of holds) hold.release();
      assert.is(account.heldBytes, 0);
      for (const held of account.heldByPlace.values()) assert.is(held, 0);
    }),
  );
});

test.run();
