import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RequestClass } from '../../src/index.js';
import type { CallCommand, CallEngine, DispatchCommand } from '../../src/index.js';
import { at } from '../routing/setup.js';
import { call, deadline, engineWith } from './setup.js';

type Result = 'refused' | 'failed' | 'not-sent' | 'answered' | 'error' | 'admitted' | 'peer-lost';

interface Step {
  readonly pick: number;
  readonly result: Result;
  readonly pause: number;
}

interface CallPlan {
  readonly isIdempotent: boolean;
  readonly bodyHeld: boolean;
  readonly isAbandoned: boolean;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  pause: fc.integer({ max: 40, min: 0 }),
  pick: fc.nat(1_000),
  result: fc.constantFrom<Result[]>(
    'refused',
    'failed',
    'not-sent',
    'answered',
    'error',
    'admitted',
    'peer-lost',
  ),
});

const planArbitrary: fc.Arbitrary<CallPlan> = fc.record({
  bodyHeld: fc.boolean(),
  isAbandoned: fc.boolean(),
  isIdempotent: fc.boolean(),
});

/** Records the commands of the engine and the results given to its attempts. */
class Observer {
  public readonly conclusions = new Map<number, number>();
  public readonly attempts: DispatchCommand[] = [];
  /** Attempts that certainly did not run. */
  public readonly notRun = new Set<number>();
  /** Attempts with any result; only the first result shows whether the attempt ran. */
  public readonly ended = new Set<number>();
  /** Per call, the attempts that may have run when another one was dispatched. */
  public readonly overlappingAttempts = new Map<number, number>();

  public onCommands(commands: readonly CallCommand[]): void {
    for (const command of commands) {
      if (command.kind === 'conclude') {
        const count = this.conclusions.get(command.callNumber) ?? 0;
        this.conclusions.set(command.callNumber, count + 1);
      }
      if (command.kind === 'dispatch') this.onDispatch(command);
    }
  }

  private onDispatch(command: DispatchCommand): void {
    const earlier = this.attempts.filter(
      (each) => each.callNumber === command.callNumber && !this.notRun.has(each.attemptId),
    );
    if (earlier.length > 0) this.overlappingAttempts.set(command.callNumber, earlier.length);
    this.attempts.push(command);
  }
}

function apply(engine: CallEngine, observer: Observer, step: Step, now: number): void {
  const attempt = observer.attempts[step.pick % Math.max(1, observer.attempts.length)];
  if (attempt === undefined) return;
  const { attemptId, target } = attempt;
  switch (step.result) {
    case 'refused':
    case 'not-sent':
      if (!observer.ended.has(attemptId)) observer.notRun.add(attemptId);
      observer.ended.add(attemptId);
      observer.onCommands(
        step.result === 'refused'
          ? engine.onRefused(attemptId, { reason: 'no-slot' }, at(now))
          : engine.onNotSent(attemptId, false, at(now)),
      );
      return;
    case 'failed':
      observer.ended.add(attemptId);
      observer.onCommands(engine.onFailed(attemptId, undefined, at(now)));
      return;
    case 'answered':
    case 'error':
      observer.ended.add(attemptId);
      observer.onCommands(
        engine.onAnswered(attemptId, step.result === 'error' ? 503 : 200, undefined, at(now)),
      );
      return;
    case 'admitted':
      engine.onAdmitted(attemptId);
      return;
    case 'peer-lost':
      for (const each of observer.attempts) {
        if (each.target.server === target.server) observer.ended.add(each.attemptId);
      }
      observer.onCommands(engine.onPeerLost(target.server, at(now)));
  }
}

function run(plans: readonly CallPlan[], steps: readonly Step[], seed: number): Observer {
  const engine = engineWith(4, {}, seed);
  const observer = new Observer();
  let now = 0;
  plans.forEach((plan, index) => {
    const requestClass = plan.isIdempotent ? RequestClass.Idempotent : RequestClass.NonIdempotent;
    const { bodyHeld } = plan;
    observer.onCommands(
      engine.begin(call(index, { isBodyReplayable: bodyHeld, requestClass }), at(now)),
    );
  });
  for (const step of steps) {
    now += step.pause;
    apply(engine, observer, step, now);
    observer.onCommands(engine.tick(at(now)));
  }
  plans.forEach((plan, index) => {
    if (plan.isAbandoned) observer.onCommands(engine.onCallerDisconnected(index, at(now)));
  });
  observer.onCommands(engine.tick(at(Math.max(now, deadline))));
  assert.is(engine.callsInProgress, 0);
  return observer;
}

const scenario = [
  fc.array(planArbitrary, { maxLength: 6, minLength: 1 }),
  fc.array(stepArbitrary, { maxLength: 60 }),
  fc.integer(),
] as const;

test('every call concludes exactly once, or at most once if its caller disconnects', () => {
  fc.assert(
    fc.property(...scenario, (plans, steps, seed) => {
      const { conclusions } = run(plans, steps, seed);
      plans.forEach((plan, index) => {
        const count = conclusions.get(index) ?? 0;
        assert.ok(plan.isAbandoned ? count <= 1 : count === 1, `${count} conclusions`);
      });
    }),
    { numRuns: 2_000, seed: 21 },
  );
});

test('a non-idempotent call never has two attempts that may have run', () => {
  fc.assert(
    fc.property(...scenario, (plans, steps, seed) => {
      const { overlappingAttempts } = run(plans, steps, seed);
      plans.forEach((plan, index) => {
        if (!plan.isIdempotent) assert.not.ok(overlappingAttempts.has(index));
      });
    }),
    { numRuns: 2_000, seed: 22 },
  );
});

test('no call has more than 5 attempts (3 refusals and 2 budgeted retries), whatever the targets do', () => {
  fc.assert(
    fc.property(...scenario, (plans, steps, seed) => {
      const { attempts } = run(plans, steps, seed);
      plans.forEach((_, index) => {
        const count = attempts.filter(({ callNumber }) => callNumber === index).length;
        assert.ok(count <= 5, `${count} attempts`);
      });
    }),
    { numRuns: 1_000, seed: 23 },
  );
});

test.run();
