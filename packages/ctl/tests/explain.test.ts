import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { explainRequest, explainServer } from '../src/explain.js';

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

test('the lines of a server come with those that say which code ran', () => {
  const log = [
    'time=2026-12-04T10:00:02.000Z level=info event=server-not-used node=n1 evidence=report instance=i-1 reason=left',
    'time=2026-12-04T10:00:01.000Z level=info event=program-started node=n1 sources=0123456789abcdef',
    'time=2026-12-04T10:00:01.500Z level=info event=server-ready node=n1 instance=i-12 evidence=report',
  ].join('\n');
  const events = explainServer('i-1', [log]).map((line) => /event=(\S+)/.exec(line)?.[1]);
  assert.equal(events, ['program-started', 'server-not-used']);
  assert.equal(explainServer('i-3', [log]), []);
});

test.run();
