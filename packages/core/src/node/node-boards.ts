import { RequestClass } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { firstCallIdentifier } from './call-identifiers.js';
import { CallBoard } from './call-board.js';
import { ConfigurationBoard } from './configuration-board.js';
import { DrainControl } from './drain-control.js';
import { ExecutionBoard } from './execution-board.js';
import { KeyedBoard } from './keyed-board.js';
import { MemberBoard } from './member-board.js';
import type { NodeCoreOptions } from './node-parts.js';
import { Outbox } from './outbox.js';
import { StopSequence } from './stop-sequence.js';
import { UpstreamBoard } from './upstream-board.js';

/** The boards of one node; each connects one subsystem with the others. */
export interface NodeBoards {
  readonly outbox: Outbox;
  readonly executions: ExecutionBoard;
  readonly calls: CallBoard;
  readonly keyed: KeyedBoard;
  readonly members: MemberBoard;
  readonly configuration: ConfigurationBoard;
  readonly upstream: UpstreamBoard;
  readonly drains: DrainControl;
  readonly stop: StopSequence;
}

/** Creates the boards and connects them. */
export function createBoards(options: NodeCoreOptions): NodeBoards {
  const outbox = new Outbox((server) => options.membership.member(server)?.peerAddress);
  const requests = createRequestBoards(options, outbox, () => boards);
  const boards: NodeBoards = {
    ...requests,
    ...createControlBoards(options, outbox, requests.executions, () => boards),
    outbox,
  };
  return boards;
}

/** Attempts have positive identifiers and keyed requests negative ones, so the two never meet. */
function downwardCounter(incarnation: number): () => number {
  let next = -firstCallIdentifier(incarnation);
  return () => {
    next -= 1;
    return next;
  };
}

function createRequestBoards(
  { engine, gate, homes, identity, random, router }: NodeCoreOptions,
  outbox: Outbox,
  boards: () => NodeBoards,
): Pick<NodeBoards, 'calls' | 'executions' | 'keyed'> {
  const self = identity.server;
  const executions = new ExecutionBoard({
    gate,
    localResult: (frame, now) => {
      boards().calls.frame(self, frame, now);
    },
    outbox,
    self,
  });
  const calls = new CallBoard({
    cancelLocally: (callId, now) => {
      executions.cancel(self, callId, now);
    },
    engine,
    homeConcluded: (dispatchId, outcome, answer, now) => {
      boards().keyed.concluded(dispatchId, outcome, answer, now);
    },
    homeSettled: (dispatchId, outcome, answer, now) => {
      boards().keyed.settled(dispatchId, outcome, answer, now);
    },
    localAnswerStream: (callId) => executions.localAnswerStream(callId),
    outbox,
    router,
    self,
    startLocally: (frame, body, now) => {
      executions.start(self, frame, body, now);
    },
  });
  const keyed = new KeyedBoard({
    handedOver: (now) => {
      boards().stop.handedOver(now);
    },
    homes,
    nextCallId: downwardCounter(identity.incarnation),
    outbox,
    random,
    router,
    run: ({ body, dispatchId, head, remainingMilliseconds }, now) => {
      const owner = { dispatchId, kind: 'home' } as const;
      const requestClass = RequestClass.NonIdempotent;
      const call = { body, head, owner, requestClass, streamedBody: false };
      calls.begin(call, remainingMilliseconds, now);
    },
    self,
  });
  return { calls, executions, keyed };
}

function createControlBoards(
  options: NodeCoreOptions,
  outbox: Outbox,
  executions: ExecutionBoard,
  boards: () => NodeBoards,
): Pick<NodeBoards, 'configuration' | 'drains' | 'members' | 'stop' | 'upstream'> {
  const { configuration: keeper, engine, gate, identity, membership, polls, router } = options;
  const upstream = new UpstreamBoard({ executions, gate, outbox, polls });
  const configuration = new ConfigurationBoard({
    inForce: (inForce, now) => {
      for (const service of Object.values(inForce.services)) {
        engine.configure(service);
      }
      membership.setConfigurationRevision(inForce.revision);
      upstream.configure(inForce, now);
      boards().drains.update(now);
    },
    keeper,
    outbox,
  });
  const members = new MemberBoard({
    identity,
    membersChanged: (all, unreachable, now) => {
      boards().keyed.members(all, unreachable, now);
      keeper.setPeers(members.zonePeers());
    },
    membership,
    outbox,
    revisionSeen: (server, revision, now) => {
      configuration.apply(keeper.revisionSeen(server, revision, now), now);
    },
    router,
  });
  const drains = new DrainControl({
    apply: (draining, now) => {
      executions.apply(gate.setDraining(draining, now), now);
      members.apply(membership.setDraining(draining, now), now);
    },
    configuration: () => keeper.inForce,
    identity,
    isStopping: () => boards().stop.isStopping,
  });
  const stop = createStopSequence(options, outbox, members, boards);
  return { configuration, drains, members, stop, upstream };
}

function createStopSequence(
  { membership }: NodeCoreOptions,
  outbox: Outbox,
  members: MemberBoard,
  boards: () => NodeBoards,
): StopSequence {
  return new StopSequence({
    beginDraining: (now: ClockReading) => {
      boards().drains.update(now);
    },
    handOver: (now) => {
      boards().keyed.handOver(now);
    },
    inProgress: () => {
      const { calls, executions, keyed } = boards();
      return calls.inProgress + executions.size + keyed.inProgress;
    },
    leave: (now) => {
      members.apply(membership.leave(now), now);
    },
    outbox,
  });
}
