import {
  emptyConfiguration,
  type Configuration,
  type MemberState,
  type ProposalResult,
} from '@peridotspring/core';
import { parseStatement } from '@peridotspring/language';

import {
  NodeBackend,
  PeerGatherer,
  RefusalHistory,
  RequestJournal,
  type ChangePort,
  type ChangeProposal,
  type ChangeState,
  type MemberView,
  type NodeQuestion,
  type NodeView,
  type PeerTransport,
  type StatementParser,
} from '../src/index.js';

/** Parses without a worker thread, so that tests don't wait for its start. */
export const directParser: StatementParser = {
  parse: (text) => Promise.resolve(parseStatement(text)),
};

/** A question to other nodes, as a node that parsed its text sends it. */
export function nodeQuestion(text: string): NodeQuestion {
  const parsed = parseStatement(text);
  if (parsed.kind === 'faulty' || parsed.statement.kind !== 'question') {
    throw new Error(`no question: ${text}`);
  }
  return { statement: parsed.statement, text };
}

/** A member record with everything that a test doesn't care about filled in. */
export function member(
  server: string,
  service: string,
  availabilityZone = 'bern-a',
  state: MemberState = 'serving',
): MemberView {
  return {
    availabilityZone,
    incarnation: 1,
    peerAddress: '127.0.0.1:1',
    reachable: true,
    region: 'ch-mittelland',
    server,
    service,
    slots: 6,
    state,
  };
}

/** Commits changes in memory; its answers can be lost. */
export class InMemoryChanges implements ChangePort {
  public configuration: Configuration = emptyConfiguration;
  public readonly committed = new Map<string, number>();
  public proposals = 0;
  /** Commits the next change and reports it as unresolved. */
  public losesNextAnswer = false;
  public isReachable = true;

  public propose(proposal: ChangeProposal): Promise<ProposalResult> {
    this.proposals += 1;
    const { revision } = this.configuration;
    if (proposal.baseRevision !== revision) {
      return Promise.resolve({ changedServices: ['antrag'], kind: 'conflict', revision });
    }
    this.configuration = { ...proposal.configuration, revision: revision + 1 };
    this.committed.set(proposal.changeId, revision + 1);
    if (this.losesNextAnswer) {
      this.losesNextAnswer = false;
      return Promise.resolve({ kind: 'unresolved' });
    }
    return Promise.resolve({ kind: 'accepted', revision: revision + 1 });
  }

  public stateOf(changeId: string): Promise<ChangeState> {
    if (!this.isReachable) return Promise.resolve({ kind: 'unresolved' });
    const revision = this.committed.get(changeId);
    return Promise.resolve(
      revision === undefined
        ? { kind: 'not-found', revision: this.configuration.revision }
        : { kind: 'in-force', revision },
    );
  }
}

const noPeers: PeerTransport = { send: () => false, servers: () => [] };

/** A node in memory: its view, journal, history and changes. */
export function createNode(transport: PeerTransport = noPeers): {
  readonly backend: NodeBackend;
  readonly changes: InMemoryChanges;
  readonly gatherer: PeerGatherer;
  readonly journal: RequestJournal;
  readonly refusals: RefusalHistory;
} {
  const changes = new InMemoryChanges();
  const identity = { ...member('bern-1', 'antrag'), peerAddress: '127.0.0.1:1' };
  const view: NodeView = {
    budgets: () => [{ allowed: 20, budget: 'retry', service: 'antrag', spent: 5, unit: 'tokens' }],
    configuration: () => changes.configuration,
    homes: () => [
      {
        accepting: 0,
        ranges: 16,
        service: 'antrag',
        silentWitnesses: ['bern-2', 'thun-1'],
        version: 4,
        witnesses: ['bern-1', 'bern-2', 'thun-1'],
      },
    ],
    identity,
    key: () => Promise.resolve({ home: 'bern-1', state: 'ran', status: 201 }),
    load: () => ({
      inFlight: 4,
      latencyMilliseconds: 12,
      limit: 6,
      queued: 1,
      service: 'antrag',
      state: 'serving',
    }),
    members: () => [identity, member('bern-2', 'antrag', 'bern-b', 'dead')],
    platform: () => ({
      calls: 3,
      failedCalls: 0,
      lastAnswerAt: 1_000,
      latencyMilliseconds: 2,
      reachable: true,
      watching: false,
    }),
    readiness: () => ({ causes: [], ready: true }),
    tenantUse: () => [{ inFlight: 2, queued: 0, service: 'antrag', tenant: 'agrarantrag' }],
  };
  const journal = new RequestJournal();
  const refusals = new RefusalHistory();
  const gatherer = new PeerGatherer(transport);
  const parts = { changes, gatherer, journal, now: () => 20_000, refusals, view };
  return { backend: new NodeBackend(parts), changes, gatherer, journal, refusals };
}
