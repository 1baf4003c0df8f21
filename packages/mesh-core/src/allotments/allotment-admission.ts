import type { RandomSource } from '@peridotspring/core';

import type { AllotmentAskFrame, AllotmentGrantFrame } from '../messages/allotment-frames.js';
import type { Tenant } from '../tenants/tenant.js';
import { AllotmentAccount } from './allotment-account.js';
import { toAllotmentBounds } from './allotment-bounds.js';
import type { AllotmentBounds, AllotmentTolerance } from './allotment-bounds.js';
import { AllotmentPool } from './allotment-pool.js';
import {
  brokerGroupCount,
  holdMilliseconds,
  ownershipDelayMilliseconds,
} from './allotment-timing.js';
import { brokerGroupOf } from './broker-choice.js';
import { BrokerQualification } from './broker-qualification.js';
import { BrokerExchange } from './broker-exchange.js';
import { HeldRequests } from './held-requests.js';
import type { HeldRequest } from './held-requests.js';
import { RetrySchedule } from './retry-schedule.js';

/** Bounds what waits for the broker's answer if very many requests of a tenant come at once. */
const maximumHeldPerTenant = 128;

export interface AllotmentAdmissionOptions {
  readonly self: { readonly name: string; readonly boot: number };
  /** Start of the process on the clock of `now`. */
  readonly startedAt: number;
  readonly tolerance: AllotmentTolerance;
  /** Number of nodes that may own a share of each allotment; 0 if it is not known. */
  readonly shareCount: () => number;
  /** Candidates for the broker of the group, the preferred one first; this node may be among them. */
  readonly brokersOf: (group: number) => readonly string[];
  /** Whether this process stops, so that it should not be chosen as broker. */
  readonly isLeaving: () => boolean;
  readonly random: RandomSource;
  /** Returns false if there is no connection to the node. */
  readonly send: (node: string, frame: AllotmentAskFrame | AllotmentGrantFrame) => boolean;
}

/** Use of a tenant's allotment at this node. */
export interface AllotmentUsage {
  readonly tenant: string;
  readonly permitted: number;
  readonly refused: number;
}

interface LimitedTenant {
  readonly account: AllotmentAccount;
  readonly exchange: BrokerExchange;
  bounds: AllotmentBounds;
  readonly retrySchedule: RetrySchedule;
  permitted: number;
  refused: number;
}

interface BrokerGroup {
  readonly exchange: BrokerExchange;
  readonly pool: AllotmentPool;
}

/**
 * Decides at the entry whether a tenant's request is within its allotment, which is shared by all nodes. Requests of
 * tenants without a limit are not counted.
 */
export class AllotmentAdmission {
  private readonly groups: readonly BrokerGroup[];
  private readonly held = new HeldRequests();
  private readonly qualification = new BrokerQualification();
  private tenants = new Map<string, LimitedTenant>();

  public constructor(private readonly options: AllotmentAdmissionOptions) {
    const { isLeaving } = options;
    this.groups = Array.from({ length: brokerGroupCount }, (_, group) => ({
      exchange: this.createExchange(group),
      pool: new AllotmentPool(group, isLeaving),
    }));
  }

  /** Number of requests that wait for a broker's answer. */
  public get heldCount(): number {
    return this.held.count;
  }

  /** Whether any tenant has a limit. */
  public get isActive(): boolean {
    return this.tenants.size > 0;
  }

  /** Sum of the shares that this node has been lent as a broker, from 0 to the number of groups. */
  public get lentShare(): number {
    return this.groups.reduce((sum, { pool }) => sum + pool.share, 0);
  }

  /** Use since the limit of each tenant came into force on this node. */
  public *usage(): Generator<AllotmentUsage> {
    for (const [tenant, { permitted, refused }] of this.tenants)
      yield { permitted, refused, tenant };
  }

  /** Applies the tenants of the configuration in force. */
  public configure(tenants: readonly Tenant[], now: number): void {
    const previous = this.tenants;
    this.tenants = new Map();
    for (const { allotment, name } of tenants) {
      const bounds = toAllotmentBounds(allotment, this.options.tolerance);
      if (bounds === undefined) continue;
      const known = previous.get(name);
      if (known !== undefined) known.bounds = bounds;
      this.tenants.set(name, known ?? this.createTenant(name, bounds, now));
    }
    for (const [group, { exchange, pool }] of this.groups.entries()) {
      const ofGroup = [...this.tenants].filter(([name]) => brokerGroupOf(name) === group);
      exchange.setAccounts(new Map(ofGroup.map(([name, { account }]) => [name, account])));
      pool.configure(new Map(ofGroup.map(([name, { bounds }]) => [name, bounds])), now);
    }
  }

  /** Permits or refuses the request, at once or after the broker's answer. */
  public admit(tenantName: string, request: Omit<HeldRequest, 'heldUntil'>, now: number): void {
    const tenant = this.tenants.get(tenantName);
    if (tenant === undefined) {
      request.permit();
      return;
    }
    tenant.account.recordArrival();
    if (!this.held.has(tenantName) && tenant.account.tryTake(now))
      this.permit(tenant, request, now);
    else if (tenant.account.isDenied(now) || this.held.countOf(tenantName) >= maximumHeldPerTenant)
      this.refuse(tenant, request, now);
    else this.held.add(tenantName, { ...request, heldUntil: now + holdMilliseconds });
    tenant.exchange.poll(this.held.has(tenantName), now);
  }

  /** Returns a permitted request that did not run. */
  public giveBack(tenantName: string, now: number): void {
    const tenant = this.tenants.get(tenantName);
    if (tenant === undefined) return;
    tenant.account.giveBack(now);
    tenant.permitted -= 1;
  }

  /** The caller of the request has gone. Returns true if it was waiting, so that nothing else knows of it. */
  public cancel(requestNumber: number): boolean {
    return this.held.remove(requestNumber);
  }

  /** Handles a message to this node as broker. */
  public onAsk(node: string, boot: number, frame: AllotmentAskFrame, now: number): void {
    const answer = this.groups[frame.group]?.pool.answer(node, boot, frame, now);
    if (answer === undefined) return;
    if (node === this.options.self.name) this.onGrant(node, answer, now);
    else this.options.send(node, answer);
  }

  /** Handles the answer of a broker. */
  public onGrant(broker: string, frame: AllotmentGrantFrame, now: number): void {
    const isExpected = this.groups[frame.group]?.exchange.onGrant(broker, frame, now);
    if (isExpected !== true) return;
    for (const [name] of frame.grants) this.settleHeld(name, now);
  }

  public onConnected(node: string, boot: number, now: number): void {
    const isRestarted = this.qualification.onConnected(node, boot, now);
    for (const { exchange } of this.groups) {
      exchange.onConnectionChanged(node);
      if (isRestarted) exchange.onRestarted(node);
    }
  }

  /** The connection to the node was lost, or may have gone silent. */
  public onConnectionLost(node: string, now: number): void {
    this.qualification.onLost(node, now);
    for (const { exchange } of this.groups) exchange.onConnectionChanged(node);
  }

  /** A connection that may have gone silent answers. */
  public onConnectionConfirmed(node: string): void {
    this.qualification.onConfirmed(node);
  }

  /** The clock may have missed time, so that nothing that was lent or granted is certain any more. */
  public onClockUncertain(now: number): void {
    for (const { exchange, pool } of this.groups) {
      exchange.reset();
      pool.reset(now);
    }
  }

  public tick(now: number): void {
    if (!this.isActive) return;
    for (const [name, request] of this.held.takeExpired(now)) {
      const tenant = this.tenants.get(name);
      if (tenant === undefined) request.permit();
      else this.refuse(tenant, request, now);
    }
    for (const [group, { exchange }] of this.groups.entries())
      exchange.poll(
        this.held.hasAny((name) => brokerGroupOf(name) === group),
        now,
      );
  }

  /** Permits what waits as far as the grant lasts, and refuses the rest if the broker has no more. */
  private settleHeld(name: string, now: number): void {
    const tenant = this.tenants.get(name);
    if (tenant === undefined) return;
    while (this.held.has(name) && tenant.account.tryTake(now)) {
      const request = this.held.take(name);
      if (request !== undefined) this.permit(tenant, request, now);
    }
    if (!tenant.account.isDenied(now)) return;
    for (;;) {
      const request = this.held.take(name);
      if (request === undefined) return;
      this.refuse(tenant, request, now);
    }
  }

  private permit(
    tenant: LimitedTenant,
    { permit }: Pick<HeldRequest, 'permit'>,
    now: number,
  ): void {
    tenant.permitted += 1;
    tenant.retrySchedule.recordPermitted(now);
    permit();
  }

  private refuse(
    tenant: LimitedTenant,
    { refuse }: Pick<HeldRequest, 'refuse'>,
    now: number,
  ): void {
    tenant.refused += 1;
    const shareCount = this.options.shareCount();
    const leastRate = shareCount === 0 ? 0 : tenant.bounds.requestsPerMillisecond / shareCount;
    refuse(tenant.retrySchedule.book(leastRate, this.options.random, now));
  }

  private createTenant(name: string, bounds: AllotmentBounds, now: number): LimitedTenant {
    const { exchange } = this.groups[brokerGroupOf(name)] ?? {};
    if (exchange === undefined) throw new RangeError(`no broker group for tenant ${name}`);
    return {
      account: new AllotmentAccount(name, now),
      bounds,
      exchange,
      permitted: 0,
      refused: 0,
      retrySchedule: new RetrySchedule(),
    };
  }

  private createExchange(group: number): BrokerExchange {
    const { brokersOf, shareCount, self, send, startedAt } = this.options;
    return new BrokerExchange({
      candidates: (now) =>
        brokersOf(group).filter(
          (name) => name === self.name || this.qualification.isQualified(name, now),
        ),
      group,
      shareCount,
      ownedFrom: startedAt + ownershipDelayMilliseconds,
      self: self.name,
      send: (broker, frame, now) => {
        if (broker !== self.name) return send(broker, frame);
        this.onAsk(self.name, self.boot, frame, now);
        return true;
      },
      waitingCount: (tenant) => this.held.countOf(tenant),
    });
  }
}
