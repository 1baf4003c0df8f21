import type { Configuration, ProposalResult } from '@peridotspring/core';
import type { ChangeStatement } from '@peridotspring/language/text';

import type { ChangeProposal, ChangeState, OperatorBackend } from '../operator-backend.js';
import type { Row } from '../questions/rows.js';
import type { ChangeResult, ChangeStatus, InvalidQueryResult } from '../results.js';
import { applyCommands } from './apply-commands.js';
import type { ConfigurationDifference } from './difference.js';
import { findWarnings } from './warnings.js';

/** Limit of the changes whose results a node keeps. */
export const maximumRememberedChanges = 1_024;

/** A change that was proposed through this node. */
interface RememberedChange {
  readonly text: string;
  readonly pendingResult: Promise<ChangeResult>;
  result: ChangeResult | undefined;
}

export interface ChangeRequest {
  readonly text: string;
  readonly changeId: string;
  readonly statement: ChangeStatement;
}

const statusOfProposal: Readonly<Record<ProposalResult['kind'], ChangeStatus>> = {
  accepted: 'accepted',
  conflict: 'conflict',
  rejected: 'rejected',
  unresolved: 'unresolved',
};

function notesOf(result: ProposalResult): readonly string[] {
  if (result.kind === 'rejected') return [result.reason];
  if (result.kind !== 'conflict') return [];
  const changed = result.changedServices.join(', ');
  return [`another change was committed first; changed since the base: ${changed}`];
}

/** Applies and proposes changes, and keeps their results. */
export class ChangeRunner {
  private readonly remembered = new Map<string, RememberedChange>();

  public constructor(private readonly backend: OperatorBackend) {}

  /** Runs a change. A change that was sent before under the same identifier is not proposed again. */
  public async run(request: ChangeRequest): Promise<ChangeResult | InvalidQueryResult> {
    const earlier = this.remembered.get(request.changeId);
    // A change with an unknown result is proposed again; its identifier prevents it from taking effect
    // twice.
    if (earlier !== undefined && earlier.result?.status !== 'unresolved') {
      return this.resultOfEarlierChange(earlier, request);
    }
    const base = this.backend.configuration();
    const applied = applyCommands(base, request.statement.commands);
    if (applied.kind === 'invalid') return { errors: applied.errors, kind: 'faults' };
    const { configuration, difference } = applied;
    const notes = findWarnings(base, configuration, this.backend.members());
    const result = { ...this.createEmptyResult(request, base), difference, notes };
    if (request.statement.dryRun) return { ...result, status: 'dry-run' };
    if (difference.length === 0) return { ...result, revision: base.revision, status: 'unchanged' };
    return this.remember(request, this.commit(result, configuration, earlier !== undefined));
  }

  /** The rows of `show change`. */
  public async rowsOfChange(changeId: string): Promise<readonly Row[]> {
    const remembered = this.remembered.get(changeId);
    const result = remembered?.result;
    if (result?.status === 'accepted') {
      return [{ change: changeId, revision: result.revision ?? null, state: 'in-force' }];
    }
    if (result?.status === 'conflict' || result?.status === 'rejected') {
      return [{ change: changeId, revision: result.revision ?? null, state: result.status }];
    }
    const state = await this.backend.lookUpChange(changeId);
    if (state.kind === 'in-force') {
      return [{ change: changeId, revision: state.revision, state: state.kind }];
    }
    // The store's revision says nothing about a change that the store does not list.
    const isPending = state.kind === 'not-found' && remembered !== undefined;
    return [{ change: changeId, revision: null, state: isPending ? 'pending' : state.kind }];
  }

  private async commit(
    result: ChangeResult,
    configuration: Configuration,
    isResent: boolean,
  ): Promise<ChangeResult> {
    const { baseRevision, changeId, notes } = result;
    // The change may already have been committed through another node whose response was lost.
    const state = await this.backend.lookUpChange(changeId);
    if (state.kind === 'in-force') {
      return { ...result, revision: state.revision, status: 'accepted' };
    }
    const proposal = await this.propose({ baseRevision, changeId, configuration, isResent });
    return {
      ...result,
      notes: [...notes, ...notesOf(proposal)],
      revision: 'revision' in proposal ? proposal.revision : undefined,
      status: statusOfProposal[proposal.kind],
    };
  }

  private async propose(proposal: ChangeProposal): Promise<ProposalResult> {
    const result = await this.backend.propose(proposal);
    if (result.kind !== 'unresolved') return result;
    const state: ChangeState = await this.backend.lookUpChange(proposal.changeId);
    return state.kind === 'in-force' ? { kind: 'accepted', revision: state.revision } : result;
  }

  private async remember(
    { changeId, text }: ChangeRequest,
    pendingResult: Promise<ChangeResult>,
  ): Promise<ChangeResult> {
    const change: RememberedChange = { pendingResult, result: undefined, text };
    this.remembered.set(changeId, change);
    for (const oldest of this.remembered.keys()) {
      if (this.remembered.size <= maximumRememberedChanges) break;
      this.remembered.delete(oldest);
    }
    try {
      change.result = await pendingResult;
      return change.result;
    } catch (error) {
      this.remembered.delete(changeId);
      throw error;
    }
  }

  private resultOfEarlierChange(
    earlier: RememberedChange,
    request: ChangeRequest,
  ): Promise<ChangeResult> {
    if (earlier.text === request.text) return earlier.pendingResult;
    return Promise.resolve({
      ...this.createEmptyResult(request, this.backend.configuration()),
      notes: ['this change identifier was already used for a different text; nothing was done'],
      status: 'rejected',
    });
  }

  private createEmptyResult(request: ChangeRequest, base: Configuration): ChangeResult {
    const difference: readonly ConfigurationDifference[] = [];
    return {
      baseRevision: base.revision,
      changeId: request.changeId,
      difference,
      inForce: undefined,
      kind: 'change',
      notes: [],
      revision: undefined,
      status: 'rejected',
    };
  }
}
