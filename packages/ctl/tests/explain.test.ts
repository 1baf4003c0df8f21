import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { explainRequest } from '../src/explain.js';

const entry = [
  'time=2026-12-04T10:00:00.010Z level=info event=request-moved node=n1 request=abc reason=busy',
  'time=2026-12-04T10:00:00.300Z level=info event=request-concluded node=n1 request=abc outcome=answered',
  'time=2026-12-04T10:00:00.400Z level=info event=request-concluded node=n1 request=abcd outcome=answered',
  'time=2026-12-04T10:00:00.500Z level=info event=node-connected node=n1',
].join('\n');
const gate = [
  'time=2026-12-04T10:00:00.020Z level=info event=request-started node=n2 request=abc running=3',
  'time=2026-12-04T10:00:00.100Z level=info event=request-concluded node=n2 request=abc.17 outcome=refused',
].join('\n');

test('lines of all nodes are put in order, with the calls that the request made', () => {
  const events = explainRequest('abc', [entry, gate]).map(
    (line) => /node=(\S+) request=(\S+)/.exec(line)?.slice(1, 3).join(' ') ?? '',
  );
  assert.equal(events, ['n1 abc', 'n2 abc', 'n2 abc.17', 'n1 abc']);
});

test('another request whose identifier begins alike is not taken for it', () => {
  assert.not(explainRequest('abc', [entry]).some((line) => line.includes('request=abcd')));
});

test('a request that nobody logged has no lines', () => {
  assert.equal(explainRequest('xyz', [entry, gate, '']), []);
});

test.run();
