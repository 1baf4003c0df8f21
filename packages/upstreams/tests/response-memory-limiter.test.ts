import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ResponseMemoryLimiter } from '../src/mesh/response-memory-limiter.js';

class FakeResponse {
  public isAborted = false;

  public constructor(public bufferedBytes: number) {}

  public abort(): void {
    this.isAborted = true;
    this.bufferedBytes = 0;
  }
}

/** Buffered bytes of the responses, and the indices of those that are aborted at a limit of 100 bytes. */
const cases: readonly (readonly [string, readonly number[], readonly number[]])[] = [
  ['responses within the limit are kept', [40, 60], []],
  ['the largest response is aborted, whichever one has grown', [90, 10, 5], [0]],
  ['as many responses are aborted as necessary', [70, 80, 90, 10], [2, 1]],
  ['a single response above the limit is aborted', [101], [0]],
];

for (const [name, sizes, expected] of cases) {
  test(name, () => {
    const limiter = new ResponseMemoryLimiter(100);
    const responses = sizes.map((size) => new FakeResponse(size));
    for (const response of responses) limiter.track(response);
    limiter.enforceLimit();
    const aborted = responses.flatMap(({ isAborted }, index) => (isAborted ? [index] : []));
    assert.equal(aborted, [...expected].sort());
  });
}

test('a response that was removed no longer counts towards the limit', () => {
  const limiter = new ResponseMemoryLimiter(100);
  const [removed, remaining] = [new FakeResponse(90), new FakeResponse(90)] as const;
  limiter.track(removed);
  limiter.track(remaining);
  limiter.untrack(removed);
  limiter.enforceLimit();
  assert.not(removed.isAborted);
  assert.not(remaining.isAborted);
});

test.run();
