import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LeaseClock } from '../../src/index.js';
import { unknownSuspensionMilliseconds } from '../../src/tenants/lease-clock.js';

/** A machine whose two clocks the test moves. */
class TestMachine {
  public steady = 1_000;
  public timeOfDay = 1_700_000_000_000.4;
  /** Time that passes between two readings of the steady clock. */
  public readingDelay = 0;
  public readonly leaseClock = new LeaseClock({
    steadyClock: () => {
      this.advance(this.readingDelay);
      return this.steady;
    },
    timeOfDay: () => Math.floor(this.timeOfDay),
  });

  public advance(milliseconds: number): void {
    this.steady += milliseconds;
    this.timeOfDay += milliseconds;
  }

  public elapsedIn(action: () => void): number {
    const before = this.leaseClock.now();
    action();
    return this.leaseClock.now() - before;
  }
}

test('it advances with real time, and the granularity of the time of day makes no difference', () => {
  const machine = new TestMachine();
  const elapsed = machine.elapsedIn(() => {
    for (let count = 0; count < 10_000; count += 1) {
      machine.advance(0.37);
      machine.leaseClock.now();
    }
  });
  assert.ok(elapsed >= 3_700 - 1e-6 && elapsed < 3_710, String(elapsed));
});

test('a suspension, during which the steady clock stops, counts as elapsed time', () => {
  const machine = new TestMachine();
  const elapsed = machine.elapsedIn(() => {
    machine.timeOfDay += 4_000;
  });
  assert.ok(elapsed >= 3_999 && elapsed <= 4_001, String(elapsed));
});

test('a step back of the time of day counts as a suspension of unknown length, once', () => {
  const machine = new TestMachine();
  const stepBack = (): void => {
    machine.timeOfDay -= 50;
  };
  assert.ok(machine.elapsedIn(stepBack) >= unknownSuspensionMilliseconds);
  const elapsed = machine.elapsedIn(() => {
    machine.advance(100);
  });
  assert.ok(elapsed < 102, String(elapsed));
});

test('a time of day that is slewed by 500 ppm is no step back', () => {
  const machine = new TestMachine();
  const elapsed = machine.elapsedIn(() => {
    for (let count = 0; count < 10_000; count += 1) {
      machine.steady += 50;
      machine.timeOfDay += 49.975;
      machine.leaseClock.now();
    }
  });
  assert.ok(elapsed >= 500_000 && elapsed < 501_000, String(elapsed));
});

// A process with a small share of a processor may be interrupted between the readings of the two clocks.
test('an interruption between the readings is neither a suspension nor a step back', () => {
  const machine = new TestMachine();
  const elapsed = machine.elapsedIn(() => {
    machine.readingDelay = 80;
    machine.leaseClock.now();
    machine.readingDelay = 0;
  });
  assert.ok(elapsed >= 479 && elapsed <= 482, String(elapsed));
});

test.run();
