import type { BuildIdentity } from '@peridotspring/build-identity';
import { CallerServer } from '@peridotspring/callers';
import type { FinishedRequest } from '@peridotspring/callers';
import { DeferredInput } from '@peridotspring/http-server';
import type { SharedServerOptions } from '@peridotspring/http-server';
import { MemoryAccount } from '@peridotspring/mesh-core';
import type {
  CallerDisconnectedMessage,
  CallerRequestMessage,
  ClockReading,
  CreateNodeCoreOptions,
  NodeCore,
  NodeIdentity,
  OperatorFrame,
} from '@peridotspring/core';
import { createNodeCore } from '@peridotspring/core';
import { NodeConnections, SendResult } from '@peridotspring/nodes';
import {
  answerNodeQuestion,
  liveMembers,
  Metrics,
  NodeBackend,
  OperatorServer,
  PeerGatherer,
  RefusalHistory,
  RequestJournal,
  WorkerParser,
} from '@peridotspring/operators';
import { PlatformStore } from '@peridotspring/platform';
import { AnnouncementServer, UpstreamClient } from '@peridotspring/upstreams';
import type { AnnouncementMessage } from '@peridotspring/upstreams';

import { BodyRelay } from './driver/body-relay.js';
import { NodeDriver } from './driver/node-driver.js';
import type { ObservedCommand } from './driver/node-driver.js';
import { createIdentity, formatHostAndPort, requestIdPrefix } from './node-identity.js';
import { Logger } from './logging/logger.js';
import { LogEvent } from './logging/log-event.js';
import { registerBuildIdentity } from './operators/build-information.js';
import { registerMemoryGauges } from './mesh/memory-gauges.js';
import { ClientFaultRecorder } from './operators/client-fault-recorder.js';
import { registerGauges } from './operators/gauges.js';
import { CoreChangePort } from './operators/core-change-port.js';
import { CoreNodeView } from './operators/core-node-view.js';
import { NodeObserver } from './operators/node-observer.js';
import type { Settings } from './settings/settings.js';

/** Request bodies up to this size are buffered in full, so that the request can be retried. */
const heldBodyBytes = 65_536;
/** Maximum size of the body of a non-idempotent request. */
const keyedBodyBytes = 1_048_576;
const headersTimeoutMilliseconds = 10_000;
const requestTimeoutMilliseconds = 120_000;
const idleTimeoutMilliseconds = 10_000;
/** Memory for connections, requests and answers at the ports for operators and announcements. */
const operatorMemoryBytes = 33_554_432;

/** Handle of a started node. */
export interface RunningNode {
  readonly callerPort: number;
  /** Starts a graceful shutdown; `NodeOptions.onStopped` is called once no request is in progress. */
  stop(): void;
  close(): Promise<void>;
}

export interface NodeOptions {
  readonly build: BuildIdentity;
  readonly settings: Settings;
  readonly onStopped: () => void;
}

/** Creates and connects all parts of a node and starts listening. No other module wires them. */
export async function startNode({ build, settings, onStopped }: NodeOptions): Promise<RunningNode> {
  const clock = (): ClockReading => ({ monotonic: performance.now(), wall: Date.now() });
  const log = new Logger(settings.logLevel);
  const identity = createIdentity(settings, clock().wall);
  const core = createNodeCore({
    homes: homeSettingsOf(settings),
    identity,
    seed: (identity.incarnation ^ process.pid) >>> 0,
  });
  const store = new PlatformStore({
    onReachabilityChange: (isReachable) => {
      if (isReachable) log.info(LogEvent.PlatformAnswersAgain);
      else log.warn(LogEvent.PlatformUnreachable);
    },
    url: `http://${formatHostAndPort(settings.platformAddress)}`,
  });
  const operatorParts = createOperatorParts(
    settings,
    core,
    identity,
    store,
    log,
    clock,
    () => networkParts,
  );
  registerBuildIdentity(operatorParts.metrics, build);
  const upstream = new UpstreamClient((message) => {
    networkParts.driver.deliver(message);
  });
  const clientFaults = new ClientFaultRecorder({
    log,
    metrics: operatorParts.metrics,
    wallClock: () => clock().wall,
  });
  const createAccount = (limitBytes: number): MemoryAccount =>
    new MemoryAccount({
      limitBytes,
      onEnded: (place) => {
        clientFaults.onMemoryReclaimed(place);
      },
      onRefused: (place) => {
        clientFaults.onMemoryExhausted(place);
      },
      onReleased: () => undefined,
    });
  const callerMemory = createAccount(settings.callerMemoryBytes);
  const operatorMemory = createAccount(operatorMemoryBytes);
  const deferredInput = new DeferredInput();
  /** What the HTTP servers for other clients than callers have in common. */
  const serverOptions = (port: string): ServerOptions => ({
    clock: () => performance.now(),
    deferredInput,
    memory: operatorMemory,
    onClientFault: (fault) => {
      clientFaults.onFault(port, fault);
    },
  });
  const networkParts = createNetworkParts({
    callerOptions: { ...serverOptions('callers'), memory: callerMemory },
    clientFaults,
    clock,
    core,
    identity,
    log,
    operatorParts,
    settings,
    onStopped,
    store,
    upstream,
  });
  const announcements = new AnnouncementServer({
    ...serverOptions('announcements'),
    bindHost: settings.upstreamBindAddress.host,
    bindPort: settings.upstreamBindAddress.port,
    onMessage: (message) => {
      onAnnouncement(message, upstream, networkParts.driver, log);
    },
  });
  const parser = new WorkerParser();
  const operators = new OperatorServer({
    ...serverOptions('operators'),
    bindHost: settings.operatorBindAddress.host,
    bindPort: settings.operatorBindAddress.port,
    backend: operatorParts.backend,
    metrics: operatorParts.metrics,
    parser,
    secrets: { current: settings.operatorSecret, previous: settings.previousOperatorSecret },
  });
  registerGauges(operatorParts.metrics, {
    connections: networkParts.connections,
    core,
    store,
    view: operatorParts.view,
  });
  registerMemoryGauges(operatorParts.metrics, [callerMemory, operatorMemory]);
  await networkParts.connections.listen();
  const callerPort = await networkParts.callers.listen();
  await announcements.listen();
  await operators.listen();
  networkParts.driver.start();
  log.info(LogEvent.NodeStarted, {
    callers: formatHostAndPort(settings.callerAdvertisedAddress),
    incarnation: identity.incarnation,
    server: identity.server,
  });
  return {
    callerPort,
    close: async () => {
      networkParts.driver.close();
      operatorParts.changes.close();
      operatorParts.gatherer.close();
      parser.close();
      deferredInput.close();
      upstream.close();
      store.close();
      await Promise.all([
        announcements.close(),
        operators.close(),
        networkParts.callers.close(),
        networkParts.connections.close(),
      ]);
    },
    stop: () => {
      log.info(LogEvent.NodeStopping);
      networkParts.driver.deliver({ kind: 'stop' });
    },
  };
}

function homeSettingsOf(settings: Settings): CreateNodeCoreOptions['homes'] {
  return {
    futureToleranceMilliseconds: settings.futureKeyToleranceMilliseconds,
    keyRecordBytes: settings.keyRecordBytes,
    leaseMilliseconds: settings.leaseMilliseconds,
    maximumRecords: settings.keyRecords,
    minimumRetentionMilliseconds: settings.minimumRetentionMilliseconds,
    retentionMilliseconds: settings.retentionMilliseconds,
    maximumClockSkewMilliseconds: settings.clockSkewMilliseconds,
  };
}

interface OperatorParts {
  readonly backend: NodeBackend;
  readonly changes: CoreChangePort;
  readonly gatherer: PeerGatherer;
  readonly metrics: Metrics;
  readonly observer: NodeObserver;
  readonly view: CoreNodeView;
}

function createOperatorParts(
  settings: Settings,
  core: NodeCore,
  identity: NodeIdentity,
  store: PlatformStore,
  log: Logger,
  clock: () => ClockReading,
  networkParts: () => NetworkParts,
): OperatorParts {
  const metrics = new Metrics();
  const journal = new RequestJournal();
  const refusals = new RefusalHistory();
  const now = (): number => clock().wall;
  const observer = new NodeObserver({ journal, log, metrics, refusals, wallClock: now });
  const view = new CoreNodeView({
    clock,
    core,
    deliver: (message) => {
      networkParts().driver.deliver(message);
    },
    identity,
    keyRecordLimits: { bytes: settings.keyRecordBytes, records: settings.keyRecords },
    store,
  });
  const changes = new CoreChangePort({
    deliver: (message) => {
      networkParts().driver.deliver(message);
    },
    execute: (operation, deliver) => {
      store.execute(operation, deliver);
    },
  });
  const gatherer = new PeerGatherer({
    send: (server, frame) => {
      const address = core.subsystems.membership.member(server)?.peerAddress;
      return (
        address !== undefined &&
        networkParts().connections.send(server, address, frame) === SendResult.Accepted
      );
    },
    servers: () =>
      liveMembers(view.members())
        .map(({ server }) => server)
        .filter((server) => server !== identity.server),
  });
  const backend = new NodeBackend({ changes, gatherer, journal, now, refusals, view });
  return { backend, changes, gatherer, metrics, observer, view };
}

interface NetworkParts {
  readonly callers: CallerServer;
  readonly connections: NodeConnections;
  readonly driver: NodeDriver;
}

/** What an HTTP server needs to count what its clients send. */
type ServerOptions = Omit<SharedServerOptions, 'bindHost' | 'bindPort'>;

interface NetworkPartOptions {
  readonly callerOptions: ServerOptions;
  readonly clientFaults: ClientFaultRecorder;
  readonly clock: () => ClockReading;
  readonly core: NodeCore;
  readonly identity: NodeIdentity;
  readonly log: Logger;
  readonly operatorParts: OperatorParts;
  readonly settings: Settings;
  readonly onStopped: () => void;
  readonly store: PlatformStore;
  readonly upstream: UpstreamClient;
}

function createNetworkParts(options: NetworkPartOptions): NetworkParts {
  const { callerOptions, clock, core, identity, operatorParts, settings, store, upstream } =
    options;
  const connections = createConnections(options, () => driver);
  const callers = new CallerServer({
    ...callerOptions,
    bindHost: settings.callerBindAddress.host,
    bindPort: settings.callerBindAddress.port,
    configuration: () => core.subsystems.configuration.inForce,
    defaultTenant: settings.defaultTenant,
    deliver: (message: CallerDisconnectedMessage | CallerRequestMessage) => {
      if (message.kind === 'caller-request') {
        operatorParts.observer.onRequestReceived(message);
      }
      driver.deliver(message);
    },
    onFinished: (request: FinishedRequest) => {
      operatorParts.observer.onRequestFinished(request);
    },
    isStopping: () => core.isStopping,
    limits: {
      bodyBytes: settings.callerBodyBytes,
      connections: settings.callerConnections,
      headerBytes: settings.callerHeaderBytes,
      headersTimeoutMilliseconds,
      idleTimeoutMilliseconds,
      bufferedBodyBytes: heldBodyBytes,
      keyedBodyBytes,
      requests: settings.callerRequests,
      requestTimeoutMilliseconds,
    },
    requestIdPrefix: requestIdPrefix(identity),
  });
  const relay = new BodyRelay({
    callerRequestBody: (requestNumber) => callers.requestBodyStream(requestNumber),
    callerResponseSink: (requestNumber) => callers.responseStream(requestNumber),
    onFinished: (message) => {
      driver.deliver(message);
    },
    sendFrame: (server, frame) => {
      connections.send(server, core.subsystems.membership.member(server)?.peerAddress ?? '', frame);
    },
    upstreamResponseBody: (executionId) => upstream.responseBody(executionId),
  });
  const driver: NodeDriver = new NodeDriver({
    callers,
    clock,
    connections,
    core,
    onObservedCommand: (command) => {
      handleObservedCommand(command, options);
    },
    onOperatorFrame: (from, frame) => {
      handleOperatorFrame(from, frame, operatorParts, connections);
    },
    relay,
    store,
    upstream,
  });
  return { callers, connections, driver };
}

function createConnections(
  { clientFaults, identity, log, operatorParts, settings }: NetworkPartOptions,
  driver: () => NodeDriver,
): NodeConnections {
  return new NodeConnections({
    bindHost: settings.peerBindAddress.host,
    bindPort: settings.peerBindAddress.port,
    clock: () => performance.now(),
    events: {
      onDrained: () => undefined,
      onFrame: (from, frame) => {
        driver().onFrame(from, frame);
      },
      onConnectionLost: (server, reason, detail) => {
        // Closing an idle connection is not an error, and a busy cluster closes many of them.
        const level = reason === 'idle' ? 'debug' : 'info';
        log[level](LogEvent.PeerLost, { detail, reason, server });
        operatorParts.gatherer.onPeerLost(server);
        driver().onPeerLost(server);
      },
      onConnectionRejected: (reason, detail) => {
        clientFaults.onPeerRejected(reason, detail);
      },
      onUnsent: (server, frames) => {
        driver().onFramesNotSent(server, frames);
      },
    },
    identity,
    random: () => Math.random(),
    secrets: { current: settings.peerSecret, previous: settings.previousPeerSecret },
  });
}

function handleObservedCommand(
  command: ObservedCommand,
  { log, operatorParts, onStopped }: NetworkPartOptions,
): void {
  switch (command.kind) {
    case 'count':
    case 'journal':
    case 'log':
      operatorParts.observer.onCommand(command);
      return;
    case 'configuration-in-force':
      log.info(LogEvent.ConfigurationInForce, { revision: command.configuration.revision });
      return;
    case 'key-known':
      operatorParts.view.onKeyKnown(command);
      return;
    case 'proposal-concluded':
      log.info(LogEvent.OperatorChange, {
        proposalId: command.proposalId,
        result: command.result.kind,
        revision: 'revision' in command.result ? command.result.revision : 0,
      });
      operatorParts.changes.onProposalConcluded(command);
      return;
    case 'stopped':
      log.info(LogEvent.NodeStopped);
      onStopped();
  }
}

function handleOperatorFrame(
  from: NodeIdentity,
  frame: OperatorFrame,
  { backend, gatherer }: OperatorParts,
  connections: NodeConnections,
): void {
  if (frame.kind === 'operator-answer') {
    gatherer.onAnswer(from.server, frame);
    return;
  }
  const { question, questionId } = frame;
  void answerNodeQuestion(backend, question).then((answer) => {
    const reply = { answer, kind: 'operator-answer', questionId } as const;
    connections.send(from.server, from.peerAddress, reply);
  });
}

function onAnnouncement(
  message: AnnouncementMessage,
  upstream: UpstreamClient,
  driver: NodeDriver,
  log: Logger,
): void {
  switch (message.kind) {
    case 'upstream-announced': {
      const { address, connections, service, slots } = message.announcement;
      upstream.setAddress(address, connections);
      log.debug(LogEvent.UpstreamAnnounced, { address, service, slots });
      break;
    }
    case 'upstream-drain':
      log.info(LogEvent.UpstreamDraining, { draining: message.draining });
      break;
    case 'upstream-left':
      log.info(LogEvent.UpstreamLeft);
  }
  driver.deliver(message);
}
