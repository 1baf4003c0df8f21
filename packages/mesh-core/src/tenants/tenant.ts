/** A tenant whose callers authenticate with API keys. */
export interface Tenant {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Rank of the tenant's requests, 0 for the most urgent; replaces that of their routes. */
  readonly priority?: number | undefined;
  readonly allotment: Allotment;
}

/** The requests that a tenant may make, over all nodes together. */
export interface Allotment {
  /** Infinite if the tenant has no limit. */
  readonly requestsPerSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}
