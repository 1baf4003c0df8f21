import { createNodeCore, SeededRandomSource } from '@peridotspring/core';
import type {
  CoreCommand,
  HomeSettings,
  NodeIdentity,
  StoreCommand,
  StoreOperation,
  StoreResult,
} from '@peridotspring/core';

import { ControlEventQueue } from './control-event-queue.js';
import { ControlStore } from './control-store.js';
import { FleetBodies } from './fleet-bodies.js';
import { FleetCallers } from './fleet-callers.js';
import { FleetLog } from './fleet-log.js';
import { FleetNetwork } from './fleet-network.js';
import type { Intercept } from './fleet-network.js';
import { FleetNode } from './fleet-node.js';
import { FleetUpstream } from './fleet-upstream.js';

/** One server of the fleet: a node beside an upstream. */
export interface FleetServer {
  readonly server: string;
  readonly availabilityZone: string;
  readonly service: string;
  readonly slots: number;
  readonly serviceMilliseconds: number;
}

/** How a fleet is set up. The last four break a mechanism on purpose. */
export interface FleetOptions {
  readonly seed: number;
  readonly servers: readonly FleetServer[];
  readonly tickMilliseconds?: number | undefined;
  readonly intercept?: Intercept | undefined;
  /** Replaces the operation that the store carries out. */
  readonly alterOperation?:
    ((store: ControlStore, operation: StoreOperation) => StoreOperation) | undefined;
  readonly alterResult?:
    ((operation: StoreOperation, result: StoreResult) => StoreResult) | undefined;
  readonly homeSettings?: ((server: string) => Partial<HomeSettings> | undefined) | undefined;
}

/** Wall time at the start of every run. */
const startWall = 1_700_000_000_000;
/** Clocks differ from true time by at most half of the bound on the difference of two clocks. */
const maximumWallOffset = 250;
const announceMilliseconds = 1_000;

/** Many nodes with their upstreams, callers, a network and a store, in virtual time. */
export class Fleet {
  public readonly log = new FleetLog();
  public readonly store: ControlStore;
  public readonly network: FleetNetwork;
  public readonly callers: FleetCallers;
  public readonly bodies: FleetBodies;
  public readonly upstreams = new Map<string, FleetUpstream>();
  public readonly random: SeededRandomSource;
  private readonly queue = new ControlEventQueue();
  private readonly nodes = new Map<string, FleetNode>();
  private readonly wallOffsets = new Map<string, number>();
  private time = 0;
  private nextLife = 1;

  public constructor(private readonly options: FleetOptions) {
    this.random = new SeededRandomSource(options.seed);
    const { log, random } = this;
    const now = (): number => this.time;
    const after = (delay: number, action: () => void): void => {
      this.after(delay, action);
    };
    this.store = new ControlStore(random, after);
    const listener = (server: string): FleetNode | undefined => this.node(server);
    const { intercept } = options;
    this.callers = new FleetCallers({ log, now, random });
    this.network = new FleetNetwork({
      after,
      bodyFrame: (node, server, frame) => {
        this.bodies.frame(node, server, frame);
      },
      intercept,
      listener,
      lost: (node, server) => {
        this.bodies.peerLost(node, server);
      },
      now,
      random,
    });
    this.bodies = new FleetBodies({
      after,
      callerBody: (node, requestNumber) => this.callers.body(node, requestNumber),
      seed: options.seed + 1,
      send: (from, to, frame) => {
        this.network.send(from, to, '', frame);
      },
      upstream: (server) => this.upstreams.get(server),
    });
    for (const { server, service, serviceMilliseconds, slots } of options.servers) {
      this.wallOffsets.set(server, maximumWallOffset * (2 * random.next() - 1));
      const node = (): FleetNode | undefined => this.node(server);
      const upstream = { after, log, node, now, random, server, service };
      this.upstreams.set(server, new FleetUpstream({ ...upstream, serviceMilliseconds, slots }));
      this.start(server);
    }
    this.announceLater();
  }

  public get now(): number {
    return this.time;
  }

  /** True wall time; every node's own clock is off by a bounded time. */
  public get wall(): number {
    return startWall + this.time;
  }

  public get servers(): readonly FleetServer[] {
    return this.options.servers;
  }

  public get running(): readonly FleetNode[] {
    return [...this.nodes.values()].filter(({ isRunning }) => isRunning);
  }

  /** The process that runs on the server, if one does. */
  public node(server: string): FleetNode | undefined {
    const node = this.nodes.get(server);
    return node?.isRunning === true ? node : undefined;
  }

  public after(delay: number, action: () => void): void {
    this.queue.add(this.time + delay, action);
  }

  /** Lets virtual time pass. */
  public run(milliseconds: number): void {
    const end = this.time + milliseconds;
    for (let event = this.queue.take(end); event !== undefined; event = this.queue.take(end)) {
      this.time = event.at;
      event.action();
    }
    this.time = end;
  }

  /** Starts a server's process as a new incarnation, unless it runs. */
  public start(server: string): void {
    const place = this.options.servers.find((candidate) => candidate.server === server);
    if (place === undefined || this.node(server) !== undefined) return;
    const wallOffset = startWall + (this.wallOffsets.get(server) ?? 0);
    const life = this.nextLife;
    this.nextLife += 1;
    const identity: NodeIdentity = {
      availabilityZone: place.availabilityZone,
      incarnation: Math.floor(this.time + wallOffset),
      peerAddress: addressOf(server),
      region: 'prairie-west',
      server,
    };
    const seeds = this.options.servers
      .slice(0, 3)
      .map((other) => ({ address: addressOf(other.server), server: other.server }));
    const core = createNodeCore({
      homes: this.options.homeSettings?.(server),
      identity,
      seed: this.options.seed * 1_000_003 + life,
      seeds: seeds.filter((seed) => seed.server !== server),
    });
    const node = new FleetNode(identity, life, core, wallOffset, {
      carryOut: (from, command) => {
        this.carryOut(from, command);
      },
      now: () => this.time,
    });
    this.nodes.set(server, node);
    this.log.begin('running', server, this.time);
    this.tickLater(node, this.tickMilliseconds * this.random.next());
    this.after(10, () => this.upstreams.get(server)?.announce());
  }

  public crash(server: string, withItsMachine = false): void {
    const node = this.node(server);
    if (node !== undefined) this.ended(node, withItsMachine);
  }

  /** Stops a process's time, as SIGSTOP does. */
  public freeze(server: string): void {
    const node = this.node(server);
    if (node === undefined || node.isFrozen) return;
    node.isFrozen = true;
    this.log.begin('frozen', server, this.time);
    this.network.frozen(node);
  }

  public resume(server: string): void {
    const node = this.node(server);
    if (node?.isFrozen !== true) return;
    this.log.end('frozen', server, this.time);
    // Whether the timer or the sockets are served first is not defined.
    if (this.random.next() < 0.5) node.resume();
    else {
      node.isFrozen = false;
      node.deliver({ kind: 'tick' });
      node.resume();
    }
  }

  /** Asks a process to stop; it ends on its own. */
  public stop(server: string): void {
    const node = this.node(server);
    if (node === undefined) return;
    this.log.begin('stopping', server, this.time);
    node.deliver({ kind: 'stop' });
  }

  private get tickMilliseconds(): number {
    return this.options.tickMilliseconds ?? 20;
  }

  private tickLater(node: FleetNode, delay: number): void {
    this.after(delay, () => {
      if (!node.isRunning) return;
      if (!node.isFrozen) node.deliver({ kind: 'tick' });
      this.tickLater(node, this.tickMilliseconds);
    });
  }

  private announceLater(): void {
    this.after(announceMilliseconds, () => {
      for (const upstream of this.upstreams.values()) upstream.announce();
      this.announceLater();
    });
  }

  private ended(node: FleetNode, withItsMachine: boolean): void {
    node.isRunning = false;
    for (const kind of ['frozen', 'running', 'stopping'] as const) {
      this.log.end(kind, node.server, this.time);
    }
    this.callers.ended(node);
    this.bodies.ended(node);
    this.network.ended(node, withItsMachine);
  }

  private carryOut(node: FleetNode, command: CoreCommand): void {
    const { server } = node;
    switch (command.kind) {
      case 'send-frame':
        this.network.send(node, command.to, command.address, command.frame);
        return;
      case 'reply-to-caller':
        this.callers.replied(node, command);
        return;
      case 'run-upstream':
        this.after(0.1, () => this.upstreams.get(server)?.run(node, command));
        return;
      case 'cancel-upstream':
        this.after(0.1, () => this.upstreams.get(server)?.cancel(node, command.executionId));
        return;
      case 'relay-body':
        this.bodies.start(node, command);
        return;
      case 'drop-body':
        this.bodies.drop(node, command.endpoint);
        return;
      case 'store':
        this.callStore(node, command);
        return;
      case 'configuration-in-force': {
        const { configuration } = command;
        this.log.inForce.push({ at: this.time, configuration, life: node.life, server });
        return;
      }
      case 'proposal-concluded': {
        const change = this.log.changes[command.proposalId - 1];
        if (change === undefined) return;
        change.result = command.result;
        change.concludedAt = this.time;
        return;
      }
      case 'stopped':
        this.ended(node, false);
        return;
      default:
    }
  }

  private callStore(node: FleetNode, { client, operation, operationId }: StoreCommand): void {
    const { alterOperation, alterResult } = this.options;
    const altered = alterOperation?.(this.store, operation) ?? operation;
    this.store.execute(altered, (stored) => {
      const result = alterResult?.(operation, stored) ?? stored;
      node.deliver({ client, kind: 'store-result', operationId, result });
    });
  }
}

function addressOf(server: string): string {
  return `10.0.0.1:${server}`;
}
