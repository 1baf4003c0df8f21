import { Metrics } from '@peridotspring/operators/metrics';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EventRecorder } from '../src/mesh/event-recorder.js';

type Fields = Readonly<Record<string, string | number | boolean>>;

class Bench {
  public now = 5_000;
  public readonly lines: (readonly [string, Fields, number])[] = [];
  public readonly metrics = new Metrics();
  public readonly recorder = new EventRecorder({
    clock: () => this.now,
    metrics: this.metrics,
    wallClock: () => this.now + 1_000_000,
    write: (event, fields, time) => this.lines.push([event, fields, time]),
  });

  public conclude(request: string, changes: Fields = {}): void {
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

/** How a request ended, and whether its earlier lines are written. */
const endings: readonly (readonly [string, Fields, boolean])[] = [
  ['answered in time', {}, false],
  ['answered late', { late: true }, true],
  ['answered with a failure', { status: 500 }, true],
  ['refused', { cause: 'overloaded', outcome: 'refused' }, true],
  ['unknown', { cause: 'timeout', outcome: 'unknown' }, true],
];

for (const [name, ending, isWhole] of endings) {
  test(`a request that was ${name} keeps ${isWhole ? 'all its lines' : 'its last line only'}`, () => {
    const bench = new Bench();
    bench.recorder.record('request-moved', { reason: 'busy', request: 'r1' });
    bench.recorder.record('attempt-failed', { detail: 'reset', request: 'r1' });
    bench.conclude('r1', ending);
    const expected = ['request-moved', 'attempt-failed', 'request-concluded'];
    assert.equal(bench.eventsOf('r1'), isWhole ? expected : ['request-concluded']);
  });
}

// Lines that are written at the end of a request have to sort before those that other nodes wrote meanwhile.
test('a kept line has the time of its event', () => {
  const bench = new Bench();
  bench.recorder.record('request-placed', { gate: 'n', request: 'r1' });
  bench.now += 300;
  bench.conclude('r1', { late: true });
  assert.equal(
    bench.lines.map(([, , time]) => time),
    [1_005_000, 1_005_300],
  );
});

// Requests whose callers went away filled the memory for kept lines, and later ones had none.
test('a request that its caller abandoned writes its lines and is forgotten', () => {
  const bench = new Bench();
  for (let count = 0; count < 2_500; count += 1) {
    bench.recorder.record('request-placed', { gate: 'n', request: `gone-${count}` });
    bench.recorder.record('request-abandoned', { attempts: 1, request: `gone-${count}` });
  }
  assert.equal(bench.eventsOf('gone-0'), ['request-placed', 'request-abandoned']);
  bench.now += 1_000;
  bench.recorder.record('request-placed', { gate: 'n', request: 'r1' });
  bench.conclude('r1', { late: true });
  assert.equal(bench.eventsOf('r1'), ['request-placed', 'request-concluded']);
});

test('the volume is bounded under load, and what is left out is counted', () => {
  const bench = new Bench();
  for (let count = 0; count < 5_000; count += 1) bench.conclude(`r${count}`);
  assert.ok(bench.lines.length <= 101, `${bench.lines.length} lines`);
  bench.now += 1_100;
  bench.conclude('last');
  const suppressed = bench.lines.find(([event]) => event === 'log-lines-suppressed');
  assert.is(suppressed?.[1].routine, 4_900);
});

test('a flood of good requests leaves room for the lines of a bad one', () => {
  const bench = new Bench();
  for (let count = 0; count < 1_000; count += 1) bench.conclude(`r${count}`);
  bench.recorder.record('request-moved', { reason: 'busy', request: 'bad' });
  bench.conclude('bad', { outcome: 'refused' });
  assert.equal(bench.eventsOf('bad'), ['request-moved', 'request-concluded']);
});

// The steps of refused requests used up the lines of a second, so that some had no line of how they ended.
test('under overload each refused request has its last line, and steps are written whole or not at all', () => {
  const bench = new Bench();
  const steps = ['request-placed', 'request-moved', 'request-placed', 'request-moved'];
  for (let count = 0; count < 140; count += 1) {
    for (const event of steps) bench.recorder.record(event, { gate: 'n', request: `r${count}` });
    bench.recorder.record('request-declined', { reason: 'queue-full', request: `r${count}` });
    bench.conclude(`r${count}`, { cause: 'overloaded', outcome: 'refused' });
  }
  for (let count = 0; count < 140; count += 1) {
    const events = bench.eventsOf(`r${count}`).filter((event) => event !== 'request-declined');
    const isWhole = events.length > 1;
    assert.equal(events, isWhole ? [...steps, 'request-concluded'] : ['request-concluded']);
    assert.is(isWhole, count < 30, `steps of request ${count}`);
  }
  assert.ok(bench.lines.length <= 500, `${bench.lines.length} lines`);
});

// Beliefs of the node explain requests that failed, so requests must not displace their lines.
test('a flood of requests leaves room for the lines of what the node learns', () => {
  const bench = new Bench();
  for (let count = 0; count < 1_000; count += 1) {
    bench.recorder.record('request-declined', { reason: 'queue-full', request: `r${count}` });
    bench.recorder.record('request-answered-locally', { request: `r${count}`, status: 404 });
    bench.conclude(`r${count}`, { cause: 'overloaded', outcome: 'refused' });
  }
  bench.recorder.record('server-draining', { instance: 'i-1' });
  assert.ok(bench.lines.some(([event]) => event === 'server-draining'));
});

test('events are counted by their reason, and latencies by service and outcome', async () => {
  const bench = new Bench();
  bench.recorder.record('request-declined', { reason: 'busy', request: 'r1' });
  bench.recorder.record('request-declined', { reason: 'busy', request: 'r2' });
  bench.conclude('r1');
  const text = await bench.metrics.text();
  assert.match(text, 'peridotspring_request_declined_total{reason="busy"} 2');
  assert.match(text, 'outcome="answered"');
});

// A counter whose first series had other labels refused all later ones, so no refused request was counted.
test('requests are counted with each of their outcomes', async () => {
  const bench = new Bench();
  bench.conclude('r1');
  bench.conclude('r2', { cause: 'overloaded', outcome: 'refused' });
  const text = await bench.metrics.text();
  assert.match(text, /request_concluded_total\{cause="",outcome="answered",service="shop"\} 1/);
  assert.match(
    text,
    /request_concluded_total\{cause="overloaded",outcome="refused",service="shop"\} 1/,
  );
  assert.not.match(text, /metrics_dropped_total\{/);
});

/** How a request ended at a gate, and whether the gate's line of it is written. */
const gateEndings: readonly (readonly [string, Fields, boolean])[] = [
  ['answered in time', {}, false],
  ['answered late', { late: true }, true],
  ['answered with a failure', { status: 503 }, true],
  ['failed', { outcome: 'failed' }, true],
  ['cancelled', { outcome: 'cancelled' }, true],
];

// Under load the first line of a gate is a sample, and the cause of a late request is known there only.
for (const [name, ending, isWritten] of gateEndings) {
  test(`the gate's line of a request that was ${name} is ${isWritten ? '' : 'not '}written`, () => {
    const bench = new Bench();
    const fields = { late: false, outcome: 'answered', request: 'r1', status: 200, ...ending };
    bench.recorder.record('request-finished', fields);
    assert.equal(bench.eventsOf('r1'), isWritten ? ['request-finished'] : []);
  });
}

test.run();
