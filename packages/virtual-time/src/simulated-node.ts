import {
  CallEngine,
  ExecutionEnd,
  Gate,
  PollScheduler,
  Router,
  SeededRandomSource,
  defaultPollSettings,
  serviceDefaults,
} from '@peridotspring/core';
import type {
  ConcurrencyLimit,
  GateDecision,
  LoadReport,
  Refusal,
  RouterOptions,
  ServiceConfiguration,
  Target,
} from '@peridotspring/core';
import type { Deployment, DeploymentService } from './deployment.js';
import type { EventQueue } from './event-queue.js';
import { UpstreamModel } from './upstream-model.js';
import { Mechanism } from './variant.js';
import type { Variant } from './variant.js';

/** How an attempt ended at the gate, as its sender is told. */
export type GateReply =
  | { readonly kind: 'answered'; readonly load: LoadReport }
  | { readonly kind: 'failed'; readonly load: LoadReport }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

interface Execution {
  readonly work: number;
  readonly reply: (reply: GateReply) => void;
}

/** Place and service of a node. */
export interface NodePlace {
  readonly index: number;
  /** Position among the servers of its service. */
  readonly serverIndex: number;
  readonly service: DeploymentService;
  readonly availabilityZone: string;
}

/** A node with its gate, upstream, router and call engine, driven in virtual time. */
export class SimulatedNode {
  public readonly target: Target;
  public readonly router: Router;
  public readonly engine: CallEngine;
  public readonly upstream: UpstreamModel;
  public started = 0;
  private readonly gate: Gate;
  private readonly polls = new PollScheduler();
  private readonly executions = new Map<number, Execution>();
  private lastExecution = 0;

  public constructor(
    private readonly events: EventQueue,
    private readonly deployment: Deployment,
    public readonly place: NodePlace,
    private readonly variant: Variant,
    seed: number,
  ) {
    const random = new SeededRandomSource(seed * 101 + place.index);
    const options = routerOptions(deployment, place, variant);
    const policy = variant.createPolicy(options, random);
    this.router = new Router({ ...options, policy }, random);
    this.engine = new CallEngine(this.router);
    this.upstream = new UpstreamModel(events, random, deployment.slotsPerServer);
    this.gate = createGate(variant);
    this.target = {
      availabilityZone: place.availabilityZone,
      draining: false,
      incarnation: 1,
      peerAddress: `${place.service.name}-${place.serverIndex}:1`,
      region: deployment.region,
      server: `${place.service.name}-${place.serverIndex}`,
      service: place.service.name,
      slots: deployment.slotsPerServer,
    };
    for (const service of deployment.services) {
      this.engine.configure(configurationOf(service.name, variant));
    }
  }

  /** Announces the upstream. A warm one has its whole limit at once. */
  public announce(isWarm: boolean): void {
    const now = this.events.now;
    const configuration = configurationOf(this.place.service.name, this.variant);
    const { slotsPerServer } = this.deployment;
    this.gate.configure(isWarm ? { ...configuration, rampMilliseconds: 0 } : configuration, now);
    const announcement = { address: 'upstream:1', connections: 250, service: this.target.service };
    this.gate.announce({ ...announcement, slots: slotsPerServer }, now);
    // The first reading ends a ramp of no length, so that the configured one does not apply to it.
    this.gate.loadReport(now);
    this.gate.configure(configuration, now);
    this.polls.setSlots(slotsPerServer, now);
  }

  public drain(): void {
    this.carryOut(this.gate.setDraining(true, this.events.now));
  }

  /** A request arrives at the gate. Returns the identifier by which it can be cancelled. */
  public offer(
    tenant: string,
    deadline: number,
    work: number,
    reply: (reply: GateReply) => void,
  ): number {
    this.lastExecution += 1;
    const executionId = this.lastExecution;
    this.executions.set(executionId, { reply, work });
    const isSharing = this.variant.without !== Mechanism.FairShare;
    const service = this.target.service;
    const request = { deadline, executionId, service, tenant: isSharing ? tenant : 'all' };
    this.carryOut(this.gate.submit(request, this.events.now));
    return executionId;
  }

  public cancel(executionId: number): void {
    if (!this.executions.delete(executionId)) return;
    if (this.gate.cancelWaiting(executionId) || !this.upstream.cancel(executionId)) return;
    this.carryOut(this.gate.onFinished(executionId, ExecutionEnd.Cancelled, this.events.now));
  }

  public load(): LoadReport | undefined {
    return this.gate.loadReport(this.events.now);
  }

  /** What the gate does at a tick, polls included. */
  public tick(): void {
    const now = this.events.now;
    this.carryOut(this.gate.tick(now));
    if (!this.polls.tryStartPoll(now)) return;
    const duration = defaultPollSettings.requestMilliseconds * defaultPollSettings.requestsPerPoll;
    const result = this.upstream.poll(duration, this.place.serverIndex);
    this.events.after(duration, () => {
      this.polls.onPollFinished();
      this.carryOut(this.gate.onPolled(result.healthy, result.inFlight, this.events.now));
    });
  }

  /** Slot-time that polls have taken. */
  public get pollSlotMilliseconds(): number {
    return this.polls.budget(this.events.now).spentSlotMilliseconds;
  }

  private carryOut(decisions: readonly GateDecision[]): void {
    for (const decision of decisions) {
      const execution = this.executions.get(decision.executionId);
      if (execution === undefined) continue;
      if (decision.kind === 'refuse') {
        this.executions.delete(decision.executionId);
        execution.reply({ kind: 'refused', refusal: decision.refusal });
      } else {
        this.start(decision.executionId, execution);
      }
    }
  }

  private start(executionId: number, execution: Execution): void {
    this.started += 1;
    this.upstream.start(executionId, execution.work, (end) => {
      this.executions.delete(executionId);
      const decisions = this.gate.onFinished(executionId, end, this.events.now);
      const load = this.gate.loadReport(this.events.now);
      const kind = end === ExecutionEnd.Answered ? 'answered' : 'failed';
      if (load !== undefined) execution.reply({ kind, load });
      this.carryOut(decisions);
    });
  }
}

function createGate(variant: Variant): Gate {
  if (variant.without !== Mechanism.ConcurrencyLimit) return new Gate();
  return new Gate(undefined, new AnnouncedLimit());
}

/** Believes the announced slots. */
class AnnouncedLimit implements ConcurrencyLimit {
  public limit = 1;

  public setSlots(slots: number): void {
    this.limit = slots;
  }

  public onAnswered(): void {
    // The limit does not follow the latency.
  }
}

function configurationOf(name: string, variant: Variant): ServiceConfiguration {
  const { without } = variant;
  const unlimited = { retryBudgetMaximum: 1e9, retryBudgetRatio: 1 };
  return {
    ...serviceDefaults,
    ...(without === Mechanism.RetryBudget ? unlimited : {}),
    hedging: without !== Mechanism.Hedging,
    name,
    rampMilliseconds: without === Mechanism.Ramp ? 0 : serviceDefaults.rampMilliseconds,
  };
}

function routerOptions(deployment: Deployment, place: NodePlace, variant: Variant): RouterOptions {
  const delay = deployment.zoneDelayMilliseconds;
  const zoneDelays = deployment.availabilityZones.map((zone) => [zone, delay] as const);
  const ramp = variant.without === Mechanism.Ramp ? { rampMilliseconds: 0 } : {};
  return {
    ...ramp,
    availabilityZone: place.availabilityZone,
    region: deployment.region,
    outlierEjection: variant.shunning,
    zoneDelays: Object.fromEntries(zoneDelays),
  };
}
