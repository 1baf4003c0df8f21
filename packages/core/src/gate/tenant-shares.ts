import type { TenantShare } from '../messages/service-configuration.js';
import type { TenantUsage } from './gate-contract.js';
import { DeadlineHeap } from './deadline-heap.js';
import type { WaitingRequest } from './gate-queue.js';

/** Running and waiting requests of a tenant. */
export interface TenantAccount {
  readonly tenant: string;
  weight: number;
  running: number;
  readonly waiting: DeadlineHeap<WaitingRequest>;
}

const defaultWeight = 1;

/**
 * Accounts of the active tenants, which have running or waiting requests. Shares are relative to the
 * total weight of active tenants, so the share of an idle tenant is available to the others. Tenant
 * names come from callers, so accounts of idle tenants are removed to bound the memory.
 */
export class TenantShares {
  private readonly accounts = new Map<string, TenantAccount>();
  private weights = new Map<string, number>();
  private totalWeight = 0;

  /** Replaces the configured weights. */
  public configure(tenants: readonly TenantShare[]): void {
    this.weights = new Map(tenants.map((share) => [share.tenant, share.weight]));
    this.totalWeight = 0;
    for (const account of this.accounts.values()) {
      account.weight = this.weightOf(account.tenant);
      this.totalWeight += account.weight;
    }
  }

  /**
   * Returns the account of a tenant, created if necessary; `close` removes it again if it stays
   * empty.
   */
  public open(tenant: string): TenantAccount {
    const known = this.accounts.get(tenant);
    if (known !== undefined) return known;
    const weight = this.weightOf(tenant);
    const account = { running: 0, tenant, waiting: new DeadlineHeap<WaitingRequest>(), weight };
    this.accounts.set(tenant, account);
    this.totalWeight += weight;
    return account;
  }

  /** Usage of the active tenants. */
  public usage(): readonly TenantUsage[] {
    return [...this.accounts.values()].map(({ running, tenant, waiting }) => ({
      running,
      tenant,
      waiting: waiting.size,
    }));
  }

  /** Removes the account if its tenant has neither running nor waiting requests. */
  public close(account: TenantAccount): void {
    if (account.running > 0 || account.waiting.size > 0) return;
    if (!this.accounts.delete(account.tenant)) return;
    this.totalWeight = this.accounts.size === 0 ? 0 : this.totalWeight - account.weight;
  }

  /** The part of `quantity` that the tenant's weight entitles it to; may be fractional. */
  public shareOf(account: TenantAccount, quantity: number): number {
    return (quantity * account.weight) / this.totalWeight;
  }

  /** Whether the tenant runs fewer requests than its share of `limit`. */
  public isBelowSlotShare(account: TenantAccount, limit: number): boolean {
    return account.running < this.shareOf(account, limit);
  }

  private weightOf(tenant: string): number {
    return this.weights.get(tenant) ?? defaultWeight;
  }
}
