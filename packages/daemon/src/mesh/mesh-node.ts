import type { RoutingConfiguration } from '@peridotspring/callers';
import { containError } from '@peridotspring/core';
import {
  PlacementPolicy,
  EndedServers,
  isSameZone,
  LeaseClock,
  LoadAnnouncer,
  RetryBudget,
  RequestForwarder,
  ServerGate,
  ServerState,
  GateTable,
  toColdStartLimit,
  TrafficSplit,
} from '@peridotspring/mesh-core';
import type {
  ColdStartTolerance,
  EntryRequest,
  EvacuationRead,
  Execution,
  ExecutionResult,
  MeshFrame,
  MeshNode,
  NodeDirectory,
  ReplyFrame,
  RequestFrame,
  RouteConfiguration,
  ServerLoad,
  ServerNotice,
  WatchTurn,
} from '@peridotspring/mesh-core';
import type { MeshHelloPayload, MeshHelloFrame } from '@peridotspring/nodes';
import type { MessageVerdict, ServerMessage } from '@peridotspring/upstreams/mesh';

import { AllotmentSynchronizer } from './allotment-synchronizer.js';
import { ConfigurationSynchronizer, storeSource } from './configuration-synchronizer.js';
import { DepartureRelay } from './departure-relay.js';
import { DepartureSynchronizer } from './departure-synchronizer.js';
import { DirectorySynchronizer } from './directory-synchronizer.js';
import { waitForAcknowledgement } from './end-acknowledgement.js';
import { EvacuationSynchronizer } from './evacuation-synchronizer.js';
import { KeyProofSynchronizer } from './key-proof-synchronizer.js';
import { MeshEvent } from './mesh-event.js';
import type { MeshSettings } from './mesh-settings.js';
import type { MeshNodeOptions } from './mesh-node-options.js';
import type { MeshGaugeValues, MeshServiceGaugeValues } from './mesh-gauges.js';
import { latestPlausibleBoot, readMeshNode } from './mesh-directory-entry.js';
import { QuarantineSynchronizer } from './quarantine-synchronizer.js';
import { endedServersOf, isEndedServer } from './reported-ended-servers.js';
import { ServerHealthChecks } from './server-health-checks.js';
import { ServerMessageBuffer } from './server-message-buffer.js';
import { GracefulShutdown } from './graceful-shutdown.js';
import { idleTickIntervalMilliseconds, millisecondsUntilNextTick } from './tick-interval.js';

/** Minimum interval between checks for due load reports. The reports to each single node are limited further. */
const announcementIntervalMilliseconds = 10;
/** A node that cannot connect to its peers reports that it is ready after this time. */
const isolatedReadinessDelayMilliseconds = 2_000;
const millisecondsPerSecond = 1_000;

type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Connects the decision logic of a node (gate, forwarder, directory, configuration) to its ports. */
export class MeshNodeDriver {
  public readonly allotments: AllotmentSynchronizer;
  public readonly directory: NodeDirectory;
  public readonly leaseClock: LeaseClock;
  private readonly directorySynchronizer: DirectorySynchronizer;
  private readonly configuration: ConfigurationSynchronizer;
  private readonly evacuations: EvacuationSynchronizer;
  private readonly keyProofs: KeyProofSynchronizer;
  private readonly quarantines: QuarantineSynchronizer;
  private readonly gateTable = new GateTable();
  private readonly trafficSplit: TrafficSplit;
  private readonly retryBudget: RetryBudget;
  private readonly forwarder: RequestForwarder;
  private readonly gate: ServerGate;
  private readonly healthChecks: ServerHealthChecks;
  private readonly loadAnnouncer = new LoadAnnouncer();
  private readonly endedServers = new EndedServers();
  private readonly departureRelay: DepartureRelay;
  private readonly departures: DepartureSynchronizer;
  private readonly serverMessages: ServerMessageBuffer;
  /** Settles when peers have acknowledged that the last server is draining or has left. */
  private endAcknowledged: Promise<void> = Promise.resolve();
  private readonly startedAt: number;
  private cancelTick: (() => void) | undefined;
  private shutdown: GracefulShutdown | undefined;
  private coldStartTolerance: ColdStartTolerance;
  private maintenanceDueAt = 0;
  private announcementDueAt = 0;
  private isClosed = false;

  public constructor(private readonly options: MeshNodeOptions) {
    const { clock, random, self, settings } = options;
    this.startedAt = clock();
    this.coldStartTolerance = settings.coldStartTolerance;
    const log = (event: string, fields: LogFields): void => {
      options.events.record(event, fields);
    };
    this.serverMessages = new ServerMessageBuffer((message) => {
      this.handleServerMessage(message);
    });
    this.directorySynchronizer = new DirectorySynchronizer({
      isRemovingEntries: () => this.configuration.isWatching,
      log,
      self,
      startedAt: this.startedAt,
      store: () => options.ports().store,
    });
    this.directory = this.directorySynchronizer.directory;
    this.configuration = new ConfigurationSynchronizer({
      onChange: (configuration) => {
        this.onConfigurationChanged(configuration);
      },
      clock,
      decode: options.decodeConfiguration,
      propagationMilliseconds: settings.configurationPropagationMilliseconds,
      log,
      ports: options.ports,
      self,
    });
    this.leaseClock = new LeaseClock({ steadyClock: clock, timeOfDay: options.wallClock });
    this.keyProofs = new KeyProofSynchronizer({
      connections: () => options.ports().connections,
      isWatching: () => this.configuration.isWatching,
      leaseClock: () => this.leaseClock.now(),
      log,
      reachesStore: () => this.configuration.reachesStore,
      readStore: () => {
        options.ports().store.proveConfiguration();
      },
      revocationMilliseconds: settings.revocationMilliseconds,
      self,
      versions: () => this.configuration.knownVersions,
    });
    this.evacuations = new EvacuationSynchronizer({
      configurationVersion: () => this.configuration.version,
      connections: () => options.ports().connections,
      log,
      onChange: (availabilityZones, now) => {
        this.gateTable.setEvacuatedZones(availabilityZones);
        this.gate.setEvacuated(availabilityZones.includes(self.availabilityZone), now);
      },
    });
    this.quarantines = new QuarantineSynchronizer({
      configurationVersion: () => this.configuration.version,
      connections: () => options.ports().connections,
      isRemovingRecords: () => this.configuration.isWatching,
      log,
      onQuarantineChanged: (now) => {
        this.gate.onQuarantineChanged(now);
      },
      self,
      store: () => options.ports().store,
      wallClock: options.wallClock,
    });
    this.allotments = new AllotmentSynchronizer({
      connections: () => options.ports().connections,
      directory: () => this.directory,
      isStopping: () => this.shutdown !== undefined,
      log,
      nodeCount: () => this.directorySynchronizer.nodeCount,
      now: clock,
      random,
      callers: () => options.ports().callers,
      schedule: options.schedule,
      self,
      suspendedMilliseconds: () => this.leaseClock.readSuspendedMilliseconds(),
      tolerance: settings.allotments,
    });
    // What is listed at the start has taken effect before.
    this.quarantines.setReleased(settings.releasedRequests, this.startedAt);
    const { quarantine } = this.quarantines;
    this.trafficSplit = new TrafficSplit(random);
    this.retryBudget = new RetryBudget(settings.repeats);
    this.gate = new ServerGate({
      leaseClock: () => this.leaseClock.now(),
      log: ({ event, fields }) => {
        this.log(event, fields);
      },
      port: {
        abort: (executionId) => {
          options.ports().server.abort(executionId);
        },
        checkListener: () => {
          void this.checkListener();
        },
        onServerCrashed: (runs) => {
          this.quarantines.onServerCrashed(runs, clock());
        },
        onStateChanged: () => {
          this.onLoadChanged();
        },
        probe: () => {
          void this.healthChecks.probe();
        },
        reply: (node, boot, frame) => {
          this.sendReply(node, boot, frame);
        },
        run: (execution) => {
          this.runAtServer(execution);
        },
      },
      probesPerSecond: settings.probesPerSecond,
      processStartedAt: options.processStartedAt,
      quarantine,
      reportIntervalMilliseconds: settings.reportIntervalMilliseconds,
      callMemory: {
        account: options.memory,
        protocol: options.protocolMemory,
        retainedBytes: settings.answerMemoryBytes,
      },
      service: self.service,
    });
    this.departureRelay = new DepartureRelay({
      configurationVersion: () => this.configuration.version,
      connections: () => options.ports().connections,
      peersReachingStore: () => this.configuration.peersReachingStore,
      reachesStore: () => this.configuration.reachesStore,
      schedule: options.schedule,
      writeDeparture: (name, value) => options.ports().store.writeDeparture(name, value),
    });
    this.departures = new DepartureSynchronizer({
      clock,
      gate: this.gate,
      log,
      nodeName: self.name,
      relay: this.departureRelay,
      schedule: options.schedule,
      store: () => options.ports().store,
      wallClock: options.wallClock,
    });
    this.healthChecks = new ServerHealthChecks({
      check: (path) => options.ports().server.health(path),
      clock,
      gate: this.gate,
      onPassed: (instanceId, slots, now) => {
        this.departures.onHealthCheckPassed(instanceId, slots, now);
      },
      log,
      onProbe: () => {
        options.events.count('server_probes');
      },
      path: () => this.healthPath,
      startedAt: this.startedAt,
    });
    this.forwarder = new RequestForwarder({
      retryBudget: this.retryBudget,
      callerService: self.service,
      keyValidMilliseconds: () => this.keyProofs.validMilliseconds,
      log: ({ event, fields }) => {
        this.log(event, fields);
      },
      placementPolicy: new PlacementPolicy({ ...self, ...settings.placement, random }),
      port: {
        respond: (request, outcome) => {
          this.allotments.onOutcome(request, outcome);
          options.ports().callers.respond(request, outcome);
        },
        send: (node, frame) => this.send(node, frame),
      },
      quarantine,
      random,
      gates: this.gateTable,
    });
    this.gateTable.onConnected(self, this.gate.load(this.startedAt), this.startedAt);
  }

  public start(): void {
    this.tick();
  }

  public close(): void {
    this.isClosed = true;
    this.allotments.close();
    this.cancelTick?.();
  }

  public get routing(): RoutingConfiguration | undefined {
    const inForce = this.configuration.inForce;
    if (inForce === undefined) return undefined;
    const { limits, tenants } = inForce.configuration;
    const isKeyProven = tenants === undefined || this.keyProofs.validMilliseconds > 0;
    const { isConfirmed } = this.configuration;
    return { isConfirmed, isKeyProven, limits, table: inForce.table, tenants };
  }

  /** Whether the readiness check passes, so that callers may send requests to this node. */
  public get isReady(): boolean {
    if (this.shutdown !== undefined || this.configuration.inForce === undefined) return false;
    if (this.options.clock() - this.startedAt > isolatedReadinessDelayMilliseconds) return true;
    return this.directorySynchronizer.isMostlyConnected;
  }

  /** Current values of the gauges, computed at each scrape. */
  public get gaugeValues(): MeshGaugeValues {
    const now = this.options.clock();
    const load = this.gate.load(now);
    return {
      allotment_share_lent: this.allotments.lentShare,
      allotment_requests_waiting: this.allotments.heldCount,
      configuration_age_seconds: this.configuration.ageMilliseconds(now) / millisecondsPerSecond,
      configuration_unconfirmed_seconds:
        this.configuration.unconfirmedMilliseconds(now) / millisecondsPerSecond,
      configuration_version: this.configuration.version,
      key_proof_age_seconds: this.keyProofs.ageMilliseconds / millisecondsPerSecond,
      evacuated_zones: this.evacuations.names.length,
      gate_concurrency_limit: load.limit,
      gate_running: load.running,
      gate_waiting: load.waiting,
      quarantined_requests: this.quarantines.quarantine.quarantinedFingerprints.length,
      nodes_connected: this.directory.connectedCount,
      nodes_gone: this.directory.lostNodeCount,
      nodes_known: this.directory.nodeCount - 1,
      nodes_wanted: this.directory.wantedConnectionCount,
      requests_in_progress: this.forwarder.inProgressCount,
      server_cold: this.gate.isCold(now) ? 1 : 0,
      server_failure_share: load.failureShare,
      server_request_limit_per_second: this.gate.statedRequestsPerSecond ?? 0,
      server_probes_allowed_per_second: this.gate.probesPerSecond,
      server_service_milliseconds: load.serviceMilliseconds,
      server_slots: this.gate.slots,
      server_unverified: this.departures.isWaiting ? 1 : 0,
    };
  }

  /** Current values of the gauges with a service label, computed at each scrape. */
  public get serviceGaugeValues(): MeshServiceGaugeValues {
    const now = this.options.clock();
    const retryUsages = [...this.retryBudget.usageByService(now)];
    return {
      load_report_age_milliseconds: this.gateTable.loadAges(now),
      repeats_allowed: new Map(retryUsages.map(({ allowed, service }) => [service, allowed])),
      repeats_used: new Map(retryUsages.map(({ service, used }) => [service, used])),
    };
  }

  /** The place of this node among those that watch the configuration. */
  public get watchTurn(): WatchTurn {
    return this.configuration.watchTurn;
  }

  public get helloPayload(): MeshHelloPayload {
    return {
      configurationVersion: this.configuration.version,
      crashRecords: this.quarantines.records(this.options.clock()),
      endedServers: this.endedServers.listRecent(this.options.clock()),
      evacuations: this.evacuations.snapshot(this.options.clock()),
      knownNodes: this.directory.nodeCount - 1,
      load: this.gate.load(this.options.clock()),
      reachesStore: this.configuration.reachesStore,
      storeEra: this.configuration.storeEra,
    };
  }

  /** Begins a graceful shutdown: requests in progress are completed, and the load reports to peers show it. */
  public stop(): void {
    if (this.shutdown !== undefined) return;
    const now = this.options.clock();
    this.shutdown = new GracefulShutdown(now, this.options.settings.graceMilliseconds);
    this.gate.stop(this.shutdown, now);
    this.forwarder.stop(this.shutdown);
    this.options.ports().callers.stop();
  }

  /** Applies new limits at once. Addresses and names cannot change while the process runs. */
  public applySettings(settings: MeshSettings): void {
    this.retryBudget.configure(settings.repeats);
    this.gate.setProbesPerSecond(settings.probesPerSecond);
    this.keyProofs.configure(settings.revocationMilliseconds);
    this.coldStartTolerance = settings.coldStartTolerance;
    this.configureColdStart();
    this.quarantines.setReleased(settings.releasedRequests, this.options.clock());
  }

  public onCallerRequest(request: EntryRequest): void {
    this.allotments.admit(request, () => {
      this.forward(request);
    });
  }

  private forward(request: EntryRequest): void {
    const now = this.options.clock();
    const service = this.trafficSplit.chooseService(request.route);
    const parent = this.gate.findParent(request.requestId);
    if (parent?.repeat === true) this.retryBudget.recordUnavoidableRetry(service, now);
    this.forwarder.forward(request, service, parent !== undefined, now);
  }

  public onCallerDisconnected(requestNumber: number): void {
    if (this.allotments.cancel(requestNumber)) return;
    this.forwarder.onCallerDisconnected(requestNumber, this.options.clock());
  }

  public onExecutionConcluded(executionId: number, result: ExecutionResult): void {
    const now = this.options.clock();
    this.gate.onExecutionFinished(executionId, result, now);
    this.announceLoad(now);
  }

  public onServerLoad(load: ServerLoad): void {
    const now = this.options.clock();
    this.gate.onServerLoad(load, now);
    this.announceLoad(now);
  }

  /** The server stated something about itself in a response. */
  public onServerNotice(notice: ServerNotice): void {
    this.gate.onServerNotice(notice, this.options.clock());
  }

  /** A different server instance than the expected one answered at the server's address. */
  public onUnexpectedInstance(instanceId: string): void {
    this.log(MeshEvent.OtherInstance, { instance: instanceId });
  }

  /**
   * Handles a message of the server. Resolves to what it hears of the message. A departure has to bind later incarnations of this
   * node too, so it must be in the store before it is confirmed, and peers must have acknowledged it.
   */
  public async onServerMessage(message: ServerMessage, isFresh: boolean): Promise<MessageVerdict> {
    this.departures.onMessage(message, isFresh);
    this.serverMessages.receive(message);
    const [verdict] = await Promise.all([this.departures.judge(message), this.endAcknowledged]);
    return verdict;
  }

  public onConfigurationRead(content: Uint8Array): void {
    this.configuration.onContentReceived(content, storeSource);
  }

  /** Whether a call to the store would renew the proof that this node holds. */
  public get isProofRenewalUseful(): boolean {
    return this.keyProofs.isRenewalUseful;
  }

  /**
   * The store has shown that it holds nothing newer of what operators write.
   * @param sentAt time on the `LeaseClock` before the call was sent; undefined if the result may be older than that.
   */
  public onConfigurationConfirmed(sentAt?: number): void {
    this.configuration.onStoreConfirmed(sentAt !== undefined && this.keyProofs.onStoreRead(sentAt));
  }

  /** Evacuations of zones were read from the store. */
  public onEvacuationsRead(read: EvacuationRead, storeEra: number | undefined): void {
    this.evacuations.onStoreRead(read, storeEra, this.options.clock());
  }

  /** The store became reachable or unreachable. */
  public onStoreReachabilityChanged(isReachable: boolean): void {
    this.configuration.onStoreReachabilityChanged(isReachable);
  }

  /** The store's era was read for the first time, or the era shows that the store was restored from a backup. */
  public onStoreEraObserved(era: number, isRestored: boolean): void {
    this.configuration.onEraObserved(era, isRestored);
  }

  public onDirectoryRead(): void {
    this.directorySynchronizer.onReadComplete();
  }

  /** A quarantined request was read from the store. */
  public onQuarantineRead(value: Uint8Array): void {
    this.quarantines.onStoredRecord(value, this.options.clock());
  }

  public onNodeObserved(node: MeshNode): void {
    this.directorySynchronizer.observe(node, this.options.clock());
  }

  public onConnected(hello: MeshHelloFrame): void {
    const { knownNodes, load, node } = hello;
    const now = this.options.clock();
    this.log(MeshEvent.NodeConnected, { boot: node.boot, peer: node.name });
    this.evacuations.onPeerSnapshot(hello.evacuations, node.name, now);
    this.quarantines.onPeerRecords(hello.crashRecords, now);
    this.directory.onConnected(node, now);
    this.allotments.onConnected(node);
    for (const server of endedServersOf(this.options.self.name, hello.endedServers))
      this.gate.onServerEndReported(server, now);
    this.gateTable.onConnected(node, load, now);
    this.forwarder.onConnectionRestored(node.name, node.boot, now);
    const { connections } = this.options.ports();
    this.configuration.onConnected(hello);
    this.keyProofs.onConnected(node);
    // A peer that does not reach the store learns of other nodes this way. Only a few nodes need to send it the list.
    const sendsMembers = this.configuration.isWatching || isSameZone(node, this.options.self);
    if (sendsMembers && knownNodes * 2 < this.directory.nodeCount - 1) {
      connections.send(node.name, { kind: 'members', members: this.directory.nodes() });
    }
  }

  public onDisconnected({ name }: MeshNode, detail: string): void {
    this.allotments.onDisconnected(name);
    const now = this.options.clock();
    this.log(MeshEvent.NodeDisconnected, { detail, peer: name });
    this.directory.onDisconnected(name, now);
    this.gateTable.onDisconnected(name);
    this.configuration.onDisconnected(name);
    this.keyProofs.onDisconnected(name);
    this.forwarder.onConnectionLost(name, now);
  }

  /** The connection to a node may have gone silent; another one is being opened in its place. */
  public onConnectionSuspected({ name }: MeshNode): void {
    this.allotments.setSuspected(name, true);
    this.log(MeshEvent.ConnectionSuspected, { peer: name });
    this.gateTable.setSuspected(name, true);
    this.forwarder.onConnectionLost(name, this.options.clock());
  }

  public onConnectionConfirmed({ name }: MeshNode): void {
    this.allotments.setSuspected(name, false);
    this.gateTable.setSuspected(name, false);
    this.forwarder.onConnectionConfirmed(name);
  }

  public onDialFailed({ name }: MeshNode, detail: string, isRefused: boolean): void {
    const now = this.options.clock();
    this.log(MeshEvent.DialFailed, { detail, peer: name });
    this.directory.onDialFailed(name, now);
    if (isRefused) this.forwarder.onNodeEnded(name, now);
  }

  /** An error while a frame is handled ends the request of the frame and no other. */
  public onFrame(from: MeshNode, frame: MeshFrame): void {
    containError(
      () => {
        this.handleFrame(from, frame);
      },
      (error) => {
        this.onFrameError(from, frame, error);
      },
    );
  }

  private onFrameError(from: MeshNode, frame: MeshFrame, { message }: Error): void {
    const request = frame.kind === 'start' ? frame.requestId : 'none';
    const place = `frame-${frame.kind}`;
    this.log(MeshEvent.ErrorContained, { detail: message, peer: from.name, place, request });
    const now = this.options.clock();
    switch (frame.kind) {
      case 'start': {
        const detail = 'internal error of the gate';
        const load = this.gate.load(now);
        this.sendReply(from.name, from.boot, {
          callId: frame.callId,
          detail,
          kind: 'failed',
          load,
        });
        return;
      }
      case 'answered':
      case 'declined':
      case 'failed':
        this.forwarder.onReplyError(from.name, frame.callId, now);
        return;
      default:
        return;
    }
  }

  private handleFrame(from: MeshNode, frame: MeshFrame): void {
    const now = this.options.clock();
    switch (frame.kind) {
      case 'start':
        this.loadAnnouncer.onRequest(from.name, isSameZone(from, this.options.self), now);
        this.gate.start(from.name, from.boot, frame, now);
        this.announceLoad(now);
        return;
      case 'cancel':
        this.gate.cancel(from.name, from.boot, frame, now);
        return;
      case 'answered':
      case 'declined':
      case 'failed':
        this.forwarder.onReply(from.name, frame, now);
        return;
      case 'allotment-ask':
      case 'allotment-grant':
        this.allotments.onFrame(from, frame);
        return;
      case 'load':
        if (isEndedServer(frame.endedServer)) {
          this.endedServers.record(from.name, frame.endedServer, now);
        }
        this.gateTable.onLoadReported(from.name, frame.load, now);
        return;
      case 'configuration':
        if (frame.version > this.configuration.version) {
          this.configuration.onContentReceived(frame.content, from.name);
        }
        return;
      case 'version':
        this.configuration.onPeerVersion(from, frame.version);
        if (frame.isConfirmed === true) this.configuration.onPeerConfirmed(frame.version);
        if (frame.isProven === true) this.keyProofs.onAnnounced(from.name);
        this.configuration.onPeerEra(frame.storeEra);
        this.evacuations.onPeerSnapshot(frame.evacuations, from.name, now);
        this.quarantines.onPeerRecords(frame.crashRecords, now);
        void this.departureRelay.onRequested(from.name, frame.recordRequest);
        this.departureRelay.onRecorded(frame.recordedName);
        return;
      case 'store-reach':
        this.configuration.onPeerStoreReachability(from.name, frame.reachesStore);
        return;
      case 'proof-request':
        this.keyProofs.onRequested(from.name, frame.number);
        return;
      case 'proof':
        this.keyProofs.onAnswer(from.name, frame);
        return;
      case 'pull':
        this.configuration.onPullRequested(from.name);
        return;
      case 'members':
        this.onMembersReceived(frame.members, from.name, now);
        return;
      case 'leaving':
        // The peer stays in the directory: if it restarts while the store is unreachable, it waits to be dialed.
        this.gateTable.remove(from.name);
    }
  }

  private onMembersReceived(members: readonly unknown[], source: string, now: number): void {
    // The incarnation of a node is the time of day of its start.
    const latestBoot = latestPlausibleBoot(this.options.self.boot + now - this.startedAt);
    for (const member of members) {
      const node = readMeshNode(member, latestBoot);
      if (node !== undefined) this.onNodeObserved(node);
    }
    this.directorySynchronizer.logObservedNodes(source);
  }

  private send(node: string, frame: RequestFrame): boolean {
    if (node !== this.options.self.name) return this.options.ports().connections.send(node, frame);
    // The local gate is called asynchronously like remote ones, so that the forwarder is not re-entered.
    this.options.defer(() => {
      this.onFrame(this.options.self, frame);
    });
    return true;
  }

  private onConfigurationChanged(configuration: RouteConfiguration): void {
    const { limits, routes, tenants, version } = configuration;
    this.allotments.configure(tenants);
    const routeNames = new Set(routes.map(({ name }) => name));
    this.trafficSplit.retain(routeNames);
    this.forwarder.onConfigurationChange(routeNames, version);
    this.gate.onRoutesChanged(routes);
    this.configureColdStart();
    this.options.ports().callers.configure(limits);
  }

  /** Limits the requests to the server while it is cold, if the operator declares what its service bears. */
  private configureColdStart(): void {
    const { configuration } = this.configuration.inForce ?? {};
    const coldStart = configuration?.services.get(this.options.self.service)?.coldStart;
    this.gate.configureColdStart(coldStart && toColdStartLimit(coldStart, this.coldStartTolerance));
  }

  /** An error before the request was sent, or while it was, ends its execution; the gate counts it as running until then. */
  private runAtServer(execution: Execution): void {
    const { executionId, frame } = execution;
    containError(
      () => {
        this.options.ports().server.run(execution);
      },
      ({ message }) => {
        this.log(MeshEvent.ErrorContained, {
          detail: message,
          place: 'server',
          request: frame.requestId,
        });
        this.options.defer(() => {
          this.onExecutionConcluded(executionId, { detail: 'internal error', kind: 'failed' });
        });
      },
    );
  }

  private async checkListener(): Promise<void> {
    const isRefused = await this.options.ports().server.isRefusingConnections();
    this.gate.onListenerChecked(isRefused, this.options.clock());
  }

  /** Sends the current load to the nodes that send requests to this gate. Called after each event that changes it. */
  private announceLoad(now: number): void {
    if (now < this.announcementDueAt) return;
    this.announcementDueAt = now + announcementIntervalMilliseconds;
    const load = this.gate.load(now);
    for (const node of this.loadAnnouncer.takeDueNodes(load, now)) {
      if (node === this.options.self.name) this.gateTable.onLoadReported(node, load, now);
      else this.options.ports().connections.send(node, { kind: 'load', load });
    }
  }

  private sendReply(node: string, boot: number, frame: ReplyFrame): void {
    if (this.gateTable.get(node)?.node.boot !== boot) return;
    this.loadAnnouncer.onReplySent(node, frame.load, this.options.clock());
    if (node !== this.options.self.name) {
      this.options.ports().connections.send(node, frame);
      return;
    }
    this.options.defer(() => {
      this.onFrame(this.options.self, frame);
    });
  }

  private onLoadChanged(): void {
    const now = this.options.clock();
    const load = this.gate.load(now);
    this.gateTable.onLoadReported(this.options.self.name, load, now);
    const endedServer =
      load.state === ServerState.Ready || !this.gate.hasServerLeft
        ? undefined
        : this.gate.lastEndedServer;
    const { connections } = this.options.ports();
    connections.broadcast({ endedServer, kind: 'load', load });
    if (endedServer !== undefined)
      this.endAcknowledged = waitForAcknowledgement(connections.whenRead(), this.options.schedule);
  }

  private handleServerMessage(message: ServerMessage): void {
    const now = this.options.clock();
    switch (message.kind) {
      case 'report':
        this.departures.onReport(message.report, now);
        return;
      case 'leave':
        this.gate.onServerLeaving(message.instanceId, now);
        return;
      case 'invalid':
        this.log(MeshEvent.ServerMessageInvalid, { detail: message.message });
    }
  }

  private tick(): void {
    if (this.isClosed) return;
    const now = this.options.clock();
    const { callers, connections, onStopped } = this.options.ports();
    this.forwarder.tick(now);
    this.gate.tick(now);
    this.announceLoad(now);
    if (now >= this.maintenanceDueAt) this.runMaintenance(now);
    if (this.shutdown !== undefined && now >= this.shutdown.refusesFrom) callers.refuse();
    if (this.shutdown?.mayExit(now, this.inProgress) === true) {
      connections.broadcast({ kind: 'leaving' });
      this.close();
      onStopped(this.gate.hasServerLeft);
      return;
    }
    const { forwarder, gate, inProgress } = this;
    this.cancelTick = this.options.schedule(
      () => {
        this.tick();
      },
      millisecondsUntilNextTick(inProgress, gate.waiting, forwarder.nextDeadline - now),
    );
  }

  /** Work whose cost grows with the number of nodes, and which tolerates the interval of idle ticks. */
  private runMaintenance(now: number): void {
    const { connections } = this.options.ports();
    this.maintenanceDueAt = now + idleTickIntervalMilliseconds;
    connections.tick(now);
    for (const node of this.directory.takeNodesToDial(now)) connections.dial(node);
    this.directorySynchronizer.tick(now);
    this.retryBudget.setNodeCount(this.directory.nodeCount);
    this.configuration.tick(now);
    this.evacuations.tick(now);
    this.keyProofs.tick();
    this.quarantines.tick(now);
    this.allotments.tick();
    const hasPeerHellos =
      this.directory.connectedCount > 0 && this.directorySynchronizer.isMostlyConnected;
    this.serverMessages.releaseIfDue(hasPeerHellos, now - this.startedAt);
    this.healthChecks.tick(now);
  }

  private get inProgress(): number {
    const { callers } = this.options.ports();
    return this.forwarder.inProgressCount + this.gate.inProgress + callers.inProgress;
  }

  private get healthPath(): string | undefined {
    const { configuration } = this.configuration.inForce ?? {};
    const path = configuration?.services.get(this.options.self.service)?.healthPath;
    return path === '' ? undefined : path;
  }

  private log(event: string, fields: LogFields): void {
    this.options.events.record(event, fields);
  }
}
