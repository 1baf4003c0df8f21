import type { RandomSource } from '@peridotspring/core';
import { AllotmentAdmission, brokerGroupCount, RefusalCause } from '@peridotspring/mesh-core';
import type {
  AllotmentAskFrame,
  AllotmentGrantFrame,
  AllotmentTolerance,
  EntryOutcome,
  EntryRequest,
  MeshNode,
  NodeDirectory,
  TenantDirectory,
} from '@peridotspring/mesh-core';
import type { MeshConnections } from '@peridotspring/nodes';

import { isAllotmentAsk, isAllotmentGrant } from './allotment-frame-checks.js';
import { MeshEvent } from './mesh-event.js';

/** Interval at which waiting requests are looked at again. */
const heldTickMilliseconds = 10;
/** Shorter suspensions are within the margins of loans and grants. */
const shortSuspensionMilliseconds = 20;
/** Refused requests are reported in one line per tenant and interval. */
const reportIntervalMilliseconds = 5_000;
/** The metrics name the tenants with the most refused and permitted requests; more series would burden the scrape. */
const maximumReportedTenants = 50;

/** Use of the allotments at this node, by tenant. */
export interface AllotmentGauges {
  readonly permitted: ReadonlyMap<string, number>;
  readonly refused: ReadonlyMap<string, number>;
}

export interface AllotmentSynchronizerOptions {
  readonly self: MeshNode;
  readonly tolerance: AllotmentTolerance;
  readonly random: RandomSource;
  /** Monotonic clock, which may stop while the machine is suspended: it never runs faster than real time. */
  readonly now: () => number;
  /** Time for which the machine may have been suspended, in total. */
  readonly suspendedMilliseconds: () => number;
  readonly connections: () => Pick<MeshConnections, 'send'>;
  readonly directory: () => Pick<NodeDirectory, 'brokersOf' | 'setBrokerGroups'>;
  /** Number of nodes that may be using a share; undefined while it is not known. */
  readonly nodeCount: () => number | undefined;
  readonly isStopping: () => boolean;
  readonly callers: () => {
    respond(request: EntryRequest, outcome: EntryOutcome): void;
  };
  /** Runs the action once after the delay; the returned function cancels it. */
  readonly schedule: (action: () => void, milliseconds: number) => () => void;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Exchanges shares of the tenants' allotments with other nodes, and holds callers' requests to them. */
export class AllotmentSynchronizer {
  private readonly admission: AllotmentAdmission;
  private configuredTenants: TenantDirectory | undefined;
  private cancelHeldTick: (() => void) | undefined;
  private reportedAt = -Infinity;
  private suspendedMilliseconds: number;
  private readonly reportedRefusals = new Map<string, number>();

  public constructor(private readonly options: AllotmentSynchronizerOptions) {
    this.suspendedMilliseconds = options.suspendedMilliseconds();
    const { connections, directory, isStopping, nodeCount, now, random, self, tolerance } = options;
    this.admission = new AllotmentAdmission({
      brokersOf: (group) => directory().brokersOf(group),
      isLeaving: isStopping,
      shareCount: () => nodeCount() ?? 0,
      random,
      self,
      send: (node, frame) => connections().send(node, frame),
      startedAt: now(),
      tolerance,
    });
  }

  public get heldCount(): number {
    return this.admission.heldCount;
  }

  /** Sum of the shares that other nodes and this one have lent to this node. */
  public get lentShare(): number {
    return this.admission.lentShare;
  }

  public get gauges(): AllotmentGauges {
    const usages = [...this.admission.usage()]
      .filter(({ permitted, refused }) => permitted + refused > 0)
      .sort((first, second) => second.refused - first.refused || second.permitted - first.permitted)
      .slice(0, maximumReportedTenants);
    return {
      permitted: new Map(usages.map(({ permitted, tenant }) => [tenant, permitted])),
      refused: new Map(usages.map(({ refused, tenant }) => [tenant, refused])),
    };
  }

  public close(): void {
    this.cancelHeldTick?.();
  }

  /** Applies the tenants of the configuration in force. */
  public configure(tenants: TenantDirectory | undefined): void {
    if (tenants === this.configuredTenants) return;
    this.configuredTenants = tenants;
    this.admission.configure(tenants?.tenants ?? [], this.readClock());
    this.options.directory().setBrokerGroups(this.admission.isActive ? brokerGroupCount : 0);
  }

  /** Forwards the request if its tenant's allotment permits it; otherwise answers it. */
  public admit(request: EntryRequest, forward: () => void): void {
    const { requestNumber, tenant } = request;
    if (tenant === undefined || !this.admission.isActive) {
      forward();
      return;
    }
    const refuse = (retryAfterMilliseconds: number): void => {
      const cause = RefusalCause.AllotmentUsed;
      this.options.callers().respond(request, { cause, kind: 'refused', retryAfterMilliseconds });
    };
    this.admission.admit(tenant.name, { permit: forward, refuse, requestNumber }, this.readClock());
    this.scheduleHeldTick();
  }

  /** A permitted request has its outcome. One that did not run no longer counts. */
  public onOutcome({ tenant }: EntryRequest, { kind }: EntryOutcome): void {
    if (tenant === undefined || kind !== 'refused') return;
    this.admission.giveBack(tenant.name, this.readClock());
  }

  /** Returns true if the request was waiting here, so that it has not been forwarded. */
  public cancel(requestNumber: number): boolean {
    return this.admission.heldCount > 0 && this.admission.cancel(requestNumber);
  }

  public onConnected({ boot, name }: MeshNode): void {
    this.admission.onConnected(name, boot, this.readClock());
  }

  public onDisconnected(name: string): void {
    this.admission.onConnectionLost(name, this.readClock());
  }

  /** The connection to the node may have gone silent, or has been confirmed again. */
  public setSuspected(name: string, isSuspected: boolean): void {
    if (isSuspected) this.admission.onConnectionLost(name, this.readClock());
    else this.admission.onConnectionConfirmed(name);
  }

  /** Handles a frame of a peer; invalid ones are ignored. */
  public onFrame(from: MeshNode, frame: AllotmentAskFrame | AllotmentGrantFrame): void {
    const now = this.readClock();
    if (isAllotmentAsk(frame)) this.admission.onAsk(from.name, from.boot, frame, now);
    else if (isAllotmentGrant(frame)) this.admission.onGrant(from.name, frame, now);
  }

  public tick(): void {
    if (!this.admission.isActive) return;
    const now = this.readClock();
    this.admission.tick(now);
    this.reportRefusals(now);
  }

  /** Returns the time. What was lent and granted before a suspension has expired for the nodes that lent and granted it. */
  private readClock(): number {
    const { now, suspendedMilliseconds } = this.options;
    const suspended = suspendedMilliseconds();
    const isUncertain = suspended - this.suspendedMilliseconds > shortSuspensionMilliseconds;
    this.suspendedMilliseconds = suspended;
    const time = now();
    if (isUncertain) this.admission.onClockUncertain(time);
    return time;
  }

  private scheduleHeldTick(): void {
    if (this.admission.heldCount === 0 || this.cancelHeldTick !== undefined) return;
    this.cancelHeldTick = this.options.schedule(() => {
      this.cancelHeldTick = undefined;
      this.admission.tick(this.readClock());
      this.scheduleHeldTick();
    }, heldTickMilliseconds);
  }

  private reportRefusals(now: number): void {
    if (now - this.reportedAt < reportIntervalMilliseconds) return;
    this.reportedAt = now;
    for (const { permitted, refused, tenant } of this.admission.usage()) {
      const reported = this.reportedRefusals.get(tenant) ?? 0;
      if (refused === reported) continue;
      this.reportedRefusals.set(tenant, refused);
      const requests = refused - reported;
      this.options.log(MeshEvent.AllotmentUsed, { permitted, refused: requests, tenant });
    }
  }
}
