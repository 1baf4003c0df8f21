import type { Configuration, ProposalResult } from '@peridotspring/core';
import type { ChangeStatement } from '@peridotspring/language/text';

import type { ChangeProposal, ChangeState, OperatorBackend } from '../operator-backend.js';
import type { Row } from '../questions/rows.js';
import type { ChangeResult, ChangeStatus, FaultsResult } from '../results.js';
import { applyCommands } from './apply-commands.js';
import type { ConfigurationDifference } from './difference.js';
import { warningsOf } from './warnings.js';

/** Changes whose result a node remembers. */
export const rememberedChanges = 1_024;

/** A change as it was proposed at this node. */
interface RememberedChange {
  readonly text: string;
  readonly outcome: Promise<ChangeResult>;
  result: ChangeResult | undefined;
}

/** A change to run. */
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
  return [`another change came first; changed since the base: ${changed}`];
}

/** Applies, proposes and remembers changes. */
export class ChangeRunner {
  private readonly remembered = new Map<string, RememberedChange>();

  public constructor(private readonly backend: OperatorBackend) {}

  /** Runs a change. One that was sent before under the same identifier is not made again. */
  public async run(request: ChangeRequest): Promise<ChangeResult | FaultsResult> {
    const earlier = this.remembered.get(request.changeId);
    // A change whose result is not known is tried again; its identifier keeps it from taking effect twice.
    if (earlier !== undefined && earlier.result?.status !== 'unresolved') {
      return this.joinEarlier(earlier, request);
    }
    const base = this.backend.configuration();
    const applied = applyCommands(base, request.statement.commands);
    if (applied.kind === 'invalid') return { errors: applied.faults, kind: 'faults' };
    const { configuration, difference } = applied;
    const notes = warningsOf(base, configuration, this.backend.members());
    const result = { ...this.emptyResult(request, base), difference, notes };
    if (request.statement.dryRun) return { ...result, status: 'dry-run' };
    if (difference.length === 0) return { ...result, revision: base.revision, status: 'unchanged' };
    return this.remember(request, this.commit(result, configuration, earlier !== undefined));
  }

  /** The rows of `show change`. */
  public async rows(changeId: string): Promise<readonly Row[]> {
    const remembered = this.remembered.get(changeId);
    const result = remembered?.result;
    if (result?.status === 'accepted') {
      return [{ change: changeId, revision: result.revision ?? null, state: 'in-force' }];
    }
    if (result?.status === 'conflict' || result?.status === 'rejected') {
      return [{ change: changeId, revision: result.revision ?? null, state: result.status }];
    }
    const state = await this.backend.stateOf(changeId);
    if (state.kind === 'in-force') {
      return [{ change: changeId, revision: state.revision, state: state.kind }];
    }
    // The store's revision says nothing of a change that it does not hold.
    const isPending = state.kind === 'not-found' && remembered !== undefined;
    return [{ change: changeId, revision: null, state: isPending ? 'pending' : state.kind }];
  }

  private async commit(
    result: ChangeResult,
    configuration: Configuration,
    isResent: boolean,
  ): Promise<ChangeResult> {
    const { baseRevision, changeId, notes } = result;
    // The change may have been sent through another node whose answer was lost.
    const state = await this.backend.stateOf(changeId);
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
    const state: ChangeState = await this.backend.stateOf(proposal.changeId);
    return state.kind === 'in-force' ? { kind: 'accepted', revision: state.revision } : result;
  }

  private async remember(
    { changeId, text }: ChangeRequest,
    outcome: Promise<ChangeResult>,
  ): Promise<ChangeResult> {
    const change: RememberedChange = { outcome, result: undefined, text };
    this.remembered.set(changeId, change);
    for (const oldest of this.remembered.keys()) {
      if (this.remembered.size <= rememberedChanges) break;
      this.remembered.delete(oldest);
    }
    try {
      change.result = await outcome;
      return change.result;
    } catch (error) {
      this.remembered.delete(changeId);
      throw error;
    }
  }

  private joinEarlier(earlier: RememberedChange, request: ChangeRequest): Promise<ChangeResult> {
    if (earlier.text === request.text) return earlier.outcome;
    return Promise.resolve({
      ...this.emptyResult(request, this.backend.configuration()),
      notes: ['this change identifier was used for another text; nothing was done'],
      status: 'rejected',
    });
  }

  private emptyResult(request: ChangeRequest, base: Configuration): ChangeResult {
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
