import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ServerGate } from '../../src/index.js';
import type { Execution, ExecutionResult, ReplyFrame, StartFrame } from '../../src/index.js';
import { createServerReport, createStartFrame } from '../fixtures.js';

/** A gate with a server that the test plays. */
class Bench {
  public readonly replies: ReplyFrame[] = [];
  public readonly running: Execution[] = [];
  public readonly aborted: number[] = [];
  public probes = 0;
  public loadChanges = 0;
  public readonly gate: ServerGate;
  private nextCallId = 1;

  public constructor(slots = 2) {
    this.gate = new ServerGate({
      log: () => undefined,
      port: {
        abort: (executionId) => this.aborted.push(executionId),
        loadChanged: () => (this.loadChanges += 1),
        probe: () => (this.probes += 1),
        reply: (_node, frame) => this.replies.push(frame),
        run: (execution) => this.running.push(execution),
      },
      probesPerSecond: 30,
      service: 'shop',
    });
    this.gate.report(createServerReport({ slots }), 0);
  }

  public start(changes: Partial<StartFrame> = {}, now = 0): number {
    const callId = changes.callId ?? this.nextCallId;
    this.nextCallId += 1;
    const requestId = `r${callId}`;
    this.gate.start('entry', 1, createStartFrame({ callId, requestId, ...changes }), now);
    return callId;
  }

  public finish(index: number, now: number, result: Partial<ExecutionResult> = {}): void {
    const executionId = this.running[index]?.executionId ?? 0;
    const answered = { body: new Uint8Array(), headers: [], kind: 'answered', status: 200 };
    this.gate.concluded(executionId, { ...answered, ...result } as ExecutionResult, now);
  }

  public get startedCalls(): readonly number[] {
    return this.running.map(({ frame }) => frame.callId);
  }

  public reasonOf(callId: number): string | undefined {
    const reply = this.replies.find((frame) => frame.callId === callId);
    return reply?.kind === 'declined' ? reply.reason : reply?.kind;
  }
}

test('the server runs as many requests as it has slots, and the next waits', () => {
  const bench = new Bench();
  for (let count = 0; count < 3; count += 1) bench.start();
  assert.equal(bench.startedCalls, [1, 2]);
  bench.finish(0, 50);
  assert.equal(bench.startedCalls, [1, 2, 3]);
});

test('a frame that is sent again after a lost connection does not run twice', () => {
  const bench = new Bench();
  bench.start({ callId: 7, idempotent: false });
  bench.start({ callId: 7, idempotent: false });
  assert.is(bench.running.length, 1);
  bench.finish(0, 50);
  bench.start({ callId: 7, idempotent: false }, 60);
  assert.is(bench.running.length, 1);
  assert.is(bench.replies.filter(({ callId }) => callId === 7).length, 2);
});

test('a reply is remembered until the deadline, so that a frame sent again late does not run twice', () => {
  const bench = new Bench();
  const frame = { callId: 7, idempotent: false, remainingMilliseconds: 30_000 };
  bench.start(frame);
  bench.finish(0, 50);
  for (let now = 100; now < 20_000; now += 100) bench.gate.tick(now);
  bench.start({ ...frame, remainingMilliseconds: 10_000 }, 20_000);
  assert.is(bench.running.length, 1);
});

test('the same number from another life of the entry is another request', () => {
  const bench = new Bench();
  bench.gate.start('entry', 1, createStartFrame({ callId: 7 }), 0);
  bench.gate.start('entry', 2, createStartFrame({ callId: 7 }), 0);
  assert.is(bench.running.length, 2);
});

test('a server that drains gets nothing more, and what waited may go elsewhere at once', () => {
  const bench = new Bench();
  for (let count = 0; count < 3; count += 1) bench.start();
  bench.gate.report(createServerReport({ draining: true, sequence: 2 }), 10);
  assert.is(bench.reasonOf(3), 'draining');
  bench.start({}, 11);
  assert.is(bench.reasonOf(4), 'draining');
  bench.finish(0, 50);
  assert.is(bench.running.length, 2);
});

test('a server that leaves without draining gets nothing more', () => {
  const bench = new Bench();
  bench.gate.leave('i-1', 10);
  bench.start({}, 11);
  assert.is(bench.reasonOf(1), 'no-server');
  assert.is(bench.running.length, 0);
});

test('a gate that stops declines what waits and lets finish what runs', () => {
  const bench = new Bench(1);
  bench.start();
  bench.start();
  bench.gate.stop(10);
  assert.is(bench.reasonOf(2), 'draining');
  bench.finish(0, 50);
  assert.is(bench.reasonOf(1), 'answered');
});

test('a request for another service is not run: the address may have a new owner', () => {
  const bench = new Bench();
  bench.start({ service: 'cart' });
  assert.is(bench.reasonOf(1), 'wrong-service');
});

test('nested calls go first and may use the last slots, so that parents do not wait on each other', () => {
  const bench = new Bench(1);
  bench.start();
  bench.start();
  bench.start({ nested: true });
  bench.finish(0, 50);
  assert.equal(bench.startedCalls, [1, 3]);
});

test('a request that could not start in time is declined at once, not held until it is late', () => {
  const bench = new Bench(1);
  for (let count = 0; count < 30; count += 1) {
    bench.start({ remainingMilliseconds: 300, targetMilliseconds: 150 });
  }
  const declined = bench.replies.filter((frame) => frame.kind === 'declined');
  assert.ok(declined.length >= 25, `${declined.length} of 30 declined`);
  assert.ok(
    declined.every((frame) => 'expectedMilliseconds' in frame && frame.expectedMilliseconds > 0),
  );
});

test('a waiting request is declined, as not run, before its time is over', () => {
  const bench = new Bench(1);
  bench.start();
  bench.start({ remainingMilliseconds: 200 });
  bench.gate.tick(100);
  assert.is(bench.reasonOf(2), undefined);
  bench.gate.tick(175);
  assert.is(bench.reasonOf(2), 'deadline-too-short');
  bench.finish(0, 180);
  assert.is(bench.running.length, 1);
});

test('in time before late, urgent before less urgent', () => {
  const bench = new Bench(1);
  bench.start();
  bench.start({ targetMilliseconds: -10 });
  bench.start({ priority: 2 });
  bench.start({ priority: 0, targetMilliseconds: 399 });
  for (const index of [0, 1, 2]) bench.finish(index, 60);
  assert.equal(bench.startedCalls, [1, 4, 3, 2]);
});

test('an optional request is declined as busy when it would have to wait', () => {
  const bench = new Bench(1);
  bench.start();
  bench.start({ optional: true });
  assert.is(bench.reasonOf(2), 'busy');
});

const serverLoad = (slowdown: number) => ({ running: 0, slots: 2, slowdown, waiting: 0 });

test('a request does not start in a slow moment: it would be slow to its end', () => {
  const bench = new Bench();
  bench.gate.serverLoad(serverLoad(1), 0);
  bench.gate.serverLoad(serverLoad(5), 100);
  bench.start({}, 105);
  bench.start({ optional: true }, 106);
  assert.is(bench.running.length, 0);
  assert.is(bench.reasonOf(2), 'busy');
  bench.gate.serverLoad(serverLoad(1), 160);
  assert.equal(bench.startedCalls, [1]);
});

interface HoldCase {
  readonly name: string;
  readonly frame: Partial<StartFrame>;
  /** When the request starts in a slow moment that does not end, after it came. */
  readonly startsAfter: number;
}

/** At the usual speed a request takes 50 ms, in the slow moment 250 ms. */
const holds: readonly HoldCase[] = [
  {
    frame: { targetMilliseconds: 400 },
    name: 'a request that is in time all the same starts while it still is',
    startsAfter: 150,
  },
  // Started in the slow moment, it was late all the same and held its slot five times as long.
  {
    frame: { targetMilliseconds: 200 },
    name: 'a request that would be late waits for two spans',
    startsAfter: 300,
  },
  {
    frame: { nested: true, targetMilliseconds: 100 },
    name: 'a nested call, whose parent holds a slot, waits for less than one span',
    startsAfter: 100,
  },
];

for (const { frame, name, startsAfter } of holds) {
  test(`in a slow moment that lasts ${name}`, () => {
    const bench = new Bench();
    bench.gate.serverLoad(serverLoad(1), 0);
    bench.gate.serverLoad(serverLoad(5), 100);
    bench.start(frame, 105);
    let startedAt: number | undefined;
    for (let now = 110; now < 600; now += 5) {
      bench.gate.serverLoad(serverLoad(5), now);
      bench.gate.tick(now);
      if (bench.running.length > 0) startedAt ??= now;
    }
    assert.is(startedAt, 105 + startsAfter);
  });
}

test('an old report is renewed by one probe before a start, and a lost probe holds nothing back', () => {
  const bench = new Bench();
  bench.gate.serverLoad(serverLoad(1), 0);
  bench.start({}, 500);
  bench.start({}, 501);
  assert.is(bench.probes, 1);
  assert.is(bench.running.length, 0);
  bench.gate.serverLoad(serverLoad(1), 506);
  bench.gate.probed(506);
  assert.is(bench.running.length, 2);
  bench.finish(0, 600);
  bench.finish(1, 600);
  bench.start({}, 1_000);
  assert.is(bench.probes, 2);
  bench.gate.tick(1_050);
  assert.is(bench.running.length, 3);
});

test('a server that does not tell its speed is never probed', () => {
  const bench = new Bench();
  bench.gate.serverLoad({ running: 0, slots: 2, slowdown: undefined, waiting: 0 }, 0);
  bench.start({}, 500);
  assert.is(bench.probes, 0);
  assert.is(bench.running.length, 1);
});

test('a server that turned slow for longer is told as slow before any of its answers are late', () => {
  const bench = new Bench();
  bench.gate.serverLoad(serverLoad(1), 0);
  for (let now = 0; now < 400; now += 100) {
    bench.start({}, now);
    bench.gate.serverLoad(serverLoad(1), now);
    bench.finish(bench.running.length - 1, now + 60);
  }
  const before = bench.gate.load(400).serviceMilliseconds;
  for (let now = 500; now < 1_600; now += 50) bench.gate.serverLoad(serverLoad(12), now);
  const after = bench.gate.load(1_600).serviceMilliseconds;
  assert.ok(after > 10 * before, `${after} after ${before}`);
});

// Those in time go first, so it waited until its deadline and was refused only then.
test('a request that missed its target behind a long queue is declined at once', () => {
  const bench = new Bench(1);
  for (let count = 0; count < 4; count += 1) bench.start({ targetMilliseconds: 1_000 });
  const overtaken = bench.start({ targetMilliseconds: 500 });
  bench.gate.tick(440);
  assert.is(bench.reasonOf(overtaken), undefined);
  bench.gate.tick(460);
  assert.is(bench.reasonOf(overtaken), 'queue-full');
});

// Late requests filled the queue up to as many as run, and those in time that came next started after a wait.
test('a late request waits only while less than half as many wait as run', () => {
  for (const [waiting, expected] of [
    [1, undefined],
    [2, 'queue-full'],
    [3, 'queue-full'],
  ] as const) {
    const bench = new Bench(4);
    for (let count = 0; count < 4 + waiting; count += 1) bench.start({ targetMilliseconds: 1_000 });
    const late = bench.start({ targetMilliseconds: -100 });
    assert.is(bench.reasonOf(late), expected, `${waiting} wait`);
  }
});

test('a request that missed its target waits on if few others do', () => {
  const bench = new Bench(1);
  bench.start({ targetMilliseconds: 1_000 });
  const late = bench.start({ targetMilliseconds: 500 });
  bench.gate.tick(600);
  assert.is(bench.reasonOf(late), undefined);
  bench.finish(0, 610);
  assert.is(bench.startedCalls.at(-1), late);
});

/** A gate that learned from answers that a request takes so long. */
function benchWith(milliseconds: number, slots = 9): Bench {
  const bench = new Bench(slots);
  for (let count = 0; count < 30; count += 1) {
    bench.start({ remainingMilliseconds: 60_000 }, count * milliseconds);
    bench.finish(count, (count + 1) * milliseconds);
  }
  return bench;
}

// Every request was declined as too late for a server that had become fast again, while all others were full.
test('never: an estimate that became too long closes an idle gate', () => {
  const bench = benchWith(3_000);
  const idleFrom = 90_000;
  const early = bench.start({ remainingMilliseconds: 1_000 }, idleFrom + 900);
  assert.is(bench.reasonOf(early), 'deadline-too-short');
  const trial = bench.start({ remainingMilliseconds: 1_000 }, idleFrom + 1_100);
  assert.is(bench.startedCalls.at(-1), trial);
  const beside = bench.start({ remainingMilliseconds: 1_000 }, idleFrom + 1_101);
  assert.is(bench.reasonOf(beside), 'deadline-too-short', 'one trial at a time');
});

test('never: an idle gate takes a slow server for slow after it has recovered', () => {
  const bench = new Bench();
  const load = (slowdown: number, now: number): void => {
    bench.gate.serverLoad({ running: 0, slots: 2, slowdown, waiting: 0 }, now);
  };
  load(12, 0);
  load(12, 1_000);
  assert.is(bench.gate.load(1_000).serviceMilliseconds, 600);
  for (let now = 1_010; now < 2_500; now += 10) bench.gate.tick(now);
  assert.is(bench.probes, 1);
  load(1, 2_500);
  bench.gate.probed(2_500);
  assert.is(bench.gate.load(2_500).serviceMilliseconds, 50);
  for (let now = 2_510; now < 9_000; now += 10) bench.gate.tick(now);
  assert.is(bench.probes, 1, 'a server of usual speed is left alone');
});

// Nine requests that started between a fast report and a slow one made their route 6 times as long.
test('never: requests that may have started in a slow moment count as the usual time', () => {
  const bench = new Bench(9);
  const load = (slowdown: number, now: number): void => {
    bench.gate.serverLoad({ running: 0, slots: 9, slowdown, waiting: 0 }, now);
  };
  load(1, 0);
  const calls = Array.from({ length: 9 }, () => bench.start({}, 10));
  load(12, 30);
  for (const index of calls.keys()) bench.finish(index, 1_200);
  load(1, 1_250);
  assert.is(bench.gate.load(1_250).serviceMilliseconds, 50);
});

test('cancelling aborts an idempotent run and leaves another to finish', () => {
  const bench = new Bench();
  const first = bench.start();
  const second = bench.start({ idempotent: false });
  bench.gate.cancel('entry', 1, { callId: first, kind: 'cancel' }, 10);
  bench.gate.cancel('entry', 1, { callId: second, kind: 'cancel' }, 10);
  assert.equal(bench.aborted, [bench.running[0]?.executionId]);
});

test('cancelling a waiting request frees its place', () => {
  const bench = new Bench(1);
  bench.start();
  const waiting = bench.start();
  bench.gate.cancel('entry', 1, { callId: waiting, kind: 'cancel' }, 10);
  bench.finish(0, 50);
  assert.is(bench.running.length, 1);
});

test('a run that the server never answers is aborted soon after its deadline, and the slot is free', () => {
  const bench = new Bench(1);
  bench.start({ remainingMilliseconds: 200 });
  bench.gate.tick(500);
  assert.equal(bench.aborted, []);
  bench.gate.tick(700);
  assert.is(bench.aborted.length, 1);
});

test('a call of a server is known by the identifier of the request that it runs', () => {
  const bench = new Bench();
  bench.start({ repeat: true, requestId: 'abc' });
  assert.is(bench.gate.parentOf('abc.1')?.repeat, true);
  assert.is(bench.gate.parentOf('abc'), undefined);
  assert.is(bench.gate.parentOf('xyz.1'), undefined);
  bench.finish(0, 10);
  assert.is(bench.gate.parentOf('abc.1'), undefined);
});

test('what the server did not run is declined, what it may have run has failed', () => {
  const bench = new Bench();
  bench.start();
  bench.start();
  bench.finish(0, 10, { detail: 'full', kind: 'not-run', reason: 'server-refused' });
  bench.finish(1, 10, { detail: 'reset', kind: 'failed' });
  assert.is(bench.reasonOf(1), 'server-refused');
  assert.is(bench.reasonOf(2), 'failed');
});

test.run();
