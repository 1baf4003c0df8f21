import type { RequestClass } from './outcome.js';

/** Requests of one kind; the first kind of a service that matches decides the class. */
export interface RequestKind {
  readonly name: string;
  /** An HTTP method, or `*` for every method. */
  readonly method: string;
  readonly pathPrefix: string;
  readonly requestClass: RequestClass;
}

export interface TenantShare {
  readonly tenant: string;
  /** Share of the slots relative to other tenants; a tenant that is not listed has weight 1. */
  readonly weight: number;
}

/** What operators declare of one service. */
export interface ServiceConfiguration {
  readonly name: string;
  readonly requestKinds: readonly RequestKind[];
  readonly tenants: readonly TenantShare[];
  readonly defaultDeadlineMilliseconds: number;
  readonly maximumDeadlineMilliseconds: number;
  /** Tokens that a success adds to the retry and hedge budget. */
  readonly retryBudgetRatio: number;
  readonly retryBudgetMaximum: number;
  readonly hedging: boolean;
  /** Share of the upstream's slot-time that measuring may take, 0 to 0.1. */
  readonly probeBudgetShare: number;
  readonly rampMilliseconds: number;
  /** Longest request body; the node's own limit holds as well. Undefined leaves it to the node. */
  readonly maximumBodyBytes?: number | undefined;
  /** Requests that wait at one server; undefined stands for twice its slots. */
  readonly queueLength?: number | undefined;
  /** Requests of one tenant that run or wait at one server; undefined sets no bound. */
  readonly maximumTenantInFlight?: number | undefined;
}

/** Everything that is in force at one revision. */
export interface Configuration {
  readonly revision: number;
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
  /** Servers that an operator drains. */
  readonly drainedServers: readonly string[];
  /** Availability zones that an operator drains. */
  readonly drainedAvailabilityZones: readonly string[];
}

export const emptyConfiguration: Configuration = {
  drainedAvailabilityZones: [],
  drainedServers: [],
  revision: 0,
  services: {},
};

/** Values for every field of a service that a declaration leaves out. */
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
