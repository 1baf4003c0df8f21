import type { CoreCommand, CoreMessage, LoadReport, RequestHead } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CoreObserver, Metrics, RefusalHistory, RequestJournal } from '../src/index.js';

const head: RequestHead = {
  depth: 0,
  headers: {},
  method: 'POST',
  path: '/claims',
  requestId: 'r1',
  service: 'antrag',
  tenant: 'labs',
};

const load: LoadReport = {
  inFlight: 6,
  latencyMilliseconds: 9,
  limit: 6,
  queued: 12,
  service: 'antrag',
  state: 'serving',
};

const received: CoreMessage = {
  deadlineMilliseconds: 2_000,
  head,
  kind: 'caller-request',
  requestClass: 'idempotent',
  requestNumber: 1,
  streamedBody: false,
};

function sentTo(to: string, callId: number): CoreCommand {
  const frame = {
    callId,
    head,
    kind: 'request-start',
    remainingMilliseconds: 1,
    requestClass: 'idempotent',
    streamedBody: false,
  } as const;
  return { address: '127.0.0.1:1', frame, kind: 'send-frame', to };
}

function create(): {
  readonly metrics: Metrics;
  readonly refusals: RefusalHistory;
  readonly observe: (...events: readonly (CoreCommand | CoreMessage)[]) => void;
  readonly steps: () => readonly string[];
} {
  const journal = new RequestJournal();
  const metrics = new Metrics();
  const refusals = new RefusalHistory();
  const observer = new CoreObserver({ journal, metrics, refusals, server: 'own' });
  let clock = 0;
  const commandKinds = new Set(['send-frame', 'run-upstream', 'reply-to-caller']);
  return {
    metrics,
    observe: (...events) => {
      for (const event of events) {
        const now = { monotonic: clock, wall: clock };
        if (commandKinds.has(event.kind)) observer.command(event as CoreCommand, now);
        else observer.message(event as CoreMessage, now);
        clock += 10;
      }
    },
    refusals,
    steps: () =>
      (journal.entry('r1')?.steps ?? []).map(({ step }) =>
        [
          step.kind,
          'server' in step ? step.server : '',
          'load' in step && step.load !== undefined ? step.load.queued : '',
        ].join(' '),
      ),
  };
}

test('every attempt is recorded with its server and the load that came back', async () => {
  const { metrics, observe, refusals, steps } = create();
  const refusal = { load, reason: 'queue-full' } as const;
  observe(
    received,
    sentTo('a', 7),
    // Call identifiers are unique for one server only.
    sentTo('b', 7),
    { frame: { callId: 7, kind: 'request-refused', refusal }, from: 'b', kind: 'peer-frame' },
    { kind: 'peer-lost', server: 'a' },
    {
      kind: 'reply-to-caller',
      outcome: { kind: 'refused-not-run', reason: 'all-targets-refused' },
      requestNumber: 1,
      streamedBody: false,
    },
  );
  assert.equal(steps(), [
    'received  ',
    'sent a ',
    'sent b ',
    'refused b 12',
    'failed a ',
    'concluded  ',
  ]);
  assert.is(refusals.rowsSince(1_000, 100)[0]?.reason, 'all-targets-refused');
  assert.ok((await metrics.text()).includes('outcome="refused-not-run",quantile="0.5"} 50'));
});

test('runs at the own upstream, cancelled attempts and callers that leave are recorded', () => {
  const { observe, steps } = create();
  observe(
    received,
    {
      collectAnswer: false,
      executionId: 3,
      head,
      kind: 'run-upstream',
      remainingMilliseconds: 1,
      streamedBody: false,
    },
    sentTo('a', 1),
    { address: '', frame: { callId: 1, kind: 'request-cancel' }, kind: 'send-frame', to: 'a' },
    { executionId: 3, kind: 'upstream-result', result: { kind: 'not-reached' } },
    { kind: 'caller-gone', requestNumber: 1 },
  );
  assert.equal(steps(), [
    'received  ',
    'sent own ',
    'sent a ',
    'cancelled a ',
    'failed own ',
    'cancelled  ',
  ]);
});

test('a home records the attempts of a keyed request that another node received', () => {
  const { observe, steps } = create();
  observe(
    {
      frame: {
        body: new Uint8Array(),
        callId: 1,
        digest: '',
        head,
        key: 'k',
        kind: 'keyed-request',
        receivedAt: 0,
        remainingMilliseconds: 1,
      },
      from: 'entry',
      kind: 'peer-frame',
    },
    sentTo('a', 1),
    {
      frame: { callId: 1, headers: {}, kind: 'answer', load, status: 201, streamedBody: false },
      from: 'a',
      kind: 'peer-frame',
    },
  );
  assert.equal(steps(), ['received  ', 'sent a ', 'answered a 12']);
});

test('services that do not exist share one series, so that callers cannot fill all of them', async () => {
  const { metrics, observe, refusals } = create();
  for (const service of ['x1', 'x2']) {
    observe(
      { ...received, head: { ...head, service } },
      {
        kind: 'reply-to-caller',
        outcome: { kind: 'refused-not-run', reason: 'unknown-service' },
        requestNumber: 1,
        streamedBody: false,
      },
    );
  }
  assert.equal(
    refusals.rowsSince(1_000, 100).map(({ count, service }) => [service, count]),
    [['(unknown)', 2]],
  );
  assert.not((await metrics.text()).includes('x1'));
});

test.run();
