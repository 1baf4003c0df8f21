import type {
  AllotmentAskFrame,
  AllotmentGrantFrame,
  AllotmentNeed,
} from '../messages/allotment-frames.js';
import type { AllotmentAccount } from './allotment-account.js';
import {
  activeExchangeMilliseconds,
  brokerExclusionMilliseconds,
  brokerTimeoutMilliseconds,
  grantMilliseconds,
  idleExchangeMilliseconds,
  minimumExchangeMilliseconds,
} from './allotment-timing.js';
import { ShareLender } from './share-lender.js';

/** Minimum interval between asks that only serve requests that may come. */
const aheadExchangeMilliseconds = 150;
/** Minimum interval between requests to return the share. In between, the chosen broker is asked. */
const returnIntervalMilliseconds = 200;

interface PendingAsk {
  readonly number: number;
  readonly broker: string;
  readonly sentAt: number;
  readonly isReturning: boolean;
}

export interface BrokerExchangeOptions {
  readonly group: number;
  /** Name of this node, which is its own broker if it is connected to no other. */
  readonly self: string;
  /** Time from which this process owns a share. */
  readonly ownedFrom: number;
  /** Number of nodes that may own a share of each allotment; 0 if it is not known. */
  readonly shareCount: () => number;
  /** Nodes that may be the broker at the time, the preferred one first. Empty if this node serves itself. */
  readonly candidates: (now: number) => readonly string[];
  /** Returns false if there is no connection to the broker. */
  readonly send: (broker: string, frame: AllotmentAskFrame, now: number) => boolean;
  /** Number of requests that wait for a grant of the tenant. */
  readonly waitingCount: (tenant: string) => number;
}

/** What this node lends to the broker of a group of tenants and gets from it. One message is under way at a time. */
export class BrokerExchange {
  private readonly lender: ShareLender;
  private readonly excludedUntil = new Map<string, number>();
  private accounts: ReadonlyMap<string, AllotmentAccount> = new Map();
  private broker: string | undefined;
  private stamp: number | undefined;
  private pending: PendingAsk | undefined;
  private nextNumber = 1;
  private askedAt = -Infinity;
  private returnAskedAt = -Infinity;

  public constructor(private readonly options: BrokerExchangeOptions) {
    this.lender = new ShareLender(options.ownedFrom);
  }

  /** The broker that this node uses at present. */
  public get brokerName(): string | undefined {
    return this.broker;
  }

  /** Sets the accounts of the group's limited tenants. */
  public setAccounts(accounts: ReadonlyMap<string, AllotmentAccount>): void {
    this.accounts = accounts;
  }

  /** Drops all grants, because the clock may have missed time. */
  public reset(): void {
    this.pending = undefined;
    this.dropGrants();
  }

  /** The connection to a node was lost or made again; what was under way to it may be lost. */
  public onConnectionChanged(node: string): void {
    if (this.pending?.broker === node) this.pending = undefined;
  }

  /** The node's process is a new one, which knows nothing of the loans and grants of the one before. */
  public onRestarted(node: string): void {
    if (this.broker === node) this.changeBroker(undefined);
  }

  /** Handles a broker's answer. Returns false if it is not that to the message under way. */
  public onGrant(broker: string, frame: AllotmentGrantFrame, now: number): boolean {
    const { pending } = this;
    if (pending?.number !== frame.number || pending.broker !== broker) return false;
    this.pending = undefined;
    if (frame.isLeaving) this.exclude(broker, now);
    if (pending.isReturning) {
      if (frame.isReturned) this.lender.onReturned(broker);
      return true;
    }
    this.stamp = frame.stamp;
    const expiresAt = pending.sentAt + grantMilliseconds;
    for (const grant of frame.grants) {
      const [tenant] = grant;
      this.accounts.get(tenant)?.applyGrant(grant, expiresAt, now);
    }
    return true;
  }

  /** Sends what is due; `isUrgent` if a request waits for a grant. */
  public poll(isUrgent: boolean, now: number): void {
    if (this.accounts.size === 0) return;
    if (this.pending !== undefined) {
      if (now - this.pending.sentAt < brokerTimeoutMilliseconds) return;
      this.exclude(this.pending.broker, now);
      this.pending = undefined;
      // The next broker is asked without delay.
      this.askedAt = -Infinity;
    }
    const sinceLast = now - this.askedAt;
    if (sinceLast < minimumExchangeMilliseconds) return;
    if (!isUrgent && sinceLast < aheadExchangeMilliseconds) return;
    if (!isUrgent && sinceLast < idleExchangeMilliseconds && !this.isExchangeDue(sinceLast, now))
      return;
    this.exchange(now);
  }

  private isExchangeDue(sinceLast: number, now: number): boolean {
    const isRenewalDue = sinceLast >= activeExchangeMilliseconds;
    for (const account of this.accounts.values()) {
      if (account.isLow(now)) return true;
      if (isRenewalDue && account.isActive(now)) return true;
    }
    return false;
  }

  private exchange(now: number): void {
    const broker = this.currentBroker(now);
    this.askedAt = now;
    if (now - this.returnAskedAt >= returnIntervalMilliseconds) {
      const stray = this.lender.strayBorrower(broker, now);
      this.returnAskedAt = now;
      if (stray !== undefined && this.ask(stray, [], true, now)) return;
    }
    this.ask(broker, this.collectNeeds(now), false, now);
  }

  private ask(
    broker: string,
    needs: readonly AllotmentNeed[],
    isReturning: boolean,
    now: number,
  ): boolean {
    const { group, shareCount, send } = this.options;
    const isLending =
      !isReturning && this.stamp !== undefined && this.lender.mayLendTo(broker, now);
    const count = isLending ? shareCount() : 0;
    // Counted before the message is sent, so that a delay can only end the loan sooner for the broker.
    if (count > 0) this.lender.onLent(broker, now);
    const number = this.nextNumber;
    this.nextNumber += 1;
    this.pending = { broker, isReturning, number, sentAt: now };
    const stamp = isLending ? this.stamp : undefined;
    const frame = {
      group,
      isReturning,
      kind: 'allotment-ask',
      needs,
      number,
      shareCount: count,
      stamp,
    } as const;
    const isSent = send(broker, frame, now);
    if (!isSent) this.pending = undefined;
    return isSent;
  }

  private collectNeeds(now: number): readonly AllotmentNeed[] {
    const needs: AllotmentNeed[] = [];
    for (const account of this.accounts.values()) {
      const need = account.takeNeed(this.options.waitingCount(account.tenant), now);
      if (need !== undefined) needs.push(need);
    }
    return needs;
  }

  private currentBroker(now: number): string {
    const { candidates, self } = this.options;
    for (const [name, until] of this.excludedUntil)
      if (now >= until) this.excludedUntil.delete(name);
    const chosen = candidates(now).find((name) => !this.excludedUntil.has(name)) ?? self;
    if (chosen !== this.broker) this.changeBroker(chosen);
    return chosen;
  }

  private exclude(broker: string, now: number): void {
    this.excludedUntil.set(broker, now + brokerExclusionMilliseconds);
    if (this.broker === broker) this.changeBroker(undefined);
  }

  private changeBroker(broker: string | undefined): void {
    this.broker = broker;
    this.stamp = undefined;
    this.dropGrants();
  }

  private dropGrants(): void {
    this.stamp = undefined;
    for (const account of this.accounts.values()) account.drop();
  }
}
