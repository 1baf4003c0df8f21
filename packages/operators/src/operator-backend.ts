import type { Configuration, ProposalResult } from '@peridotspring/core';
import type { Question } from '@peridotspring/language/text';

import type { NodeQuestion } from './gathering/node-question.js';
import type { ZoneAnswer, ZoneQuestion, ZoneSurvey } from './gathering/zone-question.js';
import type { SurveyRequest } from './gathering/zone-surveyor.js';
import type { MemberView, Readiness } from './node-view.js';
import type { Row } from './questions/rows.js';

/** A node that was asked and whose answer is missing from a result. */
export interface MissingNode {
  readonly server: string;
  /** Such as `no answer within 2000 ms` or `connection lost`. */
  readonly cause: string;
}

/** The revision in force on a node. */
export interface NodeRevision {
  readonly server: string;
  readonly revision: number;
}

/** Rows of the nodes that answered in time, and the names of those that did not. */
export interface GatheredRows {
  readonly rows: readonly Row[];
  readonly revisions: readonly NodeRevision[];
  readonly missing: readonly MissingNode[];
}

/** How other nodes are asked. */
export interface GatherOptions {
  readonly deadlineMilliseconds: number;
  /** Asks only these servers; all members by default. */
  readonly servers?: readonly string[] | undefined;
}

/** A change to be committed. */
export interface ChangeProposal {
  /** Unique; the same change sent again has the same identifier and takes effect once. */
  readonly changeId: string;
  /** Whether the change was sent before, and what became of it is not known. */
  readonly isResent?: boolean | undefined;
  readonly baseRevision: number;
  readonly configuration: Configuration;
}

/** What is known of a change by its identifier. */
export type ChangeState =
  /** The root record lists the change: it is committed and never reverts. */
  | { readonly kind: 'in-force'; readonly revision: number }
  /** The root record doesn't list it. It may still be committed while somebody proposes it. */
  | { readonly kind: 'not-found'; readonly revision: number }
  /** The platform's service could not be asked. */
  | { readonly kind: 'unresolved' };

/** Commits changes; the wiring implements it with `propose-configuration` messages to the core. */
export interface ChangePort {
  /** Resolves with the core's result, at the latest with `unresolved` when nobody can say. */
  propose(proposal: ChangeProposal): Promise<ProposalResult>;
  /** Looks the identifier up in the root record of the platform's service. */
  stateOf(changeId: string): Promise<ChangeState>;
}

/** Everything that the operator port needs of a node. `NodeBackend` implements it. */
export interface OperatorBackend extends ChangePort {
  readonly server: string;
  configuration(): Configuration;
  members(): readonly MemberView[];
  readiness(): Readiness;
  /** This node's rows for a question, before filter, order and limit. */
  rows(question: Question): Promise<readonly Row[]>;
  /** Asks the other nodes a question; their rows are not combined yet. */
  gather(question: NodeQuestion, options: GatherOptions): Promise<GatheredRows>;
  /** Finds out in which availability zones a revision is not in force. */
  survey(request: SurveyRequest): Promise<ReadonlyMap<string, ZoneSurvey>>;
  /** Answers another node for the members of the own availability zone. */
  answerZone(question: ZoneQuestion): Promise<ZoneAnswer>;
}
