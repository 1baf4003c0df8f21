import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { findStatusFault, judgeResponse } from '../../src/index.js';
import type { ResponseHead, ResponseVerdict } from '../../src/index.js';

// Guards against a status that no HTTP server can send on: it ended the process of the node that wrote it.
test('a status outside 200 to 599 is no answer', () => {
  for (const status of [-1, 0, 1, 99, 100, 101, 199, 600, 999, 200.5, NaN])
    assert.type(findStatusFault(status), 'string', `status ${status}`);
});

test('any other status may be an answer, registered or not', () => {
  for (const status of [200, 204, 206, 299, 304, 404, 418, 499, 500, 504, 599])
    assert.is(findStatusFault(status), undefined, `status ${status}`);
});

const signed: ResponseHead = {
  isEncoded: false,
  isSigned: true,
  statesNotExecuted: false,
  status: 200,
};
const unsigned: ResponseHead = { ...signed, isSigned: false };
const refusal: ResponseHead = { ...unsigned, statesNotExecuted: true };

/** Head, statuses, and what the response says about a request that is not idempotent and one that is. */
const verdicts: readonly (readonly [
  string,
  ResponseHead,
  readonly number[],
  ResponseVerdict['kind'],
  ResponseVerdict['kind'],
])[] = [
  ['signed', signed, [200, 204, 299, 304, 400, 404, 500, 502, 504], 'answer', 'answer'],
  ['unsigned', unsigned, [200, 204, 299], 'invalid', 'invalid'],
  ['unsigned', unsigned, [301, 304, 400, 404, 500, 504], 'answer', 'answer'],
  // Guards against a failing server whose bare 503 promised that a request had not run, so that it ran again.
  ['unsigned', unsigned, [408, 421, 429, 503], 'invalid', 'invalid'],
  ['signed', signed, [408, 421, 429, 503], 'invalid', 'answer'],
  ['that state that nothing ran', refusal, [400, 408, 421, 429, 503], 'not-run', 'not-run'],
  ['that state that nothing ran', refusal, [200, 204, 302], 'invalid', 'invalid'],
  ['encoded', { ...signed, isEncoded: true }, [200, 404, 500], 'invalid', 'invalid'],
];

for (const [name, head, statuses, unsafe, safe] of verdicts) {
  test(`responses ${name} with ${statuses.join()}: ${unsafe}, ${safe} if the request is idempotent`, () => {
    for (const status of statuses) {
      assert.is(judgeResponse({ ...head, status }, false).kind, unsafe, `status ${status}`);
      assert.is(judgeResponse({ ...head, status }, true).kind, safe, `status ${status}`);
    }
  });
}

test.run();
