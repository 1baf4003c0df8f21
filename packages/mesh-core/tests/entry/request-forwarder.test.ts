import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  DeclineReason,
  PlacementPolicy,
  RequestQuarantine,
  RetryBudget,
  RequestForwarder,
  GateTable,
} from '../../src/index.js';
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
import { createEntryRequest, createLoad, createNode, createRoute } from '../fixtures.js';

interface SentFrame {
  readonly node: string;
  readonly frame: RequestFrame;
}

/** A forwarder with recorded output; the test replies in place of the gates. */
class EntryFixture {
  public readonly sentFrames: SentFrame[] = [];
  public readonly outcomes: EntryOutcome[] = [];
  public readonly events: EntryEvent[] = [];
  public readonly unreachableNodes = new Set<string>();
  public readonly gates = new GateTable();
  public readonly quarantine = new RequestQuarantine({
    digest: (content) => content.toString(),
    onQuarantineChanged: () => undefined,
  });
  /** Time for which the keys of callers may be acted on. */
  public keyValidMilliseconds = Infinity;
  public readonly forwarder: RequestForwarder;

  public constructor(names: readonly string[] = ['a', 'b', 'c'], retrySlack = 100) {
    const random = new SeededRandomSource(1);
    for (const name of names) this.gates.onConnected(createNode(name), createLoad(), 0);
    this.forwarder = new RequestForwarder({
      retryBudget: new RetryBudget({ ratio: 0, slack: retrySlack, windowMilliseconds: 10_000 }),
      callerService: 'web',
      keyValidMilliseconds: () => this.keyValidMilliseconds,
      log: (event) => this.events.push(event),
      placementPolicy: new PlacementPolicy({
        availabilityZone: 'zone-a',
        random,
        region: 'region-1',
      }),
      port: {
        respond: (_request, outcome) => this.outcomes.push(outcome),
        send: (name, frame) => {
          if (this.unreachableNodes.has(name)) return false;
          this.sentFrames.push({ frame, node: name });
          return true;
        },
      },
      quarantine: this.quarantine,
      random,
      gates: this.gates,
    });
  }

  public begin(changes: Partial<Route> = {}, request: Partial<EntryRequest> = {}): void {
    const entry = createEntryRequest({ route: createRoute(changes), ...request });
    this.forwarder.forward(entry, 'shop', false, 0);
  }

  public get startFrames(): readonly (SentFrame & { readonly frame: StartFrame })[] {
    return this.sentFrames.filter(
      (sent): sent is SentFrame & { frame: StartFrame } => sent.frame.kind === 'start',
    );
  }

  public get cancelledNodes(): readonly string[] {
    return this.sentFrames
      .filter(({ frame }) => frame.kind === 'cancel')
      .map(({ node: name }) => name);
  }

  /** Replies to the start frame with this index, from the gate that it was sent to. */
  public reply(index: number, now: number, reply: Partial<ReplyFrame>): void {
    const start = this.startFrames[index];
    const callId = start?.frame.callId ?? 0;
    this.forwarder.onReply(
      start?.node ?? '',
      { callId, load: createLoad(), ...reply } as ReplyFrame,
      now,
    );
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

// Under load, earlier log events of a request may be omitted, so the last one must explain the refusal by itself.
test('the last event of a refused request names the last gate that declined and its occupancy', () => {
  const fixture = new EntryFixture(['a', 'b']);
  fixture.begin();
  fixture.decline(0, 5, 'queue-full');
  fixture.decline(1, 10, 'deadline-too-short');
  const concluded = fixture.events.find(({ event }) => event === 'request-concluded');
  const { lastDecline, lastGate, limit, running, waiting } = concluded?.fields ?? {};
  const full = createLoad();
  assert.equal(
    { lastDecline, lastGate, limit, running, waiting },
    {
      lastDecline: 'deadline-too-short',
      lastGate: fixture.startFrames[1]?.node,
      limit: full.limit,
      running: full.running,
      waiting: full.waiting,
    },
  );
});

test('an answer is returned to the caller', () => {
  const fixture = new EntryFixture();
  fixture.begin();
  fixture.answer(0, 100);
  assert.is(fixture.outcomes[0]?.kind, 'answered');
  assert.is(fixture.forwarder.inProgressCount, 0);
});

test('a non-idempotent request is sent to another gate after a gate declined', () => {
  const fixture = new EntryFixture();
  fixture.begin({ idempotent: false });
  fixture.decline(0, 5, 'draining');
  fixture.decline(1, 10, 'no-server');
  fixture.answer(2, 100);
  assert.is(new Set(fixture.startFrames.map(({ node: name }) => name)).size, 3);
  assert.is(fixture.outcomes[0]?.kind, 'answered');
});

test('after two busy gates, the one with the shortest expected time must accept the request', () => {
  const fixture = new EntryFixture(['a', 'b']);
  fixture.begin();
  assert.ok(fixture.startFrames[0]?.frame.optional);
  fixture.decline(0, 5, 'busy', 300);
  fixture.decline(1, 10, 'busy', 200);
  assert.is(fixture.startFrames[2]?.node, fixture.startFrames[1]?.node);
  assert.not(fixture.startFrames[2]?.frame.optional);
});

test('a request that no gate can finish in time is refused at once, with a time for a retry', () => {
  const fixture = new EntryFixture(['a', 'b']);
  fixture.begin();
  for (const index of [0, 1]) fixture.decline(index, 5, 'queue-full', 900);
  const [outcome] = fixture.outcomes;
  assert.is(outcome?.kind, 'refused');
  assert.ok(outcome?.kind === 'refused' && outcome.cause === 'overloaded');
  assert.ok(outcome.retryAfterMilliseconds > 0);
});

test('without a server the request is refused at once', () => {
  const fixture = new EntryFixture([]);
  fixture.begin();
  assert.ok(fixture.outcomes[0]?.kind === 'refused' && fixture.outcomes[0].cause === 'no-server');
});

/** Whether the request is idempotent, the reply to its first attempt, the number of attempts, and the outcome. */
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
  // A gate of an older version may pass on a status that is no answer.
  [true, { body: new Uint8Array(), headers: [], kind: 'answered', status: 0 }, 2, undefined],
  [false, { body: new Uint8Array(), headers: [], kind: 'answered', status: 101 }, 1, 'unknown'],
  // It may also pass on a promise that nobody gave.
  [false, { body: new Uint8Array(), headers: [], kind: 'answered', status: 503 }, 1, 'unknown'],
  [false, { body: new Uint8Array(), headers: [], kind: 'answered', status: 429 }, 1, 'unknown'],
  [true, { body: new Uint8Array(), headers: [], kind: 'answered', status: 429 }, 1, 'answered'],
];

for (const [idempotent, reply, starts, outcome] of failureCases) {
  const status = 'status' in reply ? ` ${reply.status}` : '';
  test(`${idempotent ? 'idempotent' : 'non-idempotent'}, ${reply.kind ?? ''}${status}: ${starts} starts`, () => {
    const fixture = new EntryFixture();
    fixture.begin({ idempotent });
    fixture.reply(0, 50, reply);
    assert.is(fixture.startFrames.length, starts);
    assert.is(fixture.outcomes[0]?.kind, outcome);
  });
}

test('a request is sent to no more servers than its route allows', () => {
  const fixture = new EntryFixture();
  fixture.begin({ maximumAttempts: 2 });
  fixture.reply(0, 10, { detail: 'reset', kind: 'failed' });
  fixture.reply(1, 20, { detail: 'reset', kind: 'failed' });
  assert.is(fixture.startFrames.length, 2);
  assert.is(fixture.outcomes[0]?.kind, 'unknown');
});

test('a failed attempt is not retried without retry budget', () => {
  const fixture = new EntryFixture(['a', 'b'], 0);
  fixture.begin();
  fixture.reply(0, 10, { detail: 'reset', kind: 'failed' });
  assert.is(fixture.startFrames.length, 1);
  assert.is(fixture.outcomes[0]?.kind, 'unknown');
});

test('sending a request to a second server uses the retry budget, even if the first server refused it', () => {
  const fixture = new EntryFixture(['a', 'b', 'c'], 0);
  fixture.begin({ idempotent: false });
  fixture.decline(0, 10, 'server-refused');
  assert.is(fixture.startFrames.length, 1);
  assert.is(fixture.outcomes[0]?.kind, 'refused');
});

// A server that repeats its refusal could otherwise refuse the second run of the same request, which has the same identifier.
test('a request that a server has refused is not sent to that server again', () => {
  const fixture = new EntryFixture(['a', 'b'], 5);
  fixture.begin({ idempotent: false });
  for (let attempt = 0; attempt < fixture.startFrames.length; attempt += 1)
    fixture.decline(attempt, 10, 'server-refused');
  assert.equal(fixture.startFrames.map(({ node }) => node).sort(), ['a', 'b']);
  assert.is(fixture.outcomes[0]?.kind, 'refused');
});

test('a late idempotent request is hedged, and the slower attempt is cancelled', () => {
  const fixture = new EntryFixture();
  fixture.begin();
  fixture.forwarder.tick(100);
  assert.is(fixture.startFrames.length, 1);
  fixture.forwarder.tick(200);
  assert.is(fixture.startFrames.length, 2);
  fixture.answer(1, 300);
  assert.equal(fixture.cancelledNodes, [fixture.startFrames[0]?.node]);
});

// Regression: a short nested call was hedged only after 1.7 times the mean of a server that also runs long requests.
test('a request of a short route is hedged by the time of its route, not by the mean of its server', () => {
  for (const [routeMilliseconds, expectedStarts] of [
    [40, 3],
    [undefined, 2],
  ] as const) {
    const fixture = new EntryFixture();
    fixture.begin();
    const load = createLoad({ routeMilliseconds, serviceMilliseconds: 100 });
    const content = { body: new Uint8Array(), headers: [], status: 200 };
    fixture.reply(0, 40, { ...content, kind: 'answered', load });
    fixture.begin({}, { receivedAt: 0, requestId: 'r2', requestNumber: 2 });
    fixture.forwarder.tick(80);
    assert.is(fixture.startFrames.length, expectedStarts);
  }
});

test('a non-idempotent request is never hedged', () => {
  const fixture = new EntryFixture();
  fixture.begin({ idempotent: false });
  for (let now = 0; now < 900; now += 10) fixture.forwarder.tick(now);
  assert.is(fixture.startFrames.length, 1);
});

test("a request is concluded at the route's timeout", () => {
  const fixture = new EntryFixture();
  fixture.begin({ idempotent: false, timeoutMilliseconds: 500 });
  fixture.forwarder.tick(499);
  assert.is(fixture.outcomes.length, 0);
  fixture.forwarder.tick(500);
  assert.ok(fixture.outcomes[0]?.kind === 'unknown' && fixture.outcomes[0].cause === 'timeout');
  assert.is(fixture.cancelledNodes.length, 1);
});

test('after a reconnection, the same incarnation of the gate is sent the start frame again', () => {
  const fixture = new EntryFixture(['a']);
  fixture.begin({ idempotent: false });
  fixture.forwarder.onConnectionLost('a', 50);
  fixture.forwarder.onConnectionRestored('a', 1, 60);
  assert.is(fixture.startFrames.length, 2);
  assert.is(fixture.startFrames[1]?.frame.callId, fixture.startFrames[0]?.frame.callId);
  fixture.answer(1, 100);
  assert.is(fixture.outcomes[0]?.kind, 'answered');
});

test('a non-idempotent request has an unknown outcome if its gate restarted, and is not sent again', () => {
  const fixture = new EntryFixture(['a']);
  fixture.begin({ idempotent: false });
  fixture.forwarder.onConnectionLost('a', 50);
  fixture.forwarder.onConnectionRestored('a', 2, 60);
  assert.is(fixture.startFrames.length, 1);
  assert.is(fixture.outcomes[0]?.kind, 'unknown');
});

test('an idempotent request is sent to another gate when the connection to its gate stays lost', () => {
  const fixture = new EntryFixture();
  fixture.begin();
  const first = fixture.startFrames[0]?.node ?? '';
  fixture.gates.onDisconnected(first);
  fixture.forwarder.onConnectionLost(first, 20);
  fixture.forwarder.tick(60);
  assert.is(fixture.startFrames.length, 1);
  fixture.forwarder.tick(130);
  assert.is(fixture.startFrames.length, 2);
});

test('a request is not sent to a second gate if the connection to the first one proves to work in time', () => {
  const fixture = new EntryFixture();
  fixture.begin();
  const first = fixture.startFrames[0]?.node ?? '';
  fixture.forwarder.onConnectionLost(first, 20);
  fixture.forwarder.onConnectionConfirmed(first);
  fixture.forwarder.tick(130);
  assert.is(fixture.startFrames.length, 1);
});

test('the log names the gate whose connection a request waited on, and when it was sent again', () => {
  const fixture = new EntryFixture(['a']);
  fixture.begin({ idempotent: false });
  fixture.forwarder.onConnectionLost('a', 160);
  fixture.forwarder.onConnectionLost('a', 180);
  fixture.forwarder.onConnectionRestored('a', 1, 190);
  const logged = fixture.events.filter(({ event }) => event.startsWith('attempt-'));
  assert.equal(
    logged.map(({ event, fields }) => [event, fields.gate, fields.milliseconds]),
    [
      ['attempt-unconfirmed', 'a', 160],
      ['attempt-sent-again', 'a', 190],
    ],
  );
});

test('a late request is sent to a second gate as early as without a lost connection', () => {
  const lateAt = 180;
  const undisturbed = new EntryFixture();
  undisturbed.begin();
  undisturbed.forwarder.tick(lateAt);
  assert.is(undisturbed.startFrames.length, 2);
  const fixture = new EntryFixture();
  fixture.begin();
  fixture.forwarder.onConnectionLost(fixture.startFrames[0]?.node ?? '', lateAt - 20);
  fixture.forwarder.tick(lateAt);
  assert.is(fixture.startFrames.length, 2);
});

test('a gate without a connection is skipped', () => {
  const fixture = new EntryFixture(['a', 'b']);
  fixture.unreachableNodes.add('a');
  fixture.begin();
  assert.equal(
    fixture.startFrames.map(({ node: name }) => name),
    ['b'],
  );
});

test('when a caller disconnects, its attempts are cancelled and it gets no answer', () => {
  const fixture = new EntryFixture();
  fixture.begin();
  fixture.forwarder.onCallerDisconnected(1, 0);
  assert.is(fixture.cancelledNodes.length, 1);
  fixture.answer(0, 100);
  assert.is(fixture.outcomes.length, 0);
});

test('a gate receives the time that remains, not the time limit that the caller set', () => {
  const fixture = new EntryFixture(['a', 'b']);
  fixture.begin({ timeoutMilliseconds: 800 }, { callerDeadline: 700 });
  assert.is(fixture.startFrames[0]?.frame.remainingMilliseconds, 700);
  fixture.decline(0, 250, 'draining');
  assert.is(fixture.startFrames[1]?.frame.remainingMilliseconds, 450);
});

// Regression: under overload, a third of the requests are retries by callers whose earlier request was refused. When
// the target latency of a retry counted from the arrival of the retry, it ran before requests that could still meet
// their target, although its own target, counted from the caller's first request, had passed.
test("the target latency of a caller's retry counts from its first request", () => {
  const fixture = new EntryFixture();
  const target = { targetLatencyMilliseconds: 300 };
  for (let first = 0; first < 16; first += 1) {
    fixture.begin(target, { callerDeadline: 1_200, requestNumber: first });
  }
  fixture.begin(target, { callerDeadline: 800, requestNumber: 100 });
  const targets = fixture.startFrames.map(({ frame }) => frame.targetMilliseconds);
  assert.equal(targets.slice(0, 16), new Array(16).fill(300));
  assert.is(targets[16], -100);
});

/** Records crashes of servers while they ran the request of this fixture, seen by any node. */
function recordCrashes({ quarantine }: EntryFixture, count: number): void {
  const { headers, method, path } = createEntryRequest();
  const request = { callerService: 'web', headers, method, path };
  for (let crash = 0; crash < count; crash += 1) {
    const run = { crashedAt: crash - count, request, runMilliseconds: 1 };
    quarantine.recordCrash(`${crash}`, [run], 0);
  }
}

test('a quarantined request is refused at once, as not run, with the time until the quarantine ends', () => {
  const fixture = new EntryFixture();
  recordCrashes(fixture, 3);
  fixture.begin();
  assert.equal(fixture.startFrames, []);
  const [outcome] = fixture.outcomes;
  assert.ok(outcome?.kind === 'refused' && outcome.cause === 'quarantined');
  assert.is(outcome.retryAfterMilliseconds, 599_997);
});

test('a request that becomes quarantined while it runs is not retried, and its outcome is unknown', () => {
  const fixture = new EntryFixture();
  fixture.begin();
  recordCrashes(fixture, 3);
  fixture.reply(0, 50, { detail: 'reset', kind: 'failed' });
  assert.is(fixture.startFrames.length, 1);
  assert.is(fixture.outcomes[0]?.kind, 'unknown');
});

for (const runsBefore of [0, 1]) {
  test(`a gate's decline as quarantined is final, after ${runsBefore} earlier runs`, () => {
    const fixture = new EntryFixture();
    fixture.begin();
    if (runsBefore > 0) fixture.reply(0, 20, { detail: 'reset', kind: 'failed' });
    fixture.decline(runsBefore, 50, 'quarantined');
    assert.is(fixture.startFrames.length, runsBefore + 1);
    const [outcome] = fixture.outcomes;
    assert.is(outcome?.kind, runsBefore > 0 ? 'unknown' : 'refused');
  });
}

for (const [crashes, starts] of [
  [1, 2],
  [2, 1],
] as const) {
  test(`a late request that ran during ${crashes} crashes is sent ${starts} times`, () => {
    const fixture = new EntryFixture();
    recordCrashes(fixture, crashes);
    fixture.begin();
    fixture.forwarder.tick(200);
    assert.is(fixture.startFrames.length, starts);
  });
}

const stopSchedule = { outcomesDueAt: 5_200, refusesFrom: 3_000 };
const longRoute = { targetLatencyMilliseconds: 1_000, timeoutMilliseconds: 8_000 };

/** A forwarder whose last answer on the route took the given time, if any, and that received a stop signal at 0. */
function createStopping(answerMilliseconds?: number): EntryFixture {
  const fixture = new EntryFixture();
  if (answerMilliseconds !== undefined) {
    fixture.begin(longRoute, { receivedAt: -answerMilliseconds });
    fixture.answer(0, 0);
  }
  fixture.forwarder.stop(stopSchedule);
  return fixture;
}

/**
 * Description, duration of the last answer on the route, time of the request after the stop signal, time that its caller
 * waits, and whether it is taken.
 */
const stoppingCases: readonly (readonly [string, number | undefined, number, number, boolean])[] = [
  ['requests on its route are short', 500, 2_900, 8_000, true],
  ['requests on its route may outlast the process', 2_900, 2_900, 8_000, false],
  ['its caller waits only briefly', 2_900, 2_900, 1_000, true],
  ['nothing is known of its route', undefined, 100, 8_000, false],
  ['nothing is known of its route, and its caller waits only briefly', undefined, 100, 1_000, true],
  ['it comes too late', 500, 3_000, 1_000, false],
];

for (const [description, duration, at, waitMilliseconds, isTaken] of stoppingCases) {
  test(`a stopping node ${isTaken ? 'takes' : 'refuses'} a request if ${description}`, () => {
    const fixture = createStopping(duration);
    const before = fixture.startFrames.length;
    const route = createRoute(longRoute);
    const times = { callerDeadline: at + waitMilliseconds, receivedAt: at };
    const request = createEntryRequest({ requestNumber: 2, route, ...times });
    fixture.forwarder.forward(request, 'shop', false, at);
    assert.is(fixture.startFrames.length - before, isTaken ? 1 : 0);
    const outcome = fixture.outcomes.at(-1);
    assert.is(outcome?.kind === 'refused' && outcome.cause === 'stopping', !isTaken);
  });
}

test('a request in progress when the node stops has an outcome before the process ends', () => {
  const fixture = new EntryFixture();
  const times = { callerDeadline: 8_000 };
  fixture.begin(longRoute, { ...times, requestNumber: 1 });
  fixture.forwarder.stop(stopSchedule);
  assert.is(fixture.forwarder.nextDeadline, 5_200);
  fixture.forwarder.tick(5_199);
  assert.equal(fixture.outcomes, []);
  fixture.forwarder.tick(5_200);
  assert.is(fixture.outcomes[0]?.kind, 'unknown');
  fixture.forwarder.tick(8_000);
  assert.is(fixture.outcomes.length, 1);
});

const tenant = {
  allotment: { burst: 0, requestsPerSecond: Infinity },
  apiKeys: [],
  name: 'acme',
};

test('a request with a key is refused as not run once keys may no longer be acted on, others are sent', () => {
  const fixture = new EntryFixture();
  fixture.keyValidMilliseconds = -1;
  fixture.begin({}, { tenant });
  assert.is(fixture.startFrames.length, 0);
  const [outcome] = fixture.outcomes;
  assert.is(outcome?.kind === 'refused' && outcome.cause, 'key-unproven');
  fixture.begin({}, { requestNumber: 2 });
  assert.is(fixture.startFrames.length, 1);
  assert.not('keyValidMilliseconds' in (fixture.startFrames[0]?.frame ?? {}));
});

test('a request that may have run is not sent again once its key may no longer be acted on, and not refused', () => {
  const fixture = new EntryFixture();
  fixture.keyValidMilliseconds = 500;
  fixture.begin({ idempotent: true }, { tenant });
  assert.is(fixture.startFrames[0]?.frame.keyValidMilliseconds, 500);
  fixture.keyValidMilliseconds = 0;
  fixture.reply(0, 10, { detail: 'reset', kind: 'failed' });
  assert.is(fixture.startFrames.length, 1);
  assert.is(fixture.outcomes[0]?.kind, 'unknown');
});

// The gate may have received the first frame; a second one must not make it start the request later.
test('a frame that is sent again says that the key may no longer be acted on', () => {
  const fixture = new EntryFixture(['a']);
  fixture.keyValidMilliseconds = 500;
  fixture.begin({}, { tenant });
  fixture.forwarder.onConnectionLost('a', 10);
  fixture.keyValidMilliseconds = -700;
  fixture.forwarder.onConnectionRestored('a', fixture.gates.get('a')?.node.boot ?? 0, 20);
  assert.is(fixture.startFrames[1]?.frame.keyValidMilliseconds, 0);
  fixture.decline(1, 30, DeclineReason.KeyUnproven);
  const [outcome] = fixture.outcomes;
  assert.is(outcome?.kind === 'refused' && outcome.cause, 'key-unproven');
});

// A server that has been away may be back at any moment, unlike an overload that has lasted.
test('a caller that no server could take is told to return soon, however long that has lasted', () => {
  const fixture = new EntryFixture([]);
  for (let number = 1; number <= 6; number += 1) {
    const receivedAt = number * 1_000;
    const callerDeadline = receivedAt + 1_000;
    const entry = createEntryRequest({ callerDeadline, receivedAt, requestNumber: number });
    fixture.forwarder.forward(entry, 'shop', false, receivedAt);
  }
  assert.is(fixture.outcomes.length, 6);
  for (const outcome of fixture.outcomes) {
    assert.ok(outcome.kind === 'refused' && outcome.cause === 'no-server');
    assert.ok(outcome.retryAfterMilliseconds <= 1_500);
  }
});

test.run();
