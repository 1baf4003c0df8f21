import { pickRandom } from '@peridotspring/core';
import type { SeededRandomSource } from '@peridotspring/core';
import type {
  EntryOutcome,
  MeshNode,
  Route,
  RouteConfiguration,
  RoutedService,
  StartFrame,
  Tenant,
} from '@peridotspring/mesh-core';
import {
  createConfiguration,
  createMemoryAccount,
  createRoute,
} from '@peridotspring/mesh-core/fixtures';
import type { DepartureRead } from '@peridotspring/platform/key-values';
import { Metrics } from '@peridotspring/operators/metrics';

import { EventRecorder } from '../../src/mesh/event-recorder.js';
import { MeshEvent } from '../../src/mesh/mesh-event.js';
import { MeshNodeDriver } from '../../src/mesh/mesh-node.js';
import type { MeshNodePorts } from '../../src/mesh/mesh-node-options.js';
import type { MeshSettings } from '../../src/mesh/mesh-settings.js';
import { createRouteOfKind } from './request-kinds.js';
import type { RequestKind } from './request-kinds.js';
import { ConfigurationBound, configurationBoundMilliseconds } from './configuration-bound.js';
import { EventQueue } from './event-queue.js';
import { VirtualLinks } from './virtual-links.js';
import type { LinkedNode } from './virtual-links.js';
import { deadlyPathSuffix, meanWorkMilliseconds, VirtualServer } from './virtual-server.js';
import { VirtualStore } from './virtual-store.js';

/** Small, so that the faults of a simulation exhaust the budget. */
export const retryBudget = { ratio: 0.05, slack: 6, windowMilliseconds: 10_000 } as const;
export const timeoutMilliseconds = 1_000;
export const targetMilliseconds = 300;
const slots = 4;
/** Time after which no request with a removed key may start, if that is enforced. */
export const revocationMilliseconds = 2_500;
const keyHolder: Tenant = {
  allotment: { burst: 0, requestsPerSecond: Infinity },
  apiKeys: [],
  name: 'acme',
};
/** What a cold server bears in any second, if servers start cold. */
export const coldStart = { durationMilliseconds: 1_500, maximumRequests: 6 } as const;
const maximumStartDelayMilliseconds = 30;
const popularPathSuffix = 'popular';
/** Share of reads of the store that return an outdated answer. */
const staleReadShare = 0.2;
const graceMilliseconds = 4_000;
/** Interval at which a watching node confirms that its version is the newest. */
const confirmationIntervalMilliseconds = 700;
/** Time until a watching node detects that it cannot reach the store. */
const watcherLossDetectionMilliseconds = 1_300;
/** Time that an up-to-date read takes. */
const readMilliseconds = 20;
/** Time within which a record of a departure is written, and between two attempts. */
const departureWriteTimeoutMilliseconds = 850;
const departureRetryMilliseconds = 200;
/** Time within which an operator writes the configuration again that the store lost in a restore. */
const maximumOperatorReactionMilliseconds = 1_000;
/** Interval of lease renewals plus the time-out of a renewal. */
const maximumStoreLossDetectionMilliseconds = 4_500;

/** A request and its outcomes at its entry. */
export interface VirtualRequest {
  readonly requestId: string;
  readonly isIdempotent: boolean;
  /** Whether it crashes each server that runs it. */
  readonly isDeadly: boolean;
  readonly sentAt: number;
  /** The newest version of the configuration that holds the key of the request; undefined without a key. */
  readonly keyVersion: number | undefined;
  readonly entry: LinkedNode;
  readonly outcomes: EntryOutcome[];
  concludedAt: number;
  isAbandoned: boolean;
  readonly onConcluded?: ((outcome: EntryOutcome) => void) | undefined;
}

/** A request of a kind, as a caller or a run of a server sends it. */
export interface RequestOfKind {
  readonly kind: RequestKind;
  readonly callerDeadline: number;
  readonly requestId: string;
  readonly onConcluded: (outcome: EntryOutcome) => void;
}

interface Machine {
  readonly name: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly server: VirtualServer;
  /** The current incarnation of the node; undefined while it is down. */
  node: LinkedNode | undefined;
  canReadStore: boolean;
  /** Time for which the machine has been suspended: its steady clock stood still. */
  suspendedMilliseconds: number;
  /** Since when it is suspended; undefined while it runs. */
  suspendedAt: number | undefined;
  /** Whether the node was told that it cannot reach the store; it checks for its return. */
  isStoreReportedLost: boolean;
  isWatchingConfiguration: boolean;
  /** The node cannot reach the store, permanently. */
  hasLostStore: boolean;
  /** The newest era of the store that the node has observed. */
  era: number | undefined;
  /** The era in the node's entry. */
  recordsEra: number | undefined;
  /** The departures that the node has recorded in the store. */
  departures: Map<string, Uint8Array>;
}

/** An evacuation of a zone; `endedAt` is infinite while it lasts. */
export interface Evacuation {
  readonly availabilityZone: string;
  /** When the operator wrote it, or wrote it again after the store had lost it. */
  startedAt: number;
  endedAt: number;
}

/** Time after the start of an evacuation by which no request may reach a server of the zone. */
export const evacuationBoundMilliseconds = 1_500;

/** Runs the product's node driver in virtual time, with simulated servers, links, store and callers. */
export class VirtualMesh {
  public readonly queue = new EventQueue();
  public readonly links: VirtualLinks;
  public readonly machines: Machine[] = [];
  public readonly requests: VirtualRequest[] = [];
  public version = 0;
  /** Whether callers use removed keys too. */
  public usesRemovedKeys = true;
  /** When each version was written. */
  public readonly writtenAt = new Map<number, number>();
  public readonly store = new VirtualStore(() => this.queue.now);
  private lastBoot = 0;
  private readonly lastVersions = new Map<LinkedNode, number>();
  public readonly configurationBound = new ConfigurationBound(this.queue, () =>
    this.machines.map(({ canReadStore, hasLostStore, name, node }) => ({
      isUnimpaired: node !== undefined && canReadStore && !hasLostStore,
      name,
      version: node?.driver.gaugeValues.configuration_version ?? 0,
    })),
  );
  public readonly evacuations: Evacuation[] = [];
  /** Fingerprints that any node has logged as quarantined. */
  public readonly quarantinedFingerprints = new Set<string>();
  /** Requests that had no outcome when their node exited after a stop signal. */
  public readonly cutRequests: VirtualRequest[] = [];
  /** Descriptions of cases in which a node's configuration version decreased. */
  public readonly versionRegressions: string[] = [];

  public constructor(
    size: number,
    private readonly random: SeededRandomSource,
    private readonly zones = 2,
    private readonly startsCold = false,
    public readonly requestTimeoutMilliseconds = timeoutMilliseconds,
    /** Whether each version of the configuration replaces the key of requests. */
    private readonly replacesKeys = false,
    private readonly kinds: readonly RequestKind[] = [],
  ) {
    this.links = new VirtualLinks(this.queue, (name) => this.findMachine(name)?.node);
    for (let index = 0; index < size; index += 1) this.addMachine(index);
    this.configure();
    for (const machine of this.machines) this.start(machine);
    this.configurationBound.start();
    this.confirmVersions();
  }

  /** Writes the next configuration version; nodes that watch the store read it after a delay. */
  public configure(): void {
    this.version += 1;
    this.writtenAt.set(this.version, this.queue.now);
    this.configurationBound.onVersionWritten(this.version);
    this.writeConfiguration();
  }

  /** Cuts all nodes that watch the configuration off from the store for some time. */
  public cutWatchers(milliseconds: number): void {
    for (const machine of this.machines) {
      if (!machine.isWatchingConfiguration || machine.hasLostStore) continue;
      machine.canReadStore = false;
      this.queue.after(watcherLossDetectionMilliseconds, () => {
        if (machine.canReadStore) return;
        machine.isStoreReportedLost = true;
        machine.node?.driver.onStoreReachabilityChanged(false);
      });
      this.queue.after(milliseconds, () => {
        machine.canReadStore = true;
      });
    }
  }

  /**
   * Cuts a machine off from the store and from all others for some time. If no request is in progress at its node, it may
   * be suspended as well.
   */
  public isolate(machine: Machine, milliseconds: number, isSuspended: boolean): void {
    const { name, node } = machine;
    if (machine.suspendedAt !== undefined) return;
    for (const other of this.machines) this.links.blockConnection(name, other.name);
    machine.canReadStore = false;
    if (isSuspended && node !== undefined && this.unansweredRequestsOf(node).length === 0)
      machine.suspendedAt = this.queue.now;
    this.configurationBound.onFault(name, this.queue.now + milliseconds);
    this.queue.after(milliseconds, () => {
      if (machine.suspendedAt !== undefined) machine.suspendedMilliseconds += milliseconds;
      machine.suspendedAt = undefined;
      machine.canReadStore = true;
      this.links.unblockConnections();
    });
  }

  /** Restores the store from a backup. The operator notices later and writes again what the store lost. */
  public restoreStore(millisecondsAgo: number): void {
    this.store.restore(millisecondsAgo);
    this.notifyWatchers();
    const restoredAt = this.queue.now;
    const writtenAgainAt = restoredAt + maximumOperatorReactionMilliseconds;
    for (const { name } of this.machines) this.configurationBound.onFault(name, writtenAgainAt);
    this.queue.after(maximumOperatorReactionMilliseconds * this.random.next(), () => {
      this.store.writeEvacuations(this.evacuatedZones);
      this.writeConfiguration();
      this.restartBoundOfLostRemovals(restoredAt, millisecondsAgo);
      this.restartBoundsOfLostEvacuations(restoredAt, millisecondsAgo);
    });
  }

  /** The same for a version that the store lost before all nodes had to know which keys it removes. */
  private restartBoundOfLostRemovals(restoredAt: number, millisecondsAgo: number): void {
    for (const [version, at] of this.writtenAt) {
      const isLost = at > restoredAt - millisecondsAgo && at <= restoredAt;
      if (isLost && at + revocationMilliseconds > restoredAt)
        this.writtenAt.set(version, this.queue.now);
    }
  }

  /** Nodes that had not yet had to know of an evacuation when the store lost it can learn of it only when it is written again. */
  private restartBoundsOfLostEvacuations(restoredAt: number, millisecondsAgo: number): void {
    for (const evacuation of this.evacuations) {
      const { startedAt } = evacuation;
      const isLost = startedAt > restoredAt - millisecondsAgo && startedAt <= restoredAt;
      const isBoundOver = startedAt + evacuationBoundMilliseconds <= restoredAt;
      if (isLost && !isBoundOver) evacuation.startedAt = this.queue.now;
    }
  }

  /** Evacuates a zone, or ends its evacuation. */
  public evacuate(availabilityZone: string, isEvacuated: boolean): void {
    if (isEvacuated) {
      this.evacuations.push({ availabilityZone, endedAt: Infinity, startedAt: this.queue.now });
    } else if (this.evacuatedZones.has(availabilityZone)) {
      for (const evacuation of this.evacuations)
        if (evacuation.availabilityZone === availabilityZone)
          evacuation.endedAt = Math.min(evacuation.endedAt, this.queue.now);
      for (const { availabilityZone: zone, server } of this.machines)
        if (zone === availabilityZone) server.turnCold();
    }
    this.store.writeEvacuations(this.evacuatedZones);
    this.notifyWatchers();
  }

  /** The zones that the operator wants to be evacuated now. */
  private get evacuatedZones(): ReadonlySet<string> {
    const current = this.evacuations.filter(({ endedAt }) => endedAt === Infinity);
    return new Set(current.map(({ availabilityZone }) => availabilityZone));
  }

  /** Nodes that reach the store but have no entry in it. */
  public get missingEntries(): readonly string[] {
    const reachingMachines = this.machines.filter(({ hasLostStore }) => !hasLostStore);
    return reachingMachines.map(({ name }) => name).filter((name) => !this.store.hasNode(name));
  }

  /** Nodes that no other node can discover: the store lost their entries, and they cannot reach it to write new ones. */
  public get undiscoverableNodes(): ReadonlySet<string> {
    const undiscoverable = this.machines.filter(
      ({ name, hasLostStore }) => hasLostStore && !this.store.hasNode(name),
    );
    return new Set(undiscoverable.map(({ name }) => name));
  }

  private writeConfiguration(): void {
    this.store.writeConfiguration(this.version);
    this.notifyWatchers();
  }

  /** Nodes that watch the store read a change after a delay. */
  private notifyWatchers(): void {
    for (const machine of this.machines) {
      if (machine.isWatchingConfiguration) this.scheduleStoreRead(machine);
    }
  }

  public start(machine: Machine): void {
    if (machine.node !== undefined) return;
    this.lastBoot += 1;
    const { availabilityZone, name, service } = machine;
    const self: MeshNode = {
      address: `${name}:1`,
      availabilityZone,
      boot: this.lastBoot,
      name,
      region: 'region',
      service,
    };
    const node = this.createNode(machine, self);
    machine.node = node;
    machine.isWatchingConfiguration = false;
    machine.isStoreReportedLost = false;
    machine.era = undefined;
    machine.departures = new Map();
    machine.recordsEra = undefined;
    this.queue.after(maximumStartDelayMilliseconds * this.random.next(), () => {
      if (machine.node === node) node.driver.start();
    });
    this.scheduleStoreRead(machine);
    if (machine.hasLostStore) this.scheduleStoreLossDetection(machine);
  }

  /** Makes the store unreachable for a machine permanently; its node detects this after a delay. */
  public loseStore(machine: Machine): void {
    machine.hasLostStore = true;
    this.scheduleStoreLossDetection(machine);
  }

  /** Ends the process of a node without notice. */
  public kill(machine: Machine): void {
    const { node } = machine;
    if (node === undefined) return;
    node.driver.close();
    machine.node = undefined;
    this.configurationBound.onFault(machine.name, this.queue.now);
    this.links.onProcessEnded(node);
  }

  /** Ends the process of a node without notice, and starts it again. */
  public restart(machine: Machine, downMilliseconds: number): void {
    this.kill(machine);
    this.queue.after(downMilliseconds, () => {
      this.start(machine);
    });
  }

  public stop(machine: Machine): void {
    machine.node?.driver.stop();
  }

  /** Sends a request that crashes each server that runs it; it is the same each time but for its identifier. */
  public sendDeadlyRequest(machine: Machine): VirtualRequest | undefined {
    return this.sendRequest(machine, deadlyPathSuffix);
  }

  /** Sends a request that is the same each time but for its identifier, and harmless. */
  public sendPopularRequest(machine: Machine): VirtualRequest | undefined {
    return this.sendRequest(machine, popularPathSuffix);
  }

  /** Sends one request to a machine's node if it accepts requests; without a path, each differs from all others. */
  public sendRequest(machine: Machine, pathSuffix?: string): VirtualRequest | undefined {
    const { node } = machine;
    const isIdempotent = pathSuffix !== undefined || this.random.next() < 0.5;
    const route = node?.driver.routing?.table.match('shop', isIdempotent ? '/safe/' : '/unsafe/');
    if (node === undefined || route === undefined) return undefined;
    if (machine.suspendedAt !== undefined) return undefined;
    this.recordVersion(node);
    const now = this.queue.now;
    const receivedAt = now - machine.suspendedMilliseconds;
    const requestNumber = this.requests.length + 1;
    const keyVersion = this.replacesKeys ? this.chooseKeyVersion() : undefined;
    if (keyVersion !== undefined && !mayUseKey(node, keyVersion)) return undefined;
    const request: VirtualRequest = {
      concludedAt: Infinity,
      entry: node,
      isAbandoned: false,
      isDeadly: pathSuffix === deadlyPathSuffix,
      isIdempotent,
      keyVersion,
      outcomes: [],
      requestId: `r${requestNumber}x`,
      sentAt: now,
    };
    this.requests.push(request);
    node.driver.onCallerRequest({
      body: undefined,
      callerDeadline: receivedAt + this.requestTimeoutMilliseconds,
      headers: [],
      method: isIdempotent ? 'GET' : 'POST',
      path: `${route.pathPrefix}${pathSuffix ?? requestNumber}`,
      receivedAt,
      requestId: request.requestId,
      requestNumber,
      route,
      ...(keyVersion !== undefined && { tenant: keyHolder }),
    });
    if (pathSuffix === undefined && this.random.next() < 0.02)
      this.abandonLater(node, request, requestNumber);
    return request;
  }

  /** Callers use the newest key or one that was removed; some have none. */
  private chooseKeyVersion(): number | undefined {
    if (!this.usesRemovedKeys) return this.version;
    const age = Math.floor(4 * this.random.next());
    return age === 3 ? undefined : Math.max(1, this.version - age);
  }

  /** Sends a request of a kind to a machine's node; false if the node does not accept requests. */
  public sendRequestOfKind({ name }: Machine, request: RequestOfKind): boolean {
    const { callerDeadline, kind, onConcluded, requestId } = request;
    const node = this.findMachine(name)?.node;
    const route = node?.driver.routing?.table.match('shop', `/${kind.name}/`);
    if (node === undefined || route === undefined) return false;
    const { now } = this.queue;
    const requestNumber = this.requests.length + 1;
    this.requests.push({
      concludedAt: Infinity,
      entry: node,
      isAbandoned: false,
      isDeadly: false,
      isIdempotent: true,
      keyVersion: undefined,
      onConcluded,
      outcomes: [],
      requestId,
      sentAt: now,
    });
    node.driver.onCallerRequest({
      body: undefined,
      callerDeadline,
      headers: [],
      method: 'GET',
      path: route.pathPrefix,
      receivedAt: now,
      requestId,
      requestNumber,
      route,
    });
    return true;
  }

  /** Makes the call that a run needs, at the node beside its server. */
  private makeCall(
    machine: Machine,
    frame: StartFrame,
    onEnded: (isAnswered: boolean) => void,
  ): void {
    const caller = this.kinds.find(({ name }) => name === frame.routeName);
    const kind = this.kinds.find(({ name }) => name === caller?.calls);
    if (kind === undefined) {
      onEnded(true);
      return;
    }
    const isSent = this.sendRequestOfKind(machine, {
      callerDeadline: this.queue.now + kind.timeoutMilliseconds,
      kind,
      onConcluded: ({ kind: outcome }) => {
        onEnded(outcome === 'answered');
      },
      requestId: `${frame.requestId}.1`,
    });
    if (!isSent) onEnded(false);
  }

  /** The settings file of a machine lists requests to be released, as an operator writes them. */
  public releaseRequests(machine: Machine, fingerprints: readonly string[]): void {
    const { node } = machine;
    const settings = node && createSettings(node.self);
    if (settings !== undefined)
      node?.driver.applySettings({ ...settings, releasedRequests: fingerprints });
  }

  public pickMachine(): Machine {
    const machine = pickRandom(this.random, this.machines);
    if (machine === undefined) throw new Error('there are no machines');
    return machine;
  }

  /** Whether the request's entry is still the same incarnation, so that the caller must get an outcome. */
  public isEntryAlive({ entry }: VirtualRequest): boolean {
    return this.findMachine(entry.self.name)?.node === entry;
  }

  private unansweredRequestsOf(node: LinkedNode): readonly VirtualRequest[] {
    return this.requests.filter(
      ({ entry, isAbandoned, outcomes }) => entry === node && !isAbandoned && outcomes.length === 0,
    );
  }

  private scheduleStoreLossDetection(machine: Machine): void {
    this.queue.after(maximumStoreLossDetectionMilliseconds * this.random.next(), () => {
      machine.node?.driver.onStoreReachabilityChanged(false);
    });
  }

  /** Nodes check the store: those that watch confirm their version, and those that lost the store detect its return. */
  private confirmVersions(): void {
    for (const machine of this.machines) {
      const { canReadStore, hasLostStore, isWatchingConfiguration, node } = machine;
      if (machine.isStoreReportedLost && canReadStore && !hasLostStore) {
        machine.isStoreReportedLost = false;
        node?.driver.onStoreReachabilityChanged(true);
      }
      if (isWatchingConfiguration && node?.driver.isProofRenewalUseful === true)
        this.readUpToDate(machine);
      const isNewest = node?.driver.gaugeValues.configuration_version === this.store.version;
      if (isNewest && isWatchingConfiguration && canReadStore && !hasLostStore)
        node.driver.onConfigurationConfirmed();
    }
    this.queue.after(confirmationIntervalMilliseconds, () => {
      this.confirmVersions();
    });
  }

  private readUpToDate(machine: Machine): void {
    const reader = machine.node;
    const sentAt = reader?.driver.leaseClock.now();
    this.queue.after(readMilliseconds, () => {
      const { node } = machine;
      if (node === undefined || node !== reader || !machine.canReadStore || machine.hasLostStore)
        return;
      this.reportEra(machine, node);
      node.driver.onConfigurationRead(Buffer.from(String(this.store.version)));
      node.driver.onEvacuationsRead(this.store.evacuations, this.store.era);
      node.driver.onConfigurationConfirmed(sentAt);
    });
  }

  private recordVersion(node: LinkedNode): void {
    const version = node.driver.gaugeValues.configuration_version;
    const last = this.lastVersions.get(node) ?? 0;
    if (version < last) this.versionRegressions.push(`${node.self.name}: ${version} after ${last}`);
    this.lastVersions.set(node, version);
  }

  private abandonLater(node: LinkedNode, request: VirtualRequest, requestNumber: number): void {
    this.queue.after(100 * this.random.next(), () => {
      if (request.outcomes.length > 0) return;
      request.isAbandoned = true;
      node.driver.onCallerDisconnected(requestNumber);
    });
  }

  private findMachine(name: string): Machine | undefined {
    return this.machines.find((machine) => machine.name === name);
  }

  private addMachine(index: number): void {
    const name = `node-${index}`;
    const services = [...new Set(this.kinds.map(({ service }) => service))];
    const machine: Machine = {
      service: services[Math.floor(index / this.zones) % services.length] ?? 'shop',
      availabilityZone: `zone-${index % this.zones}`,
      departures: new Map(),
      recordsEra: undefined,
      era: undefined,
      name,
      node: undefined,
      canReadStore: true,
      suspendedAt: undefined,
      suspendedMilliseconds: 0,
      isStoreReportedLost: false,
      hasLostStore: false,
      isWatchingConfiguration: false,
      server: new VirtualServer({
        onConcluded: (executionId, result) => {
          // An execution belongs to the incarnation of the node that requested it.
          const [boot, ownExecutionId] = decodeExecutionId(executionId);
          const { node } = machine;
          if (node?.self.boot === boot) node.driver.onExecutionConcluded(ownExecutionId, result);
        },
        onLoad: (load) => {
          machine.node?.driver.onServerLoad(load);
        },
        onNotice: (notice) => {
          machine.node?.driver.onServerNotice(notice);
        },
        makeCall: (frame, onEnded) => {
          this.makeCall(machine, frame, onEnded);
        },
        coldMilliseconds: this.startsCold ? coldStart.durationMilliseconds : 0,
        name,
        queue: this.queue,
        random: this.random,
        slots,
        sendMessage: async (message, freshBoot) => {
          const { node } = machine;
          const isFresh = freshBoot !== undefined && freshBoot === node?.self.boot;
          const verdict = await node?.driver.onServerMessage(message, isFresh);
          if (node === undefined || machine.node !== node) return { isConfirmed: false };
          const { isBinding = false, requiresFreshReport = false } = verdict ?? {};
          return {
            isConfirmed: isBinding,
            ...(requiresFreshReport && { freshBoot: node.self.boot }),
          };
        },
      }),
    };
    machine.server.workFactorByRoute = new Map(
      this.kinds.map(({ name: kind, workMilliseconds }) => [
        kind,
        workMilliseconds / meanWorkMilliseconds,
      ]),
    );
    this.machines.push(machine);
  }

  private createNode(machine: Machine, self: MeshNode): LinkedNode {
    const timeOfDay = (): number => this.queue.now;
    const clock = (): number =>
      (machine.suspendedAt ?? this.queue.now) - machine.suspendedMilliseconds;
    const driver: MeshNodeDriver = new MeshNodeDriver({
      clock,
      decodeConfiguration: (content) => ({
        configuration: createMeshConfiguration(
          Number(Buffer.from(content).toString()),
          this.startsCold,
          this.requestTimeoutMilliseconds,
          this.kinds,
        ),
        kind: 'configuration',
        unknownTypes: [],
      }),
      memory: createMemoryAccount(),
      protocolMemory: createMemoryAccount(),
      defer: (action) => {
        this.queue.after(0, action);
      },
      events: new EventRecorder({
        clock,
        metrics: new Metrics(),
        wallClock: timeOfDay,
        write: (event, { fingerprint }) => {
          if (event === MeshEvent.RequestQuarantined)
            this.quarantinedFingerprints.add(String(fingerprint));
        },
      }),
      ports: () => ports,
      processStartedAt: this.queue.now,
      random: this.random,
      schedule: (action, milliseconds) => this.queue.after(milliseconds, action),
      self,
      settings: {
        ...createSettings(self),
        ...(this.replacesKeys && { revocationMilliseconds }),
      },
      wallClock: timeOfDay,
    });
    const node: LinkedNode = { driver, self };
    const ports = this.createPorts(machine, node);
    return node;
  }

  private createPorts(machine: Machine, node: LinkedNode): MeshNodePorts {
    const { boot } = node.self;
    const { server } = machine;
    return {
      callers: {
        configure: () => undefined,
        inProgress: 0,
        refuse: () => undefined,
        respond: ({ requestNumber }, outcome) => {
          const request = this.requests[requestNumber - 1];
          if (request === undefined) throw new Error('outcome for an unknown request');
          request.outcomes.push(outcome);
          request.concludedAt = this.queue.now;
          request.onConcluded?.(outcome);
        },
        stop: () => undefined,
      },
      connections: {
        broadcast: (frame) => {
          this.links.broadcast(node, frame);
        },
        dial: (to) => {
          this.links.dial(node, to);
        },
        send: (name, frame) => this.links.send(node, name, frame),
        tick: () => undefined,
        whenRead: () => this.links.whenAcknowledged(node),
      },
      server: {
        abort: (executionId) => {
          server.abort(encodeExecutionId(boot, executionId));
        },
        health: () => Promise.resolve(server.health()),
        isRefusingConnections: () => Promise.resolve(server.isRefusingConnections()),
        run: (execution) => {
          server.run({ ...execution, executionId: encodeExecutionId(boot, execution.executionId) });
        },
      },
      store: {
        coverDepartures: () => {
          if (!machine.canReadStore || machine.hasLostStore) return;
          machine.recordsEra = this.store.era;
          this.store.writeRecordsEra(machine.name, this.store.era);
        },
        observeEra: (era) => {
          if (era > (machine.era ?? 0)) this.scheduleStoreRead(machine);
        },
        refreshDirectory: () => {
          this.scheduleStoreRead(machine);
        },
        removeEntry: (ended) => {
          this.store.removeNode(ended);
        },
        proveConfiguration: () => {
          this.readUpToDate(machine);
        },
        refreshConfiguration: () => {
          this.readUpToDate(machine);
        },
        readDepartures: (group) => this.readDepartures(machine, node, group),
        removeQuarantine: (fingerprint) => {
          this.store.quarantines.delete(fingerprint);
        },
        writeDeparture: (name, value) => this.writeDeparture(machine, node, name, value),
        writeQuarantine: (fingerprint, value) => {
          this.store.quarantines.set(fingerprint, value);
        },
        watchConfiguration: (isWatching) => {
          machine.isWatchingConfiguration = isWatching;
          if (isWatching) this.scheduleStoreRead(machine);
        },
      },
      onStopped: () => {
        this.cutRequests.push(...this.unansweredRequestsOf(node));
        this.kill(machine);
        this.start(machine);
      },
    };
  }

  /** As the node's client of the store does: it gives up before the server stops waiting. */
  private async writeDeparture(
    machine: Machine,
    node: LinkedNode,
    name: string,
    value: Uint8Array,
  ): Promise<boolean> {
    const dueAt = this.queue.now + departureWriteTimeoutMilliseconds;
    while (this.queue.now < dueAt && machine.node === node) {
      await this.passTime(readMilliseconds);
      if (machine.canReadStore && !machine.hasLostStore) {
        this.store.writeDeparture(name, value);
        machine.departures.set(name, value);
        return true;
      }
      await this.passTime(departureRetryMilliseconds);
    }
    return false;
  }

  /** As the node's client of the store does: it asks until the store answers. */
  private async readDepartures(
    machine: Machine,
    node: LinkedNode,
    group: string,
  ): Promise<DepartureRead | undefined> {
    while (machine.node === node) {
      await this.passTime(readMilliseconds);
      if (machine.canReadStore && !machine.hasLostStore) {
        const { era } = this.store;
        machine.recordsEra ??= this.store.recordsEraOf(machine.name) ?? era;
        const isComplete = machine.recordsEra === era;
        return { isComplete, values: this.store.readDepartures(group) };
      }
      await this.passTime(departureRetryMilliseconds);
    }
    return undefined;
  }

  private async passTime(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.queue.after(milliseconds, resolve);
    });
  }

  private reportEra(machine: Machine, node: LinkedNode): void {
    const { era } = this.store;
    if (machine.era === era) return;
    const isRestored = machine.era !== undefined;
    machine.era = era;
    if (!isRestored) {
      machine.recordsEra ??= this.store.recordsEraOf(machine.name) ?? era;
      this.store.writeRecordsEra(machine.name, machine.recordsEra);
    }
    if (isRestored)
      for (const [name, value] of machine.departures) this.store.writeDeparture(name, value);
    node.driver.onStoreEraObserved(era, isRestored);
  }

  /**
   * After a delay, the node reads the configuration and the directory from the store, and other nodes observe its
   * directory entry.
   */
  private scheduleStoreRead(machine: Machine): void {
    this.queue.after(10 + 290 * this.random.next(), () => {
      const { node } = machine;
      if (node === undefined || machine.hasLostStore) return;
      if (!machine.canReadStore) {
        // The node retries until it can read the store.
        this.scheduleStoreRead(machine);
        return;
      }
      this.reportEra(machine, node);
      for (const value of this.store.quarantines.values()) node.driver.onQuarantineRead(value);
      this.store.writeNode(node.self);
      for (const entry of this.store.nodes) node.driver.onNodeObserved(entry);
      for (const other of this.machines) {
        if (other.canReadStore && !other.hasLostStore) other.node?.driver.onNodeObserved(node.self);
      }
      node.driver.onDirectoryRead();
      const isStale = this.random.next() < staleReadShare;
      const version = Math.max(1, isStale ? this.store.version - 1 : this.store.version);
      node.driver.onConfigurationRead(Buffer.from(String(version)));
      node.driver.onEvacuationsRead(this.store.evacuations, this.store.era);
      if (isStale) this.scheduleStoreRead(machine);
    });
  }
}

/** What the server for callers decides: whether the configuration in force holds the key, and keys may be acted on. */
function mayUseKey({ driver }: LinkedNode, keyVersion: number): boolean {
  const { configuration_version: version } = driver.gaugeValues;
  return driver.routing?.isKeyProven === true && version <= keyVersion;
}

/** Execution identifiers are unique only within one incarnation of a node, so the boot number is added to them. */
const executionsPerBoot = 1_000_000;

function encodeExecutionId(boot: number, executionId: number): number {
  return boot * executionsPerBoot + executionId;
}

function decodeExecutionId(encoded: number): readonly [number, number] {
  return [Math.floor(encoded / executionsPerBoot), encoded % executionsPerBoot];
}

function createMeshConfiguration(
  version: number,
  startsCold: boolean,
  requestTimeoutMilliseconds: number,
  kinds: readonly RequestKind[],
): RouteConfiguration {
  const routeOf = (name: string, idempotent: boolean): Route =>
    createRoute({
      host: 'shop',
      idempotent,
      name,
      pathPrefix: `/${name}/`,
      targetLatencyMilliseconds: targetMilliseconds,
      timeoutMilliseconds: requestTimeoutMilliseconds,
    });
  const routes = kinds.map(createRouteOfKind);
  const serviceOf = (name: string): RoutedService => ({
    connectionLimit: 100,
    healthPath: '/health',
    name,
    ...(startsCold && {
      coldStart: {
        durationMilliseconds: coldStart.durationMilliseconds,
        requestsPerSecond: coldStart.maximumRequests,
      },
    }),
  });
  const services = new Set(['shop', ...kinds.map(({ service }) => service)]);
  return createConfiguration({
    routes: routes.length > 0 ? routes : [routeOf('safe', true), routeOf('unsafe', false)],
    services: new Map([...services].map((name) => [name, serviceOf(name)])),
    version,
  });
}

function createSettings({ availabilityZone, name, region, service }: MeshNode): MeshSettings {
  const address = { host: name, port: 1 };
  return {
    answerMemoryBytes: 1_048_576,
    callerConnections: 1_000,
    heldMemoryBytes: 67_108_864,
    protocolMemoryBytes: 33_554_432,
    peerMemoryBytes: 16_777_216,
    unnamedPeerConnections: 500,
    machineMemoryBytes: 268_435_456,
    availabilityZone,
    callerAddress: address,
    allotments: { overage: 0.1, slack: 4, windowMilliseconds: 5_000 },
    coldStartTolerance: { ratio: 1, slack: 0 },
    configurationPropagationMilliseconds: configurationBoundMilliseconds,
    graceMilliseconds,
    knownRegions: [region],
    logLevel: 'info',
    nodeName: name,
    peerAddress: address,
    probesPerSecond: 30,
    readinessAddress: address,
    releasedRequests: [],
    region,
    repeats: retryBudget,
    reportAddress: address,
    reportIntervalMilliseconds: 300,
    serverAddress: address,
    service,
    storeAddress: address,
  };
}
