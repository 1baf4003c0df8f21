import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CompletionPolicy, RepeatBudget, RequestForwarder, TargetBook } from '../../src/index.js';
import type {
  DeclinedFrame,
  EntryEvent,
  EntryOutcome,
  EntryRequest,
  ReplyFrame,
  RequestFrame,
  Route,
  StartFrame,
} from '../../src/index.js';
import { entryRequest, load, node, route } from '../fixtures.js';

interface Sent {
  readonly node: string;
  readonly frame: RequestFrame;
}

/** An entry whose gates the test plays. */
class Bench {
  public readonly sent: Sent[] = [];
  public readonly outcomes: EntryOutcome[] = [];
  public readonly events: EntryEvent[] = [];
  public readonly unreachable = new Set<string>();
  public readonly targets = new TargetBook();
  public readonly forwarder: RequestForwarder;

  public constructor(names: readonly string[] = ['a', 'b', 'c'], slack = 100) {
    const random = new SeededRandomSource(1);
    for (const name of names) this.targets.connected(node(name), load(), 0);
    this.forwarder = new RequestForwarder({
      budget: new RepeatBudget({ ratio: 0, slack, windowMilliseconds: 10_000 }),
      callerService: 'web',
      log: (event) => this.events.push(event),
      policy: new CompletionPolicy({
        availabilityZone: 'zone-a',
        random,
        region: 'region-1',
      }),
      port: {
        respond: (_request, outcome) => this.outcomes.push(outcome),
        send: (name, frame) => {
          if (this.unreachable.has(name)) return false;
          this.sent.push({ frame, node: name });
          return true;
        },
      },
      random,
      targets: this.targets,
    });
  }

  public begin(changes: Partial<Route> = {}, request: Partial<EntryRequest> = {}): void {
    const entry = entryRequest({ route: route(changes), ...request });
    this.forwarder.begin(entry, 'shop', false, 0);
  }

  public get starts(): readonly (Sent & { readonly frame: StartFrame })[] {
    return this.sent.filter(
      (sent): sent is Sent & { frame: StartFrame } => sent.frame.kind === 'start',
    );
  }

  public get cancels(): readonly string[] {
    return this.sent.filter(({ frame }) => frame.kind === 'cancel').map(({ node: name }) => name);
  }

  /** The gate of the numbered start replies. */
  public reply(index: number, now: number, reply: Partial<ReplyFrame>): void {
    const start = this.starts[index];
    const callId = start?.frame.callId ?? 0;
    this.forwarder.reply(start?.node ?? '', { callId, load: load(), ...reply } as ReplyFrame, now);
  }

  public decline(
    index: number,
    now: number,
    reason: DeclinedFrame['reason'],
    expected = 100,
  ): void {
    this.reply(index, now, { expectedMilliseconds: expected, kind: 'declined', reason });
  }

  public answer(index: number, now: number, status = 200): void {
    this.reply(index, now, { body: new Uint8Array(), headers: [], kind: 'answered', status });
  }
}

// Under load the earlier lines of a request may be left out, and the last one has to explain it alone.
test('the last line of a refused request names the last gate that declined and how full it was', () => {
  const bench = new Bench(['a', 'b']);
  bench.begin();
  bench.decline(0, 5, 'queue-full');
  bench.decline(1, 10, 'deadline-too-short');
  const concluded = bench.events.find(({ event }) => event === 'request-concluded');
  const { lastDecline, lastGate, limit, running, waiting } = concluded?.fields ?? {};
  const full = load();
  assert.equal(
    { lastDecline, lastGate, limit, running, waiting },
    {
      lastDecline: 'deadline-too-short',
      lastGate: bench.starts[1]?.node,
      limit: full.limit,
      running: full.running,
      waiting: full.waiting,
    },
  );
});

test('an answer goes to the caller', () => {
  const bench = new Bench();
  bench.begin();
  bench.answer(0, 100);
  assert.is(bench.outcomes[0]?.kind, 'answered');
  assert.is(bench.forwarder.inProgress, 0);
});

test('a request that must not be repeated moves on when a gate says that it did not run', () => {
  const bench = new Bench();
  bench.begin({ idempotent: false });
  bench.decline(0, 5, 'draining');
  bench.decline(1, 10, 'no-server');
  bench.answer(2, 100);
  assert.is(new Set(bench.starts.map(({ node: name }) => name)).size, 3);
  assert.is(bench.outcomes[0]?.kind, 'answered');
});

test('after two busy gates the one that expects the shortest time is told to take the request', () => {
  const bench = new Bench(['a', 'b']);
  bench.begin();
  assert.ok(bench.starts[0]?.frame.optional);
  bench.decline(0, 5, 'busy', 300);
  bench.decline(1, 10, 'busy', 200);
  assert.is(bench.starts[2]?.node, bench.starts[1]?.node);
  assert.not(bench.starts[2]?.frame.optional);
});

test('a request that no gate can finish in time is refused at once, with a time to come back', () => {
  const bench = new Bench(['a', 'b']);
  bench.begin();
  for (const index of [0, 1]) bench.decline(index, 5, 'queue-full', 900);
  const [outcome] = bench.outcomes;
  assert.is(outcome?.kind, 'refused');
  assert.ok(outcome?.kind === 'refused' && outcome.cause === 'overloaded');
  assert.ok(outcome.retryAfterMilliseconds > 0);
});

test('without a server the request is refused at once', () => {
  const bench = new Bench([]);
  bench.begin();
  assert.ok(bench.outcomes[0]?.kind === 'refused' && bench.outcomes[0].cause === 'no-server');
});

/** Class of the request, what its only attempt came to, and what the caller is told. */
const failureCases: readonly (readonly [
  boolean,
  Partial<ReplyFrame>,
  number,
  EntryOutcome['kind'] | undefined,
])[] = [
  [true, { detail: 'reset', kind: 'failed' }, 2, undefined],
  [false, { detail: 'reset', kind: 'failed' }, 1, 'unknown'],
  [true, { body: new Uint8Array(), headers: [], kind: 'answered', status: 500 }, 2, undefined],
  [false, { body: new Uint8Array(), headers: [], kind: 'answered', status: 500 }, 1, 'answered'],
  [true, { body: new Uint8Array(), headers: [], kind: 'answered', status: 404 }, 1, 'answered'],
];

for (const [idempotent, reply, starts, outcome] of failureCases) {
  const status = 'status' in reply ? ` ${reply.status}` : '';
  test(`${idempotent ? 'idempotent' : 'non-idempotent'}, ${reply.kind ?? ''}${status}: ${starts} starts`, () => {
    const bench = new Bench();
    bench.begin({ idempotent });
    bench.reply(0, 50, reply);
    assert.is(bench.starts.length, starts);
    assert.is(bench.outcomes[0]?.kind, outcome);
  });
}

test('an attempt goes to no more servers than its route allows', () => {
  const bench = new Bench();
  bench.begin({ maximumAttempts: 2 });
  bench.reply(0, 10, { detail: 'reset', kind: 'failed' });
  bench.reply(1, 20, { detail: 'reset', kind: 'failed' });
  assert.is(bench.starts.length, 2);
  assert.is(bench.outcomes[0]?.kind, 'unknown');
});

test('without budget a failed attempt is not repeated', () => {
  const bench = new Bench(['a', 'b'], 0);
  bench.begin();
  bench.reply(0, 10, { detail: 'reset', kind: 'failed' });
  assert.is(bench.starts.length, 1);
  assert.is(bench.outcomes[0]?.kind, 'unknown');
});

test('a second arrival at a server is paid from the budget, also when the first one was refused there', () => {
  const bench = new Bench(['a', 'b', 'c'], 0);
  bench.begin({ idempotent: false });
  bench.decline(0, 10, 'server-refused');
  assert.is(bench.starts.length, 1);
  assert.is(bench.outcomes[0]?.kind, 'refused');
});

test('a late idempotent request is hedged, and the slower attempt is cancelled', () => {
  const bench = new Bench();
  bench.begin();
  bench.forwarder.tick(100);
  assert.is(bench.starts.length, 1);
  bench.forwarder.tick(200);
  assert.is(bench.starts.length, 2);
  bench.answer(1, 300);
  assert.equal(bench.cancels, [bench.starts[0]?.node]);
});

test('a request that must not be repeated is never hedged', () => {
  const bench = new Bench();
  bench.begin({ idempotent: false });
  for (let now = 0; now < 900; now += 10) bench.forwarder.tick(now);
  assert.is(bench.starts.length, 1);
});

test("the caller gets its final answer at the route's timeout", () => {
  const bench = new Bench();
  bench.begin({ idempotent: false, timeoutMilliseconds: 500 });
  bench.forwarder.tick(499);
  assert.is(bench.outcomes.length, 0);
  bench.forwarder.tick(500);
  assert.ok(bench.outcomes[0]?.kind === 'unknown' && bench.outcomes[0].cause === 'timeout');
  assert.is(bench.cancels.length, 1);
});

test('after a lost connection the same life of the gate gets the frame again and nothing is lost', () => {
  const bench = new Bench(['a']);
  bench.begin({ idempotent: false });
  bench.forwarder.connectionLost('a', 50);
  bench.forwarder.connectionRestored('a', 1, 60);
  assert.is(bench.starts.length, 2);
  assert.is(bench.starts[1]?.frame.callId, bench.starts[0]?.frame.callId);
  bench.answer(1, 100);
  assert.is(bench.outcomes[0]?.kind, 'answered');
});

test('a later life of the gate does not know the request: its outcome is unknown, and it is not sent again', () => {
  const bench = new Bench(['a']);
  bench.begin({ idempotent: false });
  bench.forwarder.connectionLost('a', 50);
  bench.forwarder.connectionRestored('a', 2, 60);
  assert.is(bench.starts.length, 1);
  assert.is(bench.outcomes[0]?.kind, 'unknown');
});

test('an idempotent request goes elsewhere when the connection to its gate stays lost', () => {
  const bench = new Bench();
  bench.begin();
  const first = bench.starts[0]?.node ?? '';
  bench.targets.disconnected(first);
  bench.forwarder.connectionLost(first, 20);
  bench.forwarder.tick(60);
  assert.is(bench.starts.length, 1);
  bench.forwarder.tick(130);
  assert.is(bench.starts.length, 2);
});

test('a gate without a connection is passed over', () => {
  const bench = new Bench(['a', 'b']);
  bench.unreachable.add('a');
  bench.begin();
  assert.equal(
    bench.starts.map(({ node: name }) => name),
    ['b'],
  );
});

test('a caller that goes away has its attempts cancelled and gets no answer', () => {
  const bench = new Bench();
  bench.begin();
  bench.forwarder.abandon(1, 0);
  assert.is(bench.cancels.length, 1);
  bench.answer(0, 100);
  assert.is(bench.outcomes.length, 0);
});

test('a gate is told the time that is left, not the time that the caller stated', () => {
  const bench = new Bench(['a', 'b']);
  bench.begin({ timeoutMilliseconds: 800 }, { callerDeadline: 700 });
  assert.is(bench.starts[0]?.frame.remainingMilliseconds, 700);
  bench.decline(0, 250, 'draining');
  assert.is(bench.starts[1]?.frame.remainingMilliseconds, 450);
});

// Under overload a third of the requests are those of callers that return. Taken for new ones they
// went before requests that could still be in time, although their own target was over.
test('the target of a caller that returns counts from its first request', () => {
  const bench = new Bench();
  const target = { targetLatencyMilliseconds: 300 };
  for (let first = 0; first < 16; first += 1) {
    bench.begin(target, { callerDeadline: 1_200, requestNumber: first });
  }
  bench.begin(target, { callerDeadline: 800, requestNumber: 100 });
  const targets = bench.starts.map(({ frame }) => frame.targetMilliseconds);
  assert.equal(targets.slice(0, 16), new Array(16).fill(300));
  assert.is(targets[16], -100);
});

test.run();
