import {
  SeededRandomSource,
  shuffled,
  type ClockReading,
  type Configuration,
  type MemberRecord,
  type NodeIdentity,
  type ProposalResult,
  type Seed,
  type StoreClient,
  type StoreOperation,
} from '@peridotspring/core';

import { ControlEventQueue } from './control-event-queue.js';
import { ControlNode, type ControlFrame } from './control-node.js';
import { ControlStore } from './control-store.js';

/** How a simulated network is set up. */
export interface ControlNetworkOptions {
  readonly seed: number;
  /** Interval of the nodes' ticks; the daemon's is 10. */
  readonly tickMilliseconds?: number | undefined;
  /** Share of frames that are lost, as with a connection that breaks. */
  readonly lostFrames?: number | undefined;
  /** Size of an encoded frame; without it only frames are counted. */
  readonly sizeOf?: ((frame: ControlFrame) => number) | undefined;
  /** Reads the real time in milliseconds, to measure what the nodes' own work takes. */
  readonly processorClock?: (() => number) | undefined;
  /** Interval of the deletion of replaced records; the default is the keeper's. */
  readonly collectionIntervalMilliseconds?: number | undefined;
  readonly inForce?: ((node: ControlNode, configuration: Configuration) => void) | undefined;
  readonly memberChanged?: ((node: ControlNode, member: MemberRecord) => void) | undefined;
  readonly concluded?:
    ((node: ControlNode, proposalId: number, result: ProposalResult) => void) | undefined;
}

/** Connections that close when a process ends; a minute of pings leaves up to 120 of them. */
const closedConnections = 20;
/** Wall time at the start of every run. */
const startWall = 1_700_000_000_000;

/** Nodes, a store and the links between them, in virtual time. */
export class ControlNetwork {
  public readonly nodes = new Map<string, ControlNode>();
  public readonly store: ControlStore;
  /** Frames between servers for which this returns true are lost. */
  public isCut: (from: NodeIdentity, to: NodeIdentity) => boolean = () => false;
  private readonly queue = new ControlEventQueue();
  private readonly random: SeededRandomSource;
  /** Real time spent in the nodes, the encoding of frames included. */
  public busyMilliseconds = 0;
  private time = 0;
  private nodeSeed: number;

  public constructor(private readonly options: ControlNetworkOptions) {
    this.random = new SeededRandomSource(options.seed);
    this.nodeSeed = options.seed * 1_000_003;
    this.store = new ControlStore(this.random, (delay, action) => {
      this.after(delay, action);
    });
  }

  public get now(): ClockReading {
    return { monotonic: this.time, wall: startWall + this.time };
  }

  public get running(): readonly ControlNode[] {
    return [...this.nodes.values()].filter((node) => node.isRunning);
  }

  /** Starts a node; one of the same name that still runs is replaced. */
  public start(
    server: string,
    availabilityZone: string,
    region: string,
    seeds: readonly Seed[] = [],
  ): ControlNode {
    this.crash(server);
    const incarnation = Math.floor(startWall + this.time);
    const peerAddress = `10.0.0.1:${server}`;
    const identity = { server, incarnation, availabilityZone, region, peerAddress };
    this.nodeSeed += 2;
    const node = new ControlNode(identity, this.nodeSeed, seeds, {
      send: (from, to, frame) => {
        this.send(from, to, frame);
      },
      store: (from, client, operationId, operation) => {
        this.callStore(from, client, operationId, operation);
      },
      memberChanged: this.options.memberChanged ?? ((): void => undefined),
      collectionIntervalMilliseconds: this.options.collectionIntervalMilliseconds,
      inForce: this.options.inForce ?? ((): void => undefined),
      concluded: this.options.concluded ?? ((): void => undefined),
    });
    this.nodes.set(server, node);
    // Nodes that start together must not ping in step.
    this.tickLater(node, this.random.next() * 1_000);
    return node;
  }

  /** Ends a process. Nodes that had a connection to it see the connection close. */
  public crash(server: string): void {
    const node = this.nodes.get(server);
    if (node?.isRunning !== true) return;
    node.isRunning = false;
    for (const peer of shuffled(this.random, this.running).slice(0, closedConnections)) {
      if (this.isCut(node.identity, peer.identity)) continue;
      this.after(this.delay(node.identity, peer.identity), () => {
        this.deliver(peer, () => {
          peer.peerLost(server, this.now);
        });
      });
    }
  }

  /** Stops a node's time, as SIGSTOP does; frames to it wait. */
  public freeze(server: string): void {
    const node = this.nodes.get(server);
    if (node !== undefined) node.isFrozen = true;
  }

  public resume(server: string): void {
    const node = this.nodes.get(server);
    if (node?.isFrozen !== true) return;
    node.isFrozen = false;
    this.tickLater(node, 0);
    for (const deliver of node.inbox.splice(0)) {
      deliver();
    }
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

  private tickLater(node: ControlNode, delay: number): void {
    this.after(delay, () => {
      if (!node.isRunning || node.isFrozen) return;
      this.meter(() => {
        node.tick(this.now);
      });
      this.tickLater(node, this.options.tickMilliseconds ?? 10);
    });
  }

  private send(from: ControlNode, to: string, frame: ControlFrame): void {
    from.counts.frames += 1;
    from.counts.bytes += this.options.sizeOf?.(frame) ?? 0;
    const target = this.nodes.get(to);
    if (target === undefined || this.isCut(from.identity, target.identity)) return;
    if (this.random.next() < (this.options.lostFrames ?? 0)) return;
    this.after(this.delay(from.identity, target.identity), () => {
      this.deliver(target, () => {
        target.receive(from.server, frame, this.now);
      });
    });
  }

  private callStore(
    node: ControlNode,
    client: StoreClient,
    operationId: number,
    operation: StoreOperation,
  ): void {
    this.store.execute(operation, (result) => {
      this.deliver(node, () => {
        node.storeResult(client, operationId, result, this.now);
      });
    });
  }

  private deliver(node: ControlNode, action: () => void): void {
    if (!node.isRunning) return;
    if (node.isFrozen) node.inbox.push(action);
    else this.meter(action);
  }

  private meter(action: () => void): void {
    if (this.options.processorClock === undefined) {
      action();
      return;
    }
    const start = this.options.processorClock();
    action();
    this.busyMilliseconds += this.options.processorClock() - start;
  }

  /** One-way delays as in the requirements, 20 ms between regions. */
  private delay(from: NodeIdentity, to: NodeIdentity): number {
    const jitter = 0.5 + this.random.next();
    if (from.region !== to.region) return 20 * jitter;
    return (from.availabilityZone === to.availabilityZone ? 0.25 : 1.5) * jitter;
  }
}
