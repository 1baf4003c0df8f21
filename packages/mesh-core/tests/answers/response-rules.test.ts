import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { findResponseFault } from '../../src/index.js';

// Guards against a status that no HTTP server can send on: it ended the process of the node that wrote it.
test('a status outside 200 to 599 is no answer', () => {
  for (const status of [-1, 0, 1, 99, 100, 101, 199, 600, 999, 200.5, NaN])
    assert.type(findResponseFault({ status }), 'string', `status ${status}`);
});

test('any other status may be an answer, registered or not', () => {
  for (const status of [200, 204, 206, 299, 304, 404, 418, 499, 500, 504, 599])
    assert.is(findResponseFault({ status }), undefined, `status ${status}`);
});

test.run();
