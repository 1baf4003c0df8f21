import type { GateRequest } from './gate-contract.js';
import type { TenantAccount, TenantShares } from './tenant-shares.js';

/** A request in the queue. */
export interface WaitingRequest {
  readonly request: GateRequest;
  readonly account: TenantAccount;
  readonly deadline: number;
  heapIndex: number;
}

/** Whether the queue can take another request of a tenant. */
export type QueueRoom =
  | { readonly kind: 'room' }
  /** This request of a tenant above its share has to go. */
  | { readonly kind: 'evict'; readonly victim: WaitingRequest }
  | { readonly kind: 'full' }
  | { readonly kind: 'over-share' };

const room: QueueRoom = { kind: 'room' };
const full: QueueRoom = { kind: 'full' };
const overShare: QueueRoom = { kind: 'over-share' };

/** Waiting requests: one heap by deadline for each tenant; tenants below their slot share go first. */
export class GateQueue {
  private readonly byExecution = new Map<number, WaitingRequest>();
  /** Tenants with waiting requests; at most as many as the queue is long. */
  private readonly waitingAccounts: TenantAccount[] = [];

  public constructor(private readonly shares: TenantShares) {}

  public get size(): number {
    return this.byExecution.size;
  }

  public has(executionId: number): boolean {
    return this.byExecution.has(executionId);
  }

  public add(request: GateRequest, account: TenantAccount): void {
    const waiting = { account, deadline: request.deadline, heapIndex: 0, request };
    if (account.waiting.size === 0) this.waitingAccounts.push(account);
    account.waiting.push(waiting);
    this.byExecution.set(request.executionId, waiting);
  }

  /** Removes a request; the caller closes its tenant's account. */
  public remove(executionId: number): WaitingRequest | undefined {
    const waiting = this.byExecution.get(executionId);
    if (waiting === undefined) return undefined;
    this.byExecution.delete(executionId);
    const account = waiting.account;
    account.waiting.remove(waiting);
    if (account.waiting.size === 0) {
      this.waitingAccounts.splice(this.waitingAccounts.indexOf(account), 1);
    }
    return waiting;
  }

  /** The request to start next under the limit: of tenants below their share, then by deadline. */
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

  /** Number of waiting requests that go before a new one of this tenant with this deadline. */
  public ahead(account: TenantAccount, deadline: number, limit: number): number {
    const isBelowShare = this.shares.isBelowSlotShare(account, limit);
    let ahead = 0;
    for (const other of this.waitingAccounts) {
      const isOtherBelowShare = this.shares.isBelowSlotShare(other, limit);
      if (isBelowShare && !isOtherBelowShare) continue;
      ahead +=
        isOtherBelowShare && !isBelowShare
          ? other.waiting.size
          : other.waiting.countUntil(deadline);
    }
    return ahead;
  }

  /** Whether a request of this tenant fits into a queue of the given capacity. */
  public roomFor(account: TenantAccount, capacity: number): QueueRoom {
    if (this.size < capacity) return room;
    const hasOthersWaiting = this.waitingAccounts.some((other) => other !== account);
    if (!hasOthersWaiting) return full;
    if (account.waiting.size >= this.queueShare(account, capacity)) return overShare;
    const victim = this.mostOverShare(capacity)?.waiting.latest();
    return victim === undefined ? full : { kind: 'evict', victim };
  }

  /** At least 1, so that a tenant among many can wait at all. */
  private queueShare(account: TenantAccount, capacity: number): number {
    return Math.max(1, this.shares.shareOf(account, capacity));
  }

  private mostOverShare(capacity: number): TenantAccount | undefined {
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
