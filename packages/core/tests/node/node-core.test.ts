import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SingleNode } from './single-node.js';

function createServingNode(slots = 4): SingleNode {
  const node = new SingleNode();
  node.startServing(slots);
  return node;
}

test('an idempotent request without any upstream is refused immediately', () => {
  const node = new SingleNode();
  const request = node.sendRequest('idempotent');
  assert.is(node.outcomeOf(request), 'refused-not-run no-upstream');
});

test('an idempotent request runs at the local upstream and its response reaches the caller', () => {
  const node = createServingNode();
  const request = node.sendRequest('idempotent');
  assert.is(node.executions.length, 1);
  node.respond(node.executions[0]?.executionId ?? 0);
  assert.is(node.outcomeOf(request), 'answered 200');
  const steps = node.commandsOfKind('journal').map(({ step }) => step.kind);
  assert.equal(steps, ['sent', 'answered']);
});

test('a refusal by the local gate is journaled with its reason and load report', () => {
  const node = createServingNode(1);
  for (let sent = 0; sent < 20; sent += 1) {
    node.sendRequest('idempotent');
  }
  const refused = node
    .commandsOfKind('journal')
    .flatMap(({ step }) => (step.kind === 'refused' ? [step] : []));
  assert.ok(refused.length > 0);
  assert.is(refused[0]?.reason, 'queue-full');
  assert.is(refused[0]?.load?.limit, 1);
});

test('a caller that disconnects frees its slot, so that abandoned requests take no capacity', () => {
  const node = createServingNode(1);
  const first = node.sendRequest('idempotent');
  node.sendRequest('idempotent');
  assert.is(node.executions.length, 1);
  node.deliver({ kind: 'caller-gone', requestNumber: first });
  assert.is(node.commandsOfKind('cancel-upstream').length, 1);
  const executionId = node.executions[0]?.executionId ?? 0;
  node.deliver({ complete: false, executionId, kind: 'upstream-finished' });
  assert.is(node.executions.length, 2);
});

test('a streamed response is relayed from the upstream to the waiting caller', () => {
  const node = createServingNode();
  const requestNumber = node.sendRequest('idempotent');
  const executionId = node.executions[0]?.executionId ?? 0;
  node.respond(executionId, 200, true);
  const [relay] = node.commandsOfKind('relay-body');
  assert.equal(relay?.from, { executionId, kind: 'upstream' });
  assert.equal(relay?.to, { kind: 'caller', requestNumber });
});

test('a keyed request runs once, and a resend receives the recorded response', () => {
  const node = createServingNode();
  const first = node.sendRequest('non-idempotent', { key: 'key-1' });
  node.respond(node.executions[0]?.executionId ?? 0, 201);
  const second = node.sendRequest('non-idempotent', { key: 'key-1' });
  assert.is(node.outcomeOf(first), 'answered 201');
  assert.is(node.outcomeOf(second), 'answered 201');
  assert.is(node.executions.length, 1);
});

test('a response after the deadline is recorded for the key, so that a resend receives it', () => {
  const node = createServingNode();
  const first = node.sendRequest('non-idempotent', { deadlineMilliseconds: 100, key: 'key-1' });
  node.advance(200);
  assert.is(node.outcomeOf(first), 'outcome-unknown deadline-after-start');
  assert.equal(node.commandsOfKind('cancel-upstream'), []);
  node.respond(node.executions[0]?.executionId ?? 0, 201);
  const second = node.sendRequest('non-idempotent', { key: 'key-1' });
  assert.is(node.outcomeOf(second), 'answered 201');
  assert.is(node.executions.length, 1);
});

test('a keyed request still queued at its deadline is reported as not run', () => {
  const node = createServingNode(1);
  node.sendRequest('non-idempotent', { deadlineMilliseconds: 60_000, key: 'key-1' });
  const second = node.sendRequest('non-idempotent', { deadlineMilliseconds: 300, key: 'key-2' });
  node.advance(1_000);
  assert.match(node.outcomeOf(second) ?? '', /^refused-not-run /);
  assert.is(node.executions.length, 1);
});

test('a draining gate starts no requests', () => {
  const node = createServingNode();
  node.deliver({ draining: true, kind: 'upstream-drain' });
  const request = node.sendRequest('idempotent');
  assert.match(node.outcomeOf(request) ?? '', /^refused-not-run /);
  assert.is(node.executions.length, 0);
});

test('repeated announcements by a draining upstream do not end the drain', () => {
  const node = createServingNode();
  node.deliver({ draining: true, kind: 'upstream-drain' });
  const announcement = { address: '127.0.0.1:2', connections: 10, service: 'antrag', slots: 4 };
  node.deliver({ announcement, kind: 'upstream-announced' });
  node.sendRequest('idempotent');
  assert.is(node.executions.length, 0);
});

test('a graceful shutdown waits for running requests before the process may exit', () => {
  const node = createServingNode();
  const request = node.sendRequest('idempotent');
  node.deliver({ kind: 'stop' });
  node.advance(1_000);
  assert.equal(node.commandsOfKind('stopped'), []);
  node.respond(node.executions[0]?.executionId ?? 0);
  node.advance(10_000);
  assert.is(node.outcomeOf(request), 'answered 200');
  assert.is(node.commandsOfKind('stopped').length, 1);
});

test('a restarted node reuses no call identifier, so that a late response reaches no other caller', () => {
  const startedAt = 1_800_000_000_000;
  const identifiers = [startedAt, startedAt + 1_000].map((incarnation) => {
    const node = new SingleNode(incarnation);
    node.startServing(1);
    node.deliver({
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
      node.sendRequest('idempotent');
    }
    const frames = node.commandsOfKind('send-frame').map(({ frame }) => frame);
    return frames.flatMap((frame) => (frame.kind === 'request-start' ? [frame.callId] : []));
  });
  const [former = [], later = []] = identifiers;
  assert.ok(former.length > 0 && later.length > 0);
  assert.ok(later.every((callId) => callId > Math.max(...former) && Number.isSafeInteger(callId)));
});

test('a node probes its own gate without opening a connection to itself', () => {
  const node = createServingNode();
  node.sendRequest('idempotent');
  node.respond(node.executions[0]?.executionId ?? 0);
  node.advance(4_000);
  assert.equal(node.commandsOfKind('send-frame'), []);
});

test.run();
