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
  /** False while the member's availability zone or region can't be reached from this node. */
  readonly reachable: boolean;
}

/** What a tenant uses of the local upstream. */
export interface TenantUse {
  readonly service: string;
  readonly tenant: string;
  readonly inFlight: number;
  readonly queued: number;
}

/** What is spent of a budget of this node. */
export interface BudgetUse {
  /** `probe`, `retry` or `key-records`. */
  readonly budget: string;
  /** The service that the budget belongs to; empty for a budget of the whole node. */
  readonly service: string;
  readonly spent: number;
  readonly allowed: number;
  /** Unit of both numbers, such as `ms`, `tokens` or `bytes`. */
  readonly unit: string;
}

/** What this node knows of the platform's key-value service. */
export interface PlatformUse {
  readonly reachable: boolean;
  readonly calls: number;
  readonly failedCalls: number;
  /** Wall time of the last answer; undefined before the first one. */
  readonly lastAnswerAt: number | undefined;
  readonly latencyMilliseconds: number;
  readonly watching: boolean;
}

/** What the home of a key answered. */
export interface KeyView {
  readonly home: string;
  readonly state: KeyRecord['state'];
  readonly status: number | undefined;
}

/** Whether the node takes work. */
export interface Readiness {
  readonly ready: boolean;
  /** Why the node is not ready, such as `draining` or `no configuration yet`. */
  readonly causes: readonly string[];
}

/**
 * The state of this node as the operator port reads it. The wiring implements it on top of the core
 * and the adapters; every function but `key` answers at once from memory.
 */
export interface NodeView {
  readonly identity: NodeIdentity;
  /** The configuration in force on this node. */
  configuration(): Configuration;
  /** All members that this node knows, itself included. */
  members(): readonly MemberView[];
  /** Undefined while no upstream has announced itself. */
  load(): LoadReport | undefined;
  /** The services of which this node is a home. */
  homes(): readonly ServiceHomeStatus[];
  tenantUse(): readonly TenantUse[];
  budgets(): readonly BudgetUse[];
  platform(): PlatformUse;
  readiness(): Readiness;
  /** Asks the home of a key; undefined when there is no home or it did not answer. */
  key(service: string, key: string): Promise<KeyView | undefined>;
}
