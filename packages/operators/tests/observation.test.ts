import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Metrics, RefusalHistory, RequestJournal } from '../src/index.js';
import { requestRow, stepRows } from '../src/observation/journal-rows.js';
import { isRecordedByEntry } from '../src/observation/request-journal.js';

const received = {
  deadlineMilliseconds: 2_000,
  kind: 'received',
  method: 'GET',
  requestClass: 'idempotent',
  service: 'antrag',
  tenant: 'labs',
} as const;

const refused = {
  kind: 'concluded',
  outcome: { kind: 'refused-not-run', reason: 'draining' },
  service: 'antrag',
  tenant: 'labs',
} as const;

test('newer requests do not evict a refused request from the journal', () => {
  const journal = new RequestJournal({
    recentRequests: 2,
    stepsPerRequest: 3,
    unsuccessfulRequests: 1,
  });
  journal.record('old', received, 1);
  journal.record('old', refused, 2);
  for (const requestId of ['a', 'b', 'c']) journal.record(requestId, received, 3);
  assert.equal(
    journal.entries().map(({ requestId }) => requestId),
    ['old', 'c', 'b'],
  );
});

test('a full journal entry still records the conclusion of the request', () => {
  const journal = new RequestJournal({
    recentRequests: 2,
    stepsPerRequest: 2,
    unsuccessfulRequests: 1,
  });
  journal.record('a', received, 1);
  for (let attempt = 0; attempt < 5; attempt += 1) {
    journal.record('a', { kind: 'sent', role: 'gate', server: 's' }, 2);
  }
  journal.record('a', { ...refused, outcome: { kind: 'answered', status: 200 } }, 3);
  const entry = journal.entry('a');
  assert.equal([entry?.steps.length, entry?.omittedSteps], [3, 4]);
  assert.is(entry?.steps.at(-1)?.step.kind, 'concluded');
});

test('the journal holds a request that was refused on receipt, with the detail', () => {
  const journal = new RequestJournal();
  journal.record('a', { ...refused, detail: 'Idempotency-Key is required' }, 1);
  const [entry] = journal.entries();
  if (entry === undefined) throw new Error('the request is not in the journal');
  const row = requestRow(entry, 'bern-1');
  assert.equal([row.service, row.outcome, row.reason], ['antrag', 'refused-not-run', 'draining']);
  const [step] = stepRows(entry, 'bern-1');
  assert.is(step?.detail, 'refused-not-run: Idempotency-Key is required');
});

test('the home of a key records its attempts, and keeps refused requests longer', () => {
  const journal = new RequestJournal({
    recentRequests: 1,
    stepsPerRequest: 8,
    unsuccessfulRequests: 1,
  });
  journal.record('a', { kind: 'sent', role: 'gate', server: 'bern-2' }, 1);
  journal.record('a', { kind: 'refused', reason: 'no-slot', server: 'bern-2' }, 2);
  journal.record('b', { kind: 'sent', role: 'gate', server: 'bern-2' }, 3);
  journal.record('c', { kind: 'sent', role: 'gate', server: 'bern-2' }, 4);
  const entries = journal.entries();
  assert.equal(
    entries.map(({ requestId }) => requestId),
    ['a', 'c'],
  );
  // Otherwise `show requests` would list the request twice.
  assert.not.ok(entries.some(isRecordedByEntry));
});

test('refusals before the given period are not counted, and the size of a bucket is limited', () => {
  const history = new RefusalHistory();
  const outcome = { kind: 'refused-not-run', reason: 'no-slot' } as const;
  history.record('antrag', outcome, 0);
  history.record('antrag', outcome, 60_000);
  history.record('antrag', { kind: 'answered', status: 200 }, 60_000);
  assert.is(history.rowsSince(10_000, 60_000)[0]?.count, 1);
  assert.is(history.rowsSince(100_000, 60_000)[0]?.count, 2);
  for (let service = 0; service < 1_000; service += 1) {
    history.record(`s${service}`, outcome, 70_000);
  }
  const rows = history.rowsSince(1, 70_000);
  assert.ok(rows.length <= 257 + 1, String(rows.length));
  assert.ok(rows.some((row) => row.service === '(other)'));
});

test('counters, gauges and percentiles are exposed under their Prometheus names', async () => {
  const metrics = new Metrics();
  const labels = { 'refusal-reason': 'no-slot' };
  metrics.count({ by: 2, counter: 'refusals', kind: 'count', labels });
  metrics.addGauge({ help: 'Requests in flight.', name: 'in_flight', read: () => 7 });
  for (let latency = 1; latency <= 100; latency += 1) {
    metrics.recordLatency('antrag', 'answered', latency);
  }
  const text = await metrics.text();
  assert.ok(text.includes('peridotspring_refusals_total{refusal_reason="no-slot"} 2'), text);
  assert.ok(text.includes('peridotspring_in_flight 7'));
  metrics.count({ by: 1, counter: 'refusals', kind: 'count', labels });
  metrics.count({ by: 1, counter: 'refusals', kind: 'count', labels });
  const again = await metrics.text();
  assert.ok(again.includes('peridotspring_refusals_total{refusal_reason="no-slot"} 4'), again);
  assert.ok(text.includes('# TYPE peridotspring_request_duration_milliseconds summary'));
  const p99 = /outcome="answered",quantile="0.99"} ([\d.]+)/.exec(text);
  assert.ok(Math.abs(Number(p99?.[1]) - 99) < 1, text);
});

test('differing label names and ever new label values neither throw nor fill the memory', async () => {
  const metrics = new Metrics();
  const count = (labels: Record<string, string>): void => {
    metrics.count({ by: 1, counter: 'x', kind: 'count', labels });
  };
  for (let value = 0; value < 1_100; value += 1) count({ tenant: `t${value}` });
  count({ other: 'a' });
  const text = await metrics.text();
  assert.match(text, /dropped_total\{[^}]*cause="label-values"[^}]*\} 100/);
  assert.match(text, /dropped_total\{[^}]*cause="label-names"[^}]*\} 1\n/);
  for (let service = 0; service < 300; service += 1) {
    metrics.recordLatency(`s"${service}\n`, 'answered', 1);
  }
  const latencies = await metrics.text();
  assert.ok(latencies.includes('service="s\\"0\\n"'));
  assert.ok(latencies.includes('service="(other)"'));
});

test.run();
