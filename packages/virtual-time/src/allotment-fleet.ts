import { SeededRandomSource } from '@peridotspring/core';
import type { AllotmentTolerance, MeshNode, Tenant } from '@peridotspring/mesh-core';
import { encodeMeshFrame } from '@peridotspring/nodes';

import { AllotmentNode } from './allotment-node.js';
import type { AllotmentFrame } from './allotment-node.js';
import { AllotmentUsageLog } from './allotment-usage.js';
import { EventQueue } from './event-queue.js';

/** Interval at which a node ticks, and at which it looks at requests that wait. */
const tickMilliseconds = 50;
const heldTickMilliseconds = 10;
/** One-way delay between nodes, with the time for handling a message; a tenth of the messages take much longer. */
const minimumDelayMilliseconds = 1;
const delayRangeMilliseconds = 3;
const slowDelayMilliseconds = 25;
const slowShare = 0.1;
/** Time until a connection over which nothing comes is taken for lost. */
const minimumDetectionMilliseconds = 500;
const detectionRangeMilliseconds = 4_000;
const reconnectMilliseconds = 100;

export interface AllotmentFleetOptions {
  readonly size: number;
  /** Number of nodes of the whole fleet, if only a part of it is modelled. */
  readonly fleetSize?: number;
  readonly zones: number;
  readonly seed: number;
  readonly tolerance: AllotmentTolerance;
  readonly tenants: readonly Tenant[];
  /** Whether nodes lend their shares. Otherwise each uses its own share, without any messages. */
  readonly isDelegating?: boolean;
  /** Whether the size of messages is measured, which takes most of the time. */
  readonly isMeasuringBytes: boolean;
}

interface Machine {
  readonly name: string;
  readonly zone: string;
  process: AllotmentNode | undefined;
  isFrozen: boolean;
  isCut: boolean;
  /** The nodes that it knows of; out of date while it is cut off. */
  knownNodes: readonly MeshNode[];
  /** What arrives while the machine is frozen or cut off, to be handled after that if the connection still exists. */
  readonly delayed: (() => void)[];
}

/** Nodes that share allotments, in virtual time. Links, clocks, freezes and restarts are modelled; requests only arrive. */
export class AllotmentFleet {
  public readonly queue = new EventQueue();
  public readonly usage: AllotmentUsageLog;
  public readonly machines: Machine[] = [];
  public messageCount = 0;
  public byteCount = 0;
  private readonly random: SeededRandomSource;
  private readonly connections = new Map<string, number>();
  private readonly partitionedZones = new Set<string>();
  private knownNodes: readonly MeshNode[] = [];
  private nextConnection = 1;
  private nextRequest = 1;
  private lastBoot = 0;

  public constructor(private readonly options: AllotmentFleetOptions) {
    this.random = new SeededRandomSource(options.seed);
    this.usage = new AllotmentUsageLog(options.tenants, options.tolerance);
    for (let index = 0; index < options.size; index += 1) this.addMachine();
    for (const machine of this.machines) this.startProcess(machine);
  }

  public addMachine(): Machine {
    const index = this.machines.length;
    const machine: Machine = {
      delayed: [],
      isCut: false,
      isFrozen: false,
      knownNodes: [],
      name: `node-${index}`,
      process: undefined,
      zone: `zone-${index % this.options.zones}`,
    };
    this.machines.push(machine);
    this.knownNodes = [...this.knownNodes, nodeOf(machine, 0)];
    return machine;
  }

  public startProcess(machine: Machine): void {
    this.lastBoot += 1;
    const self = nodeOf(machine, this.lastBoot);
    const process: AllotmentNode = new AllotmentNode({
      fleetSize: this.options.fleetSize,
      isDelegating: this.options.isDelegating !== false,
      now: () => this.queue.now.monotonic,
      random: this.random,
      self,
      send: (to, frame) => this.send(machine, to, frame),
      startedAt: this.queue.now.monotonic,
      tenants: this.options.tenants,
      tolerance: this.options.tolerance,
    });
    machine.process = process;
    process.setKnownNodes(machine.knownNodes);
    this.queue.after(this.random.next() * tickMilliseconds, () => {
      this.tick(machine, process);
    });
  }

  /** Ends the process; its connections close at once. */
  public kill(machine: Machine): void {
    machine.process = undefined;
    machine.isFrozen = false;
    machine.delayed.length = 0;
    for (const other of this.machines) this.disconnect(machine, other);
  }

  /** Cuts a zone off from the others; its machines still reach each other. */
  public partition(zone: string, milliseconds: number): void {
    if (this.partitionedZones.has(zone)) return;
    this.partitionedZones.add(zone);
    for (const machine of this.machines)
      for (const other of this.machines)
        if (machine.name < other.name && this.isBlocked(machine, other))
          this.detectLoss(machine, other, milliseconds);
    this.queue.after(milliseconds, () => {
      this.partitionedZones.delete(zone);
      this.deliverDelayed();
    });
  }

  public freeze(machine: Machine, milliseconds: number): void {
    machine.isFrozen = true;
    this.impair(machine, milliseconds, () => {
      machine.isFrozen = false;
    });
  }

  public cut(machine: Machine, milliseconds: number): void {
    machine.isCut = true;
    this.impair(machine, milliseconds, () => {
      machine.isCut = false;
    });
  }

  /** A caller's request of the tenant arrives at the machine. */
  public request(machine: Machine, tenant: string): void {
    const { process } = machine;
    if (process === undefined || machine.isFrozen) return;
    const requestNumber = this.nextRequest;
    this.nextRequest += 1;
    const isOwed = this.usage.recordOffered(tenant, this.queue.now.monotonic);
    const permit = (): void => {
      this.usage.recordPermitted(tenant, this.queue.now.monotonic);
    };
    const refuse = (): void => {
      if (isOwed) this.usage.recordRefused(this.queue.now.monotonic);
    };
    process.admission.admit(tenant, { permit, refuse, requestNumber }, process.now);
    if (process.admission.heldCount > 0) this.scheduleHeldTick(machine, process);
  }

  private scheduleHeldTick(machine: Machine, process: AllotmentNode): void {
    this.queue.after(heldTickMilliseconds, () => {
      if (machine.process !== process || machine.isFrozen) return;
      process.admission.tick(process.now);
      if (process.admission.heldCount > 0) this.scheduleHeldTick(machine, process);
    });
  }

  private tick(machine: Machine, process: AllotmentNode): void {
    if (machine.process !== process) return;
    if (!machine.isCut && machine.knownNodes !== this.knownNodes) {
      machine.knownNodes = this.knownNodes;
      process.setKnownNodes(this.knownNodes);
    }
    if (!machine.isFrozen) {
      for (const group of process.brokers)
        for (const name of group) this.connect(machine, this.findMachine(name));
      process.admission.tick(process.now);
    }
    this.queue.after(tickMilliseconds, () => {
      this.tick(machine, process);
    });
  }

  private connect(machine: Machine, other: Machine | undefined): void {
    if (other?.process === undefined || machine === other) return;
    if (other.isFrozen || this.isBlocked(machine, other)) return;
    const key = connectionKey(machine, other);
    if (this.connections.has(key)) return;
    const connection = this.nextConnection;
    this.nextConnection += 1;
    this.connections.set(key, connection);
    this.queue.after(reconnectMilliseconds, () => {
      if (this.connections.get(key) !== connection) return;
      const { process } = machine;
      if (process === undefined || other.process === undefined) return;
      process.onConnected(nodeOf(other, other.process.boot));
      other.process.onConnected(nodeOf(machine, process.boot));
    });
  }

  private disconnect(machine: Machine, other: Machine): void {
    if (!this.connections.delete(connectionKey(machine, other))) return;
    machine.process?.onDisconnected(other.name);
    other.process?.onDisconnected(machine.name);
  }

  private impair(machine: Machine, milliseconds: number, end: () => void): void {
    for (const other of this.machines) this.detectLoss(machine, other, milliseconds);
    const { process } = machine;
    this.queue.after(milliseconds, () => {
      if (machine.process !== process) return;
      end();
      this.deliverDelayed();
    });
  }

  private deliverDelayed(): void {
    for (const { delayed } of this.machines) for (const action of delayed.splice(0)) action();
  }

  /** Closes a connection that stays silent for long enough. */
  private detectLoss(machine: Machine, other: Machine, milliseconds: number): void {
    const key = connectionKey(machine, other);
    const connection = this.connections.get(key);
    const detectionMilliseconds =
      minimumDetectionMilliseconds + this.random.next() * detectionRangeMilliseconds;
    if (connection === undefined || detectionMilliseconds >= milliseconds) return;
    this.queue.after(detectionMilliseconds, () => {
      if (this.connections.get(key) === connection) this.disconnect(machine, other);
    });
  }

  private isBlocked(machine: Machine, other: Machine): boolean {
    if (machine.isCut || other.isCut) return true;
    if (machine.zone === other.zone) return false;
    return this.partitionedZones.has(machine.zone) || this.partitionedZones.has(other.zone);
  }

  private send(machine: Machine, to: string, frame: AllotmentFrame): boolean {
    const other = this.findMachine(to);
    const { process } = machine;
    if (other === undefined || process === undefined) return false;
    const key = connectionKey(machine, other);
    const connection = this.connections.get(key);
    if (connection === undefined) return false;
    this.messageCount += 1;
    if (this.options.isMeasuringBytes) this.byteCount += encodeMeshFrame(frame).length;
    const deliver = (): void => {
      if (this.connections.get(key) !== connection) return;
      if (other.isFrozen || this.isBlocked(machine, other)) other.delayed.push(deliver);
      else other.process?.onFrame(nodeOf(machine, process.boot), frame);
    };
    const isSlow = this.random.next() < slowShare;
    const delay =
      minimumDelayMilliseconds +
      this.random.next() * (isSlow ? slowDelayMilliseconds : delayRangeMilliseconds);
    this.queue.after(delay, deliver);
    return true;
  }

  private findMachine(name: string): Machine | undefined {
    return this.machines[Number(name.slice('node-'.length))];
  }
}

function nodeOf({ name, zone }: Machine, boot: number): MeshNode {
  return {
    address: name,
    availabilityZone: zone,
    boot,
    name,
    region: 'region',
    service: 'service',
  };
}

function connectionKey(first: Machine, second: Machine): string {
  return first.name < second.name ? `${first.name} ${second.name}` : `${second.name} ${first.name}`;
}
