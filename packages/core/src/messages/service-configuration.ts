import type { RequestClass } from './outcome.js';

/** A rule that assigns a class to matching requests; the first matching kind of a service applies. */
export interface RequestKind {
  readonly name: string;
  /** An HTTP method, or `*` for every method. */
  readonly method: string;
  readonly pathPrefix: string;
  readonly requestClass: RequestClass;
}

export interface TenantShare {
  readonly tenant: string;
  /**
   * Weight of the tenant's share of the slots relative to other tenants; unlisted tenants have
   * weight 1.
   */
  readonly weight: number;
}

/** The configuration of one service, declared by operators. */
export interface ServiceConfiguration {
  readonly name: string;
  readonly requestKinds: readonly RequestKind[];
  readonly tenants: readonly TenantShare[];
  readonly defaultDeadlineMilliseconds: number;
  readonly maximumDeadlineMilliseconds: number;
  /** Number of tokens that each successful request adds to the budget of retries and hedges. */
  readonly retryBudgetRatio: number;
  readonly retryBudgetMaximum: number;
  readonly hedging: boolean;
  /** Maximum share of the upstream's slot time used for polling it, 0 to 0.1. */
  readonly probeBudgetShare: number;
  readonly rampMilliseconds: number;
  /**
   * Maximum size of a request body; the node's own limit also applies. Undefined applies only the
   * node's.
   */
  readonly maximumBodyBytes?: number | undefined;
  /** Maximum number of requests waiting at one server; undefined means twice its number of slots. */
  readonly queueLength?: number | undefined;
  /**
   * Maximum number of requests of one tenant that run or wait at one server; undefined means no
   * limit.
   */
  readonly maximumTenantInFlight?: number | undefined;
}

/** The whole configuration at one revision. */
export interface Configuration {
  readonly revision: number;
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
  /** Servers drained by an operator. */
  readonly drainedServers: readonly string[];
  /** Availability zones drained by an operator. */
  readonly drainedAvailabilityZones: readonly string[];
}

export const emptyConfiguration: Configuration = {
  drainedAvailabilityZones: [],
  drainedServers: [],
  revision: 0,
  services: {},
};

/** Default values for the fields that the declaration of a service omits. */
export const serviceDefaults: Omit<ServiceConfiguration, 'name'> = {
  defaultDeadlineMilliseconds: 2_000,
  hedging: true,
  maximumDeadlineMilliseconds: 60_000,
  probeBudgetShare: 0.01,
  rampMilliseconds: 10_000,
  requestKinds: [],
  retryBudgetMaximum: 20,
  retryBudgetRatio: 0.1,
  tenants: [],
};
