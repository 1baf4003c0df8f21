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

/** Parses without a worker thread, so that tests do not wait for it to start. */
export const directParser: StatementParser = {
  parse: (text) => Promise.resolve(parseStatement(text)),
};

/** Parses a question to the form in which a node sends it to other nodes. */
export function parseNodeQuestion(text: string): NodeQuestion {
  const parsed = parseStatement(text);
  if (parsed.kind === 'faulty' || parsed.statement.kind !== 'question') {
    throw new Error(`not a question: ${text}`);
  }
  return { statement: parsed.statement, text };
}

/** Creates a member record, with defaults for the fields that tests do not vary. */
export function createMember(
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

/** Commits changes in memory. It can simulate a lost answer and an unreachable store. */
export class InMemoryChanges implements ChangePort {
  public configuration: Configuration = emptyConfiguration;
  public readonly committed = new Map<string, number>();
  public proposals = 0;
  /** Commits the next change and reports it as unresolved. */
  public isNextAnswerLost = false;
  public isReachable = true;

  public propose(proposal: ChangeProposal): Promise<ProposalResult> {
    this.proposals += 1;
    const { revision } = this.configuration;
    if (proposal.baseRevision !== revision) {
      return Promise.resolve({ changedServices: ['antrag'], kind: 'conflict', revision });
    }
    this.configuration = { ...proposal.configuration, revision: revision + 1 };
    this.committed.set(proposal.changeId, revision + 1);
    if (this.isNextAnswerLost) {
      this.isNextAnswerLost = false;
      return Promise.resolve({ kind: 'unresolved' });
    }
    return Promise.resolve({ kind: 'accepted', revision: revision + 1 });
  }

  public lookUpChange(changeId: string): Promise<ChangeState> {
    if (!this.isReachable) return Promise.resolve({ kind: 'unresolved' });
    const revision = this.committed.get(changeId);
    return Promise.resolve(
      revision === undefined
        ? { kind: 'not-found', revision: this.configuration.revision }
        : { kind: 'in-force', revision },
    );
  }
}

const transportWithoutPeers: PeerTransport = { send: () => false, servers: () => [] };

/** Creates a node in memory, with its view, journal, refusal history and changes. */
export function createNode(transport: PeerTransport = transportWithoutPeers): {
  readonly backend: NodeBackend;
  readonly changes: InMemoryChanges;
  readonly gatherer: PeerGatherer;
  readonly journal: RequestJournal;
  readonly refusals: RefusalHistory;
} {
  const changes = new InMemoryChanges();
  const identity = { ...createMember('bern-1', 'antrag'), peerAddress: '127.0.0.1:1' };
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
    findKey: () => Promise.resolve({ home: 'bern-1', state: 'ran', status: 201 }),
    load: () => ({
      inFlight: 4,
      latencyMilliseconds: 12,
      limit: 6,
      queued: 1,
      service: 'antrag',
      state: 'serving',
    }),
    members: () => [identity, createMember('bern-2', 'antrag', 'bern-b', 'dead')],
    platformStatus: () => ({
      calls: 3,
      failedCalls: 0,
      lastAnswerAt: 1_000,
      latencyMilliseconds: 2,
      isReachable: true,
      isWatching: false,
    }),
    readiness: () => ({ causes: [], ready: true }),
    tenantUsage: () => [{ inFlight: 2, queued: 0, service: 'antrag', tenant: 'agrarantrag' }],
  };
  const journal = new RequestJournal();
  const refusals = new RefusalHistory();
  const gatherer = new PeerGatherer(transport);
  const parts = { changes, gatherer, journal, now: () => 20_000, refusals, view };
  return { backend: new NodeBackend(parts), changes, gatherer, journal, refusals };
}
