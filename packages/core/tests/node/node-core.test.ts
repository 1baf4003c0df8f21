import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SingleNode } from './single-node.js';

function servingNode(slots = 4): SingleNode {
  const node = new SingleNode();
  node.serve(slots);
  return node;
}

test('a lookup without any upstream is refused at once, with advice when to come back', () => {
  const node = new SingleNode();
  const request = node.request('idempotent');
  assert.is(node.outcomeOf(request), 'refused-not-run no-upstream');
});

test('a lookup runs at the local upstream and its answer reaches the caller', () => {
  const node = servingNode();
  const request = node.request('idempotent');
  assert.is(node.executions.length, 1);
  node.answer(node.executions[0]?.executionId ?? 0);
  assert.is(node.outcomeOf(request), 'answered 200');
  const steps = node.of('journal').map(({ step }) => step.kind);
  assert.equal(steps, ['sent', 'answered']);
});

test('a refusal by the own gate stands in the journal with its reason and load', () => {
  const node = servingNode(1);
  for (let sent = 0; sent < 20; sent += 1) {
    node.request('idempotent');
  }
  const refused = node.of('journal').flatMap(({ step }) => (step.kind === 'refused' ? [step] : []));
  assert.ok(refused.length > 0);
  assert.is(refused[0]?.reason, 'queue-full');
  assert.is(refused[0]?.load?.limit, 1);
});

test('a caller that goes away frees its slot, so that abandoned lookups take no capacity', () => {
  const node = servingNode(1);
  const first = node.request('idempotent');
  node.request('idempotent');
  assert.is(node.executions.length, 1);
  node.send({ kind: 'caller-gone', requestNumber: first });
  assert.is(node.of('cancel-upstream').length, 1);
  const executionId = node.executions[0]?.executionId ?? 0;
  node.send({ complete: false, executionId, kind: 'upstream-finished' });
  assert.is(node.executions.length, 2);
});

test('a streamed answer is relayed from the upstream to the caller that waits for it', () => {
  const node = servingNode();
  const requestNumber = node.request('idempotent');
  const executionId = node.executions[0]?.executionId ?? 0;
  node.answer(executionId, 200, true);
  const [relay] = node.of('relay-body');
  assert.equal(relay?.from, { executionId, kind: 'upstream' });
  assert.equal(relay?.to, { kind: 'caller', requestNumber });
});

test('a keyed request runs once and its resend gets the recorded answer', () => {
  const node = servingNode();
  const first = node.request('non-idempotent', { key: 'key-1' });
  node.answer(node.executions[0]?.executionId ?? 0, 201);
  const second = node.request('non-idempotent', { key: 'key-1' });
  assert.is(node.outcomeOf(first), 'answered 201');
  assert.is(node.outcomeOf(second), 'answered 201');
  assert.is(node.executions.length, 1);
});

test('an answer after the deadline settles the key, so that a resend gets the truth', () => {
  const node = servingNode();
  const first = node.request('non-idempotent', { deadlineMilliseconds: 100, key: 'key-1' });
  node.run(200);
  assert.is(node.outcomeOf(first), 'outcome-unknown deadline-after-start');
  assert.equal(node.of('cancel-upstream'), []);
  node.answer(node.executions[0]?.executionId ?? 0, 201);
  const second = node.request('non-idempotent', { key: 'key-1' });
  assert.is(node.outcomeOf(second), 'answered 201');
  assert.is(node.executions.length, 1);
});

test('a keyed request that is still in the queue at its deadline is told that it did not run', () => {
  const node = servingNode(1);
  node.request('non-idempotent', { deadlineMilliseconds: 60_000, key: 'key-1' });
  const second = node.request('non-idempotent', { deadlineMilliseconds: 300, key: 'key-2' });
  node.run(1_000);
  assert.match(node.outcomeOf(second) ?? '', /^refused-not-run /);
  assert.is(node.executions.length, 1);
});

test('a draining gate starts nothing, however the request got there', () => {
  const node = servingNode();
  node.send({ draining: true, kind: 'upstream-drain' });
  const request = node.request('idempotent');
  assert.match(node.outcomeOf(request) ?? '', /^refused-not-run /);
  assert.is(node.executions.length, 0);
});

test('announcements that are repeated during a drain do not end it', () => {
  const node = servingNode();
  node.send({ draining: true, kind: 'upstream-drain' });
  const announcement = { address: '127.0.0.1:2', connections: 10, service: 'antrag', slots: 4 };
  node.send({ announcement, kind: 'upstream-announced' });
  node.request('idempotent');
  assert.is(node.executions.length, 0);
});

test('a planned stop waits for what runs before the process may end', () => {
  const node = servingNode();
  const request = node.request('idempotent');
  node.send({ kind: 'stop' });
  node.run(1_000);
  assert.equal(node.of('stopped'), []);
  node.answer(node.executions[0]?.executionId ?? 0);
  node.run(10_000);
  assert.is(node.outcomeOf(request), 'answered 200');
  assert.is(node.of('stopped').length, 1);
});

test('a later life of a node uses no identifier again, so a late answer reaches no other caller', () => {
  const startedAt = 1_800_000_000_000;
  const identifiers = [startedAt, startedAt + 1_000].map((incarnation) => {
    const node = new SingleNode(incarnation);
    node.serve(1);
    node.send({
      frame: {
        kind: 'member-updates',
        updates: [
          {
            availabilityZone: 'zone-a',
            incarnation: 1,
            peerAddress: '127.0.0.1:3',
            region: 'region-a',
            server: 'other',
            service: 'antrag',
            slots: 1_000,
            startedAt: 1,
            state: 'serving',
          },
        ],
      },
      from: 'other',
      kind: 'peer-frame',
    });
    for (let sent = 0; sent < 50; sent += 1) {
      node.request('idempotent');
    }
    const frames = node.of('send-frame').map(({ frame }) => frame);
    return frames.flatMap((frame) => (frame.kind === 'request-start' ? [frame.callId] : []));
  });
  const [former = [], later = []] = identifiers;
  assert.ok(former.length > 0 && later.length > 0);
  assert.ok(later.every((callId) => callId > Math.max(...former) && Number.isSafeInteger(callId)));
});

test('a node probes its own gate without a connection to itself', () => {
  const node = servingNode();
  node.request('idempotent');
  node.answer(node.executions[0]?.executionId ?? 0);
  node.run(4_000);
  assert.equal(node.of('send-frame'), []);
});

test.run();
