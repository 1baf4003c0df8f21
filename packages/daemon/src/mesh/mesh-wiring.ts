import { RouteServer } from '@peridotspring/callers';
import { SeededRandomSource } from '@peridotspring/core';
import type { MeshNode } from '@peridotspring/mesh-core';
import { MeshLinks } from '@peridotspring/nodes';
import { HttpStoreTransport, StoreSession } from '@peridotspring/platform';
import { ReadinessServer, ReportServer, ServerClient } from '@peridotspring/upstreams';

import { Logger } from '../logging/logger.js';
import { decodeDirectoryEntry, encodeDirectoryEntry } from './mesh-directory-entry.js';
import { MeshEvent } from './mesh-event.js';
import { MeshNodeDriver } from './mesh-node.js';
import type { MeshNodePorts } from './mesh-node.js';
import type { MeshSettings } from './mesh-settings.js';
import type { PlatformAdapter } from './platform-adapter.js';

/** Where nodes keep their entries in the store. */
const directoryPrefix = 'peridotspring/nodes/';
/** The end of a lease is not waited for longer than this when a process stops. */
const leaveMilliseconds = 300;

/** A node that runs, as its process sees it. */
export interface RunningMeshNode {
  stop(): void;
}

export interface MeshWiringOptions {
  readonly settings: MeshSettings;
  readonly adapter: PlatformAdapter;
  readonly stopped: () => void;
}

/** Creates every part of a node that routes by host and path, connects them and starts to listen. */
export async function startMeshNode(options: MeshWiringOptions): Promise<RunningMeshNode> {
  const { adapter, settings, stopped } = options;
  const clock = (): number => performance.now();
  const log = new Logger(settings.logLevel);
  const self = nodeOf(settings, Date.now());
  const random = new SeededRandomSource((self.boot ^ process.pid) >>> 0);
  const driver = new MeshNodeDriver({
    clock,
    decodeConfiguration: (content) => adapter.decodeConfiguration(content),
    log,
    ports: () => ports,
    random,
    self,
    settings,
  });
  const callers = createCallers(options, driver, clock, log);
  const links = createLinks(settings, self, driver, clock);
  const server = createServerClient(options, driver, clock);
  const store = createStore(options, self, driver, clock, log, () => random.next());
  const ports: MeshNodePorts = {
    callers,
    links,
    server,
    stopped: () => {
      const closing = [store.session.leave(), callers.close()];
      links.close();
      void Promise.race([Promise.all(closing), delay(leaveMilliseconds)]).then(stopped);
    },
  };
  const { host, port } = settings.reportAddress;
  const reports = new ReportServer({
    bindHost: host,
    bindPort: port,
    codec: adapter.serverMessages,
    deliver: (message) => {
      driver.serverMessage(message);
    },
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
    ],
  );
  store.session.start();
  await Promise.all([links.listen(), callers.listen(), reports.listen(), readiness.listen()]);
  driver.start();
  log.command({
    event: MeshEvent.NodeStarted,
    fields: { boot: self.boot, node: self.name, service: self.service },
    kind: 'log',
    level: 'info',
  });
  return {
    stop: () => {
      driver.stop();
    },
  };
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
  log: Logger,
): RouteServer {
  return new RouteServer({
    answeredLocally: ({ detail, requestId, status }) => {
      log.command({
        event: MeshEvent.RequestAnsweredLocally,
        fields: { detail, request: requestId, status },
        kind: 'log',
        level: 'info',
      });
    },
    bindHost: settings.callerAddress.host,
    bindPort: settings.callerAddress.port,
    clock,
    deliver: (request) => {
      driver.callerRequest(request);
    },
    gone: (requestNumber) => {
      driver.callerGone(requestNumber);
    },
    names: adapter.callerHeaders,
    routing: () => driver.routing,
  });
}

function createLinks(
  settings: MeshSettings,
  self: MeshNode,
  driver: MeshNodeDriver,
  clock: () => number,
): MeshLinks {
  return new MeshLinks({
    bindHost: settings.peerAddress.host,
    bindPort: settings.peerAddress.port,
    clock,
    events: {
      connected: (hello) => {
        driver.connected(hello);
      },
      dialFailed: (node, detail, isRefused) => {
        driver.dialFailed(node, detail, isRefused);
      },
      disconnected: (node, detail) => {
        driver.disconnected(node, detail);
      },
      frame: (from, frame) => {
        driver.frame(from, frame);
      },
    },
    greeting: () => driver.greeting,
    self,
  });
}

function createServerClient(
  { adapter, settings }: MeshWiringOptions,
  driver: MeshNodeDriver,
  clock: () => number,
): ServerClient {
  return new ServerClient({
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

interface StoreParts {
  readonly session: StoreSession;
  readonly transport: HttpStoreTransport;
}

function createStore(
  { adapter, settings }: MeshWiringOptions,
  self: MeshNode,
  driver: MeshNodeDriver,
  clock: () => number,
  log: Logger,
  random: () => number,
): StoreParts {
  const transport = new HttpStoreTransport({
    clock,
    contentType: adapter.storeContentType,
    host: settings.storeAddress.host,
    observed: () => undefined,
    port: settings.storeAddress.port,
  });
  const session = new StoreSession({
    codec: adapter.storeCalls,
    configurationRead: (content) => {
      driver.configurationRead(content, 'store');
    },
    directoryPrefix,
    directoryRead: () => {
      driver.directoryRead();
    },
    entry: encodeDirectoryEntry(self),
    entryRead: ({ value }) => {
      const node = decodeDirectoryEntry(value);
      if (node !== undefined) driver.nodeMentioned(node);
    },
    nodeName: self.name,
    random,
    reachabilityChanged: (isReachable, detail) => {
      const event = isReachable ? MeshEvent.StoreReachable : MeshEvent.StoreUnreachable;
      log.command({ event, fields: { detail }, kind: 'log', level: 'info' });
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
