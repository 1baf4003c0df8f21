import type { Configuration, ProposalResult } from '@peridotspring/core';
import type { Question } from '@peridotspring/language/text';

import type { NodeQuestion } from './gathering/node-question.js';
import type { ZoneAnswer, ZoneQuestion, ZoneSurvey } from './gathering/zone-question.js';
import type { SurveyRequest } from './gathering/zone-surveyor.js';
import type { MemberView, Readiness } from './node-view.js';
import type { Row } from './questions/rows.js';

/** A node that was asked a question but whose rows are missing from the result. */
export interface MissingNode {
  readonly server: string;
  /** Why the answer is missing, such as `no answer within 2000 ms` or `connection lost`. */
  readonly cause: string;
}

/** The configuration revision in force on a node. */
export interface NodeRevision {
  readonly server: string;
  readonly revision: number;
}

/** The rows of the nodes that answered before the deadline, and the nodes that did not answer. */
export interface GatheredRows {
  readonly rows: readonly Row[];
  readonly revisions: readonly NodeRevision[];
  readonly missing: readonly MissingNode[];
}

/** Options for asking other nodes a question. */
export interface GatherOptions {
  readonly deadlineMilliseconds: number;
  /** The servers to ask; all live members except this node by default. */
  readonly servers?: readonly string[] | undefined;
}

/** A configuration change to commit. */
export interface ChangeProposal {
  /** Unique for each change. A change that is sent again under its identifier takes effect once. */
  readonly changeId: string;
  /** Whether the change was proposed before with an unknown result. */
  readonly isResent?: boolean | undefined;
  readonly baseRevision: number;
  readonly configuration: Configuration;
}

/** What the store records about a change identifier. */
export type ChangeState =
  /** The root record of the configuration lists the change: it is committed and is never reverted. */
  | { readonly kind: 'in-force'; readonly revision: number }
  /** The root record does not list the change. A proposal in progress may still commit it. */
  | { readonly kind: 'not-found'; readonly revision: number }
  /** The store could not be read. */
  | { readonly kind: 'unresolved' };

/** Commits changes. The daemon implements it with `propose-configuration` messages to the core. */
export interface ChangePort {
  /** Resolves with the result of the core; `unresolved` if it is unknown whether the change was committed. */
  propose(proposal: ChangeProposal): Promise<ProposalResult>;
  /** Looks the identifier up in the root record of the configuration in the store. */
  lookUpChange(changeId: string): Promise<ChangeState>;
}

/** Everything that the operator port needs from a node. `NodeBackend` implements it. */
export interface OperatorBackend extends ChangePort {
  readonly server: string;
  configuration(): Configuration;
  members(): readonly MemberView[];
  readiness(): Readiness;
  /** This node's rows for a question, not yet filtered, sorted or limited. */
  localRows(question: Question): Promise<readonly Row[]>;
  /** Asks other nodes a question. The rows that it returns are not combined yet. */
  gather(question: NodeQuestion, options: GatherOptions): Promise<GatheredRows>;
  /** Determines, for each availability zone, on which members a revision is not in force. */
  survey(request: SurveyRequest): Promise<ReadonlyMap<string, ZoneSurvey>>;
  /** Answers another node's question about all members of this node's availability zone. */
  answerZoneQuestion(question: ZoneQuestion): Promise<ZoneAnswer>;
}
