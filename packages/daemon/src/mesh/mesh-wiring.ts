import { RouteServer } from '@peridotspring/callers';
import { SeededRandomSource } from '@peridotspring/core';
import type { MeshNode } from '@peridotspring/mesh-core';
import { MeshConnections } from '@peridotspring/nodes';
import { HttpStoreTransport, StoreSession } from '@peridotspring/platform/key-values';
import { ReadinessServer, ReportServer, ServerClient } from '@peridotspring/upstreams/mesh';

import { Metrics } from '@peridotspring/operators/metrics';

import { Logger } from '../logging/logger.js';
import { EventRecorder } from './event-recorder.js';
import { decodeDirectoryEntry, encodeDirectoryEntry, isSameEntry } from './mesh-directory-entry.js';
import { MeshEvent } from './mesh-event.js';
import { registerMeshGauges } from './mesh-gauges.js';
import { MeshNodeDriver } from './mesh-node.js';
import type { MeshNodePorts } from './mesh-node.js';
import type { MeshSettings, SettingsResult } from './mesh-settings.js';
import type { PlatformAdapter } from './platform-adapter.js';
import { SettingsWatch } from './settings-watch.js';

/** Where the readiness port serves the metrics. */
const metricsPath = '/metrics';
/** Where nodes keep their entries in the store. */
const directoryPrefix = 'peridotspring/nodes/';
/** A call to the store that takes longer is logged; it usually takes a few milliseconds. */
const slowStoreMilliseconds = 500;
/** The removal of the node's entry is not waited for longer than this when a process stops. */
const leaveMilliseconds = 300;

/** A node that runs, as its process sees it. */
export interface RunningMeshNode {
  stop(): void;
  /** Reads the settings file now, as a signal asks. */
  reload(): void;
}

export interface MeshWiringOptions {
  readonly settings: MeshSettings;
  readonly adapter: PlatformAdapter;
  readonly readSettings: () => Promise<SettingsResult>;
  readonly stopped: () => void;
}

/** Creates every part of a node that routes by host and path, connects them and starts to listen. */
export async function startMeshNode(options: MeshWiringOptions): Promise<RunningMeshNode> {
  const { adapter, settings, stopped } = options;
  const clock = (): number => performance.now();
  const metrics = new Metrics();
  const events = createEvents(settings, metrics, clock);
  const self = nodeOf(settings, Date.now());
  const random = new SeededRandomSource((self.boot ^ process.pid) >>> 0);
  const driver = new MeshNodeDriver({
    clock,
    decodeConfiguration: (content) => adapter.decodeConfiguration(content),
    defer: (action) => {
      process.nextTick(action);
    },
    events,
    ports: () => ports,
    random,
    schedule: (action, milliseconds) => {
      const timer = setTimeout(action, milliseconds);
      return () => {
        clearTimeout(timer);
      };
    },
    self,
    settings,
  });
  const callers = createCallers(options, driver, clock, events);
  const links = createLinks(settings, self, driver, clock);
  const server = createServerClient(options, driver, clock);
  const store = createStore(options, self, driver, {
    clock,
    events,
    metrics,
    random: () => random.next(),
  });
  const ports: MeshNodePorts = {
    callers,
    links,
    server,
    store: {
      eraTold: (era) => {
        store.session.eraTold(era);
      },
      refreshDirectory: () => {
        void store.session.refreshDirectory();
      },
      removeEntry: (node) => {
        const isExpected = (stored: Uint8Array): boolean =>
          isSameEntry(decodeDirectoryEntry(stored), node);
        void store.session.removeEntry(node.name, isExpected);
      },
      watchConfiguration: (isWatching) => {
        store.session.watchConfiguration(isWatching);
      },
    },
    stopped: (isForGood) => {
      // A process that is started again finds its entry as it was.
      const closing = [callers.close()];
      if (isForGood) closing.push(store.session.leave());
      else store.session.close();
      links.close();
      void Promise.race([Promise.all(closing), delay(leaveMilliseconds)]).then(stopped);
    },
  };
  registerMeshGauges(metrics, {
    figures: () => driver.figures,
    serviceFigures: () => driver.serviceFigures,
  });
  const { host, port } = settings.reportAddress;
  const reports = new ReportServer({
    bindHost: host,
    bindPort: port,
    codec: adapter.serverMessages,
    deliver: (message) => driver.serverMessage(message),
  });
  const readiness = new ReadinessServer(
    settings.readinessAddress.host,
    settings.readinessAddress.port,
    [
      {
        path: adapter.readinessPath,
        render: () =>
          driver.isReady ? { status: 200, text: 'ready\n' } : { status: 503, text: 'not ready\n' },
      },
      { path: metricsPath, render: async () => ({ status: 200, text: await metrics.text() }) },
    ],
  );
  store.session.start();
  await Promise.all([links.listen(), callers.listen(), reports.listen(), readiness.listen()]);
  driver.start();
  events.record(MeshEvent.NodeStarted, { boot: self.boot, service: self.service });
  const watch = createSettingsWatch(options, driver, events);
  return {
    reload: () => {
      void watch.check();
    },
    stop: () => {
      watch.close();
      events.record(MeshEvent.NodeStopping, {});
      driver.stop();
    },
  };
}

function createEvents(
  { logLevel, nodeName }: MeshSettings,
  metrics: Metrics,
  clock: () => number,
): EventRecorder {
  const log = new Logger(logLevel);
  return new EventRecorder({
    clock,
    metrics,
    wallClock: () => Date.now(),
    write: (event, fields, time) => {
      const named = { node: nodeName, ...fields };
      log.command({ event, fields: named, kind: 'log', level: 'info' }, time);
    },
  });
}

function createSettingsWatch(
  { readSettings, settings }: MeshWiringOptions,
  driver: MeshNodeDriver,
  events: EventRecorder,
): SettingsWatch {
  return new SettingsWatch({
    changed: (changed, fields) => {
      events.record(MeshEvent.SettingsReloaded, { changed: fields.join() });
      driver.applySettings(changed);
    },
    invalid: (faults) => {
      for (const { expected, field } of faults) {
        events.record(MeshEvent.SettingsInvalid, { expected, field });
      }
    },
    read: readSettings,
    settings,
    unknown: (fields) => {
      events.record(MeshEvent.SettingsFieldUnknown, { fields: fields.join() });
    },
  });
}

function nodeOf(settings: MeshSettings, boot: number): MeshNode {
  const { availabilityZone, nodeName, peerAddress, region, service } = settings;
  const address = `${peerAddress.host}:${peerAddress.port}`;
  return { address, availabilityZone, boot, name: nodeName, region, service };
}

function createCallers(
  { adapter, settings }: MeshWiringOptions,
  driver: MeshNodeDriver,
  clock: () => number,
  events: EventRecorder,
): RouteServer {
  return new RouteServer({
    onAnsweredLocally: ({ detail, requestId, status }) => {
      events.record(MeshEvent.RequestAnsweredLocally, { detail, request: requestId, status });
    },
    bindHost: settings.callerAddress.host,
    bindPort: settings.callerAddress.port,
    clock,
    onRequest: (request) => {
      driver.callerRequest(request);
    },
    onCallerGone: (requestNumber) => {
      driver.callerGone(requestNumber);
    },
    headerNames: adapter.callerHeaders,
    onRequestsDiscarded: (requests) => {
      events.record(MeshEvent.RequestsNotPassedOn, { requests });
    },
    routing: () => driver.routing,
    onPipelineWait: ({ beforeStartMilliseconds, requestId, withAnswerMilliseconds }) => {
      events.waitedBehind({
        beforeStart: Math.round(beforeStartMilliseconds),
        request: requestId,
        withAnswer: Math.round(withAnswerMilliseconds),
      });
    },
  });
}

function createLinks(
  settings: MeshSettings,
  self: MeshNode,
  driver: MeshNodeDriver,
  clock: () => number,
): MeshConnections {
  return new MeshConnections({
    bindHost: settings.peerAddress.host,
    bindPort: settings.peerAddress.port,
    clock,
    events: {
      onConnected: (hello) => {
        driver.connected(hello);
      },
      onDialFailed: (node, detail, isRefused) => {
        driver.dialFailed(node, detail, isRefused);
      },
      onDisconnected: (node, detail) => {
        driver.disconnected(node, detail);
      },
      onFrame: (from, frame) => {
        driver.frame(from, frame);
      },
    },
    helloPayload: () => driver.greeting,
    self,
  });
}

function createServerClient(
  { adapter, settings }: MeshWiringOptions,
  driver: MeshNodeDriver,
  clock: () => number,
): ServerClient {
  return new ServerClient({
    answerMemoryBytes: settings.answerMemoryBytes,
    clock,
    codec: adapter.serverHeaders,
    concluded: (executionId, result) => {
      driver.executionConcluded(executionId, result);
    },
    host: settings.serverAddress.host,
    load: (load) => {
      driver.serverLoad(load);
    },
    otherInstance: (instanceId) => {
      driver.otherInstance(instanceId);
    },
    port: settings.serverAddress.port,
  });
}

interface StoreTools {
  readonly clock: () => number;
  readonly events: EventRecorder;
  readonly metrics: Metrics;
  readonly random: () => number;
}

interface StoreParts {
  readonly session: StoreSession;
  readonly transport: HttpStoreTransport;
}

function createStore(
  { adapter, settings }: MeshWiringOptions,
  self: MeshNode,
  driver: MeshNodeDriver,
  { clock, events, metrics, random }: StoreTools,
): StoreParts {
  const transport = new HttpStoreTransport({
    clock,
    codec: adapter.storeCalls,
    contentType: adapter.storeContentType,
    host: settings.storeAddress.host,
    observed: (call, outcome, milliseconds) => {
      if (outcome !== 'ok' || milliseconds > slowStoreMilliseconds) {
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
    configurationRead: (content) => {
      driver.configurationRead(content);
    },
    directoryPrefix,
    directoryRead: () => {
      driver.directoryRead();
    },
    entry: encodeDirectoryEntry(self),
    isEntryCurrent: (stored) => isSameEntry(decodeDirectoryEntry(stored), self),
    eraSeen: (era, isRestored) => {
      driver.storeEraSeen(era, isRestored);
    },
    entryRead: ({ value }) => {
      const node = decodeDirectoryEntry(value);
      if (node !== undefined) driver.nodeMentioned(node);
    },
    nodeName: self.name,
    random,
    reachabilityChanged: (isReachable, detail) => {
      const event = isReachable ? MeshEvent.StoreReachable : MeshEvent.StoreUnreachable;
      events.record(event, { detail });
      driver.storeReached(isReachable);
    },
    transport,
  });
  return { session, transport };
}

async function delay(milliseconds: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
