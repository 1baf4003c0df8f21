import type { BuildIdentity } from '@peridotspring/build-identity';
import { RouteServer } from '@peridotspring/callers';
import { SeededRandomSource } from '@peridotspring/core';
import { DeferredInput } from '@peridotspring/http-server';
import { ClientFault, DenialCause } from '@peridotspring/mesh-core';
import type { MemoryAccount, MeshNode } from '@peridotspring/mesh-core';
import { maximumMeshBodyBytes, MeshConnections } from '@peridotspring/nodes';
import { HttpStoreTransport, StoreSession } from '@peridotspring/platform/key-values';
import { ReadinessServer, ReportServer, ServerClient } from '@peridotspring/upstreams/mesh';

import { Metrics } from '@peridotspring/operators/metrics';

import { Logger } from '../logging/logger.js';
import { registerBuildIdentity } from '../operators/build-information.js';
import { EventRecorder } from './event-recorder.js';
import {
  decodeDirectoryEntry,
  encodeDirectoryEntry,
  isSameEntry,
  latestPlausibleBoot,
  readRecordsEra,
} from './mesh-directory-entry.js';
import { MeshEvent } from './mesh-event.js';
import { registerMeshGauges } from './mesh-gauges.js';
import { createMemoryAccounts } from './memory-accounts.js';
import { registerMemoryGauges } from './memory-gauges.js';
import { MeshNodeDriver } from './mesh-node.js';
import type { MeshNodePorts } from './mesh-node-options.js';
import type { MeshSettings, SettingsResult } from './mesh-settings.js';
import type { PlatformAdapter } from './platform-adapter.js';
import { SettingsWatcher } from './settings-watcher.js';
import { isDepartureExpired } from './stored-departure.js';

/** Path of the metrics on the readiness port. */
const metricsPath = '/metrics';
/** Prefix of all keys that nodes write. */
const commonPrefix = 'peridotspring/';
/** Prefix of the keys under which nodes store their directory entries. */
const directoryPrefix = `${commonPrefix}nodes/`;
/** Prefix of the keys under which nodes store the requests that are quarantined. */
const quarantinePrefix = `${commonPrefix}quarantine/`;
/** Prefix of the keys under which nodes store the departures of servers. */
const departurePrefix = 'peridotspring-departures/';
/** Memory for connections and requests at the ports for readiness, metrics and reports. */
const operatorMemoryBytes = 4_194_304;
/** Calls to the store that take longer are logged; they usually take a few milliseconds. */
const slowStoreCallMilliseconds = 500;
/** Time-out at shutdown for closing the caller server and removing the node's directory entry. */
const shutdownTimeoutMilliseconds = 300;

/** Handle by which the process controls a running node. */
export interface RunningMeshNode {
  stop(): void;
  /** Reads the settings file now, for example after a signal. */
  reload(): void;
}

export interface MeshWiringOptions {
  readonly build: BuildIdentity;
  readonly settings: MeshSettings;
  readonly adapter: PlatformAdapter;
  readonly readSettings: () => Promise<SettingsResult>;
  readonly onStopped: () => void;
}

/** Creates and connects all components of a node that routes by host and path, and starts listening. */
export async function startMeshNode(options: MeshWiringOptions): Promise<RunningMeshNode> {
  const { adapter, settings, onStopped } = options;
  const clock = (): number => performance.now();
  const metrics = new Metrics();
  registerBuildIdentity(metrics, options.build);
  const events = createEventRecorder(settings, metrics, clock);
  events.record(MeshEvent.ProgramStarted, { ...options.build });
  const createAccount = createMemoryAccounts(settings, clock, events);
  const memory = createAccount(settings.heldMemoryBytes);
  const protocolMemory = createAccount(settings.protocolMemoryBytes);
  // Crowds of callers must not cut the node off from other nodes and from the platform.
  const peerMemory = createAccount(settings.peerMemoryBytes);
  const operatorMemory = createAccount(operatorMemoryBytes);
  const self = createSelf(settings, Date.now());
  const random = new SeededRandomSource((self.boot ^ process.pid) >>> 0);
  const driver = new MeshNodeDriver({
    clock,
    decodeConfiguration: (content) => adapter.decodeConfiguration(content),
    defer: (action) => {
      process.nextTick(action);
    },
    events,
    memory,
    ports: () => ports,
    protocolMemory,
    // The clock of the process starts at 0 with it.
    processStartedAt: 0,
    random,
    schedule: (action, milliseconds) => {
      const timer = setTimeout(action, milliseconds);
      return () => {
        clearTimeout(timer);
      };
    },
    self,
    settings,
    wallClock: () => Date.now(),
  });
  const deferredInput = new DeferredInput();
  const dependencies = { clock, events, memory, protocolMemory };
  const callers = createCallers(options, driver, deferredInput, dependencies);
  const connections = createConnections(settings, self, driver, peerMemory, dependencies);
  const server = createServerClient(options, driver, dependencies);
  const store = createStore(options, self, driver, {
    clock,
    events,
    metrics,
    random: () => random.next(),
  });
  const ports: MeshNodePorts = {
    callers,
    connections,
    server,
    store: {
      coverDepartures: () => {
        void store.session.coverDepartures();
      },
      observeEra: (era) => {
        store.session.handleReportedEra(era);
      },
      refreshDirectory: () => {
        void store.session.refreshDirectory();
      },
      removeEntry: (node) => {
        const isExpected = (stored: Uint8Array): boolean =>
          isSameEntry(readDirectoryEntry(stored), node);
        void store.session.removeEntry(node.name, isExpected);
      },
      proveConfiguration: () => {
        store.session.proveConfiguration();
      },
      refreshConfiguration: () => {
        void store.session.refreshConfiguration();
      },
      readDepartures: (group) => store.session.readDepartures(group),
      removeQuarantine: (fingerprint) => {
        store.session.removeRecord(fingerprint);
      },
      watchConfiguration: (isWatching) => {
        store.session.setConfigurationWatching(isWatching);
      },
      writeDeparture: (name, value) => store.session.writeDeparture(name, value),
      writeQuarantine: (fingerprint, value) => {
        store.session.writeRecord(fingerprint, value);
      },
    },
    onStopped: (isPermanent) => {
      // If the process will be restarted, its directory entry stays in the store.
      const closing = [callers.close()];
      if (isPermanent) closing.push(store.session.leave());
      else store.session.close();
      connections.close();
      void Promise.race([Promise.all(closing), delay(shutdownTimeoutMilliseconds)]).then(onStopped);
    },
  };
  registerMemoryGauges(metrics, [memory, protocolMemory, peerMemory, operatorMemory]);
  registerMeshGauges(metrics, {
    allotmentGauges: () => driver.allotments.gauges,
    gaugeValues: () => driver.gaugeValues,
    serviceGaugeValues: () => driver.serviceGaugeValues,
    waitingForLink: () => connections.waitingForLink,
  });
  const { host, port } = settings.reportAddress;
  const reports = new ReportServer({
    bindHost: host,
    bindPort: port,
    clock,
    codec: adapter.serverMessages,
    deferredInput,
    memory: operatorMemory,
    onClientFault: (fault) => {
      events.record(MeshEvent.ClientFaulty, { fault, port: 'reports' });
    },
    onErrorContained: (error) => {
      recordContainedError(events, 'server-message', 'none', error);
    },
    onMessage: (message, isFresh) => driver.onServerMessage(message, isFresh),
  });
  const readiness = new ReadinessServer({
    bindHost: settings.readinessAddress.host,
    bindPort: settings.readinessAddress.port,
    clock,
    deferredInput,
    memory: operatorMemory,
    onClientFault: (fault) => {
      events.record(MeshEvent.ClientFaulty, { fault, port: 'readiness' });
    },
    pages: [
      {
        path: adapter.readinessPath,
        render: () =>
          driver.isReady ? { status: 200, text: 'ready\n' } : { status: 503, text: 'not ready\n' },
      },
      { path: metricsPath, render: async () => ({ status: 200, text: await metrics.text() }) },
    ],
  });
  store.session.start();
  await Promise.all([connections.listen(), callers.listen(), reports.listen(), readiness.listen()]);
  driver.start();
  events.record(MeshEvent.NodeStarted, { boot: self.boot, service: self.service });
  const settingsWatcher = createSettingsWatcher(options, driver, events);
  return {
    reload: () => {
      void settingsWatcher.check();
    },
    stop: () => {
      settingsWatcher.close();
      events.record(MeshEvent.NodeStopping, {});
      driver.stop();
    },
  };
}

function createEventRecorder(
  { logLevel, nodeName }: MeshSettings,
  metrics: Metrics,
  clock: () => number,
): EventRecorder {
  const logger = new Logger(logLevel);
  return new EventRecorder({
    clock,
    metrics,
    wallClock: () => Date.now(),
    write: (event, fields, time) => {
      const fieldsWithNode = { node: nodeName, ...fields };
      logger.command({ event, fields: fieldsWithNode, kind: 'log', level: 'info' }, time);
    },
  });
}

interface NodeDependencies {
  readonly clock: () => number;
  readonly events: EventRecorder;
  readonly memory: MemoryAccount;
  readonly protocolMemory: MemoryAccount;
}

function recordContainedError(
  events: EventRecorder,
  place: string,
  request: string,
  { message }: Error,
): void {
  events.record(MeshEvent.ErrorContained, { detail: message, place, request });
}

function createSettingsWatcher(
  { readSettings, settings }: MeshWiringOptions,
  driver: MeshNodeDriver,
  events: EventRecorder,
): SettingsWatcher {
  return new SettingsWatcher({
    onChange: (changed, fields) => {
      events.record(MeshEvent.SettingsReloaded, { changed: fields.join() });
      driver.applySettings(changed);
    },
    onInvalid: (faults) => {
      for (const { expected, field } of faults) {
        events.record(MeshEvent.SettingsInvalid, { expected, field });
      }
    },
    read: readSettings,
    settings,
    onUnknownFields: (fields) => {
      events.record(MeshEvent.SettingsFieldUnknown, { fields: fields.join() });
    },
  });
}

function createSelf(settings: MeshSettings, boot: number): MeshNode {
  const { availabilityZone, nodeName, peerAddress, region, service } = settings;
  const address = `${peerAddress.host}:${peerAddress.port}`;
  return { address, availabilityZone, boot, name: nodeName, region, service };
}

function createCallers(
  { adapter, settings }: MeshWiringOptions,
  driver: MeshNodeDriver,
  deferredInput: DeferredInput,
  { clock, events, memory, protocolMemory }: NodeDependencies,
): RouteServer {
  return new RouteServer({
    deferredInput,
    onAnsweredLocally: ({ detail, requestId, status }) => {
      events.record(MeshEvent.RequestAnsweredLocally, { detail, request: requestId, status });
      if (detail === DenialCause.KeyUnproven) events.count('requests_key_unproven');
    },
    bindHost: settings.callerAddress.host,
    bindPort: settings.callerAddress.port,
    clock,
    maximumConnections: settings.callerConnections,
    memory,
    protocolMemory,
    onClientFault: (fault) => {
      if (fault === ClientFault.TooManyConnections)
        events.record(MeshEvent.ConnectionsExhausted, { limit: settings.callerConnections });
      events.record(MeshEvent.ClientFaulty, { fault, port: 'callers' });
    },
    onRequest: (request) => {
      driver.onCallerRequest(request);
    },
    onCallerGone: (requestNumber) => {
      driver.onCallerDisconnected(requestNumber);
    },
    headerNames: adapter.callerHeaders,
    onErrorContained: (requestId, error) => {
      recordContainedError(events, 'caller', requestId, error);
    },
    onRequestsDiscarded: (requests) => {
      events.record(MeshEvent.RequestsNotPassedOn, { requests });
    },
    routing: () => driver.routing,
    onPipelineWait: ({ beforeStartMilliseconds, requestId, withAnswerMilliseconds }) => {
      events.recordHeadOfLineWait({
        beforeStart: Math.round(beforeStartMilliseconds),
        request: requestId,
        withAnswer: Math.round(withAnswerMilliseconds),
      });
    },
  });
}

function createConnections(
  settings: MeshSettings,
  self: MeshNode,
  driver: MeshNodeDriver,
  peerMemory: MemoryAccount,
  { clock, memory }: NodeDependencies,
): MeshConnections {
  return new MeshConnections({
    bindHost: settings.peerAddress.host,
    bindPort: settings.peerAddress.port,
    clock,
    events: {
      onConfirmed: (node) => {
        driver.onConnectionConfirmed(node);
      },
      onConnected: (hello) => {
        driver.onConnected(hello);
      },
      onDialFailed: (node, detail, isRefused) => {
        driver.onDialFailed(node, detail, isRefused);
      },
      onDisconnected: (node, detail) => {
        driver.onDisconnected(node, detail);
      },
      onFrame: (from, frame) => {
        driver.onFrame(from, frame);
      },
      onSuspected: (node) => {
        driver.onConnectionSuspected(node);
      },
    },
    helloPayload: () => driver.helloPayload,
    linkMegabitsPerSecond: settings.linkMegabitsPerSecond,
    maximumUnnamedConnections: settings.unnamedPeerConnections,
    memory,
    connectionMemory: peerMemory,
    self,
  });
}

function createServerClient(
  { adapter, settings }: MeshWiringOptions,
  driver: MeshNodeDriver,
  { clock, events, memory }: NodeDependencies,
): ServerClient {
  return new ServerClient({
    memory,
    responseMemoryBytes: Math.min(settings.answerMemoryBytes, maximumMeshBodyBytes),
    clock,
    codec: adapter.serverHeaders,
    onResult: (executionId, result) => {
      driver.onExecutionConcluded(executionId, result);
    },
    host: settings.serverAddress.host,
    onErrorContained: (requestId, error) => {
      recordContainedError(events, 'server', requestId ?? 'health-check', error);
    },
    onLoadReport: (load) => {
      driver.onServerLoad(load);
    },
    onNotice: (notice) => {
      driver.onServerNotice(notice);
    },
    onUnexpectedInstance: (instanceId) => {
      driver.onUnexpectedInstance(instanceId);
    },
    port: settings.serverAddress.port,
  });
}

interface StoreDependencies {
  readonly clock: () => number;
  readonly events: EventRecorder;
  readonly metrics: Metrics;
  readonly random: () => number;
}

interface StoreConnection {
  readonly session: StoreSession;
  readonly transport: HttpStoreTransport;
}

function createStore(
  { adapter, settings }: MeshWiringOptions,
  self: MeshNode,
  driver: MeshNodeDriver,
  { clock, events, metrics, random }: StoreDependencies,
): StoreConnection {
  const transport = new HttpStoreTransport({
    clock,
    codec: adapter.storeCalls,
    contentType: adapter.storeContentType,
    host: settings.storeAddress.host,
    onCallCompleted: (call, outcome, milliseconds) => {
      if (outcome !== 'ok' || milliseconds > slowStoreCallMilliseconds) {
        events.record(MeshEvent.StoreCalled, {
          call,
          milliseconds: Math.round(milliseconds),
          outcome,
        });
      } else metrics.count({ by: 1, counter: 'store_calls', kind: 'count', labels: { call } });
    },
    port: settings.storeAddress.port,
  });
  const session = new StoreSession({
    clock,
    codec: adapter.storeCalls,
    onConfigurationRead: (content) => {
      driver.onConfigurationRead(content);
    },
    onConfigurationConfirmed: (sentAt) => {
      driver.onConfigurationConfirmed(sentAt);
    },
    proofClock: () => driver.leaseClock.now(),
    isProofDue: () => driver.isProofRenewalUseful,
    propagationMilliseconds: settings.configurationPropagationMilliseconds,
    wallClock: () => Date.now(),
    watchTurn: () => driver.watchTurn,
    onEvacuationsRead: (read, era) => {
      driver.onEvacuationsRead(read, era);
    },
    commonPrefix,
    departurePrefix,
    directoryPrefix,
    isDepartureExpired: (value) => isDepartureExpired(value, Date.now()),
    onDirectoryRead: () => {
      driver.onDirectoryRead();
    },
    createEntry: (recordsEra) => encodeDirectoryEntry(self, recordsEra),
    readRecordsEra,
    isEntryCurrent: (stored) => isSameEntry(readDirectoryEntry(stored), self),
    onEraObserved: (era, isRestored) => {
      driver.onStoreEraObserved(era, isRestored);
    },
    onEntryRead: ({ value }) => {
      const node = readDirectoryEntry(value);
      if (node !== undefined) driver.onNodeObserved(node);
    },
    nodeName: self.name,
    onRecordRead: (value) => {
      driver.onQuarantineRead(value);
    },
    random,
    recordPrefix: quarantinePrefix,
    onReachabilityChange: (isReachable, detail) => {
      const event = isReachable ? MeshEvent.StoreReachable : MeshEvent.StoreUnreachable;
      events.record(event, { detail });
      driver.onStoreReachabilityChanged(isReachable);
    },
    transport,
  });
  return { session, transport };
}

function readDirectoryEntry(value: Uint8Array): MeshNode | undefined {
  return decodeDirectoryEntry(value, latestPlausibleBoot(Date.now()));
}

async function delay(milliseconds: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
