import type { LanguageError } from '@peridotspring/language/text';

import type { ConfigurationDifference } from './changes/difference.js';
import type { MissingNode, NodeRevision } from './operator-backend.js';
import type { FieldDefinition, Row } from './questions/rows.js';

/** The answer to a question. */
export interface RowsResult {
  readonly kind: 'rows';
  readonly fields: readonly FieldDefinition[];
  readonly rows: readonly Row[];
  /** Rows that fulfil the conditions, shown or not. */
  readonly matched: number;
  /** Revision in force on the node that was asked. */
  readonly revision: number;
  /** Nodes whose rows are part of the answer, this one included. */
  readonly answered: number;
  readonly missing: readonly MissingNode[];
  /** Nodes with a lower revision; present where the question is about the configuration. */
  readonly lacking: readonly NodeRevision[];
}

/** Whether a revision is in force everywhere. */
export interface InForceResult {
  readonly kind: 'in-force';
  readonly revision: number;
  readonly everywhere: boolean;
  /** Some of the nodes that lack it. */
  readonly lacking: readonly NodeRevision[];
  readonly lackingCount: number;
  /** Some of the nodes whose revision is not known. */
  readonly missing: readonly MissingNode[];
  readonly missingCount: number;
}

/** What became of a change. */
export const ChangeStatus = {
  /** Committed; it comes into force everywhere and never reverts. */
  Accepted: 'accepted',
  /** Another change of the same parts came first; this one was not made. */
  Conflict: 'conflict',
  /** Nothing was proposed. */
  DryRun: 'dry-run',
  Rejected: 'rejected',
  /** The configuration already is what the change asks for. */
  Unchanged: 'unchanged',
  /** Nobody can say yet whether the change holds; ask with `show change <id>`. */
  Unresolved: 'unresolved',
} as const;
export type ChangeStatus = (typeof ChangeStatus)[keyof typeof ChangeStatus];

/** The answer to a change. */
export interface ChangeResult {
  readonly kind: 'change';
  readonly status: ChangeStatus;
  readonly changeId: string;
  readonly baseRevision: number;
  /** The new revision, or the one that the change lost against. */
  readonly revision: number | undefined;
  readonly difference: readonly ConfigurationDifference[];
  /** What an operator should know before or after the change. */
  readonly notes: readonly string[];
  /** Present after `wait`. */
  readonly inForce: InForceResult | undefined;
}

/** The text has faults; nothing was done. */
export interface FaultsResult {
  readonly kind: 'faults';
  readonly errors: readonly LanguageError[];
}

/** Every result of a query. */
export type QueryResult = ChangeResult | FaultsResult | InForceResult | RowsResult;
