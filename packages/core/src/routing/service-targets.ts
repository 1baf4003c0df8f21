import { MinimumHeap } from '../shared/minimum-heap.js';
import type { RandomSource } from '../shared/random-source.js';
import { LatencyHistogram } from './latency-histogram.js';
import { RunningMean } from './running-mean.js';
import type { Target } from './router-contract.js';
import type { SelectionScope } from './selection-policy.js';
import { TargetPool } from './target-pool.js';
import { TargetStatus } from './target-state.js';
import type { TargetState } from './target-state.js';

/** Targets sampled for the median latency; more would cost time and change the median little. */
const medianSampleSize = 31;
const medianIntervalMilliseconds = 250;
/** Weight of the newest result in the service's failure rate: it covers about 50 results. */
const failureWeight = 0.02;
const noExclusions: ReadonlySet<string> = new Set();

/** Availability zone and region of the entry. */
export interface EntryLocation {
  readonly availabilityZone: string;
  readonly region: string;
}

/** The targets of one service, in pools by status and location. */
export class ServiceTargets implements SelectionScope {
  public readonly region = new TargetPool();
  public readonly zone = new TargetPool();
  public readonly otherRegions = new TargetPool();
  /** Ejected targets that answer, but too slowly. */
  public readonly ejectedSlow = new TargetPool();
  /** Ejected targets that fail or can't be reached. */
  public readonly ejectedFailing = new TargetPool();
  public readonly draining = new TargetPool();
  public readonly latencies = new LatencyHistogram();
  /** Times of the trial requests to ejected targets; entries may be outdated. */
  public readonly trialSchedule = new MinimumHeap<TargetState>();
  /** Times at which to check whether a target needs a probe. */
  public readonly probeSchedule = new MinimumHeap<TargetState>();
  public lastChosenAt = -Infinity;
  private readonly members = new Set<TargetState>();
  private readonly otherEntriesRatios = new RunningMean();
  private readonly reportedLatencies = new RunningMean();
  /** Moving average of the share of failures among the results of all targets. */
  public failureRate = 0;
  private median: number | undefined;
  private medianAt = -Infinity;

  public constructor(
    private readonly location: EntryLocation,
    private readonly random: RandomSource,
  ) {}

  public get size(): number {
    return this.members.size;
  }

  /** Whether any target is likely to answer, possibly slowly. */
  public get hasUsableTargets(): boolean {
    return this.region.size + this.otherRegions.size + this.ejectedSlow.size > 0;
  }

  public get meanOtherEntriesRatio(): number {
    return this.otherEntriesRatios.mean;
  }

  public get meanReportedLatency(): number {
    return this.reportedLatencies.mean;
  }

  public get medianRequestLatency(): number | undefined {
    return this.latencies.quantile(0.5);
  }

  public list(): readonly Target[] {
    return [...this.members].map((state) => state.target);
  }

  public has(state: TargetState): boolean {
    return this.members.has(state);
  }

  /** Puts a target into the pools for its status, kind of ejection and location. */
  public assignPool(state: TargetState): void {
    this.removeFromPools(state);
    this.members.add(state);
    if (state.status === TargetStatus.Draining) this.draining.add(state);
    else if (state.status === TargetStatus.Shunned) {
      (state.isFailing ? this.ejectedFailing : this.ejectedSlow).add(state);
    } else this.assignOpenPool(state);
  }

  public remove(state: TargetState): void {
    this.removeFromPools(state);
    this.members.delete(state);
    this.otherEntriesRatios.remove(state);
    this.reportedLatencies.remove(state);
  }

  /** Updates the service's means after a load report, in constant time. */
  public updateReportMeans(state: TargetState): void {
    this.otherEntriesRatios.set(state, state.otherEntriesRatio);
    this.reportedLatencies.set(state, state.report?.latencyMilliseconds ?? 0);
  }

  /**
   * Median of the average latencies of the open targets, from a bounded sample and updated at most every
   * 250 ms. While no target is open, the median of the ejected slow targets is used. If it stayed at the
   * last median of open targets, which may come from a single fast answer, every trial request to an
   * ejected target could count as slow and no target would ever be restored.
   */
  public medianLatency(now: number): number | undefined {
    if (now - this.medianAt < medianIntervalMilliseconds) return this.median;
    this.medianAt = now;
    const latencies = this.sample().flatMap((state) =>
      state.latency === undefined ? [] : [state.latency],
    );
    latencies.sort((first, second) => first - second);
    this.median = latencies[Math.floor((latencies.length - 1) / 2)] ?? this.median;
    return this.median;
  }

  public recordOutcome(isFailure: boolean): void {
    this.failureRate += failureWeight * ((isFailure ? 1 : 0) - this.failureRate);
  }

  private sample(): readonly TargetState[] {
    const pool = this.region.size > 0 ? this.region : this.ejectedSlow;
    if (pool.size <= medianSampleSize) return pool.all;
    const sample: TargetState[] = [];
    while (sample.length < medianSampleSize) {
      const state = pool.draw(this.random, noExclusions, []);
      if (state === undefined) break;
      sample.push(state);
    }
    return sample;
  }

  private assignOpenPool(state: TargetState): void {
    if (state.target.region !== this.location.region) {
      this.otherRegions.add(state);
      return;
    }
    this.region.add(state);
    if (state.target.availabilityZone === this.location.availabilityZone) this.zone.add(state);
  }

  private removeFromPools(state: TargetState): void {
    this.region.remove(state);
    this.zone.remove(state);
    this.otherRegions.remove(state);
    this.ejectedSlow.remove(state);
    this.ejectedFailing.remove(state);
    this.draining.remove(state);
  }
}
