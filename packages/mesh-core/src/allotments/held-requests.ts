/** A request that waits for its tenant's broker. */
export interface HeldRequest {
  readonly requestNumber: number;
  readonly heldUntil: number;
  readonly permit: () => void;
  readonly refuse: (retryAfterMilliseconds: number) => void;
}

/** Requests that wait for a grant, by tenant, in the order of their arrival. */
export class HeldRequests {
  private readonly byTenant = new Map<string, HeldRequest[]>();
  private total = 0;

  public get count(): number {
    return this.total;
  }

  public has(tenant: string): boolean {
    return this.byTenant.has(tenant);
  }

  public hasAny(matches: (tenant: string) => boolean): boolean {
    for (const tenant of this.byTenant.keys()) if (matches(tenant)) return true;
    return false;
  }

  public countOf(tenant: string): number {
    return this.byTenant.get(tenant)?.length ?? 0;
  }

  public add(tenant: string, request: HeldRequest): void {
    const requests = this.byTenant.get(tenant);
    if (requests === undefined) this.byTenant.set(tenant, [request]);
    else requests.push(request);
    this.total += 1;
  }

  /** Removes and returns the tenant's first request. */
  public take(tenant: string): HeldRequest | undefined {
    const requests = this.byTenant.get(tenant);
    const request = requests?.shift();
    if (request === undefined) return undefined;
    if (requests?.length === 0) this.byTenant.delete(tenant);
    this.total -= 1;
    return request;
  }

  public remove(requestNumber: number): boolean {
    for (const [tenant, requests] of this.byTenant) {
      const index = requests.findIndex((request) => request.requestNumber === requestNumber);
      if (index < 0) continue;
      requests.splice(index, 1);
      if (requests.length === 0) this.byTenant.delete(tenant);
      this.total -= 1;
      return true;
    }
    return false;
  }

  /** Removes and returns the requests that have waited for too long, with the names of their tenants. */
  public takeExpired(now: number): readonly (readonly [tenant: string, request: HeldRequest])[] {
    const expired: (readonly [string, HeldRequest])[] = [];
    for (const tenant of [...this.byTenant.keys()]) {
      while ((this.byTenant.get(tenant)?.[0]?.heldUntil ?? Infinity) <= now) {
        const request = this.take(tenant);
        if (request !== undefined) expired.push([tenant, request]);
      }
    }
    return expired;
  }
}
