import type {
  CoreMessage,
  ProposalConcludedCommand,
  ProposalResult,
  StoreOperation,
  StoreResult,
} from '@peridotspring/core';
import { findChange, rootKey } from '@peridotspring/core';
import type { ChangePort, ChangeProposal, ChangeState } from '@peridotspring/operators';

export interface CoreChangePortOptions {
  readonly deliver: (message: CoreMessage) => void;
  readonly execute: (operation: StoreOperation, onResult: (result: StoreResult) => void) => void;
}

/**
 * Proposes configuration changes through the core and looks up the state of changes in the store.
 */
export class CoreChangePort implements ChangePort {
  private readonly pendingProposals = new Map<number, (result: ProposalResult) => void>();
  private nextProposalId = 1;

  public constructor(private readonly options: CoreChangePortOptions) {}

  public propose(proposal: ChangeProposal): Promise<ProposalResult> {
    const proposalId = this.nextProposalId;
    this.nextProposalId += 1;
    return new Promise((resolve) => {
      this.pendingProposals.set(proposalId, resolve);
      this.options.deliver({ ...proposal, kind: 'propose-configuration', proposalId });
    });
  }

  public onProposalConcluded({ proposalId, result }: ProposalConcludedCommand): void {
    this.pendingProposals.get(proposalId)?.(result);
    this.pendingProposals.delete(proposalId);
  }

  public lookUpChange(changeId: string): Promise<ChangeState> {
    return new Promise((resolve) => {
      this.options.execute({ key: rootKey, kind: 'read' }, (result) => {
        resolve(changeStateOf(result, changeId));
      });
    });
  }

  /** Resolves all pending proposals as unresolved, since their result can no longer be observed. */
  public close(): void {
    for (const resolve of this.pendingProposals.values()) {
      resolve({ kind: 'unresolved' });
    }
    this.pendingProposals.clear();
  }
}

function changeStateOf(result: StoreResult, changeId: string): ChangeState {
  if (result.kind === 'missing') {
    return { kind: 'not-found', revision: 0 };
  }
  if (result.kind !== 'found') {
    return { kind: 'unresolved' };
  }
  const found = findChange(result.entry.value, changeId);
  if (found === undefined) {
    return { kind: 'unresolved' };
  }
  return found.changeRevision === undefined
    ? { kind: 'not-found', revision: found.rootRevision }
    : { kind: 'in-force', revision: found.changeRevision };
}
