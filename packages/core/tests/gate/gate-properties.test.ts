import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ExecutionEnd } from '../../src/index.js';
import { GateFixture } from './gate-fixture.js';

const seed = 20_260_801;
const tenants = ['a', 'b', 'c'];

const step = fc.oneof(
  {
    arbitrary: fc.record({
      kind: fc.constant('offer' as const),
      tenant: fc.nat(2),
      within: fc.nat(300),
    }),
    weight: 6,
  },
  {
    arbitrary: fc.record({
      end: fc.constantFrom(...Object.values(ExecutionEnd)),
      kind: fc.constant('finish' as const),
      pick: fc.nat(50),
    }),
    weight: 4,
  },
  fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat(50) }),
  fc.record({ kind: fc.constant('drain' as const), draining: fc.boolean() }),
  fc.record({ kind: fc.constant('poll' as const), healthy: fc.boolean(), inFlight: fc.nat(20) }),
  fc.record({ kind: fc.constant('announce' as const), slots: fc.integer({ max: 8, min: 1 }) }),
  {
    arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.nat(60) }),
    weight: 3,
  },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Applies steps to a gate and checks after each that the gate's counts match its decisions. */
class GateModel {
  private readonly fixture = new GateFixture(4, 200);
  private readonly waiting = new Set<number>();
  private readonly running = new Set<number>();
  private isDraining = false;
  private checkedDecisions = 0;

  public apply(next: Step): void {
    const limitBefore = this.limit();
    const runningBefore = this.running.size;
    const submitted = this.perform(next);
    const started = this.applyDecisions(submitted);
    const load = this.fixture.gate.loadReport(this.fixture.now);
    assert.is(load?.inFlight, this.running.size);
    assert.is(load?.queued, this.waiting.size);
    assert.is(this.fixture.gate.requestCount, this.running.size + this.waiting.size);
    if (started > 0) {
      assert.not(this.isDraining, 'a draining gate started a request');
      const allowed = Math.max(limitBefore, this.limit(), runningBefore);
      const isTrial = load?.state === 'down';
      assert.ok(isTrial || this.running.size <= allowed, 'the limit was exceeded');
    }
    if (this.isDraining) assert.is(this.waiting.size, 0);
  }

  private limit(): number {
    return this.fixture.gate.loadReport(this.fixture.now)?.limit ?? 0;
  }

  private perform(next: Step): number | undefined {
    const { fixture } = this;
    switch (next.kind) {
      case 'offer':
        return fixture.submit({ tenant: tenants[next.tenant] ?? 'a', within: next.within });
      case 'finish': {
        const execution = [...this.running][next.pick % Math.max(1, this.running.size)];
        if (execution === undefined) return undefined;
        this.running.delete(execution);
        fixture.finish(execution, next.end);
        return undefined;
      }
      case 'cancel': {
        const execution = [...this.waiting][next.pick % Math.max(1, this.waiting.size)];
        if (execution !== undefined) assert.ok(fixture.gate.cancelWaiting(execution));
        this.waiting.delete(execution ?? 0);
        return undefined;
      }
      case 'drain':
        this.isDraining = next.draining;
        fixture.record(fixture.gate.setDraining(next.draining, fixture.now));
        return undefined;
      case 'poll':
        fixture.record(fixture.gate.onPolled(next.healthy, next.inFlight, fixture.now));
        return undefined;
      case 'announce':
        fixture.announce(next.slots);
        return undefined;
      case 'wait':
        fixture.time += next.milliseconds;
        fixture.record(fixture.gate.tick(fixture.now));
        return undefined;
    }
  }

  /** Checks that each execution is decided at most once; returns the number of started ones. */
  private applyDecisions(submitted: number | undefined): number {
    if (submitted !== undefined) this.waiting.add(submitted);
    const newDecisions = this.fixture.decisions.slice(this.checkedDecisions);
    this.checkedDecisions = this.fixture.decisions.length;
    for (const decision of newDecisions) {
      assert.ok(this.waiting.delete(decision.executionId), 'decided twice or never submitted');
      if (decision.kind === 'start') this.running.add(decision.executionId);
    }
    return newDecisions.filter((decision) => decision.kind === 'start').length;
  }
}

test('for any order of events the in-flight set is exact and bounded, and each request is decided once', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      const model = new GateModel();
      for (const next of steps) model.apply(next);
    }),
    { numRuns: 300, seed },
  );
});

test.run();
