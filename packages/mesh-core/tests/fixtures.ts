import { MemoryAccount } from '../src/index.js';
import type {
  EntryRequest,
  GateLoad,
  MeshNode,
  Route,
  RouteConfiguration,
  ServerReport,
  StartFrame,
} from '../src/index.js';

/** An account that has room for what most tests hold. */
export function createMemoryAccount(limitBytes = 268_435_456): MemoryAccount {
  return new MemoryAccount({
    limitBytes,
    onEnded: () => undefined,
    onRefused: () => undefined,
    onReleased: () => undefined,
  });
}

export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    host: 'a.example',
    idempotent: true,
    isPublic: false,
    maximumAttempts: 2,
    name: 'lookup',
    pathPrefix: '/',
    priority: 1,
    split: [{ service: 'shop', weight: 1 }],
    targetLatencyMilliseconds: 400,
    timeoutMilliseconds: 1_000,
    ...changes,
  };
}

export function createConfiguration(changes: Partial<RouteConfiguration> = {}): RouteConfiguration {
  return {
    limits: {
      bodyBytes: 1_000,
      headerBytes: 1_000,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
    },
    routes: [],
    services: new Map(),
    version: 1,
    ...changes,
  };
}

export function createStartFrame(changes: Partial<StartFrame> = {}): StartFrame {
  return {
    callerService: 'web',
    callId: 1,
    headers: [],
    idempotent: true,
    kind: 'start',
    method: 'GET',
    nested: false,
    optional: false,
    path: '/',
    priority: 1,
    remainingMilliseconds: 1_000,
    repeat: false,
    requestId: 'r1',
    routeName: 'lookup',
    service: 'shop',
    targetMilliseconds: 400,
    ...changes,
  };
}

export function createServerReport(changes: Partial<ServerReport> = {}): ServerReport {
  return {
    coldMilliseconds: 0,
    draining: false,
    instanceId: 'i-1',
    sequence: 1,
    slots: 2,
    startedAt: 1_000,
    ...changes,
  };
}

export function createLoad(changes: Partial<GateLoad> = {}): GateLoad {
  return {
    failureShare: 0,
    limit: 4,
    running: 0,
    serviceMilliseconds: 100,
    slowdown: 1,
    state: 'ready',
    waitMilliseconds: 0,
    waiting: 0,
    ...changes,
  };
}

export function createNode(name: string, changes: Partial<MeshNode> = {}): MeshNode {
  return {
    address: `10.0.0.1:70${name.length}0`,
    availabilityZone: 'zone-a',
    boot: 1,
    name,
    region: 'region-1',
    service: 'shop',
    ...changes,
  };
}

export function createEntryRequest(changes: Partial<EntryRequest> = {}): EntryRequest {
  return {
    body: undefined,
    callerDeadline: 1_000,
    headers: [],
    method: 'GET',
    path: '/',
    receivedAt: 0,
    requestId: 'r1',
    requestNumber: 1,
    route: createRoute(),
    ...changes,
  };
}
