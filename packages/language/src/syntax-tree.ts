import type { RequestClass } from '@peridotspring/core';

/** A place in the text; both numbers start at 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/** A name together with its place, so that later checks can point at it. */
export interface Name {
  readonly text: string;
  readonly position: Position;
}

/** A number together with its place. Percentages are shares, durations are milliseconds. */
export interface Quantity {
  readonly value: number;
  readonly position: Position;
}

/** What `show load` can be grouped by. */
export const LoadGrouping = {
  Server: 'server',
  Service: 'service',
  Tenant: 'tenant',
  Zone: 'zone',
} as const;
export type LoadGrouping = (typeof LoadGrouping)[keyof typeof LoadGrouping];

/** A question without filter, order and limit. */
export type Question =
  | { readonly kind: 'budgets' }
  /** Whether a change that was sent under this identifier is in force. */
  | { readonly kind: 'change'; readonly changeId: string }
  | { readonly kind: 'configuration' }
  /** Which nodes decide about keys, and which of their witnesses are silent. */
  | { readonly kind: 'homes' }
  | { readonly kind: 'key'; readonly service: string; readonly key: string }
  | { readonly kind: 'load'; readonly by: LoadGrouping }
  | { readonly kind: 'members' }
  | { readonly kind: 'platform' }
  | { readonly kind: 'refusals'; readonly sinceMilliseconds: number | undefined }
  | { readonly kind: 'request'; readonly requestId: string }
  | { readonly kind: 'requests' }
  | { readonly kind: 'revision' }
  | { readonly kind: 'services' }
  | { readonly kind: 'tenants' };

/** How a field is compared with a value. */
export const Comparison = {
  Contains: 'contains',
  Equal: '=',
  Greater: '>',
  GreaterOrEqual: '>=',
  Less: '<',
  LessOrEqual: '<=',
  NotEqual: '!=',
} as const;
export type Comparison = (typeof Comparison)[keyof typeof Comparison];

/** The right side of a condition. A duration compares with fields in milliseconds or seconds. */
export type ConditionValue =
  | { readonly kind: 'duration'; readonly milliseconds: number }
  | { readonly kind: 'number'; readonly value: number }
  | { readonly kind: 'text'; readonly value: string };

/** A comparison of a field with a value. */
export interface Condition {
  readonly field: Name;
  readonly comparison: Comparison;
  readonly value: ConditionValue;
  readonly valuePosition: Position;
}

/** The field that rows are sorted by. */
export interface SortOrder {
  readonly field: Name;
  readonly descending: boolean;
}

/** A question with its filter, order and limit. */
export interface QuestionStatement {
  readonly kind: 'question';
  readonly question: Question;
  /** All conditions have to hold. */
  readonly conditions: readonly Condition[];
  readonly order: SortOrder | undefined;
  readonly limit: Quantity | undefined;
}

/** One clause of `declare service` or `change service`. */
export type ServiceClause =
  | {
      readonly kind: 'request';
      readonly name: Name;
      readonly method: Name;
      readonly pathPrefix: Name;
      readonly requestClass: RequestClass;
      /** The kind before which this one is matched; undefined keeps its place or appends it. */
      readonly before: Name | undefined;
    }
  | { readonly kind: 'tenant'; readonly tenant: Name; readonly weight: Quantity }
  | { readonly kind: 'default-deadline'; readonly milliseconds: Quantity }
  | { readonly kind: 'maximum-deadline'; readonly milliseconds: Quantity }
  | { readonly kind: 'retry-budget-ratio'; readonly ratio: Quantity }
  | { readonly kind: 'retry-budget-maximum'; readonly maximum: Quantity }
  | { readonly kind: 'hedging'; readonly enabled: boolean }
  | { readonly kind: 'probe-budget'; readonly share: Quantity }
  | { readonly kind: 'ramp'; readonly milliseconds: Quantity }
  /** Bounds that can be lifted with `off`, which is undefined here. */
  | {
      readonly kind: 'body-maximum' | 'queue-maximum' | 'tenant-in-flight-maximum';
      readonly maximum: Quantity | undefined;
    }
  | { readonly kind: 'remove-request'; readonly name: Name }
  | { readonly kind: 'remove-tenant'; readonly tenant: Name };

/** A change to the configuration. */
export type Command =
  | {
      readonly kind: 'declare-service';
      readonly service: Name;
      readonly clauses: readonly ServiceClause[];
    }
  | {
      readonly kind: 'change-service';
      readonly service: Name;
      readonly clauses: readonly ServiceClause[];
    }
  | { readonly kind: 'remove-service'; readonly service: Name }
  | { readonly kind: 'drain-server'; readonly server: Name }
  | { readonly kind: 'drain-zone'; readonly zone: Name }
  | { readonly kind: 'restore-server'; readonly server: Name }
  | { readonly kind: 'restore-zone'; readonly zone: Name };

/** Waiting until a revision is in force everywhere. */
export interface WaitClause {
  readonly upToMilliseconds: number | undefined;
}

/** Commands that take hold as one. */
export interface ChangeStatement {
  readonly kind: 'change';
  readonly commands: readonly Command[];
  readonly dryRun: boolean;
  readonly wait: WaitClause | undefined;
}

/** A wait until a revision is in force everywhere. */
export interface WaitStatement {
  readonly kind: 'wait';
  /** Undefined stands for the revision in force on the node that is asked. */
  readonly revision: number | undefined;
  readonly upToMilliseconds: number | undefined;
}

/** A whole text in the language. */
export type Statement = ChangeStatement | QuestionStatement | WaitStatement;
