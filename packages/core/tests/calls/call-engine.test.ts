import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RequestClass } from '../../src/index.js';
import type { Call } from '../../src/index.js';
import { at } from '../routing/setup.js';
import { call, deadline, dispatches, engineWith, outcomes, ScriptedCall } from './setup.js';

interface OutcomeCase {
  readonly failure: string;
  readonly servers: number;
  readonly call?: Partial<Call>;
  readonly script: readonly string[];
  readonly attempts: number;
  /** Kind, and status or reason; undefined while the call has not concluded. */
  readonly outcome: string | undefined;
}

const nonIdempotent: Partial<Call> = { requestClass: RequestClass.NonIdempotent };
const streamed: Partial<Call> = { isBodyReplayable: false };

const outcomeCases: readonly OutcomeCase[] = [
  {
    attempts: 2,
    failure: 'a server without a connection is reported as one that refused',
    outcome: 'refused-not-run peer-unreachable',
    script: ['not-sent', 'not-sent'],
    servers: 2,
  },
  {
    attempts: 2,
    failure: 'a congested connection is reported as an unreachable server',
    outcome: 'refused-not-run peer-congested',
    script: ['not-sent congested', 'not-sent congested'],
    servers: 2,
  },
  {
    attempts: 1,
    failure: 'an answer is not delivered',
    outcome: 'answered 200',
    script: ['answered 200'],
    servers: 3,
  },
  {
    attempts: 0,
    failure: 'a call without upstream waits for its deadline',
    outcome: 'refused-not-run no-upstream',
    script: [],
    servers: 0,
  },
  {
    attempts: 0,
    call: { deadline: 0 },
    failure: 'an expired call is sent',
    outcome: 'refused-not-run deadline-expired',
    script: [],
    servers: 3,
  },
  {
    attempts: 3,
    failure: 'a call is sent to another target after 3 refusals',
    outcome: 'refused-not-run no-slot',
    script: ['refused', 'refused', 'refused'],
    servers: 6,
  },
  {
    attempts: 2,
    failure: 'a refusal is not returned although no target is left',
    outcome: 'refused-not-run no-slot',
    script: ['refused', 'refused'],
    servers: 2,
  },
  {
    attempts: 2,
    failure: 'different refusals are reported as one of them',
    outcome: 'refused-not-run all-targets-refused',
    script: ['refused', 'not-sent'],
    servers: 2,
  },
  {
    attempts: 2,
    call: nonIdempotent,
    failure: 'a refused non-idempotent call is not sent to another target',
    outcome: 'answered 201',
    script: ['refused', 'answered 201'],
    servers: 3,
  },
  {
    attempts: 2,
    call: nonIdempotent,
    failure: 'a non-idempotent call that could not be sent is not sent to another target',
    outcome: undefined,
    script: ['not-sent'],
    servers: 3,
  },
  {
    attempts: 1,
    call: nonIdempotent,
    failure: 'a non-idempotent call is retried after a failure',
    outcome: 'outcome-unknown upstream-failed',
    script: ['failed'],
    servers: 3,
  },
  {
    attempts: 1,
    call: nonIdempotent,
    failure: 'a non-idempotent call is retried after a lost connection',
    outcome: 'outcome-unknown connection-lost',
    script: ['peer-lost'],
    servers: 3,
  },
  {
    attempts: 1,
    call: nonIdempotent,
    failure: 'a non-idempotent call is retried after an error status',
    outcome: 'answered 503',
    script: ['answered 503'],
    servers: 3,
  },
  {
    attempts: 2,
    failure: 'an idempotent call is not retried after a failure',
    outcome: 'answered 200',
    script: ['failed', 'answered 200'],
    servers: 3,
  },
  {
    attempts: 2,
    failure: 'an idempotent call is not retried after an upstream answered that it is overloaded',
    outcome: 'answered 200',
    script: ['answered 503', 'answered 200'],
    servers: 3,
  },
  {
    attempts: 1,
    failure: 'a request that itself causes an error is retried',
    outcome: 'answered 500',
    script: ['answered 500'],
    servers: 3,
  },
  {
    attempts: 2,
    failure: 'a call is reported as not run although its first attempt failed',
    outcome: 'outcome-unknown upstream-failed',
    script: ['failed', 'refused'],
    servers: 2,
  },
  {
    attempts: 2,
    failure: 'a call is reported as not run although an upstream answered with an error',
    outcome: 'outcome-unknown upstream-failed',
    script: ['answered 503', 'refused'],
    servers: 2,
  },
  {
    attempts: 1,
    call: streamed,
    failure: 'a consumed body is sent again',
    outcome: 'outcome-unknown upstream-failed',
    script: ['admitted', 'failed'],
    servers: 3,
  },
  {
    attempts: 2,
    call: streamed,
    failure: 'a streamed body that was not consumed is lost',
    outcome: 'answered 200',
    script: ['peer-lost', 'answered 200'],
    servers: 3,
  },
  {
    attempts: 1,
    failure: 'a call outlives its deadline',
    outcome: 'outcome-unknown deadline-after-start',
    script: ['deadline', 'answered 200'],
    servers: 3,
  },
  {
    attempts: 1,
    failure: 'an abandoned call concludes',
    outcome: undefined,
    script: ['abandon', 'answered 200', 'deadline'],
    servers: 3,
  },
];

for (const each of outcomeCases) {
  test(`never: ${each.failure}`, () => {
    const engine = engineWith(each.servers, { hedging: false });
    const { commands } = new ScriptedCall(engine, each.call).play(each.script);
    assert.is(dispatches(commands).length, each.attempts);
    const described = outcomes(commands).map(
      (outcome) =>
        `${outcome.kind} ${outcome.kind === 'answered' ? outcome.status : outcome.reason}`,
    );
    assert.equal(described, each.outcome === undefined ? [] : [each.outcome]);
  });
}

test('a final refusal carries the smallest retry-after value received', () => {
  const { commands } = new ScriptedCall(engineWith(3)).play([
    'refused 70',
    'refused 30',
    'refused',
  ]);
  const [outcome] = outcomes(commands);
  assert.is(outcome?.kind === 'refused-not-run' && outcome.retryAfterMilliseconds, 30);
});

test('a home tries its own server first, and another one after a refusal', () => {
  const scripted = new ScriptedCall(engineWith(5), { ...nonIdempotent, preferredServer: 's3' });
  const { commands } = scripted.play(['refused']);
  const servers = dispatches(commands).map((command) => command.target.server);
  assert.is(servers[0], 's3');
  assert.is.not(servers[1], 's3');
});

test('results of attempts that have already ended are ignored and counted', () => {
  const engine = engineWith(3);
  new ScriptedCall(engine).play(['answered 200', 'answered 200', 'refused', 'failed', 'not-sent']);
  assert.is(engine.lateResults, 4);
});

/** Creates an engine that has observed a p95 latency of about 20 ms in calls numbered from 100. */
function engineWithLatency(servers: number): ReturnType<typeof engineWith> {
  const engine = engineWith(servers);
  for (let number = 100; number < 140; number += 1) {
    const [first] = dispatches(engine.begin(call(number), at(0)));
    engine.onAnswered(first?.attemptId ?? 0, 200, undefined, at(20));
  }
  return engine;
}

test('a slow idempotent call is hedged once, and the slower attempt is cancelled', () => {
  const engine = engineWithLatency(3);
  const [first] = dispatches(engine.begin(call(1), at(100)));
  assert.is(engine.tick(at(110)).length, 0);
  const [hedge] = dispatches(engine.tick(at(130)));
  assert.is(hedge?.retryReason, 'hedge');
  assert.is.not(hedge?.target.server, first?.target.server);
  assert.is(engine.tick(at(300)).length, 0);
  const end = engine.onAnswered(hedge?.attemptId ?? 0, 200, undefined, at(301));
  assert.equal(
    end.map((command) => [command.kind, command.attemptId]),
    [
      ['cancel-attempt', first?.attemptId],
      ['conclude', hedge?.attemptId],
    ],
  );
});

for (const [name, changes] of Object.entries({ nonIdempotent, streamed })) {
  test(`a ${name} call is not hedged, because it can't be sent twice`, () => {
    const engine = engineWithLatency(3);
    engine.begin(call(1, changes), at(100));
    assert.equal(engine.tick(at(500)), []);
  });
}

test('a refused hedge leaves the first attempt running', () => {
  const engine = engineWithLatency(2);
  const [first] = dispatches(engine.begin(call(1), at(100)));
  const [hedge] = dispatches(engine.tick(at(130)));
  assert.equal(engine.onRefused(hedge?.attemptId ?? 0, { reason: 'no-slot' }, at(131)), []);
  const end = engine.onAnswered(first?.attemptId ?? 0, 200, undefined, at(140));
  assert.is(outcomes(end)[0]?.kind, 'answered');
});

test('retries stop when the budget is exhausted, so that an outage is not amplified', () => {
  const engine = engineWith(6);
  let attempts = 0;
  for (let number = 1; number <= 500; number += 1) {
    const queue = [...dispatches(engine.begin(call(number), at(1)))];
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      attempts += 1;
      queue.push(...dispatches(engine.onFailed(next.attemptId, undefined, at(2))));
    }
  }
  assert.is(attempts, 520);
});

test('a tick concludes only the calls whose deadline has passed, out of 50,000', () => {
  const engine = engineWith(3);
  const count = 50_000;
  for (let number = 1; number <= count; number += 1) {
    engine.begin(call(number, { deadline: deadline + 10 * number }), at(0));
  }
  const concluded = engine.tick(at(deadline + 10)).filter(({ kind }) => kind === 'conclude');
  assert.is(concluded.length, 1);
  assert.is(engine.callsInProgress, count - 1);
});

test('an attempt after a refusal carries its retry reason, which is counted', () => {
  const { commands } = new ScriptedCall(engineWith(3)).play(['refused', 'answered 200']);
  const reasons = dispatches(commands).map(({ retryReason }) => retryReason);
  assert.equal(reasons, [undefined, 'refused-elsewhere']);
});

test.run();
