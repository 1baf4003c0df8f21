import type { RandomSource } from '../shared/random-source.js';
import { nextInteger } from '../shared/random-source.js';
import type { SelectionPolicy, SelectionScope } from './selection-policy.js';
import type { TargetState } from './target-state.js';

/** Chooses among all targets with equal probability. */
export class RandomPolicy implements SelectionPolicy {
  public readonly name = 'random';

  public constructor(private readonly random: RandomSource) {}

  public select(scope: SelectionScope, excluded: ReadonlySet<string>): TargetState | undefined {
    return scope.region.draw(this.random, excluded, []);
  }
}

/**
 * Cycles through the targets, from a random start so that entries don't send to the same one at
 * once.
 */
export class RoundRobinPolicy implements SelectionPolicy {
  public readonly name = 'round robin';
  private position: number;

  public constructor(random: RandomSource) {
    this.position = nextInteger(random, 1_000);
  }

  public select(scope: SelectionScope, excluded: ReadonlySet<string>): TargetState | undefined {
    const members = scope.region.all;
    for (let step = 0; step <= excluded.size && step < members.length; step += 1) {
      this.position += 1;
      const candidate = members[this.position % members.length];
      if (candidate !== undefined && !excluded.has(candidate.target.server)) return candidate;
    }
    return undefined;
  }
}

/**
 * Chooses the target with the fewest outstanding requests of this entry. It scans all targets and is
 * only a baseline for comparison.
 */
export class LeastInFlightPolicy implements SelectionPolicy {
  public readonly name = 'least in-flight';

  public constructor(private readonly random: RandomSource) {}

  public select(scope: SelectionScope, excluded: ReadonlySet<string>): TargetState | undefined {
    const members = scope.region.all;
    const start = nextInteger(this.random, Math.max(1, members.length));
    let best: TargetState | undefined;
    for (let step = 0; step < members.length; step += 1) {
      const candidate = members[(start + step) % members.length];
      if (candidate === undefined || excluded.has(candidate.target.server)) continue;
      if (best === undefined || candidate.outstanding < best.outstanding) best = candidate;
    }
    return best;
  }
}

/** Chooses the one of two random targets with fewer outstanding requests of this entry. */
export class TwoChoicesPolicy implements SelectionPolicy {
  public readonly name = 'two choices';

  public constructor(private readonly random: RandomSource) {}

  public select(scope: SelectionScope, excluded: ReadonlySet<string>): TargetState | undefined {
    const first = scope.region.draw(this.random, excluded, []);
    if (first === undefined) return undefined;
    const second = scope.region.draw(this.random, excluded, [first]);
    if (second === undefined) return first;
    return second.outstanding < first.outstanding ? second : first;
  }
}
