import { nextInteger } from '../shared/random-source.js';
import type { RandomSource } from '../shared/random-source.js';
import type { TargetState } from './target-state.js';

/** Random draws before `draw` falls back to stepping through the members from a random index. */
const maximumRandomDraws = 4;

/** Set of targets with insertion, removal and random choice in constant time. */
export class TargetPool {
  private readonly members: TargetState[] = [];
  private readonly positions = new Map<TargetState, number>();

  public get size(): number {
    return this.members.length;
  }

  /** All members, for policies that scan and for infrequent work. */
  public get all(): readonly TargetState[] {
    return this.members;
  }

  public add(target: TargetState): void {
    if (this.positions.has(target)) return;
    this.positions.set(target, this.members.length);
    this.members.push(target);
  }

  public remove(target: TargetState): void {
    const position = this.positions.get(target);
    if (position === undefined) return;
    this.positions.delete(target);
    const last = this.members.pop();
    if (last === undefined || last === target) return;
    this.members[position] = last;
    this.positions.set(last, position);
  }

  /**
   * Returns a random member that is neither excluded nor already picked. The number of steps is
   * bounded by the number of excluded and picked targets, not by the size of the pool.
   */
  public draw(
    random: RandomSource,
    excluded: ReadonlySet<string>,
    picked: readonly TargetState[],
  ): TargetState | undefined {
    const size = this.members.length;
    if (size === 0) return undefined;
    for (let attempt = 0; attempt < maximumRandomDraws; attempt += 1) {
      const candidate = this.members[nextInteger(random, size)];
      if (isAllowed(candidate, excluded, picked)) return candidate;
    }
    const start = nextInteger(random, size);
    const steps = Math.min(size, excluded.size + picked.length + 1);
    for (let step = 0; step < steps; step += 1) {
      const candidate = this.members[(start + step) % size];
      if (isAllowed(candidate, excluded, picked)) return candidate;
    }
    return undefined;
  }
}

function isAllowed(
  candidate: TargetState | undefined,
  excluded: ReadonlySet<string>,
  picked: readonly TargetState[],
): candidate is TargetState {
  return (
    candidate !== undefined && !excluded.has(candidate.target.server) && !picked.includes(candidate)
  );
}
