import { MinimumHeap } from '../shared/minimum-heap.js';
import type { RandomSource } from '../shared/random-source.js';
import { LatencyHistogram } from './latency-histogram.js';
import { RunningMean } from './running-mean.js';
import type { Target } from './router-contract.js';
import type { SelectionScope } from './selection-policy.js';
import { TargetPool } from './target-pool.js';
import { TargetStanding } from './target-state.js';
import type { TargetState } from './target-state.js';

/** Targets whose averages are read for the median; more would cost time without changing it much. */
const medianSampleSize = 31;
const medianIntervalMilliseconds = 250;
/** Weight of the newest result in the service's failure rate: it covers about 50 results. */
const failureWeight = 0.02;
const noneExcluded: ReadonlySet<string> = new Set();

/** Where the entry is. */
export interface EntryLocation {
  readonly availabilityZone: string;
  readonly region: string;
}

/** The targets of one service, sorted into pools by their standing and place. */
export class ServiceTargets implements SelectionScope {
  public readonly region = new TargetPool();
  public readonly zone = new TargetPool();
  public readonly otherRegions = new TargetPool();
  /** Shunned targets that answer, and those that don't. */
  public readonly slow = new TargetPool();
  public readonly failing = new TargetPool();
  public readonly draining = new TargetPool();
  public readonly latencies = new LatencyHistogram();
  /** When to send a trial request to which shunned target; entries may be outdated. */
  public readonly trials = new MinimumHeap<TargetState>();
  /** When to look whether a target needs a probe. */
  public readonly probes = new MinimumHeap<TargetState>();
  public lastChosenAt = -Infinity;
  private readonly members = new Set<TargetState>();
  private readonly othersRatios = new RunningMean();
  private readonly reportedLatencies = new RunningMean();
  /** Recent share of failures among the results of all targets. */
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

  /** Whether any target is likely to answer, even if slowly. */
  public get hasUsable(): boolean {
    return this.region.size + this.otherRegions.size + this.slow.size > 0;
  }

  public get meanOthersRatio(): number {
    return this.othersRatios.mean;
  }

  public get meanReportedLatency(): number {
    return this.reportedLatencies.mean;
  }

  public get typicalLatency(): number | undefined {
    return this.latencies.quantile(0.5);
  }

  public list(): readonly Target[] {
    return [...this.members].map((state) => state.target);
  }

  public has(state: TargetState): boolean {
    return this.members.has(state);
  }

  /** Puts a target into the pools that fit its standing. */
  public place(state: TargetState): void {
    this.removeFromPools(state);
    this.members.add(state);
    if (state.standing === TargetStanding.Draining) this.draining.add(state);
    else if (state.standing === TargetStanding.Shunned) {
      (state.isFailing ? this.failing : this.slow).add(state);
    } else this.placeOpen(state);
  }

  public remove(state: TargetState): void {
    this.removeFromPools(state);
    this.members.delete(state);
    this.othersRatios.remove(state);
    this.reportedLatencies.remove(state);
  }

  /** Keeps the service's means current without a scan. */
  public reportTaken(state: TargetState): void {
    this.othersRatios.set(state, state.othersRatio);
    this.reportedLatencies.set(state, state.report?.latencyMilliseconds ?? 0);
  }

  /**
   * Median of the open targets' average latencies, from a bounded sample and at most each 250 ms. While
   * none is open, the shunned ones that answer are compared with each other: against the last median of
   * open ones, which may come from one short answer, every trial could fail for good.
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
    const pool = this.region.size > 0 ? this.region : this.slow;
    if (pool.size <= medianSampleSize) return pool.all;
    const sample: TargetState[] = [];
    while (sample.length < medianSampleSize) {
      const state = pool.draw(this.random, noneExcluded, []);
      if (state === undefined) break;
      sample.push(state);
    }
    return sample;
  }

  private placeOpen(state: TargetState): void {
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
    this.slow.remove(state);
    this.failing.remove(state);
    this.draining.remove(state);
  }
}
