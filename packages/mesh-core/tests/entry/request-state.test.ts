import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RequestState } from '../../src/entry/request-state.js';
import { createEntryRequest } from '../fixtures.js';

// Guards against bodies of answered requests that stay in memory until their deadlines, for seconds or minutes.
test('a concluded request keeps nothing of its content', () => {
  const request = createEntryRequest({ body: Buffer.alloc(1_000), headers: [['a', 'b']] });
  const state = new RequestState(request, 'shop', 1_000, false, 1, 0);
  assert.not.ok(state.isConcluded);
  state.conclude();
  assert.ok(state.isConcluded);
  assert.is(state.request.body, undefined);
  assert.equal(state.request.headers, []);
  assert.is(state.request.requestNumber, request.requestNumber);
});

test.run();
