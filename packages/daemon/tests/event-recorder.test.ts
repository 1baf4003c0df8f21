import { Metrics } from '@peridotspring/operators/metrics';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EventRecorder } from '../src/mesh/event-recorder.js';

type LogFields = Readonly<Record<string, string | number | boolean>>;

class EventRecorderHarness {
  public now = 5_000;
  public readonly lines: (readonly [string, LogFields, number])[] = [];
  public readonly metrics = new Metrics();
  public readonly recorder = new EventRecorder({
    clock: () => this.now,
    metrics: this.metrics,
    wallClock: () => this.now + 1_000_000,
    write: (event, fields, time) => this.lines.push([event, fields, time]),
  });

  public concludeRequest(request: string, changes: LogFields = {}): void {
    this.recorder.record('request-concluded', {
      late: false,
      milliseconds: 20,
      outcome: 'answered',
      request,
      service: 'shop',
      status: 200,
      ...changes,
    });
  }

  public eventsOf(request: string): readonly string[] {
    return this.lines.filter(([, fields]) => fields.request === request).map(([event]) => event);
  }
}

/** Outcome of a request at its entry, and whether its buffered lines are written. */
const entryOutcomes: readonly (readonly [string, LogFields, boolean])[] = [
  ['answered in time', {}, false],
  ['answered late', { late: true }, true],
  ['answered with a failure', { status: 500 }, true],
  ['refused', { cause: 'overloaded', outcome: 'refused' }, true],
  ['unknown', { cause: 'timeout', outcome: 'unknown' }, true],
];

for (const [name, outcomeFields, hasAllLines] of entryOutcomes) {
  test(`a request that was ${name}: ${hasAllLines ? 'all its lines are written' : 'only its last line is written'}`, () => {
    const harness = new EventRecorderHarness();
    harness.recorder.record('request-moved', { reason: 'busy', request: 'r1' });
    harness.recorder.record('attempt-failed', { detail: 'reset', request: 'r1' });
    harness.concludeRequest('r1', outcomeFields);
    const expected = ['request-moved', 'attempt-failed', 'request-concluded'];
    assert.equal(harness.eventsOf('r1'), hasAllLines ? expected : ['request-concluded']);
  });
}

// Buffered lines are written when the request ends, but must sort before lines that other nodes wrote in the meantime.
test('a buffered line has the time of its event', () => {
  const harness = new EventRecorderHarness();
  harness.recorder.record('request-placed', { gate: 'n', request: 'r1' });
  harness.now += 300;
  harness.concludeRequest('r1', { late: true });
  assert.equal(
    harness.lines.map(([, , time]) => time),
    [1_005_000, 1_005_300],
  );
});

// Regression: requests abandoned by their callers were never removed from the buffer, so that it filled up and later
// requests had no buffered lines.
test('the lines of a request abandoned by its caller are written and removed from the buffer', () => {
  const harness = new EventRecorderHarness();
  for (let count = 0; count < 2_500; count += 1) {
    harness.recorder.record('request-placed', { gate: 'n', request: `gone-${count}` });
    harness.recorder.record('request-abandoned', { attempts: 1, request: `gone-${count}` });
  }
  assert.equal(harness.eventsOf('gone-0'), ['request-placed', 'request-abandoned']);
  harness.now += 1_000;
  harness.recorder.record('request-placed', { gate: 'n', request: 'r1' });
  harness.concludeRequest('r1', { late: true });
  assert.equal(harness.eventsOf('r1'), ['request-placed', 'request-concluded']);
});

test('the number of lines is bounded under load, and suppressed lines are counted', () => {
  const harness = new EventRecorderHarness();
  for (let count = 0; count < 5_000; count += 1) harness.concludeRequest(`r${count}`);
  assert.ok(harness.lines.length <= 101, `${harness.lines.length} lines`);
  harness.now += 1_100;
  harness.concludeRequest('last');
  const suppressed = harness.lines.find(([event]) => event === 'log-lines-suppressed');
  assert.is(suppressed?.[1].routine, 4_900);
});

test('many successful requests do not displace the lines of a failed one', () => {
  const harness = new EventRecorderHarness();
  for (let count = 0; count < 1_000; count += 1) harness.concludeRequest(`r${count}`);
  harness.recorder.record('request-moved', { reason: 'busy', request: 'bad' });
  harness.concludeRequest('bad', { outcome: 'refused' });
  assert.equal(harness.eventsOf('bad'), ['request-moved', 'request-concluded']);
});

// Regression: the steps of refused requests exhausted the budget of a second, so that the outcome of some requests was
// not logged.
test('under overload the last line of each refused request is written, and its steps completely or not at all', () => {
  const harness = new EventRecorderHarness();
  const steps = ['request-placed', 'request-moved', 'request-placed', 'request-moved'];
  for (let count = 0; count < 140; count += 1) {
    for (const event of steps) harness.recorder.record(event, { gate: 'n', request: `r${count}` });
    harness.recorder.record('request-declined', { reason: 'queue-full', request: `r${count}` });
    harness.concludeRequest(`r${count}`, { cause: 'overloaded', outcome: 'refused' });
  }
  for (let count = 0; count < 140; count += 1) {
    const events = harness.eventsOf(`r${count}`).filter((event) => event !== 'request-declined');
    const hasAllLines = events.length > 1;
    assert.equal(events, hasAllLines ? [...steps, 'request-concluded'] : ['request-concluded']);
    assert.is(hasAllLines, count < 30, `steps of request ${count}`);
  }
  assert.ok(harness.lines.length <= 500, `${harness.lines.length} lines`);
});

// Changes in the node's view of servers and peers explain why requests failed, so lines about requests must not
// displace them.
test('many requests do not displace the lines about state changes of servers', () => {
  const harness = new EventRecorderHarness();
  for (let count = 0; count < 1_000; count += 1) {
    harness.recorder.record('request-declined', { reason: 'queue-full', request: `r${count}` });
    harness.recorder.record('request-answered-locally', { request: `r${count}`, status: 404 });
    harness.concludeRequest(`r${count}`, { cause: 'overloaded', outcome: 'refused' });
  }
  harness.recorder.record('server-draining', { instance: 'i-1' });
  assert.ok(harness.lines.some(([event]) => event === 'server-draining'));
});

test('events are counted by reason, and latencies by service and outcome', async () => {
  const harness = new EventRecorderHarness();
  harness.recorder.record('request-declined', { reason: 'busy', request: 'r1' });
  harness.recorder.record('request-declined', { reason: 'busy', request: 'r2' });
  harness.concludeRequest('r1');
  const text = await harness.metrics.text();
  assert.match(text, 'peridotspring_request_declined_total{reason="busy"} 2');
  assert.match(text, 'outcome="answered"');
});

// Regression: a counter rejected all series whose labels differed from the first one, so that no refused request was
// counted.
test('requests are counted by outcome', async () => {
  const harness = new EventRecorderHarness();
  harness.concludeRequest('r1');
  harness.concludeRequest('r2', { cause: 'overloaded', outcome: 'refused' });
  const text = await harness.metrics.text();
  assert.match(text, /request_concluded_total\{cause="",outcome="answered",service="shop"\} 1/);
  assert.match(
    text,
    /request_concluded_total\{cause="overloaded",outcome="refused",service="shop"\} 1/,
  );
  assert.not.match(text, /metrics_dropped_total\{/);
});

/** Outcome of a request at a gate, and whether the gate's last line about it is written. */
const gateOutcomes: readonly (readonly [string, LogFields, boolean])[] = [
  ['answered in time', {}, false],
  ['answered late', { late: true }, true],
  ['answered with a failure', { status: 503 }, true],
  ['failed', { outcome: 'failed' }, true],
  ['cancelled', { outcome: 'cancelled' }, true],
];

// Under load only a sample of the gate's first lines is written, and only the gate's lines show why a request was late.
for (const [name, outcomeFields, isWritten] of gateOutcomes) {
  test(`the gate's last line about a request that was ${name} is ${isWritten ? '' : 'not '}written`, () => {
    const harness = new EventRecorderHarness();
    const fields = {
      late: false,
      outcome: 'answered',
      request: 'r1',
      status: 200,
      ...outcomeFields,
    };
    harness.recorder.record('request-finished', fields);
    assert.equal(harness.eventsOf('r1'), isWritten ? ['request-finished'] : []);
  });
}

test.run();
