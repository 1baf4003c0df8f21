import type { LanguageError } from '@peridotspring/language/text';

import type { ConfigurationDifference } from './changes/difference.js';
import type { MissingNode, NodeRevision } from './operator-backend.js';
import type { FieldDefinition, Row } from './questions/rows.js';

/** The answer to a question. */
export interface RowsResult {
  readonly kind: 'rows';
  readonly fields: readonly FieldDefinition[];
  readonly rows: readonly Row[];
  /** Number of rows that fulfil the conditions, including those cut off by the limit. */
  readonly matched: number;
  /** Configuration revision in force on the node that received the query. */
  readonly revision: number;
  /** Number of nodes whose rows are part of the answer, including the one that received the query. */
  readonly answered: number;
  readonly missing: readonly MissingNode[];
  /** Nodes with a lower revision. Filled only for `show configuration` and `show revision`. */
  readonly lacking: readonly NodeRevision[];
}

/** Whether a revision is in force on every node. */
export interface InForceResult {
  readonly kind: 'in-force';
  readonly revision: number;
  readonly everywhere: boolean;
  /** Some of the nodes with a lower revision; `lackingCount` counts all of them. */
  readonly lacking: readonly NodeRevision[];
  readonly lackingCount: number;
  /** Some of the nodes whose revision is unknown; `missingCount` counts all of them. */
  readonly missing: readonly MissingNode[];
  readonly missingCount: number;
}

/** The outcome of a change. */
export const ChangeStatus = {
  /** Committed: it comes into force on every node and is never reverted. */
  Accepted: 'accepted',
  /** Not committed, because another change to the same objects was committed first. */
  Conflict: 'conflict',
  /** Checked only; nothing was proposed. */
  DryRun: 'dry-run',
  Rejected: 'rejected',
  /** Nothing was proposed, because the configuration already matches the change. */
  Unchanged: 'unchanged',
  /** It is unknown whether the change was committed; `show change <id>` looks it up. */
  Unresolved: 'unresolved',
} as const;
export type ChangeStatus = (typeof ChangeStatus)[keyof typeof ChangeStatus];

/** The answer to a change. */
export interface ChangeResult {
  readonly kind: 'change';
  readonly status: ChangeStatus;
  readonly changeId: string;
  readonly baseRevision: number;
  /** The new revision, or the one that the change conflicts with. */
  readonly revision: number | undefined;
  readonly difference: readonly ConfigurationDifference[];
  /** Warnings about the change, and the reason for a conflict or a rejection. */
  readonly notes: readonly string[];
  /** Defined if the change was to be waited for with `wait`. */
  readonly inForce: InForceResult | undefined;
}

/** The query is invalid; nothing was done. */
export interface InvalidQueryResult {
  readonly kind: 'faults';
  readonly errors: readonly LanguageError[];
}

/** The result of a query. */
export type QueryResult = ChangeResult | InvalidQueryResult | InForceResult | RowsResult;
