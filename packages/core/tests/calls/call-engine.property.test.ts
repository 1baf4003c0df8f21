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

/** What an observer outside of the engine sees of the attempts. */
class Observer {
  public readonly conclusions = new Map<number, number>();
  public readonly attempts: DispatchCommand[] = [];
  /** Attempts that certainly did not run. */
  public readonly notRun = new Set<number>();
  /** Attempts with any result; only the first result says whether the attempt ran. */
  public readonly ended = new Set<number>();
  /** Attempts of each call that may have run when a further one was dispatched. */
  public readonly overlapping = new Map<number, number>();

  public see(commands: readonly CallCommand[]): void {
    for (const command of commands) {
      if (command.kind === 'conclude') {
        const count = this.conclusions.get(command.callNumber) ?? 0;
        this.conclusions.set(command.callNumber, count + 1);
      }
      if (command.kind === 'dispatch') this.seeDispatch(command);
    }
  }

  private seeDispatch(command: DispatchCommand): void {
    const earlier = this.attempts.filter(
      (each) => each.callNumber === command.callNumber && !this.notRun.has(each.attemptId),
    );
    if (earlier.length > 0) this.overlapping.set(command.callNumber, earlier.length);
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
      observer.see(
        step.result === 'refused'
          ? engine.refused(attemptId, { reason: 'no-slot' }, at(now))
          : engine.notSent(attemptId, false, at(now)),
      );
      return;
    case 'failed':
      observer.ended.add(attemptId);
      observer.see(engine.failed(attemptId, undefined, at(now)));
      return;
    case 'answered':
    case 'error':
      observer.ended.add(attemptId);
      observer.see(
        engine.answered(attemptId, step.result === 'error' ? 503 : 200, undefined, at(now)),
      );
      return;
    case 'admitted':
      engine.admitted(attemptId);
      return;
    case 'peer-lost':
      for (const each of observer.attempts) {
        if (each.target.server === target.server) observer.ended.add(each.attemptId);
      }
      observer.see(engine.peerLost(target.server, at(now)));
  }
}

function run(plans: readonly CallPlan[], steps: readonly Step[], seed: number): Observer {
  const engine = engineWith(4, {}, seed);
  const observer = new Observer();
  let now = 0;
  plans.forEach((plan, index) => {
    const requestClass = plan.isIdempotent ? RequestClass.Idempotent : RequestClass.NonIdempotent;
    const { bodyHeld } = plan;
    observer.see(engine.begin(call(index, { bodyHeld, requestClass }), at(now)));
  });
  for (const step of steps) {
    now += step.pause;
    apply(engine, observer, step, now);
    observer.see(engine.tick(at(now)));
  }
  plans.forEach((plan, index) => {
    if (plan.isAbandoned) observer.see(engine.abandon(index, at(now)));
  });
  observer.see(engine.tick(at(Math.max(now, deadline))));
  assert.is(engine.callsInProgress, 0);
  return observer;
}

const scenario = [
  fc.array(planArbitrary, { maxLength: 6, minLength: 1 }),
  fc.array(stepArbitrary, { maxLength: 60 }),
  fc.integer(),
] as const;

test('every call concludes exactly once, or never after its caller went away', () => {
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
      const { overlapping } = run(plans, steps, seed);
      plans.forEach((plan, index) => {
        if (!plan.isIdempotent) assert.not.ok(overlapping.has(index));
      });
    }),
    { numRuns: 2_000, seed: 22 },
  );
});

test('no call has more than 3 refusals and 2 repeats, whatever the targets do', () => {
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
