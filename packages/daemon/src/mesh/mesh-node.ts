import type { RouteServer, RoutingConfiguration } from '@peridotspring/callers';
import type { RandomSource } from '@peridotspring/core';
import {
  PlacementPolicy,
  EndedServers,
  isSameZone,
  LoadAnnouncer,
  RetryBudget,
  RequestForwarder,
  ServerGate,
  ServerState,
  GateTable,
  TrafficSplit,
} from '@peridotspring/mesh-core';
import type {
  EndedServer,
  EntryRequest,
  Execution,
  ExecutionResult,
  MeshFrame,
  MeshNode,
  NodeDirectory,
  ReplyFrame,
  RequestFrame,
  RouteConfiguration,
  ServerLoad,
} from '@peridotspring/mesh-core';
import type { MeshHelloPayload, MeshHelloFrame, MeshConnections } from '@peridotspring/nodes';
import type { HealthAnswer, ServerMessage } from '@peridotspring/upstreams/mesh';

import { ConfigurationFollower } from './configuration-follower.js';
import type { ConfigurationPorts } from './configuration-follower.js';
import { DirectoryKeeper } from './directory-keeper.js';
import type { DirectoryStore } from './directory-keeper.js';
import type { EventRecorder } from './event-recorder.js';
import { MeshEvent } from './mesh-event.js';
import type { MeshSettings } from './mesh-settings.js';
import type { MeshFigures, MeshServiceFigures } from './mesh-gauges.js';
import { isMeshNode } from './mesh-directory-entry.js';
import type { DecodedConfiguration } from './platform-adapter.js';
import { ServerInbox } from './server-inbox.js';
import { StopPlan } from './stop-plan.js';

/** Time between ticks while requests wait at the gate for the moment to start. */
const waitingTickMilliseconds = 10;
/** Time between ticks while requests are in progress; hedges and reports of load depend on it. */
const busyTickMilliseconds = 20;
const idleTickMilliseconds = 50;
/** Shortest time between two looks at whom to tell of the load; a report to a node has pauses of its own. */
const announceMilliseconds = 10;
/** A server that has not told of itself by then is asked for its health. */
const firstReportMilliseconds = 500;
const healthRetryMilliseconds = 3_000;
/**
 * What the server says waits until half of the connections are up or until this time, so that others can tell
 * which lifetimes of it an earlier life of this process has shut for.
 */
const hearOthersMilliseconds = 500;
/**
 * The end of a server is confirmed once other nodes know of it, which takes a round trip. Nodes that don't answer
 * are not waited for longer; the platform allows a second for the confirmation.
 */
const endReadMilliseconds = 200;
/** A node takes callers although it could not reach the others for this long. */
const lonelyStartMilliseconds = 2_000;
const millisecondsPerSecond = 1_000;

type Fields = Readonly<Record<string, string | number | boolean>>;

/** What the node uses to act on the world. */
export interface MeshNodePorts {
  readonly callers: Pick<RouteServer, 'configure' | 'inProgress' | 'refuse' | 'respond' | 'stop'>;
  readonly links: Pick<MeshConnections, 'broadcast' | 'dial' | 'send' | 'tick' | 'whenRead'>;
  readonly server: {
    run(execution: Execution): void;
    abort(executionId: number): void;
    health(path: string): Promise<HealthAnswer | undefined>;
  };
  readonly store: ConfigurationPorts['store'] & DirectoryStore;
  /** Nothing is in progress any more: the process may end. `isForGood` tells that its server has left too. */
  readonly stopped: (isForGood: boolean) => void;
}

export interface MeshNodeOptions {
  readonly settings: MeshSettings;
  readonly self: MeshNode;
  readonly random: RandomSource;
  readonly clock: () => number;
  readonly events: EventRecorder;
  readonly ports: () => MeshNodePorts;
  /** Calls back once after a time; returns what takes it back. */
  readonly schedule: (action: () => void, milliseconds: number) => () => void;
  /** Calls back in a later turn, before any time passes. */
  readonly defer: (action: () => void) => void;
  readonly decodeConfiguration: (content: Uint8Array) => DecodedConfiguration;
}

/** Connects the decisions of a node with its ports. */
export class MeshNodeDriver {
  public readonly directory: NodeDirectory;
  private readonly directoryKeeper: DirectoryKeeper;
  private readonly configuration: ConfigurationFollower;
  private readonly targets = new GateTable();
  private readonly split: TrafficSplit;
  private readonly budget: RetryBudget;
  private readonly forwarder: RequestForwarder;
  private readonly gate: ServerGate;
  private readonly announcer = new LoadAnnouncer();
  private readonly endedServers = new EndedServers();
  private readonly inbox: ServerInbox;
  /** Settles when other nodes have read that the last server drains or left. */
  private endRead: Promise<void> = Promise.resolve();
  private readonly startedAt: number;
  private cancelTick: (() => void) | undefined;
  private stopPlan: StopPlan | undefined;
  private healthDueAt: number;
  private upkeepDueAt = 0;
  private announceDueAt = 0;
  private isClosed = false;

  public constructor(private readonly options: MeshNodeOptions) {
    const { clock, random, self, settings } = options;
    this.startedAt = clock();
    this.healthDueAt = this.startedAt + firstReportMilliseconds;
    const log = (event: string, fields: Fields): void => {
      options.events.record(event, fields);
    };
    this.inbox = new ServerInbox((message) => {
      this.takeServerMessage(message);
    });
    this.directoryKeeper = new DirectoryKeeper({
      isRemover: () => this.configuration.isWatching,
      log,
      self,
      startedAt: this.startedAt,
      store: () => options.ports().store,
    });
    this.directory = this.directoryKeeper.directory;
    this.configuration = new ConfigurationFollower({
      changed: (configuration) => {
        this.configured(configuration);
      },
      clock,
      decode: options.decodeConfiguration,
      log,
      ports: options.ports,
      self,
    });
    this.split = new TrafficSplit(random);
    this.budget = new RetryBudget(settings.repeats);
    this.gate = new ServerGate({
      log: ({ event, fields }) => {
        this.log(event, fields);
      },
      port: {
        abort: (executionId) => {
          options.ports().server.abort(executionId);
        },
        onStateChanged: () => {
          this.loadChanged();
        },
        probe: () => {
          void this.probe();
        },
        reply: (node, frame) => {
          this.reply(node, frame);
        },
        run: (execution) => {
          options.ports().server.run(execution);
        },
      },
      probesPerSecond: settings.probesPerSecond,
      service: self.service,
    });
    this.forwarder = new RequestForwarder({
      retryBudget: this.budget,
      callerService: self.service,
      log: ({ event, fields }) => {
        this.log(event, fields);
      },
      placementPolicy: new PlacementPolicy({ ...self, random }),
      port: {
        respond: (request, outcome) => {
          options.ports().callers.respond(request, outcome);
        },
        send: (node, frame) => this.send(node, frame),
      },
      random,
      gates: this.targets,
    });
    this.targets.onConnected(self, this.gate.load(this.startedAt), this.startedAt);
  }

  public start(): void {
    this.tick();
  }

  public close(): void {
    this.isClosed = true;
    this.cancelTick?.();
  }

  public get routing(): RoutingConfiguration | undefined {
    const inForce = this.configuration.inForce;
    return inForce && { limits: inForce.configuration.limits, table: inForce.table };
  }

  /** Whether callers may send their requests to this node. */
  public get isReady(): boolean {
    if (this.stopPlan !== undefined || this.configuration.inForce === undefined) return false;
    if (this.options.clock() - this.startedAt > lonelyStartMilliseconds) return true;
    return this.directoryKeeper.isMostlyConnected;
  }

  /** Figures for the metrics, read when they are asked for. */
  public get figures(): MeshFigures {
    const now = this.options.clock();
    const load = this.gate.load(now);
    return {
      configuration_age_seconds: this.configuration.ageMilliseconds(now) / millisecondsPerSecond,
      configuration_version: this.configuration.version,
      gate_concurrency_limit: load.limit,
      gate_running: load.running,
      gate_waiting: load.waiting,
      nodes_connected: this.directory.connectedCount,
      nodes_gone: this.directory.lostNodeCount,
      nodes_known: this.directory.nodeCount - 1,
      nodes_wanted: this.directory.wantedConnectionCount,
      requests_in_progress: this.forwarder.inProgressCount,
      server_failure_share: load.failureShare,
      server_probes_allowed_per_second: this.gate.probesPerSecond,
      server_service_milliseconds: load.serviceMilliseconds,
      server_slots: this.gate.slots,
    };
  }

  /** Figures of each service for the metrics, read when they are asked for. */
  public get serviceFigures(): MeshServiceFigures {
    const now = this.options.clock();
    const uses = [...this.budget.usageByService(now)];
    return {
      load_report_age_milliseconds: this.targets.loadAges(now),
      repeats_allowed: new Map(uses.map(({ allowed, service }) => [service, allowed])),
      repeats_used: new Map(uses.map(({ service, used }) => [service, used])),
    };
  }

  public get greeting(): MeshHelloPayload {
    return {
      configurationVersion: this.configuration.version,
      endedServers: this.endedServers.listRecent(this.options.clock()),
      knownNodes: this.directory.nodeCount - 1,
      load: this.gate.load(this.options.clock()),
      reachesStore: this.configuration.reachesStore,
      storeEra: this.configuration.storeEra,
    };
  }

  /** Begins a planned stop: requests in progress end, and others hear of it. */
  public stop(): void {
    if (this.stopPlan !== undefined) return;
    const now = this.options.clock();
    this.stopPlan = new StopPlan(now, this.options.settings.graceMilliseconds);
    this.gate.stop(now);
    this.options.ports().callers.stop();
  }

  /** Bounds that hold from now on; addresses and names of a process hold until its end. */
  public applySettings({ probesPerSecond, repeats }: MeshSettings): void {
    this.budget.configure(repeats);
    this.gate.setProbesPerSecond(probesPerSecond);
  }

  public callerRequest(request: EntryRequest): void {
    const now = this.options.clock();
    const service = this.split.chooseService(request.route);
    const parent = this.gate.findParent(request.requestId);
    if (parent?.repeat === true) this.budget.recordUnavoidableRetry(service, now);
    this.forwarder.forward(request, service, parent !== undefined, now);
  }

  public callerGone(requestNumber: number): void {
    this.forwarder.onCallerDisconnected(requestNumber, this.options.clock());
  }

  public executionConcluded(executionId: number, result: ExecutionResult): void {
    const now = this.options.clock();
    this.gate.onExecutionFinished(executionId, result, now);
    this.announceLoad(now);
  }

  public serverLoad(load: ServerLoad): void {
    const now = this.options.clock();
    this.gate.onServerLoad(load, now);
    this.announceLoad(now);
  }

  /** Another server than the expected one has the address. */
  public otherInstance(instanceId: string): void {
    this.log(MeshEvent.OtherInstance, { instance: instanceId });
  }

  /**
   * The server tells of itself. Settles when that may be confirmed: what confirms the end of a server has to hold in
   * later lives of this process too, and these hear of it from other nodes.
   */
  public async serverMessage(message: ServerMessage): Promise<void> {
    this.inbox.receive(message);
    await this.endRead;
  }

  /** The operators' configuration was read from the store. */
  public configurationRead(content: Uint8Array): void {
    this.configuration.read(content, 'store');
  }

  /** The store answers again, or does not answer any more. */
  public storeReached(reachesStore: boolean): void {
    this.configuration.storeReached(reachesStore);
  }

  /** The store told its era for the first time, or that it came back from an older copy. */
  public storeEraSeen(era: number, isRestored: boolean): void {
    this.configuration.eraSeen(era, isRestored);
  }

  public directoryRead(): void {
    this.directoryKeeper.read();
  }

  public nodeMentioned(node: MeshNode): void {
    this.directoryKeeper.mentioned(node, this.options.clock());
  }

  public connected(hello: MeshHelloFrame): void {
    const { knownNodes, load, node } = hello;
    const now = this.options.clock();
    this.log(MeshEvent.NodeConnected, { boot: node.boot, peer: node.name });
    this.directory.onConnected(node, now);
    this.hearEndedServers(hello, now);
    this.targets.onConnected(node, load, now);
    this.forwarder.onConnectionRestored(node.name, node.boot, now);
    const { links } = this.options.ports();
    this.configuration.connected(hello);
    // A node that the store does not answer learns of the others; it needs the list a few times only.
    const tells = this.configuration.isWatching || isSameZone(node, this.options.self);
    if (tells && knownNodes * 2 < this.directory.nodeCount - 1) {
      links.send(node.name, { kind: 'members', members: this.directory.nodes() });
    }
  }

  public disconnected({ name }: MeshNode, detail: string): void {
    const now = this.options.clock();
    this.log(MeshEvent.NodeDisconnected, { detail, peer: name });
    this.directory.onDisconnected(name, now);
    this.targets.onDisconnected(name);
    this.configuration.disconnected(name);
    this.forwarder.onConnectionLost(name, now);
  }

  public dialFailed({ name }: MeshNode, detail: string, isRefused: boolean): void {
    const now = this.options.clock();
    this.log(MeshEvent.DialFailed, { detail, peer: name });
    this.directory.onDialFailed(name, now);
    if (isRefused) this.forwarder.onNodeEnded(name, now);
  }

  public frame(from: MeshNode, frame: MeshFrame): void {
    const now = this.options.clock();
    switch (frame.kind) {
      case 'start':
        this.announcer.onRequest(from.name, isSameZone(from, this.options.self), now);
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
      case 'load':
        if (isEndedServer(frame.endedServer)) {
          this.endedServers.record(from.name, frame.endedServer, now);
        }
        this.targets.onLoadReported(from.name, frame.load, now);
        return;
      case 'configuration':
        if (frame.version > this.configuration.version) {
          this.configuration.read(frame.content, from.name);
        }
        return;
      case 'version':
        this.configuration.versionHeard(from, frame.version);
        this.configuration.eraTold(frame.storeEra);
        return;
      case 'store-reach':
        this.configuration.storeReachTold(from.name, frame.reachesStore);
        return;
      case 'pull':
        this.configuration.asked(from.name);
        return;
      case 'members':
        for (const member of frame.members) if (isMeshNode(member)) this.nodeMentioned(member);
        this.directoryKeeper.tellNewlyKnown(from.name);
        return;
      case 'leaving':
        // The directory keeps it: it may start again while the store is away, and then waits to be dialed.
        this.targets.remove(from.name);
    }
  }

  private send(node: string, frame: RequestFrame): boolean {
    if (node !== this.options.self.name) return this.options.ports().links.send(node, frame);
    // The own gate answers in a later turn, like any other, so that no decision is entered twice.
    this.options.defer(() => {
      this.frame(this.options.self, frame);
    });
    return true;
  }

  private configured({ limits, routes, version }: RouteConfiguration): void {
    const routeNames = new Set(routes.map(({ name }) => name));
    this.split.retain(routeNames);
    this.forwarder.onConfigurationChange(routeNames, version);
    this.gate.onRoutesChanged(routeNames);
    this.options.ports().callers.configure(limits);
  }

  /** Tells the nodes that send requests here how much the server has to do, after each event that changes it. */
  private announceLoad(now: number): void {
    if (now < this.announceDueAt) return;
    this.announceDueAt = now + announceMilliseconds;
    const load = this.gate.load(now);
    for (const node of this.announcer.takeDueNodes(load, now)) {
      if (node === this.options.self.name) this.targets.onLoadReported(node, load, now);
      else this.options.ports().links.send(node, { kind: 'load', load });
    }
  }

  private reply(node: string, frame: ReplyFrame): void {
    this.announcer.onReplySent(node, frame.load, this.options.clock());
    if (node !== this.options.self.name) {
      this.options.ports().links.send(node, frame);
      return;
    }
    this.options.defer(() => {
      this.frame(this.options.self, frame);
    });
  }

  private loadChanged(): void {
    const now = this.options.clock();
    const load = this.gate.load(now);
    this.targets.onLoadReported(this.options.self.name, load, now);
    const endedServer =
      load.state === ServerState.Ready || !this.gate.hasServerLeft
        ? undefined
        : this.gate.lastEndedServer;
    const { links } = this.options.ports();
    links.broadcast({ endedServer, kind: 'load', load });
    if (endedServer !== undefined) this.endRead = this.orAfter(links.whenRead());
  }

  private async orAfter(read: Promise<void>): Promise<void> {
    await new Promise<void>((resolve) => {
      const cancel = this.options.schedule(resolve, endReadMilliseconds);
      void read.then(() => {
        cancel();
        resolve();
      });
    });
  }

  private takeServerMessage(message: ServerMessage): void {
    const now = this.options.clock();
    switch (message.kind) {
      case 'report':
        this.gate.onServerReport(message.report, now);
        return;
      case 'leave':
        this.gate.onServerLeaving(message.instanceId, now);
        return;
      case 'invalid':
        this.log(MeshEvent.ServerMessageInvalid, { detail: message.message });
    }
  }

  /** Others know which servers an earlier life of this process has shut for. */
  private hearEndedServers({ endedServers }: MeshHelloFrame, now: number): void {
    if (!Array.isArray(endedServers)) return;
    for (const server of endedServers as readonly unknown[]) {
      if (!isEndedServer(server) || !('node' in server)) continue;
      if (server.node === this.options.self.name) this.gate.onServerEndReported(server, now);
    }
  }

  /** Takes up what the server said once others have been heard, or there was time enough to. */
  private hearServer(now: number): void {
    if (this.inbox.isOpen) return;
    const isHeard = this.directory.connectedCount > 0 && this.directoryKeeper.isMostlyConnected;
    if (isHeard || now - this.startedAt >= hearOthersMilliseconds) this.inbox.open();
  }

  private tick(): void {
    if (this.isClosed) return;
    const now = this.options.clock();
    const { callers, links, stopped } = this.options.ports();
    this.forwarder.tick(now);
    this.gate.tick(now);
    this.announceLoad(now);
    if (now >= this.upkeepDueAt) this.keepUp(now);
    if (this.stopPlan?.refusesRequests(now) === true) callers.refuse();
    if (this.stopPlan?.mayEnd(now, this.inProgress) === true) {
      links.broadcast({ kind: 'leaving' });
      this.close();
      stopped(this.gate.hasServerLeft);
      return;
    }
    this.cancelTick = this.options.schedule(() => {
      this.tick();
    }, this.untilNextTick(now));
  }

  /** A tick wakes the process, so it comes only as soon as something depends on it. */
  private untilNextTick(now: number): number {
    if (this.gate.waiting > 0) return waitingTickMilliseconds;
    if (this.inProgress === 0) return idleTickMilliseconds;
    const untilDeadline = Math.ceil(this.forwarder.nextDeadline - now);
    return Math.min(busyTickMilliseconds, Math.max(1, untilDeadline));
  }

  /** What depends on the number of nodes and can wait for an idle tick. */
  private keepUp(now: number): void {
    const { links } = this.options.ports();
    this.upkeepDueAt = now + idleTickMilliseconds;
    links.tick(now);
    for (const node of this.directory.takeNodesToDial(now)) links.dial(node);
    this.directoryKeeper.tick(now);
    this.budget.setNodeCount(this.directory.nodeCount);
    this.configuration.tick(now);
    this.hearServer(now);
    this.checkHealth(now);
  }

  private get inProgress(): number {
    const { callers } = this.options.ports();
    return this.forwarder.inProgressCount + this.gate.inProgress + callers.inProgress;
  }

  /** A node that started again learns its server's lifetime before the server's next report. */
  private checkHealth(now: number): void {
    if (this.gate.hasServer || now < this.healthDueAt || this.healthPath === undefined) return;
    this.healthDueAt = Infinity;
    void this.options
      .ports()
      .server.health(this.healthPath)
      .then((answer) => {
        this.healthDueAt = this.options.clock() + healthRetryMilliseconds;
        this.healthAnswered(answer);
      });
  }

  private get healthPath(): string | undefined {
    const { configuration } = this.configuration.inForce ?? {};
    const path = configuration?.services.get(this.options.self.service)?.healthPath;
    return path === '' ? undefined : path;
  }

  /** Asks the server how fast it works at this moment. */
  private async probe(): Promise<void> {
    this.options.events.count('server_probes');
    const path = this.healthPath;
    const answer = path === undefined ? undefined : await this.options.ports().server.health(path);
    const now = this.options.clock();
    if (answer?.load !== undefined) this.gate.onServerLoad(answer.load, now);
    this.gate.onProbeFinished(now);
  }

  private healthAnswered(answer: HealthAnswer | undefined): void {
    this.log(MeshEvent.HealthChecked, {
      instance: answer?.instanceId ?? 'unknown',
      ready: answer?.isReady ?? false,
    });
    if (answer?.instanceId === undefined || !answer.isReady || answer.load === undefined) return;
    const now = this.options.clock();
    this.gate.onHealthCheckPassed(answer.instanceId, answer.load.slots, now);
    this.gate.onServerLoad(answer.load, now);
  }

  private log(event: string, fields: Fields): void {
    this.options.events.record(event, fields);
  }
}

/** Whether what another node sent names a lifetime of a server. */
function isEndedServer(value: unknown): value is EndedServer {
  if (typeof value !== 'object' || value === null || !('instanceId' in value)) return false;
  const startedAt = 'startedAt' in value ? value.startedAt : undefined;
  const isStart = startedAt === undefined || Number.isSafeInteger(startedAt);
  return isStart && typeof value.instanceId === 'string' && value.instanceId !== '';
}
