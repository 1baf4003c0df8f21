import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { TokenBucket } from '../../src/index.js';

function countTaken(bucket: TokenBucket, from: number, until: number): number {
  let taken = 0;
  for (let now = from; now < until; now += 1) if (bucket.tryTake(now)) taken += 1;
  return taken;
}

test('permits a burst at first, then the rate', () => {
  const bucket = new TokenBucket({ burst: 10, tokensPerSecond: 5 });
  assert.is(countTaken(bucket, 1_000, 1_011), 10);
  assert.is(countTaken(bucket, 1_011, 3_011), 10);
});

test('saves no more than a burst while it is idle', () => {
  const bucket = new TokenBucket({ burst: 3, tokensPerSecond: 100 });
  bucket.tryTake(0);
  assert.is(countTaken(bucket, 60_000, 60_004), 3);
});

test('a rate of zero permits only the first burst', () => {
  const bucket = new TokenBucket({ burst: 2, tokensPerSecond: 0 });
  assert.is(countTaken(bucket, 0, 10_000), 2);
});

test('a changed rate applies from the next call on', () => {
  const bucket = new TokenBucket({ burst: 1, tokensPerSecond: 1 });
  bucket.tryTake(0);
  bucket.setRate(10);
  assert.is(countTaken(bucket, 1, 1_001), 10);
});

test('a clock that goes back adds no tokens', () => {
  const bucket = new TokenBucket({ burst: 1, tokensPerSecond: 1 });
  assert.ok(bucket.tryTake(5_000));
  assert.not(bucket.tryTake(0));
});

test.run();
