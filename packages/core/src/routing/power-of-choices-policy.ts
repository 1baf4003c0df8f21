import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { SelectionPolicy, SelectionScope } from './selection-policy.js';
import type { TargetState } from './target-state.js';

/**
 * Half-life of the weight of a load report, as a multiple of the service's median latency and at most
 * 100 ms; the remaining weight goes to the service's mean. Requests in flight turn over within about
 * one latency, and in measurements a half-life of 0.5 latencies gave shorter tails than 1, 2 or 100 ms.
 */
const halfLifeInLatencies = 0.5;
const maximumHalfLifeMilliseconds = 100;
/** Scores that differ by at most this count as equal; the recent latency breaks the tie. */
const scoreTolerance = 1e-6;
/** Reported service times up to this multiple of the service's mean don't change the score. */
const slowdownThreshold = 1.5;
/** Candidates from the entry's own availability zone; the others come from any zone of the region. */
const zoneCandidateCount = 2;
const totalCandidateCount = 3;

/** Parts of the policy that benchmarks switch off one at a time. */
export interface PowerOfChoicesMechanisms {
  readonly ageing: boolean;
  readonly sentSinceReport: boolean;
  readonly zoneCost: boolean;
}

/** The entry's own availability zone and the network delays to the others. */
export interface ZoneTopology {
  readonly availabilityZone: string;
  /** One-way delay to an availability zone in milliseconds; 0 for the entry's own zone. */
  delayTo(availabilityZone: string): number;
}

/**
 * Chooses the least loaded of three random targets, two of them from the entry's availability zone.
 */
export class PowerOfChoicesPolicy implements SelectionPolicy {
  public readonly name = 'power of choices';

  public constructor(
    private readonly random: RandomSource,
    private readonly zones: ZoneTopology,
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
    const candidates = this.drawCandidates(scope, excluded);
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

  private drawCandidates(scope: SelectionScope, excluded: ReadonlySet<string>): TargetState[] {
    const picked: TargetState[] = [];
    for (let draw = 0; draw < zoneCandidateCount && this.mechanisms.zoneCost; draw += 1) {
      const candidate = scope.zone.draw(this.random, excluded, picked);
      if (candidate !== undefined) picked.push(candidate);
    }
    while (picked.length < totalCandidateCount) {
      const candidate = scope.region.draw(this.random, excluded, picked);
      if (candidate === undefined) break;
      picked.push(candidate);
    }
    return picked;
  }

  /** Load including this request, relative to the target's ramped limit, plus the network cost. */
  private score(target: TargetState, scope: SelectionScope, now: number): number {
    const ratio = this.estimatedLoadRatio(target, scope, now);
    const loadScore = (ratio + 1 / target.limit) / target.rampShare(now);
    return loadScore * serviceTimeFactor(target, scope) + this.zoneCost(target, scope);
  }

  /** This entry knows its own load exactly, so only the load of other entries is weighted by age. */
  private estimatedLoadRatio(target: TargetState, scope: SelectionScope, now: number): number {
    const ignoredRequests = this.mechanisms.sentSinceReport ? 0 : target.sentSinceReport;
    const ownRatio = Math.max(0, target.outstanding - ignoredRequests) / target.limit;
    if (!this.mechanisms.ageing) return ownRatio + target.otherEntriesRatio;
    const halfLife = Math.min(
      maximumHalfLifeMilliseconds,
      halfLifeInLatencies * Math.max(1, scope.medianRequestLatency ?? Infinity),
    );
    const decay = 2 ** (-(now - target.reportedAt) / halfLife);
    return ownRatio + decay * target.otherEntriesRatio + (1 - decay) * scope.meanOtherEntriesRatio;
  }

  private zoneCost(target: TargetState, scope: SelectionScope): number {
    if (!this.mechanisms.zoneCost) return 0;
    const delay = this.zones.delayTo(target.target.availabilityZone);
    if (delay <= 0) return 0;
    return delay / Math.max(1, scope.medianRequestLatency ?? 1);
  }
}

/**
 * Service time that the target reports, relative to the service's mean, because the same queue takes
 * longer at a slower target. Smaller differences are noise of the smoothed reports; acting on them
 * costs more than it gains.
 */
function serviceTimeFactor(target: TargetState, scope: SelectionScope): number {
  const latency = target.report?.latencyMilliseconds ?? 0;
  const mean = scope.meanReportedLatency;
  return latency > slowdownThreshold * mean && mean > 0 ? latency / mean : 1;
}
