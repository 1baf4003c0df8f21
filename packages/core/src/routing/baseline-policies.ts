import type { RandomSource } from '../shared/random-source.js';
import { nextInteger } from '../shared/random-source.js';
import type { SelectionPolicy, SelectionScope } from './selection-policy.js';
import type { TargetState } from './target-state.js';

/** Any target with the same probability. */
export class RandomPolicy implements SelectionPolicy {
  public readonly name = 'random';

  public constructor(private readonly random: RandomSource) {}

  public select(scope: SelectionScope, excluded: ReadonlySet<string>): TargetState | undefined {
    return scope.region.draw(this.random, excluded, []);
  }
}

/** One target after the other, from a random start so that entries do not move in step. */
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

/** The target with the fewest requests of this entry. It scans all targets and serves comparison only. */
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

/** The better of two random targets by the requests of this entry. */
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
