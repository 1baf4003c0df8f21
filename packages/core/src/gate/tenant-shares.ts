import type { TenantShare } from '../messages/service-configuration.js';
import type { TenantOccupation } from './gate-contract.js';
import { DeadlineHeap } from './deadline-heap.js';
import type { WaitingRequest } from './gate-queue.js';

/** What a tenant holds at the gate. */
export interface TenantAccount {
  readonly tenant: string;
  weight: number;
  running: number;
  readonly waiting: DeadlineHeap<WaitingRequest>;
}

const defaultWeight = 1;

/**
 * Accounts of the tenants that run or wait; the share of a tenant is relative to these, so the
 * share of an idle tenant is lent to the others. Tenant names come from callers, so accounts of
 * idle tenants are dropped.
 */
export class TenantShares {
  private readonly accounts = new Map<string, TenantAccount>();
  private weights = new Map<string, number>();
  private totalWeight = 0;

  /** Replaces the declared weights. */
  public configure(tenants: readonly TenantShare[]): void {
    this.weights = new Map(tenants.map((share) => [share.tenant, share.weight]));
    this.totalWeight = 0;
    for (const account of this.accounts.values()) {
      account.weight = this.weightOf(account.tenant);
      this.totalWeight += account.weight;
    }
  }

  /** The account of a tenant, opened if need be; `close` it when nothing was put into it. */
  public open(tenant: string): TenantAccount {
    const known = this.accounts.get(tenant);
    if (known !== undefined) return known;
    const weight = this.weightOf(tenant);
    const account = { running: 0, tenant, waiting: new DeadlineHeap<WaitingRequest>(), weight };
    this.accounts.set(tenant, account);
    this.totalWeight += weight;
    return account;
  }

  public uses(): readonly TenantOccupation[] {
    return [...this.accounts.values()].map(({ running, tenant, waiting }) => ({
      running,
      tenant,
      waiting: waiting.size,
    }));
  }

  /** Drops the account if its tenant neither runs nor waits. */
  public close(account: TenantAccount): void {
    if (account.running > 0 || account.waiting.size > 0) return;
    if (!this.accounts.delete(account.tenant)) return;
    this.totalWeight = this.accounts.size === 0 ? 0 : this.totalWeight - account.weight;
  }

  /** The tenant's share of a quantity, in fractions of it. */
  public shareOf(account: TenantAccount, quantity: number): number {
    return (quantity * account.weight) / this.totalWeight;
  }

  /** Whether the tenant runs less than its share of the limit. */
  public isBelowSlotShare(account: TenantAccount, limit: number): boolean {
    return account.running < this.shareOf(account, limit);
  }

  private weightOf(tenant: string): number {
    return this.weights.get(tenant) ?? defaultWeight;
  }
}
