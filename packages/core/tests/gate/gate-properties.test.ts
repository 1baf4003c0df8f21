import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ExecutionEnd } from '../../src/index.js';
import { GateBench } from './gate-setup.js';

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

/** Replays steps and checks after each that the gate's own counts agree with its decisions. */
class Replay {
  private readonly bench = new GateBench(4, 200);
  private readonly waiting = new Set<number>();
  private readonly running = new Set<number>();
  private draining = false;
  private seen = 0;

  public apply(next: Step): void {
    const limitBefore = this.limit();
    const runningBefore = this.running.size;
    const offered = this.perform(next);
    const started = this.collect(offered);
    const load = this.bench.gate.load(this.bench.now);
    assert.is(load?.inFlight, this.running.size);
    assert.is(load?.queued, this.waiting.size);
    assert.is(this.bench.gate.occupied, this.running.size + this.waiting.size);
    if (started > 0) {
      assert.not(this.draining, 'a draining gate started a request');
      const allowed = Math.max(limitBefore, this.limit(), runningBefore);
      const isTrial = load?.state === 'down';
      assert.ok(isTrial || this.running.size <= allowed, 'the limit was exceeded');
    }
    if (this.draining) assert.is(this.waiting.size, 0);
  }

  private limit(): number {
    return this.bench.gate.load(this.bench.now)?.limit ?? 0;
  }

  private perform(next: Step): number | undefined {
    const { bench } = this;
    switch (next.kind) {
      case 'offer':
        return bench.offer({ tenant: tenants[next.tenant] ?? 'a', within: next.within });
      case 'finish': {
        const execution = [...this.running][next.pick % Math.max(1, this.running.size)];
        if (execution === undefined) return undefined;
        this.running.delete(execution);
        bench.finish(execution, next.end);
        return undefined;
      }
      case 'cancel': {
        const execution = [...this.waiting][next.pick % Math.max(1, this.waiting.size)];
        if (execution !== undefined) assert.ok(bench.gate.cancelWaiting(execution));
        this.waiting.delete(execution ?? 0);
        return undefined;
      }
      case 'drain':
        this.draining = next.draining;
        bench.add(bench.gate.setDraining(next.draining, bench.now));
        return undefined;
      case 'poll':
        bench.add(bench.gate.polled(next.healthy, next.inFlight, bench.now));
        return undefined;
      case 'announce':
        bench.announce(next.slots);
        return undefined;
      case 'wait':
        bench.time += next.milliseconds;
        bench.add(bench.gate.tick(bench.now));
        return undefined;
    }
  }

  /** Every execution is decided at most once; undecided ones wait. */
  private collect(offered: number | undefined): number {
    if (offered !== undefined) this.waiting.add(offered);
    const fresh = this.bench.decisions.slice(this.seen);
    this.seen = this.bench.decisions.length;
    for (const decision of fresh) {
      assert.ok(this.waiting.delete(decision.executionId), 'decided twice or never offered');
      if (decision.kind === 'start') this.running.add(decision.executionId);
    }
    return fresh.filter((decision) => decision.kind === 'start').length;
  }
}

test('in any order of events the in-flight set is exact, bounded, and each request decided once', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      const replay = new Replay();
      for (const next of steps) replay.apply(next);
    }),
    { numRuns: 300, seed },
  );
});

test.run();
