import { nextInteger, RequestClass, SeededRandomSource } from '@peridotspring/core';
import type { CallCommand, CallOutcome, ClockReading, DispatchCommand } from '@peridotspring/core';
import type { Deployment } from './deployment.js';
import { EventQueue } from './event-queue.js';
import { RunResult } from './run-result.js';
import { endMilliseconds, Fault, turnMilliseconds, warmUpMilliseconds } from './scenario.js';
import type { Scenario } from './scenario.js';
import { SimulatedNode } from './simulated-node.js';
import type { GateReply } from './simulated-node.js';
import { attemptWork, createTrace, noisyTenant } from './trace.js';
import type { TraceRequest } from './trace.js';
import type { Variant } from './variant.js';

const tickMilliseconds = 10;
/** One-way delays that the design does not state. */
const sameNodeMilliseconds = 0.05;
const sameZoneMilliseconds = 0.25;
const deadlineMilliseconds = 2_000;
/** Routers exist and know their targets long before the run. */
const longAgo: ClockReading = { monotonic: -60_000, wall: -60_000 };
/** Within this time the other nodes learn of a joining or draining server. */
const slowestNewsMilliseconds = 500;

interface SimulatedCall {
  readonly request: TraceRequest;
  readonly engineNode: SimulatedNode;
  readonly returnMilliseconds: number;
  attempts: number;
}

/** One run: a deployment under a scenario with one variant of the policy. */
export class Simulation {
  private readonly events = new EventQueue();
  private readonly nodes: readonly SimulatedNode[];
  private readonly byServer: ReadonlyMap<string, SimulatedNode>;
  private readonly calls = new Map<number, SimulatedCall>();
  private readonly executions = new Map<string, number>();
  private readonly result = new RunResult();
  private readonly random: SeededRandomSource;
  private lastCall = 0;

  public constructor(
    private readonly deployment: Deployment,
    private readonly scenario: Scenario,
    private readonly variant: Variant,
    private readonly seed: number,
  ) {
    this.random = new SeededRandomSource(seed);
    this.nodes = this.createNodes();
    this.byServer = new Map(this.nodes.map((node) => [node.target.server, node]));
  }

  /** Runs the trace to its end and returns what was counted. */
  public run(): RunResult {
    for (const node of this.nodes) this.startNode(node);
    this.events.after(turnMilliseconds, () => {
      this.turn();
    });
    this.nextArrival(createTrace(this.deployment, this.scenario, this.seed), 0);
    this.events.runUntil(endMilliseconds + deadlineMilliseconds);
    for (const node of this.nodes) {
      this.result.started += node.started;
      this.result.pollSlotMilliseconds += node.pollSlotMilliseconds;
      this.result.slotMilliseconds += this.deployment.slotsPerServer * this.events.now.monotonic;
    }
    return this.result;
  }

  private createNodes(): readonly SimulatedNode[] {
    const nodes: SimulatedNode[] = [];
    const zones = this.deployment.availabilityZones;
    for (const service of this.deployment.services) {
      for (let serverIndex = 0; serverIndex < service.servers; serverIndex += 1) {
        const index = nodes.length;
        const availabilityZone = zones[index % zones.length] ?? '';
        const place = { availabilityZone, index, serverIndex, service };
        nodes.push(new SimulatedNode(this.events, this.deployment, place, this.variant, this.seed));
      }
    }
    return nodes;
  }

  private startNode(node: SimulatedNode): void {
    const joinsLater = this.isFaulty(node) && this.scenario.fault === Fault.Cold;
    if (!joinsLater) {
      node.announce(true);
      for (const other of this.nodes) other.router.upsert(node.target, longAgo);
    }
    const tick = (): void => {
      this.carryOut(node, node.engine.tick(this.events.now));
      node.tick();
      this.probe(node);
      this.events.after(tickMilliseconds, tick);
    };
    this.events.after(this.random.next() * tickMilliseconds, tick);
  }

  /** Whether the scenario's fault is at this node. */
  private isFaulty(node: SimulatedNode): boolean {
    switch (this.scenario.fault) {
      case Fault.None:
        return false;
      case Fault.AllSlow:
      case Fault.HalfFail:
      case Fault.LyingEndpoints:
        return true;
      case Fault.Cold:
      case Fault.Draining:
      case Fault.FailingFast:
      case Fault.Overstated:
      case Fault.Slow:
        return node.place.serverIndex === 0;
    }
  }

  private turn(): void {
    const { fault } = this.scenario;
    for (const node of this.nodes.filter((each) => this.isFaulty(each))) {
      node.upstream.fault = fault;
      if (fault === Fault.Cold) node.announce(false);
      if (fault === Fault.Draining) node.drain();
      if (fault !== Fault.Cold && fault !== Fault.Draining) continue;
      const target = { ...node.target, draining: fault === Fault.Draining };
      for (const other of this.nodes) {
        this.events.after(nextInteger(this.random, slowestNewsMilliseconds), () => {
          other.router.upsert(target, this.events.now);
        });
      }
    }
  }

  private nextArrival(trace: readonly TraceRequest[], index: number): void {
    const request = trace[index];
    if (request === undefined) return;
    this.events.after(Math.max(0, request.time - this.events.now.monotonic), () => {
      this.nextArrival(trace, index + 1);
      this.arrive(request);
    });
  }

  /** A non-idempotent call runs at its key's home, which tries its own server first. */
  private arrive(request: TraceRequest): void {
    const entry = this.nodes[request.entry];
    const home = this.byServer.get(`${request.service.name}-${request.home}`);
    const isKeyed = request.service.requestClass === RequestClass.NonIdempotent;
    const engineNode = isKeyed ? home : entry;
    if (entry === undefined || engineNode === undefined) return;
    const delay = isKeyed ? this.delay(entry, engineNode) : 0;
    const returnMilliseconds = delay + this.deployment.clientDelayMilliseconds;
    this.events.after(returnMilliseconds, () => {
      this.begin({ attempts: 0, engineNode, request, returnMilliseconds });
    });
  }

  private begin(call: SimulatedCall): void {
    this.lastCall += 1;
    const callNumber = this.lastCall;
    const { engineNode, request } = call;
    const { name, requestClass } = request.service;
    const isKeyed = requestClass === RequestClass.NonIdempotent;
    this.calls.set(callNumber, call);
    const commands = engineNode.engine.begin(
      {
        isBodyReplayable: true,
        callNumber,
        deadline: this.events.now.monotonic + deadlineMilliseconds,
        preferredServer: isKeyed ? engineNode.target.server : undefined,
        requestClass,
        service: name,
      },
      this.events.now,
    );
    this.carryOut(engineNode, commands);
  }

  private carryOut(node: SimulatedNode, commands: readonly CallCommand[]): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'dispatch':
          this.dispatch(node, command);
          break;
        case 'cancel-attempt':
          this.cancel(node, command.target.server, command.attemptId);
          break;
        case 'conclude':
          this.conclude(command.callNumber, command.outcome);
      }
    }
  }

  private dispatch(sender: SimulatedNode, command: DispatchCommand): void {
    const call = this.calls.get(command.callNumber);
    const gateNode = this.byServer.get(command.target.server);
    if (call === undefined || gateNode === undefined) return;
    const { request } = call;
    const work = attemptWork(request, call.attempts) * request.service.meanMilliseconds;
    call.attempts += 1;
    const delay = this.delay(sender, gateNode);
    const key = `${sender.place.index}/${command.attemptId}`;
    this.events.after(delay, () => {
      const deadline = this.events.now.monotonic + command.remainingMilliseconds;
      const reply = (result: GateReply): void => {
        this.executions.delete(key);
        this.events.after(delay, () => {
          this.deliver(sender, command.attemptId, result);
        });
      };
      const executionId = gateNode.offer(request.tenant, deadline, work, reply);
      this.executions.set(key, executionId);
    });
  }

  private deliver(sender: SimulatedNode, attemptId: number, reply: GateReply): void {
    const { engine } = sender;
    const now = this.events.now;
    switch (reply.kind) {
      case 'answered':
        this.carryOut(sender, engine.onAnswered(attemptId, 200, reply.load, now));
        break;
      case 'failed':
        this.carryOut(sender, engine.onFailed(attemptId, reply.load, now));
        break;
      case 'refused':
        this.carryOut(sender, engine.onRefused(attemptId, reply.refusal, now));
    }
  }

  private cancel(sender: SimulatedNode, server: string, attemptId: number): void {
    const gateNode = this.byServer.get(server);
    if (gateNode === undefined) return;
    this.events.after(this.delay(sender, gateNode), () => {
      const key = `${sender.place.index}/${attemptId}`;
      const executionId = this.executions.get(key);
      this.executions.delete(key);
      if (executionId !== undefined) gateNode.cancel(executionId);
    });
  }

  private conclude(callNumber: number, outcome: CallOutcome): void {
    const call = this.calls.get(callNumber);
    if (call === undefined) return;
    this.calls.delete(callNumber);
    const { request } = call;
    if (request.time < warmUpMilliseconds || request.tenant === noisyTenant) return;
    const latency = this.events.now.monotonic + call.returnMilliseconds - request.time;
    const freeElsewhere =
      outcome.kind === 'refused-not-run' && this.hasFreeSlot(request.service.name);
    this.result.classes[request.service.requestClass].count(outcome, latency, freeElsewhere);
  }

  private hasFreeSlot(service: string): boolean {
    return this.nodes.some(
      ({ target, upstream }) =>
        target.service === service && upstream.fault !== Fault.Draining && upstream.hasFreeSlot,
    );
  }

  /** Asks gates that were silent for their load. */
  private probe(node: SimulatedNode): void {
    for (const { server } of node.router.targetsDueForProbe(this.events.now)) {
      const gateNode = this.byServer.get(server);
      if (gateNode === undefined) continue;
      const delay = this.delay(node, gateNode);
      this.events.after(delay, () => {
        const load = gateNode.load();
        if (load === undefined) return;
        this.events.after(delay, () => {
          node.router.onLoadReport(server, load, this.events.now);
        });
      });
    }
  }

  private delay(from: SimulatedNode, to: SimulatedNode): number {
    if (from === to) return sameNodeMilliseconds;
    return from.place.availabilityZone === to.place.availabilityZone
      ? sameZoneMilliseconds
      : this.deployment.zoneDelayMilliseconds;
  }
}
