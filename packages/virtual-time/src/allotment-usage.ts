import type { AllotmentTolerance, Tenant } from '@peridotspring/mesh-core';

const millisecondsPerSecond = 1_000;

interface TenantUsage {
  readonly tenant: Tenant;
  readonly permittedAt: number[];
  /** A bucket of the allotment alone; requests that find a token in it are within the allotment. */
  tokens: number;
  refilledAt: number;
}

/** Offered requests that were within their tenant's allotment, and how many of them were refused. */
export interface OwedCount {
  owed: number;
  refused: number;
}

/** Judges what the nodes permitted and refused, from outside of them. */
export class AllotmentUsageLog {
  private readonly tenants = new Map<string, TenantUsage>();
  /** Counts by second. */
  private readonly owedBySecond: OwedCount[] = [];

  public constructor(
    tenants: readonly Tenant[],
    private readonly tolerance: AllotmentTolerance,
  ) {
    for (const tenant of tenants) {
      const tokens = tenant.allotment.burst;
      this.tenants.set(tenant.name, { permittedAt: [], refilledAt: 0, tenant, tokens });
    }
  }

  /** Returns whether the request is within the tenant's allotment. */
  public recordOffered(name: string, time: number): boolean {
    const usage = this.tenants.get(name);
    if (usage === undefined) return false;
    const { burst, requestsPerSecond } = usage.tenant.allotment;
    const refill = ((time - usage.refilledAt) * requestsPerSecond) / millisecondsPerSecond;
    // A tenant may always make one request at a time.
    usage.tokens = Math.min(Math.max(1, burst), usage.tokens + refill);
    usage.refilledAt = time;
    if (usage.tokens < 1) return false;
    usage.tokens -= 1;
    this.countOf(time).owed += 1;
    return true;
  }

  public recordPermitted(name: string, time: number): void {
    this.tenants.get(name)?.permittedAt.push(time);
  }

  /** A request that was within its tenant's allotment was refused. */
  public recordRefused(time: number): void {
    this.countOf(time).refused += 1;
  }

  /** Largest share of the bound that was permitted in any window, over all tenants. */
  public get largestWindow(): number {
    let largest = 0;
    for (const { permittedAt, tenant } of this.tenants.values()) {
      const { overage, slack, windowMilliseconds } = this.tolerance;
      const { burst, requestsPerSecond } = tenant.allotment;
      const inWindow = (requestsPerSecond * windowMilliseconds) / millisecondsPerSecond + burst;
      const bound = inWindow * (1 + overage) + slack;
      let first = 0;
      for (const [last, time] of permittedAt.entries()) {
        while ((permittedAt[first] ?? time) < time - windowMilliseconds) first += 1;
        largest = Math.max(largest, (last - first + 1) / bound);
      }
    }
    return largest;
  }

  /** Share of the owed requests of a period that were refused. */
  public refusedShare(from: number, until: number): number {
    let owed = 0;
    let refused = 0;
    for (const [second, count] of this.owedBySecond.entries()) {
      const time = second * millisecondsPerSecond;
      if (time < from || time >= until) continue;
      owed += count.owed;
      refused += count.refused;
    }
    return owed === 0 ? 0 : refused / owed;
  }

  private countOf(time: number): OwedCount {
    const second = Math.floor(time / millisecondsPerSecond);
    while (this.owedBySecond.length <= second) this.owedBySecond.push({ owed: 0, refused: 0 });
    return this.owedBySecond[second] ?? { owed: 0, refused: 0 };
  }
}
