import { GateState } from '../messages/load-report.js';
import type { LoadReport } from '../messages/load-report.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import { PowerOfChoicesPolicy } from './power-of-choices-policy.js';
import { recordAttemptOutcome } from './record-attempt-outcome.js';
import type { AttemptOutcome, RouterContract, Target } from './router-contract.js';
import { createZoneTopology } from './router-options.js';
import type { RouterOptions } from './router-options.js';
import { ServiceTargets } from './service-targets.js';
import {
  areFailuresServiceWide,
  isFailure,
  evaluateResult,
  restore,
  eject,
} from './outlier-ejection.js';
import { TargetStatus, TargetState } from './target-state.js';

/** Time without a load report after which a gate is probed. */
const probeSilenceMilliseconds = 1_000;
/** Targets of a service that was not used for this long are not probed. */
const probeUsageWindowMilliseconds = 5_000;
/**
 * A node may send 4 KB/s of control traffic. Membership and configuration take 2.5 KB/s, 3 probes per
 * second at 200 bytes take 0.6 KB/s.
 */
const probesPerSecond = 3;
/** A call that can't be sent again becomes a trial only if the trial has been due for this long. */
const trialAvoidanceMilliseconds = 1_000;

/** Time over which the share of a new target grows if the options contain none. */
const defaultRampMilliseconds = 10_000;

/** Chooses the target of each attempt in time that doesn't grow with the number of targets. */
export class Router implements RouterContract {
  private readonly states = new Map<string, TargetState>();
  private readonly services = new Map<string, ServiceTargets>();
  /** Recently used services; only their targets are probed. */
  private readonly recentlyUsedServices = new Set<ServiceTargets>();
  private readonly policy;
  private probeTokens = probesPerSecond;
  private probeTokensAt = -Infinity;

  public constructor(
    private readonly options: RouterOptions,
    private readonly random: RandomSource,
  ) {
    this.policy = options.policy ?? new PowerOfChoicesPolicy(random, createZoneTopology(options));
  }

  public upsert(target: Target, now: ClockReading): void {
    const known = this.states.get(target.server);
    if (known !== undefined && known.target.incarnation > target.incarnation) return;
    if (known?.target.incarnation === target.incarnation && isSameLocation(known.target, target)) {
      this.update(known, target);
      return;
    }
    if (known !== undefined) this.remove(target.server);
    const state = new TargetState(target, now.monotonic);
    state.status = target.draining ? TargetStatus.Draining : TargetStatus.Open;
    const ramp = this.options.rampMilliseconds ?? defaultRampMilliseconds;
    state.startRamp(now.monotonic, ramp, false);
    this.states.set(target.server, state);
    const service = this.getOrCreateService(target.service);
    service.assignPool(state);
    service.probeSchedule.push(now.monotonic + probeSilenceMilliseconds, state);
  }

  public remove(server: string): void {
    const state = this.states.get(server);
    if (state === undefined) return;
    this.states.delete(server);
    const service = this.getOrCreateService(state.target.service);
    service.remove(state);
    if (service.size === 0) {
      this.services.delete(state.target.service);
      this.recentlyUsedServices.delete(service);
    }
  }

  public targets(service: string): readonly Target[] {
    return this.services.get(service)?.list() ?? [];
  }

  public choose(
    service: string,
    excluded: ReadonlySet<string>,
    now: ClockReading,
    avoidTrial = false,
  ): Target | undefined {
    const targets = this.services.get(service);
    if (targets === undefined) return undefined;
    targets.lastChosenAt = now.monotonic;
    this.recentlyUsedServices.add(targets);
    const state =
      this.takeDueTrial(targets, excluded, now.monotonic, avoidTrial) ??
      this.policy.select(targets, excluded, now) ??
      targets.otherRegions.draw(this.random, excluded, []) ??
      targets.ejectedSlow.draw(this.random, excluded, []) ??
      (mayUseFailingTargets(targets)
        ? targets.ejectedFailing.draw(this.random, excluded, [])
        : undefined) ??
      targets.draining.draw(this.random, excluded, []);
    return state?.target;
  }

  public chooseServer(service: string, server: string): Target | undefined {
    const state = this.states.get(server);
    if (state?.target.service !== service || state.status !== TargetStatus.Open) {
      return undefined;
    }
    return state.hasCapacity ? state.target : undefined;
  }

  public onSent(server: string): void {
    const state = this.states.get(server);
    if (state === undefined) return;
    state.sentSinceReport += 1;
    state.outstanding += 1;
  }

  public onLoadReport(server: string, load: LoadReport, now: ClockReading): void {
    const state = this.states.get(server);
    if (state?.target.service !== load.service) return;
    state.applyLoadReport(load, now.monotonic);
    const service = this.getOrCreateService(load.service);
    service.updateReportMeans(state);
    this.applyGateState(state, service, now.monotonic);
  }

  public onAttemptEnded(
    server: string,
    outcome: AttemptOutcome,
    latencyMilliseconds: number,
    now: ClockReading,
  ): void {
    const state = this.states.get(server);
    if (state === undefined) return;
    state.outstanding = Math.max(0, state.outstanding - 1);
    const service = this.getOrCreateService(state.target.service);
    recordAttemptOutcome(state, service, outcome, latencyMilliseconds, now.monotonic);
    if (this.options.outlierEjection === false || state.status === TargetStatus.Draining) return;
    const verdict = evaluateResult(state, {
      outcome,
      latencyMilliseconds,
      medianLatency: service.medianLatency(now.monotonic),
      now: now.monotonic,
      serviceFailureRate: service.failureRate,
    });
    if (verdict === 'keep') return;
    if (verdict === 'shun') this.ejectTarget(state, service, isFailure(outcome), now.monotonic);
    else {
      restore(state, now.monotonic);
      service.assignPool(state);
    }
  }

  public latencyQuantile(service: string, quantile: number): number | undefined {
    return this.services.get(service)?.latencies.quantile(quantile);
  }

  public targetsDueForProbe(now: ClockReading): readonly Target[] {
    this.refillProbeTokens(now.monotonic);
    const due: Target[] = [];
    for (const service of this.recentlyUsedServices) {
      if (now.monotonic - service.lastChosenAt > probeUsageWindowMilliseconds) {
        this.recentlyUsedServices.delete(service);
        continue;
      }
      this.collectProbes(service, now.monotonic, due);
    }
    return due;
  }

  public get isProbing(): boolean {
    return this.recentlyUsedServices.size > 0;
  }

  private collectProbes(service: ServiceTargets, now: number, due: Target[]): void {
    while (this.probeTokens >= 1) {
      const state = service.probeSchedule.popDue(now);
      if (state === undefined) return;
      if (!service.has(state)) continue;
      const nextProbeAt = state.lastContactAt + probeSilenceMilliseconds;
      if (nextProbeAt > now) {
        service.probeSchedule.push(nextProbeAt, state);
        continue;
      }
      service.probeSchedule.push(now + probeSilenceMilliseconds, state);
      this.probeTokens -= 1;
      due.push(state.target);
    }
  }

  private refillProbeTokens(now: number): void {
    const elapsed = Math.max(0, now - this.probeTokensAt);
    this.probeTokens = Math.min(
      probesPerSecond,
      this.probeTokens + (elapsed / 1_000) * probesPerSecond,
    );
    this.probeTokensAt = now;
  }

  /** An ejected target whose ejection time has passed gets one trial request; its result decides. */
  private takeDueTrial(
    service: ServiceTargets,
    excluded: ReadonlySet<string>,
    now: number,
    avoidTrial: boolean,
  ): TargetState | undefined {
    const latest = avoidTrial ? now - trialAvoidanceMilliseconds : now;
    const first = service.trialSchedule.peek();
    if (first === undefined || excluded.has(first.target.server)) return undefined;
    const state = service.trialSchedule.popDue(latest);
    if (state === undefined) return undefined;
    if (!service.has(state) || state.status !== TargetStatus.Shunned) return undefined;
    if (state.nextTrialAt > now) return undefined;
    state.trialSentAt = now;
    state.nextTrialAt = now + state.ejectionMilliseconds;
    // Schedules another trial in case the result of this one is lost.
    service.trialSchedule.push(state.nextTrialAt, state);
    return state;
  }

  private ejectTarget(
    state: TargetState,
    service: ServiceTargets,
    isFailing: boolean,
    now: number,
  ): void {
    state.isFailing = isFailing;
    eject(state, service.failureRate, now);
    service.assignPool(state);
    service.trialSchedule.push(state.nextTrialAt, state);
  }

  private applyGateState(state: TargetState, service: ServiceTargets, now: number): void {
    const isClosed = state.target.draining || state.report?.state === GateState.Draining;
    if (isClosed && state.status !== TargetStatus.Draining) {
      state.status = TargetStatus.Draining;
      service.assignPool(state);
    } else if (!isClosed && state.status === TargetStatus.Draining) {
      state.status = TargetStatus.Open;
      service.assignPool(state);
    }
    const isDown = state.report?.state === GateState.Down;
    if (isDown && state.status === TargetStatus.Open) this.ejectTarget(state, service, true, now);
  }

  private update(state: TargetState, target: Target): void {
    const wasDraining = state.target.draining;
    state.target = target;
    if (wasDraining === target.draining) return;
    state.status = target.draining ? TargetStatus.Draining : TargetStatus.Open;
    this.getOrCreateService(target.service).assignPool(state);
  }

  private getOrCreateService(name: string): ServiceTargets {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const created = new ServiceTargets(this.options, this.random);
    this.services.set(name, created);
    return created;
  }
}

function isSameLocation(first: Target, second: Target): boolean {
  return (
    first.service === second.service &&
    first.availabilityZone === second.availabilityZone &&
    first.region === second.region
  );
}

/**
 * Refusing a call is better for the caller than a failing target, unless the whole service is
 * failing.
 */
function mayUseFailingTargets(targets: ServiceTargets): boolean {
  return !targets.hasUsableTargets || areFailuresServiceWide(targets.failureRate);
}
