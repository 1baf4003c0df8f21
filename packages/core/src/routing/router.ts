import { GateState } from '../messages/load-report.js';
import type { LoadReport } from '../messages/load-report.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import { PowerOfChoicesPolicy } from './power-of-choices-policy.js';
import { recordResult } from './record-result.js';
import type { AttemptEnd, RouterContract, Target } from './router-contract.js';
import { zoneView } from './router-options.js';
import type { RouterOptions } from './router-options.js';
import { ServiceTargets } from './service-targets.js';
import { areFailuresUsual, isFailure, judgeResult, restore, shun } from './shun-rule.js';
import { TargetStanding, TargetState } from './target-state.js';

/** Silence after which a gate is asked for its load. */
const probeAfterMilliseconds = 1_000;
/** A service that was not used for this long is not probed. */
const probeWhileUsedMilliseconds = 5_000;
/** Of a node's 4 KB/s for control, membership and configuration take 2.5 KB/s; 3 probes at 200 bytes take 0.6 KB/s. */
const probesPerSecond = 3;
/** Calls that can't be repeated become a trial only when no other did so for this time. */
const avoidedTrialMilliseconds = 1_000;

/** Time over which a new target's share grows when the options state none. */
const defaultRampMilliseconds = 10_000;

/** Chooses the target of each attempt; its cost does not grow with the number of targets. */
export class Router implements RouterContract {
  private readonly states = new Map<string, TargetState>();
  private readonly services = new Map<string, ServiceTargets>();
  /** Services that were chosen from lately, for probes. */
  private readonly used = new Set<ServiceTargets>();
  private readonly policy;
  private probeTokens = probesPerSecond;
  private probeTokensAt = -Infinity;

  public constructor(
    private readonly options: RouterOptions,
    private readonly random: RandomSource,
  ) {
    this.policy = options.policy ?? new PowerOfChoicesPolicy(random, zoneView(options));
  }

  public upsert(target: Target, now: ClockReading): void {
    const known = this.states.get(target.server);
    if (known !== undefined && known.target.incarnation > target.incarnation) return;
    if (known?.target.incarnation === target.incarnation && isSamePlace(known.target, target)) {
      this.update(known, target);
      return;
    }
    if (known !== undefined) this.remove(target.server);
    const state = new TargetState(target, now.monotonic);
    state.standing = target.draining ? TargetStanding.Draining : TargetStanding.Open;
    const ramp = this.options.rampMilliseconds ?? defaultRampMilliseconds;
    state.startRamp(now.monotonic, ramp, false);
    this.states.set(target.server, state);
    const service = this.serviceOf(target.service);
    service.place(state);
    service.probes.push(now.monotonic + probeAfterMilliseconds, state);
  }

  public remove(server: string): void {
    const state = this.states.get(server);
    if (state === undefined) return;
    this.states.delete(server);
    const service = this.serviceOf(state.target.service);
    service.remove(state);
    if (service.size === 0) {
      this.services.delete(state.target.service);
      this.used.delete(service);
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
    this.used.add(targets);
    const state =
      this.dueTrial(targets, excluded, now.monotonic, avoidTrial) ??
      this.policy.select(targets, excluded, now) ??
      targets.otherRegions.draw(this.random, excluded, []) ??
      targets.slow.draw(this.random, excluded, []) ??
      (mayUseFailing(targets) ? targets.failing.draw(this.random, excluded, []) : undefined) ??
      targets.draining.draw(this.random, excluded, []);
    return state?.target;
  }

  public chooseServer(service: string, server: string): Target | undefined {
    const state = this.states.get(server);
    if (state?.target.service !== service || state.standing !== TargetStanding.Open) {
      return undefined;
    }
    return state.hasRoom ? state.target : undefined;
  }

  public sent(server: string): void {
    const state = this.states.get(server);
    if (state === undefined) return;
    state.sentSinceReport += 1;
    state.outstanding += 1;
  }

  public reported(server: string, load: LoadReport, now: ClockReading): void {
    const state = this.states.get(server);
    if (state?.target.service !== load.service) return;
    state.takeReport(load, now.monotonic);
    const service = this.serviceOf(load.service);
    service.reportTaken(state);
    this.followGateState(state, service, now.monotonic);
  }

  public concluded(
    server: string,
    end: AttemptEnd,
    latencyMilliseconds: number,
    now: ClockReading,
  ): void {
    const state = this.states.get(server);
    if (state === undefined) return;
    state.outstanding = Math.max(0, state.outstanding - 1);
    const service = this.serviceOf(state.target.service);
    recordResult(state, service, end, latencyMilliseconds, now.monotonic);
    if (this.options.shunning === false || state.standing === TargetStanding.Draining) return;
    const verdict = judgeResult(state, {
      end,
      latencyMilliseconds,
      medianLatency: service.medianLatency(now.monotonic),
      now: now.monotonic,
      serviceFailureRate: service.failureRate,
    });
    if (verdict === 'keep') return;
    if (verdict === 'shun') this.shun(state, service, isFailure(end), now.monotonic);
    else {
      restore(state, now.monotonic);
      service.place(state);
    }
  }

  public latencyQuantile(service: string, quantile: number): number | undefined {
    return this.services.get(service)?.latencies.quantile(quantile);
  }

  public dueForProbe(now: ClockReading): readonly Target[] {
    this.refillProbeTokens(now.monotonic);
    const due: Target[] = [];
    for (const service of this.used) {
      if (now.monotonic - service.lastChosenAt > probeWhileUsedMilliseconds) {
        this.used.delete(service);
        continue;
      }
      this.collectProbes(service, now.monotonic, due);
    }
    return due;
  }

  public get isProbing(): boolean {
    return this.used.size > 0;
  }

  private collectProbes(service: ServiceTargets, now: number, due: Target[]): void {
    while (this.probeTokens >= 1) {
      const state = service.probes.popDue(now);
      if (state === undefined) return;
      if (!service.has(state)) continue;
      const quietUntil = state.lastHeardAt + probeAfterMilliseconds;
      if (quietUntil > now) {
        service.probes.push(quietUntil, state);
        continue;
      }
      service.probes.push(now + probeAfterMilliseconds, state);
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

  /** A shunned target whose time is over gets one request; its result decides. */
  private dueTrial(
    service: ServiceTargets,
    excluded: ReadonlySet<string>,
    now: number,
    avoidTrial: boolean,
  ): TargetState | undefined {
    const latest = avoidTrial ? now - avoidedTrialMilliseconds : now;
    const first = service.trials.peek();
    if (first === undefined || excluded.has(first.target.server)) return undefined;
    const state = service.trials.popDue(latest);
    if (state === undefined) return undefined;
    if (!service.has(state) || state.standing !== TargetStanding.Shunned) return undefined;
    if (state.trialAt > now) return undefined;
    state.trialSentAt = now;
    state.trialAt = now + state.shunMilliseconds;
    // A trial whose result is lost is followed by another one.
    service.trials.push(state.trialAt, state);
    return state;
  }

  private shun(state: TargetState, service: ServiceTargets, isFailing: boolean, now: number): void {
    state.isFailing = isFailing;
    shun(state, service.failureRate, now);
    service.place(state);
    service.trials.push(state.trialAt, state);
  }

  private followGateState(state: TargetState, service: ServiceTargets, now: number): void {
    const isClosed = state.target.draining || state.report?.state === GateState.Draining;
    if (isClosed && state.standing !== TargetStanding.Draining) {
      state.standing = TargetStanding.Draining;
      service.place(state);
    } else if (!isClosed && state.standing === TargetStanding.Draining) {
      state.standing = TargetStanding.Open;
      service.place(state);
    }
    const isDown = state.report?.state === GateState.Down;
    if (isDown && state.standing === TargetStanding.Open) this.shun(state, service, true, now);
  }

  private update(state: TargetState, target: Target): void {
    const wasDraining = state.target.draining;
    state.target = target;
    if (wasDraining === target.draining) return;
    state.standing = target.draining ? TargetStanding.Draining : TargetStanding.Open;
    this.serviceOf(target.service).place(state);
  }

  private serviceOf(name: string): ServiceTargets {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const created = new ServiceTargets(this.options, this.random);
    this.services.set(name, created);
    return created;
  }
}

function isSamePlace(first: Target, second: Target): boolean {
  return (
    first.service === second.service &&
    first.availabilityZone === second.availabilityZone &&
    first.region === second.region
  );
}

/** A refusal is better for the caller than a target that fails, unless all fail about as often. */
function mayUseFailing(targets: ServiceTargets): boolean {
  return !targets.hasUsable || areFailuresUsual(targets.failureRate);
}
