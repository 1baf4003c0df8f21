import type { RouteServer, RoutingView } from '@peridotspring/callers';
import type { RandomSource } from '@peridotspring/core';
import {
  CompletionPolicy,
  EndedServers,
  isSameZone,
  LoadAnnouncer,
  NodeDirectory,
  RepeatBudget,
  RequestForwarder,
  ServerGate,
  ServerState,
  TargetBook,
  TrafficSplit,
} from '@peridotspring/mesh-core';
import type {
  EndedServer,
  EntryRequest,
  Execution,
  ExecutionResult,
  MeshFrame,
  MeshNode,
  ReplyFrame,
  RequestFrame,
  RouteConfiguration,
  ServerLoad,
} from '@peridotspring/mesh-core';
import type { MeshGreeting, MeshHelloFrame, MeshLinks } from '@peridotspring/nodes';
import type { HealthAnswer, ServerMessage } from '@peridotspring/upstreams/mesh';

import { ConfigurationFollower } from './configuration-follower.js';
import type { ConfigurationPorts } from './configuration-follower.js';
import type { EventRecorder } from './event-recorder.js';
import { MeshEvent } from './mesh-event.js';
import type { MeshSettings } from './mesh-settings.js';
import type { MeshFigures, MeshServiceFigures } from './mesh-gauges.js';
import { isMeshNode } from './mesh-directory-entry.js';
import type { DecodedConfiguration } from './platform-adapter.js';
import { StopPlan } from './stop-plan.js';

/** Time between ticks while requests are in progress; hedges, queues and deadlines depend on it. */
const busyTickMilliseconds = 10;
const idleTickMilliseconds = 50;
/** A server that has not told of itself by then is asked for its health. */
const firstReportMilliseconds = 500;
const healthRetryMilliseconds = 3_000;
/**
 * What the server says waits until half of the connections are up or until this time, so that others can tell
 * which lifetimes of it an earlier life of this process has shut for.
 */
const hearOthersMilliseconds = 500;
/** A node takes callers although it could not reach the others for this long. */
const lonelyStartMilliseconds = 2_000;
/** A node that is connected to no other reads the directory again this often; it may have forgotten all. */
const isolatedRereadMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;

/** What the node uses to act on the world. */
export interface MeshNodePorts {
  readonly callers: Pick<RouteServer, 'configure' | 'inProgress' | 'refuse' | 'respond' | 'stop'>;
  readonly links: Pick<MeshLinks, 'broadcast' | 'dial' | 'send' | 'tick'>;
  readonly server: {
    run(execution: Execution): void;
    abort(executionId: number): void;
    health(path: string): Promise<HealthAnswer | undefined>;
  };
  readonly store: ConfigurationPorts['store'] & {
    /** Reads the directory once more. */
    refreshDirectory(): void;
    /** Removes the entry of a node that ended, unless it has changed. */
    removeEntry(node: MeshNode): void;
  };
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
  private readonly configuration: ConfigurationFollower;
  private readonly targets = new TargetBook();
  private readonly split: TrafficSplit;
  private readonly budget: RepeatBudget;
  private readonly forwarder: RequestForwarder;
  private readonly gate: ServerGate;
  private readonly announcer = new LoadAnnouncer();
  private readonly endedServers = new EndedServers();
  /** What the server said before this node heard others; undefined from then on. */
  private earlyMessages: ServerMessage[] | undefined = [];
  private readonly startedAt: number;
  private cancelTick: (() => void) | undefined;
  private stopPlan: StopPlan | undefined;
  private isDirectoryRead = false;
  /** Nodes that were heard of since the last line on that. */
  private newlyKnown = 0;
  private healthDueAt: number;
  private upkeepDueAt = 0;
  private directoryDueAt: number;
  private isClosed = false;

  public constructor(private readonly options: MeshNodeOptions) {
    const { clock, random, self, settings } = options;
    this.startedAt = clock();
    this.healthDueAt = this.startedAt + firstReportMilliseconds;
    this.directoryDueAt = this.startedAt + isolatedRereadMilliseconds;
    this.directory = new NodeDirectory(self);
    this.configuration = new ConfigurationFollower({
      changed: (configuration) => {
        this.configured(configuration);
      },
      clock,
      decode: options.decodeConfiguration,
      log: (event, fields) => {
        this.log(event, fields);
      },
      ports: options.ports,
      self,
    });
    this.split = new TrafficSplit(random);
    this.budget = new RepeatBudget(settings.repeats);
    this.gate = new ServerGate({
      log: ({ event, fields }) => {
        this.log(event, fields);
      },
      port: {
        abort: (executionId) => {
          options.ports().server.abort(executionId);
        },
        loadChanged: () => {
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
      budget: this.budget,
      callerService: self.service,
      log: ({ event, fields }) => {
        this.log(event, fields);
      },
      policy: new CompletionPolicy({ ...self, random }),
      port: {
        respond: (request, outcome) => {
          options.ports().callers.respond(request, outcome);
        },
        send: (node, frame) => this.send(node, frame),
      },
      random,
      targets: this.targets,
    });
    this.targets.connected(self, this.gate.load(this.startedAt), this.startedAt);
  }

  public start(): void {
    this.tick();
  }

  public close(): void {
    this.isClosed = true;
    this.cancelTick?.();
  }

  public get routing(): RoutingView | undefined {
    const inForce = this.configuration.inForce;
    return inForce && { limits: inForce.configuration.limits, table: inForce.table };
  }

  /** Whether callers may send their requests to this node. */
  public get isReady(): boolean {
    if (this.stopPlan !== undefined || this.configuration.inForce === undefined) return false;
    if (this.options.clock() - this.startedAt > lonelyStartMilliseconds) return true;
    return this.isMostlyConnected;
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
      nodes_connected: this.directory.connected,
      nodes_gone: this.directory.gone,
      nodes_known: this.directory.size - 1,
      nodes_wanted: this.directory.wanted,
      requests_in_progress: this.forwarder.inProgress,
      server_failure_share: load.failureShare,
      server_probes_allowed_per_second: this.gate.probesPerSecond,
      server_service_milliseconds: load.serviceMilliseconds,
      server_slots: this.gate.slots,
    };
  }

  /** Figures of each service for the metrics, read when they are asked for. */
  public get serviceFigures(): MeshServiceFigures {
    const now = this.options.clock();
    const uses = [...this.budget.uses(now)];
    return {
      load_report_age_milliseconds: this.targets.loadAges(now),
      repeats_allowed: new Map(uses.map(({ allowed, service }) => [service, allowed])),
      repeats_used: new Map(uses.map(({ service, used }) => [service, used])),
    };
  }

  public get greeting(): MeshGreeting {
    return {
      configurationVersion: this.configuration.version,
      endedServers: this.endedServers.recent(this.options.clock()),
      knownNodes: this.directory.size - 1,
      load: this.gate.load(this.options.clock()),
      reachesStore: this.configuration.reachesStore,
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
    const service = this.split.choose(request.route);
    const parent = this.gate.parentOf(request.requestId);
    if (parent?.repeat === true) this.budget.charge(service, now);
    this.forwarder.begin(request, service, parent !== undefined, now);
  }

  public callerGone(requestNumber: number): void {
    this.forwarder.abandon(requestNumber, this.options.clock());
  }

  public executionConcluded(executionId: number, result: ExecutionResult): void {
    this.gate.concluded(executionId, result, this.options.clock());
  }

  public serverLoad(load: ServerLoad): void {
    this.gate.serverLoad(load, this.options.clock());
  }

  /** Another server than the expected one has the address. */
  public otherInstance(instanceId: string): void {
    this.log(MeshEvent.OtherInstance, { instance: instanceId });
  }

  public serverMessage(message: ServerMessage): void {
    // That it leaves is never held back.
    if (message.kind === 'leave') this.earlyMessages = this.earlyMessages?.filter(isOther(message));
    else if (this.earlyMessages !== undefined) {
      this.earlyMessages.push(message);
      return;
    }
    const now = this.options.clock();
    switch (message.kind) {
      case 'report':
        this.gate.report(message.report, now);
        return;
      case 'leave':
        this.gate.leave(message.instanceId, now);
        return;
      case 'invalid':
        this.log(MeshEvent.ServerMessageInvalid, { detail: message.message });
    }
  }

  /** The operators' configuration was read from the store. */
  public configurationRead(content: Uint8Array): void {
    this.configuration.read(content, 'store');
  }

  /** The store answers again, or does not answer any more. */
  public storeReached(reachesStore: boolean): void {
    this.configuration.storeReached(reachesStore);
  }

  public directoryRead(): void {
    this.isDirectoryRead = true;
    this.tellNewlyKnown('store');
  }

  public nodeMentioned(node: MeshNode): void {
    if (this.directory.mentioned(node, this.options.clock())) this.newlyKnown += 1;
  }

  public connected(hello: MeshHelloFrame): void {
    const { knownNodes, load, node } = hello;
    const now = this.options.clock();
    this.log(MeshEvent.NodeConnected, { boot: node.boot, peer: node.name });
    this.directory.connectedTo(node, now);
    this.hearEndedServers(hello, now);
    this.targets.connected(node, load, now);
    this.forwarder.connectionRestored(node.name, node.boot, now);
    const { links } = this.options.ports();
    this.configuration.connected(hello);
    // A node that the store does not answer learns of the others; it needs the list a few times only.
    const tells = this.configuration.isWatching || isSameZone(node, this.options.self);
    if (tells && knownNodes * 2 < this.directory.size - 1) {
      links.send(node.name, { kind: 'members', members: this.directory.nodes() });
    }
  }

  public disconnected({ name }: MeshNode, detail: string): void {
    const now = this.options.clock();
    this.log(MeshEvent.NodeDisconnected, { detail, peer: name });
    this.directory.disconnected(name, now);
    this.targets.disconnected(name);
    this.configuration.disconnected(name);
    this.forwarder.connectionLost(name, now);
  }

  public dialFailed({ name }: MeshNode, detail: string, isRefused: boolean): void {
    const now = this.options.clock();
    this.log(MeshEvent.DialFailed, { detail, peer: name });
    this.directory.dialFailed(name, now);
    if (isRefused) this.forwarder.nodeEnded(name, now);
  }

  public frame(from: MeshNode, frame: MeshFrame): void {
    const now = this.options.clock();
    switch (frame.kind) {
      case 'start':
        this.announcer.requested(from.name, isSameZone(from, this.options.self), now);
        this.gate.start(from.name, from.boot, frame, now);
        return;
      case 'cancel':
        this.gate.cancel(from.name, from.boot, frame, now);
        return;
      case 'answered':
      case 'declined':
      case 'failed':
        this.forwarder.reply(from.name, frame, now);
        return;
      case 'load':
        if (isEndedServer(frame.endedServer)) {
          this.endedServers.note(from.name, frame.endedServer, now);
        }
        this.targets.reported(from.name, frame.load, now);
        return;
      case 'configuration':
        if (frame.version > this.configuration.version) {
          this.configuration.read(frame.content, from.name);
        }
        return;
      case 'version':
        this.configuration.versionHeard(from, frame.version);
        return;
      case 'store-reach':
        this.configuration.storeReachTold(from.name, frame.reachesStore);
        return;
      case 'pull':
        this.configuration.asked(from.name);
        return;
      case 'members':
        for (const member of frame.members) if (isMeshNode(member)) this.nodeMentioned(member);
        this.tellNewlyKnown(from.name);
        return;
      case 'leaving':
        // The directory keeps it: it may start again while the store is away, and then waits to be dialed.
        this.targets.forget(from.name);
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
    this.forwarder.configured(routeNames, version);
    this.gate.configured(routeNames);
    this.options.ports().callers.configure(limits);
  }

  /** Tells the nodes that send requests here how much the server has to do. */
  private announceLoad(now: number): void {
    const load = this.gate.load(now);
    for (const node of this.announcer.due(load, now)) {
      if (node === this.options.self.name) this.targets.reported(node, load, now);
      else this.options.ports().links.send(node, { kind: 'load', load });
    }
  }

  private reply(node: string, frame: ReplyFrame): void {
    this.announcer.told(node, frame.load, this.options.clock());
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
    this.targets.reported(this.options.self.name, load, now);
    const endedServer =
      load.state === ServerState.Ready || !this.gate.hasServerLeft
        ? undefined
        : this.gate.lastEndedServer;
    this.options.ports().links.broadcast({ endedServer, kind: 'load', load });
  }

  /** One line for all: a node that starts in a large fleet hears of hundreds at once. */
  private tellNewlyKnown(source: string): void {
    if (this.newlyKnown === 0) return;
    this.log(MeshEvent.NodesKnown, {
      known: this.directory.size - 1,
      nodes: this.newlyKnown,
      source,
    });
    this.newlyKnown = 0;
  }

  /** Others know which servers an earlier life of this process has shut for. */
  private hearEndedServers({ endedServers = [] }: MeshHelloFrame, now: number): void {
    for (const server of endedServers) {
      if (server.node === this.options.self.name && isEndedServer(server)) {
        this.gate.endedBefore(server, now);
      }
    }
  }

  /** Takes up what the server said once others have been heard, or there was time enough to. */
  private hearServer(now: number): void {
    if (this.earlyMessages === undefined) return;
    const isHeard = this.directory.connected > 0 && this.isMostlyConnected;
    if (!isHeard && now - this.startedAt < hearOthersMilliseconds) return;
    const messages = this.earlyMessages;
    this.earlyMessages = undefined;
    for (const message of messages) this.serverMessage(message);
  }

  private get isMostlyConnected(): boolean {
    return this.isDirectoryRead && this.directory.connected * 2 >= this.directory.wanted;
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
    const isBusy = this.inProgress > 0;
    this.cancelTick = this.options.schedule(
      () => {
        this.tick();
      },
      isBusy ? busyTickMilliseconds : idleTickMilliseconds,
    );
  }

  /** What depends on the number of nodes and can wait for an idle tick. */
  private keepUp(now: number): void {
    const { links } = this.options.ports();
    this.upkeepDueAt = now + idleTickMilliseconds;
    links.tick(now);
    for (const node of this.directory.dueForDial(now)) links.dial(node);
    this.keepUpDirectory(now);
    this.budget.shareBetween(this.directory.size);
    this.configuration.tick(now);
    this.hearServer(now);
    this.checkHealth(now);
  }

  /** The first by rank removes what ended, so that it is done once; a node on its own looks for others. */
  private keepUpDirectory(now: number): void {
    const { store } = this.options.ports();
    for (const node of this.directory.takeForgotten()) {
      this.log(MeshEvent.NodeForgotten, { peer: node.name });
      if (this.configuration.isWatching) store.removeEntry(node);
    }
    if (this.directory.connected > 0) this.directoryDueAt = now + isolatedRereadMilliseconds;
    if (now < this.directoryDueAt) return;
    this.directoryDueAt = now + isolatedRereadMilliseconds;
    store.refreshDirectory();
  }

  private get inProgress(): number {
    const { callers } = this.options.ports();
    return this.forwarder.inProgress + this.gate.inProgress + callers.inProgress;
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
    if (answer?.load !== undefined) this.gate.serverLoad(answer.load, now);
    this.gate.probed(now);
  }

  private healthAnswered(answer: HealthAnswer | undefined): void {
    this.log(MeshEvent.HealthChecked, {
      instance: answer?.instanceId ?? 'unknown',
      ready: answer?.isReady ?? false,
    });
    if (answer?.instanceId === undefined || !answer.isReady || answer.load === undefined) return;
    const now = this.options.clock();
    this.gate.seen(answer.instanceId, answer.load.slots, now);
    this.gate.serverLoad(answer.load, now);
  }

  private log(event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.options.events.record(event, fields);
  }
}

/** Whether a message speaks of another server than the one that leaves. */
function isOther({ instanceId }: { readonly instanceId: string }) {
  return (message: ServerMessage): boolean =>
    message.kind !== 'report' || message.report.instanceId !== instanceId;
}

function isEndedServer(server: EndedServer | undefined): server is EndedServer {
  return typeof server?.instanceId === 'string' && server.instanceId !== '';
}
