import type { GateRequest } from './gate-contract.js';
import type { TenantAccount, TenantShares } from './tenant-shares.js';

/** A request in the queue. */
export interface WaitingRequest {
  readonly request: GateRequest;
  readonly account: TenantAccount;
  readonly deadline: number;
  heapIndex: number;
}

/** Result of checking whether the queue can accept a request of a tenant. */
export type QueueAdmission =
  | { readonly kind: 'room' }
  /** The queue is full; `victim`, a request of a tenant above its share, has to be evicted. */
  | { readonly kind: 'evict'; readonly victim: WaitingRequest }
  | { readonly kind: 'full' }
  /** The queue is full and the tenant already has its share of it. */
  | { readonly kind: 'over-share' };

const hasRoom: QueueAdmission = { kind: 'room' };
const full: QueueAdmission = { kind: 'full' };
const overShare: QueueAdmission = { kind: 'over-share' };

/**
 * Waiting requests, in one heap by deadline for each tenant. Tenants that run less than their share of
 * the slots have priority.
 */
export class GateQueue {
  private readonly byExecutionId = new Map<number, WaitingRequest>();
  /** Accounts with waiting requests, at most as many as there are requests in the queue. */
  private readonly waitingAccounts: TenantAccount[] = [];

  public constructor(private readonly shares: TenantShares) {}

  public get size(): number {
    return this.byExecutionId.size;
  }

  public has(executionId: number): boolean {
    return this.byExecutionId.has(executionId);
  }

  public add(request: GateRequest, account: TenantAccount): void {
    const waiting = { account, deadline: request.deadline, heapIndex: 0, request };
    if (account.waiting.size === 0) this.waitingAccounts.push(account);
    account.waiting.push(waiting);
    this.byExecutionId.set(request.executionId, waiting);
  }

  /** Removes a request if it is queued. The caller must then close its tenant's account. */
  public remove(executionId: number): WaitingRequest | undefined {
    const waiting = this.byExecutionId.get(executionId);
    if (waiting === undefined) return undefined;
    this.byExecutionId.delete(executionId);
    const account = waiting.account;
    account.waiting.remove(waiting);
    if (account.waiting.size === 0) {
      this.waitingAccounts.splice(this.waitingAccounts.indexOf(account), 1);
    }
    return waiting;
  }

  /** The request to start next: tenants below their share of `limit` first, then by deadline. */
  public next(limit: number): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    let bestIsBelowShare = false;
    for (const account of this.waitingAccounts) {
      const first = account.waiting.peek();
      if (first === undefined) continue;
      const isBelowShare = this.shares.isBelowSlotShare(account, limit);
      const isBetter =
        best === undefined ||
        (isBelowShare === bestIsBelowShare ? first.deadline < best.deadline : isBelowShare);
      if (!isBetter) continue;
      best = first;
      bestIsBelowShare = isBelowShare;
    }
    return best;
  }

  /** A waiting request that is due at or before the given time. */
  public dueBy(time: number): WaitingRequest | undefined {
    for (const account of this.waitingAccounts) {
      const first = account.waiting.peek();
      if (first !== undefined && first.deadline <= time) return first;
    }
    return undefined;
  }

  /** Any waiting request. */
  public any(): WaitingRequest | undefined {
    return this.waitingAccounts[0]?.waiting.peek();
  }

  /** Number of waiting requests that precede a new one of this tenant with this deadline. */
  public countAhead(account: TenantAccount, deadline: number, limit: number): number {
    const isBelowShare = this.shares.isBelowSlotShare(account, limit);
    let count = 0;
    for (const other of this.waitingAccounts) {
      const isOtherBelowShare = this.shares.isBelowSlotShare(other, limit);
      if (isBelowShare && !isOtherBelowShare) continue;
      count +=
        isOtherBelowShare && !isBelowShare
          ? other.waiting.size
          : other.waiting.countDueBy(deadline);
    }
    return count;
  }

  /** Whether a request of this tenant can be added to a queue of the given capacity. */
  public checkAdmission(account: TenantAccount, capacity: number): QueueAdmission {
    if (this.size < capacity) return hasRoom;
    const hasOthersWaiting = this.waitingAccounts.some((other) => other !== account);
    if (!hasOthersWaiting) return full;
    if (account.waiting.size >= this.queueShare(account, capacity)) return overShare;
    const victim = this.tenantMostOverShare(capacity)?.waiting.latest();
    return victim === undefined ? full : { kind: 'evict', victim };
  }

  /**
   * The tenant's share of the queue; at least 1, so that each of many tenants can still queue a
   * request.
   */
  private queueShare(account: TenantAccount, capacity: number): number {
    return Math.max(1, this.shares.shareOf(account, capacity));
  }

  private tenantMostOverShare(capacity: number): TenantAccount | undefined {
    let most: TenantAccount | undefined;
    let mostRatio = 1;
    for (const account of this.waitingAccounts) {
      const ratio = account.waiting.size / this.queueShare(account, capacity);
      if (ratio <= mostRatio) continue;
      most = account;
      mostRatio = ratio;
    }
    return most;
  }
}
