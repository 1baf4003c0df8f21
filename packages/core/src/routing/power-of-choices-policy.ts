import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { SelectionPolicy, SelectionScope } from './selection-policy.js';
import type { TargetState } from './target-state.js';

/**
 * A report counts for half after this part of the service's median latency, at most 100 ms; the rest
 * is the service's mean. Requests in flight turn over within about one latency, and in measurements
 * a half-life of 0.5 latencies gave shorter tails than 1, 2 or 100 ms.
 */
const halfLifeInLatencies = 0.5;
const longestHalfLifeMilliseconds = 100;
/** Scores closer than this are equal, and the latency decides. */
const scoreTolerance = 1e-6;
/** Reported service times up to this multiple of the service's mean count as equal. */
const slownessThreshold = 1.5;
/** Candidates from the own availability zone; one more comes from any. */
const zoneCandidates = 2;
const allCandidates = 3;

/** Mechanisms of the policy that measurements switch off one at a time. */
export interface PowerOfChoicesMechanisms {
  readonly ageing: boolean;
  readonly sentSinceReport: boolean;
  readonly zoneCost: boolean;
}

/** Where the entry is, and what it costs to reach other availability zones. */
export interface ZoneView {
  readonly availabilityZone: string;
  /** One-way delay to an availability zone; 0 for the own one. */
  delayTo(availabilityZone: string): number;
}

/** Compares three random targets, two of them from the own availability zone, by their estimated load. */
export class PowerOfChoicesPolicy implements SelectionPolicy {
  public readonly name = 'power of choices';

  public constructor(
    private readonly random: RandomSource,
    private readonly zones: ZoneView,
    private readonly mechanisms: PowerOfChoicesMechanisms = {
      ageing: true,
      sentSinceReport: true,
      zoneCost: true,
    },
  ) {}

  public select(
    scope: SelectionScope,
    excluded: ReadonlySet<string>,
    now: ClockReading,
  ): TargetState | undefined {
    const time = now.monotonic;
    const candidates = this.candidates(scope, excluded);
    let best: TargetState | undefined;
    let bestScore = Infinity;
    for (const candidate of candidates) {
      const score = this.score(candidate, scope, time);
      const isBetter =
        Math.abs(score - bestScore) <= scoreTolerance
          ? (candidate.recentLatency(time) ?? 0) < (best?.recentLatency(time) ?? 0)
          : score < bestScore;
      if (best === undefined || isBetter) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  private candidates(scope: SelectionScope, excluded: ReadonlySet<string>): TargetState[] {
    const picked: TargetState[] = [];
    for (let draw = 0; draw < zoneCandidates && this.mechanisms.zoneCost; draw += 1) {
      const candidate = scope.zone.draw(this.random, excluded, picked);
      if (candidate !== undefined) picked.push(candidate);
    }
    while (picked.length < allCandidates) {
      const candidate = scope.region.draw(this.random, excluded, picked);
      if (candidate === undefined) break;
      picked.push(candidate);
    }
    return picked;
  }

  /** Load with this request relative to what the target may get, plus the cost of the way there. */
  private score(target: TargetState, scope: SelectionScope, now: number): number {
    const ratio = this.estimatedRatio(target, scope, now);
    const loadScore = (ratio + 1 / target.limit) / target.share(now);
    return loadScore * slowness(target, scope) + this.zoneCost(target, scope);
  }

  /** This entry's own part of the load is known exactly, so only the part of the others ages. */
  private estimatedRatio(target: TargetState, scope: SelectionScope, now: number): number {
    const unknown = this.mechanisms.sentSinceReport ? 0 : target.sentSinceReport;
    const ownRatio = Math.max(0, target.outstanding - unknown) / target.limit;
    if (!this.mechanisms.ageing) return ownRatio + target.othersRatio;
    const halfLife = Math.min(
      longestHalfLifeMilliseconds,
      halfLifeInLatencies * Math.max(1, scope.typicalLatency ?? Infinity),
    );
    const freshness = 2 ** (-(now - target.reportedAt) / halfLife);
    return ownRatio + freshness * target.othersRatio + (1 - freshness) * scope.meanOthersRatio;
  }

  private zoneCost(target: TargetState, scope: SelectionScope): number {
    if (!this.mechanisms.zoneCost) return 0;
    const delay = this.zones.delayTo(target.target.availabilityZone);
    if (delay <= 0) return 0;
    return delay / Math.max(1, scope.typicalLatency ?? 1);
  }
}

/**
 * Service time that the target reports relative to the service's mean: the same queue takes longer
 * there. Smaller differences are noise of the smoothed reports and cost more than they tell.
 */
function slowness(target: TargetState, scope: SelectionScope): number {
  const latency = target.report?.latencyMilliseconds ?? 0;
  const mean = scope.meanReportedLatency;
  return latency > slownessThreshold * mean && mean > 0 ? latency / mean : 1;
}
