import { pickRandom } from '@peridotspring/core';
import type { SeededRandomSource } from '@peridotspring/core';
import type { EntryOutcome, MeshNode, Route, RouteConfiguration } from '@peridotspring/mesh-core';
import { createConfiguration, createRoute } from '@peridotspring/mesh-core/fixtures';
import { Metrics } from '@peridotspring/operators/metrics';

import { EventRecorder } from '../../src/mesh/event-recorder.js';
import { MeshNodeDriver } from '../../src/mesh/mesh-node.js';
import type { MeshNodePorts } from '../../src/mesh/mesh-node.js';
import type { MeshSettings } from '../../src/mesh/mesh-settings.js';
import { EventQueue } from './event-queue.js';
import { VirtualLinks } from './virtual-links.js';
import type { LinkedNode } from './virtual-links.js';
import { VirtualServer } from './virtual-server.js';

/** Small, so that the losses of a play reach the bound. */
export const repeats = { ratio: 0.05, slack: 6, windowMilliseconds: 10_000 } as const;
export const timeoutMilliseconds = 1_000;
export const targetMilliseconds = 300;
const slots = 4;
const startMilliseconds = 30;
/** Share of reads of the store that an overtaken answer comes to. */
const oldReadShare = 0.2;
const graceMilliseconds = 4_000;
/** Time in which an operator writes again what the store has lost. */
const operatorNoticeMilliseconds = 1_000;
/** A renewal of the lease and the time in which its answer is awaited. */
const noticeMilliseconds = 4_500;

/** What became of one request at its entry. */
export interface VirtualRequest {
  readonly requestId: string;
  readonly isIdempotent: boolean;
  readonly sentAt: number;
  readonly entry: LinkedNode;
  readonly outcomes: EntryOutcome[];
  concludedAt: number;
  isAbandoned: boolean;
}

interface Machine {
  readonly name: string;
  readonly availabilityZone: string;
  readonly server: VirtualServer;
  /** The life of the node's process; undefined while it is down. */
  node: LinkedNode | undefined;
  readsStore: boolean;
  /** The node watches the configuration in the store. */
  watches: boolean;
  /** The node does not reach the store any more. */
  storeIsLost: boolean;
  /** The era of the store that the node has seen. */
  era: number | undefined;
}

/** What the store held since a time. */
interface StoreCopy {
  readonly since: number;
  readonly entries: ReadonlyMap<string, MeshNode>;
  readonly version: number;
}

/** Nodes with the decisions of the product, in virtual time, with servers, links, a store and callers. */
export class VirtualMesh {
  public readonly queue = new EventQueue();
  public readonly links: VirtualLinks;
  public readonly machines: Machine[] = [];
  public readonly requests: VirtualRequest[] = [];
  public version = 0;
  private entries = new Map<string, MeshNode>();
  /** The version that the store holds; older than the operator's after a return from a copy. */
  private storedVersion = 0;
  private era = 1;
  private readonly copies: StoreCopy[] = [];
  private boots = 0;
  private readonly versions = new Map<LinkedNode, number>();
  /** Versions that an older one followed. */
  public readonly steppedBack: string[] = [];

  public constructor(
    size: number,
    private readonly random: SeededRandomSource,
    private readonly zones = 2,
  ) {
    this.links = new VirtualLinks(this.queue, (name) => this.machine(name)?.node);
    for (let index = 0; index < size; index += 1) this.addMachine(index);
    this.configure();
    for (const machine of this.machines) this.start(machine);
  }

  /** Writes the next configuration; nodes that read the store get it after some time. */
  public configure(): void {
    this.version += 1;
    this.writeConfiguration();
  }

  /** The store comes back from a copy; the operator finds out later and writes the newest version again. */
  public restoreStore(millisecondsAgo: number): void {
    const isOldEnough = ({ since }: StoreCopy): boolean =>
      since <= this.queue.now - millisecondsAgo;
    const copy = this.copies.findLast(isOldEnough) ?? this.copies[0];
    if (copy === undefined) return;
    this.era += 1;
    this.entries = new Map(copy.entries);
    this.storedVersion = copy.version;
    for (const machine of this.machines) if (machine.watches) this.readStore(machine);
    this.queue.after(operatorNoticeMilliseconds * this.random.next(), () => {
      this.writeConfiguration();
    });
  }

  /** Nodes that reach the store and whose entries are not in it. */
  public get missingEntries(): readonly string[] {
    const reaching = this.machines.filter(({ storeIsLost }) => !storeIsLost);
    return reaching.map(({ name }) => name).filter((name) => !this.entries.has(name));
  }

  /** Nodes that nobody can find: the store lost their entries, and they don't reach it to write them again. */
  public get lostNodes(): ReadonlySet<string> {
    const lost = this.machines.filter(
      ({ name, storeIsLost }) => storeIsLost && !this.entries.has(name),
    );
    return new Set(lost.map(({ name }) => name));
  }

  private writeConfiguration(): void {
    this.storedVersion = this.version;
    this.keepCopy();
    for (const machine of this.machines) {
      if (machine.watches) this.readStore(machine);
    }
  }

  private keepCopy(): void {
    const { entries, storedVersion: version } = this;
    this.copies.push({ entries: new Map(entries), since: this.queue.now, version });
  }

  public start(machine: Machine): void {
    if (machine.node !== undefined) return;
    this.boots += 1;
    const { availabilityZone, name } = machine;
    const self: MeshNode = {
      address: `${name}:1`,
      availabilityZone,
      boot: this.boots,
      name,
      region: 'region',
      service: 'shop',
    };
    const node = this.createNode(machine, self);
    machine.node = node;
    machine.watches = false;
    machine.era = undefined;
    this.queue.after(startMilliseconds * this.random.next(), () => {
      if (machine.node === node) node.driver.start();
    });
    this.readStore(machine);
    if (machine.storeIsLost) this.noticeLostStore(machine);
  }

  /** From now on a machine does not reach the store, and its node notices after some time. */
  public loseStore(machine: Machine): void {
    machine.storeIsLost = true;
    this.noticeLostStore(machine);
  }

  /** Ends the process of a node without a word. */
  public kill(machine: Machine): void {
    const { node } = machine;
    if (node === undefined) return;
    node.driver.close();
    machine.node = undefined;
    this.links.ended(node);
  }

  public stop(machine: Machine): void {
    machine.node?.driver.stop();
  }

  /** Sends one request to a machine's node, if it takes requests. */
  public call(machine: Machine): VirtualRequest | undefined {
    const { node } = machine;
    const isIdempotent = this.random.next() < 0.5;
    const route = node?.driver.routing?.table.match('shop', isIdempotent ? '/safe/' : '/unsafe/');
    if (node === undefined || route === undefined) return undefined;
    this.noteVersion(node);
    const now = this.queue.now;
    const requestNumber = this.requests.length + 1;
    const request: VirtualRequest = {
      concludedAt: Infinity,
      entry: node,
      isAbandoned: false,
      isIdempotent,
      outcomes: [],
      requestId: `r${requestNumber}x`,
      sentAt: now,
    };
    this.requests.push(request);
    node.driver.callerRequest({
      body: undefined,
      callerDeadline: now + timeoutMilliseconds,
      headers: [],
      method: isIdempotent ? 'GET' : 'POST',
      path: route.pathPrefix,
      receivedAt: now,
      requestId: request.requestId,
      requestNumber,
      route,
    });
    if (this.random.next() < 0.02) this.abandonLater(node, request, requestNumber);
    return request;
  }

  public pickMachine(): Machine {
    const machine = pickRandom(this.random, this.machines);
    if (machine === undefined) throw new Error('there are no machines');
    return machine;
  }

  /** Whether a node has lived since the request was sent, so that the caller must have its outcome. */
  public livesStill({ entry }: VirtualRequest): boolean {
    return this.machine(entry.self.name)?.node === entry;
  }

  private noticeLostStore(machine: Machine): void {
    this.queue.after(noticeMilliseconds * this.random.next(), () => {
      machine.node?.driver.storeReached(false);
    });
  }

  private noteVersion(node: LinkedNode): void {
    const version = node.driver.figures.configuration_version;
    const last = this.versions.get(node) ?? 0;
    if (version < last) this.steppedBack.push(`${node.self.name}: ${version} after ${last}`);
    this.versions.set(node, version);
  }

  private abandonLater(node: LinkedNode, request: VirtualRequest, requestNumber: number): void {
    this.queue.after(100 * this.random.next(), () => {
      if (request.outcomes.length > 0) return;
      request.isAbandoned = true;
      node.driver.callerGone(requestNumber);
    });
  }

  private machine(name: string): Machine | undefined {
    return this.machines.find((machine) => machine.name === name);
  }

  private addMachine(index: number): void {
    const name = `node-${index}`;
    const machine: Machine = {
      availabilityZone: `zone-${index % this.zones}`,
      era: undefined,
      name,
      node: undefined,
      readsStore: true,
      storeIsLost: false,
      watches: false,
      server: new VirtualServer({
        concluded: (executionId, result) => {
          // An execution belongs to the life of the node that asked for it.
          const [boot, own] = splitExecution(executionId);
          const { node } = machine;
          if (node?.self.boot === boot) node.driver.executionConcluded(own, result);
        },
        loadTold: (load) => {
          machine.node?.driver.serverLoad(load);
        },
        name,
        queue: this.queue,
        random: this.random,
        slots,
        tell: async (message) => {
          const { node } = machine;
          await node?.driver.serverMessage(message);
          return node !== undefined && machine.node === node;
        },
      }),
    };
    this.machines.push(machine);
  }

  private createNode(machine: Machine, self: MeshNode): LinkedNode {
    const clock = (): number => this.queue.now;
    const driver: MeshNodeDriver = new MeshNodeDriver({
      clock,
      decodeConfiguration: (content) => ({
        configuration: configurationOf(Number(Buffer.from(content).toString())),
        kind: 'configuration',
      }),
      defer: (action) => {
        this.queue.after(0, action);
      },
      events: new EventRecorder({
        clock,
        metrics: new Metrics(),
        wallClock: clock,
        write: () => undefined,
      }),
      ports: () => ports,
      random: this.random,
      schedule: (action, milliseconds) => this.queue.after(milliseconds, action),
      self,
      settings: settingsOf(self),
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
          if (request === undefined) throw new Error('an answer without a request');
          request.outcomes.push(outcome);
          request.concludedAt = this.queue.now;
        },
        stop: () => undefined,
      },
      links: {
        broadcast: (frame) => {
          this.links.broadcast(node, frame);
        },
        dial: (to) => {
          this.links.dial(node, to);
        },
        send: (name, frame) => this.links.send(node, name, frame),
        tick: () => undefined,
        whenRead: () => this.links.whenRead(node),
      },
      server: {
        abort: (executionId) => {
          server.abort(joinExecution(boot, executionId));
        },
        health: () => Promise.resolve(server.health()),
        run: (execution) => {
          server.run({ ...execution, executionId: joinExecution(boot, execution.executionId) });
        },
      },
      store: {
        eraTold: (era) => {
          if (era > (machine.era ?? 0)) this.readStore(machine);
        },
        refreshDirectory: () => {
          this.readStore(machine);
        },
        removeEntry: ({ boot: endedBoot, name }) => {
          if (this.entries.get(name)?.boot !== endedBoot) return;
          this.entries.delete(name);
          this.keepCopy();
        },
        watchConfiguration: (isWatching) => {
          machine.watches = isWatching;
          if (isWatching) this.readStore(machine);
        },
      },
      stopped: () => {
        this.kill(machine);
        this.start(machine);
      },
    };
  }

  private tellEra(machine: Machine, node: LinkedNode): void {
    if (machine.era === this.era) return;
    const isRestored = machine.era !== undefined;
    machine.era = this.era;
    node.driver.storeEraSeen(this.era, isRestored);
  }

  /** The store tells a node of the configuration and of the other nodes, and others of this one. */
  private readStore(machine: Machine): void {
    this.queue.after(10 + 290 * this.random.next(), () => {
      const { node } = machine;
      if (node === undefined || machine.storeIsLost) return;
      if (!machine.readsStore) {
        // The node goes on asking.
        this.readStore(machine);
        return;
      }
      this.tellEra(machine, node);
      if (!this.entries.has(machine.name)) {
        this.entries.set(machine.name, node.self);
        this.keepCopy();
      }
      this.entries.set(machine.name, node.self);
      for (const entry of this.entries.values()) node.driver.nodeMentioned(entry);
      for (const other of this.machines) {
        if (other.readsStore && !other.storeIsLost) other.node?.driver.nodeMentioned(node.self);
      }
      node.driver.directoryRead();
      const isOld = this.random.next() < oldReadShare;
      const version = Math.max(1, isOld ? this.storedVersion - 1 : this.storedVersion);
      node.driver.configurationRead(Buffer.from(String(version)));
      if (isOld) this.readStore(machine);
    });
  }
}

/** Numbers of executions are unique in the life of a node only. */
const executionsPerBoot = 1_000_000;

function joinExecution(boot: number, executionId: number): number {
  return boot * executionsPerBoot + executionId;
}

function splitExecution(joined: number): readonly [number, number] {
  return [Math.floor(joined / executionsPerBoot), joined % executionsPerBoot];
}

function configurationOf(version: number): RouteConfiguration {
  const routeOf = (name: string, idempotent: boolean): Route =>
    createRoute({
      host: 'shop',
      idempotent,
      name,
      pathPrefix: `/${name}/`,
      targetLatencyMilliseconds: targetMilliseconds,
      timeoutMilliseconds,
    });
  return createConfiguration({
    routes: [routeOf('safe', true), routeOf('unsafe', false)],
    services: new Map([['shop', { connectionLimit: 100, healthPath: '/health', name: 'shop' }]]),
    version,
  });
}

function settingsOf({ availabilityZone, name, region, service }: MeshNode): MeshSettings {
  const address = { host: name, port: 1 };
  return {
    answerMemoryBytes: 1_048_576,
    availabilityZone,
    callerAddress: address,
    graceMilliseconds,
    logLevel: 'info',
    nodeName: name,
    peerAddress: address,
    probesPerSecond: 30,
    readinessAddress: address,
    region,
    repeats,
    reportAddress: address,
    serverAddress: address,
    service,
    storeAddress: address,
  };
}
