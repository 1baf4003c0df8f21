import type {
  Configuration,
  ServiceHomeStatus,
  KeyRecord,
  LoadReport,
  MemberRecord,
  NodeIdentity,
} from '@peridotspring/core';

/** A member as this node sees it. */
export interface MemberView extends MemberRecord {
  /** False while the availability zone or region of the member is unreachable from this node. */
  readonly reachable: boolean;
}

/** A tenant's use of the local upstream. */
export interface TenantUsage {
  readonly service: string;
  readonly tenant: string;
  readonly inFlight: number;
  readonly queued: number;
}

/** The state of one of this node's budgets. */
export interface BudgetUsage {
  /** `probe`, `retry` or `key-records`. */
  readonly budget: string;
  /** The service that the budget belongs to; empty for a budget of the whole node. */
  readonly service: string;
  readonly spent: number;
  readonly allowed: number;
  /** Unit of `spent` and `allowed`, such as `ms`, `tokens` or `bytes`. */
  readonly unit: string;
}

/** The state of this node's connection to the platform's key-value store. */
export interface PlatformStatus {
  readonly isReachable: boolean;
  readonly calls: number;
  readonly failedCalls: number;
  /** Wall-clock time of the last response; undefined before the first one. */
  readonly lastAnswerAt: number | undefined;
  readonly latencyMilliseconds: number;
  readonly isWatching: boolean;
}

/** The answer of the home of an idempotency key. */
export interface KeyView {
  readonly home: string;
  readonly state: KeyRecord['state'];
  readonly status: number | undefined;
}

/** Whether the node accepts requests. */
export interface Readiness {
  readonly ready: boolean;
  /** Why the node is not ready, such as `draining` or `no configuration yet`. */
  readonly causes: readonly string[];
}

/**
 * The state of this node as the operator port reads it. The daemon implements it on top of the core
 * and its adapters. Every function except `findKey` reads from memory and returns synchronously.
 */
export interface NodeView {
  readonly identity: NodeIdentity;
  /** The configuration in force on this node. */
  configuration(): Configuration;
  /** All members known to this node, including itself. */
  members(): readonly MemberView[];
  /** The load of the local upstream; undefined until one has announced itself. */
  load(): LoadReport | undefined;
  /** The services for which this node is a home of keys. */
  homes(): readonly ServiceHomeStatus[];
  tenantUsage(): readonly TenantUsage[];
  budgets(): readonly BudgetUsage[];
  platformStatus(): PlatformStatus;
  readiness(): Readiness;
  /** Asks the home of a key for its record; undefined if there is no home or it did not answer. */
  findKey(service: string, key: string): Promise<KeyView | undefined>;
}
