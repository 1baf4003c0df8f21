import { RequestClass } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { firstCallIdentifier } from './call-identifiers.js';
import { CallCoordinator } from './call-coordinator.js';
import { ConfigurationCoordinator } from './configuration-coordinator.js';
import { DrainController } from './drain-controller.js';
import { ExecutionManager } from './execution-manager.js';
import { KeyedRequestCoordinator } from './keyed-request-coordinator.js';
import { MembershipCoordinator } from './membership-coordinator.js';
import type { NodeCoreOptions } from './node-subsystems.js';
import { Outbox } from './outbox.js';
import { ShutdownSequence } from './shutdown-sequence.js';
import { LocalUpstream } from './local-upstream.js';

/** The components of a node that connect its subsystems with each other and with the driver. */
export interface NodeComponents {
  readonly outbox: Outbox;
  readonly executions: ExecutionManager;
  readonly calls: CallCoordinator;
  readonly keyedRequests: KeyedRequestCoordinator;
  readonly members: MembershipCoordinator;
  readonly configuration: ConfigurationCoordinator;
  readonly localUpstream: LocalUpstream;
  readonly drainController: DrainController;
  readonly shutdown: ShutdownSequence;
}

/** Creates the components and connects them. */
export function createComponents(options: NodeCoreOptions): NodeComponents {
  const outbox = new Outbox((server) => options.membership.member(server)?.peerAddress);
  const requestComponents = createRequestComponents(options, outbox, () => components);
  const components: NodeComponents = {
    ...requestComponents,
    ...createControlComponents(options, outbox, requestComponents.executions, () => components),
    outbox,
  };
  return components;
}

/**
 * Attempts have positive call identifiers and keyed requests negative ones, so the two never
 * collide.
 */
function createKeyedCallIdCounter(incarnation: number): () => number {
  let next = -firstCallIdentifier(incarnation);
  return () => {
    next -= 1;
    return next;
  };
}

function createRequestComponents(
  { engine, gate, homes, identity, random, router }: NodeCoreOptions,
  outbox: Outbox,
  components: () => NodeComponents,
): Pick<NodeComponents, 'calls' | 'executions' | 'keyedRequests'> {
  const self = identity.server;
  const executions = new ExecutionManager({
    gate,
    onLocalResult: (frame, now) => {
      components().calls.handleFrame(self, frame, now);
    },
    outbox,
    self,
  });
  const calls = new CallCoordinator({
    cancelLocally: (callId, now) => {
      executions.cancel(self, callId, now);
    },
    engine,
    onHomeDispatchConcluded: (dispatchId, outcome, answer, now) => {
      components().keyedRequests.onDispatchConcluded(dispatchId, outcome, answer, now);
    },
    // For an outcome that arrives after the dispatch had already been concluded without it.
    onHomeDispatchSettled: (dispatchId, outcome, answer, now) => {
      components().keyedRequests.onDispatchSettled(dispatchId, outcome, answer, now);
    },
    localResponseStream: (callId) => executions.localResponseStream(callId),
    outbox,
    router,
    self,
    startLocally: (frame, body, now) => {
      executions.start(self, frame, body, now);
    },
  });
  const keyedRequests = new KeyedRequestCoordinator({
    onHandedOver: (now) => {
      components().shutdown.onHandedOver(now);
    },
    homes,
    nextCallId: createKeyedCallIdCounter(identity.incarnation),
    outbox,
    random,
    router,
    runKeyedRequest: ({ body, dispatchId, head, remainingMilliseconds }, now) => {
      const owner = { dispatchId, kind: 'home' } as const;
      const requestClass = RequestClass.NonIdempotent;
      const call = { body, head, owner, requestClass, streamedBody: false };
      calls.begin(call, remainingMilliseconds, now);
    },
    self,
  });
  return { calls, executions, keyedRequests: keyedRequests };
}

function createControlComponents(
  options: NodeCoreOptions,
  outbox: Outbox,
  executions: ExecutionManager,
  components: () => NodeComponents,
): Pick<
  NodeComponents,
  'configuration' | 'drainController' | 'members' | 'shutdown' | 'localUpstream'
> {
  const {
    configuration: configurationSubsystem,
    engine,
    gate,
    identity,
    membership,
    polls,
    router,
  } = options;
  const localUpstream = new LocalUpstream({ executions, gate, outbox, polls });
  const configuration = new ConfigurationCoordinator({
    onInForce: (inForce, now) => {
      for (const service of Object.values(inForce.services)) {
        engine.configure(service);
      }
      membership.setConfigurationRevision(inForce.revision);
      localUpstream.applyConfiguration(inForce, now);
      components().drainController.recompute(now);
    },
    subsystem: configurationSubsystem,
    outbox,
  });
  const members = new MembershipCoordinator({
    identity,
    onMembersChanged: (all, unreachable, now) => {
      components().keyedRequests.updateMembers(all, unreachable, now);
      configurationSubsystem.setPeers(members.zonePeers());
    },
    membership,
    outbox,
    onRevisionSeen: (server, revision, now) => {
      configuration.apply(configurationSubsystem.onRevisionObserved(server, revision, now), now);
    },
    router,
  });
  const drainController = new DrainController({
    applyDraining: (draining, now) => {
      executions.apply(gate.setDraining(draining, now), now);
      members.apply(membership.setDraining(draining, now), now);
    },
    configuration: () => configurationSubsystem.inForce,
    identity,
    isStopping: () => components().shutdown.isStopping,
  });
  const shutdown = createShutdownSequence(options, outbox, members, components);
  return {
    configuration,
    drainController,
    members,
    shutdown,
    localUpstream,
  };
}

function createShutdownSequence(
  { membership }: NodeCoreOptions,
  outbox: Outbox,
  members: MembershipCoordinator,
  components: () => NodeComponents,
): ShutdownSequence {
  return new ShutdownSequence({
    beginDraining: (now: ClockReading) => {
      components().drainController.recompute(now);
    },
    handOver: (now) => {
      components().keyedRequests.handOver(now);
    },
    inProgress: () => {
      const { calls, executions, keyedRequests } = components();
      return calls.inProgress + executions.size + keyedRequests.inProgress;
    },
    leave: (now) => {
      members.apply(membership.leave(now), now);
    },
    outbox,
  });
}
