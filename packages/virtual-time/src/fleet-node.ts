import type {
  ClockReading,
  CoreCommand,
  CoreMessage,
  NodeCore,
  NodeIdentity,
} from '@peridotspring/core';

import type { FleetConnection } from './fleet-network.js';

/** What a node's process needs from its surroundings. */
export interface FleetNodeLinks {
  readonly now: () => number;
  readonly carryOut: (node: FleetNode, command: CoreCommand) => void;
}

/** One life of a node's process: a core, its clocks, and what waits while it is frozen. */
export class FleetNode {
  public isRunning = true;
  public isFrozen = false;
  /** Open connections by the server at the other end. */
  public readonly connections = new Map<string, FleetConnection>();
  private readonly inbox: (() => void)[] = [];
  private readonly startedAt: number;

  public constructor(
    public readonly identity: NodeIdentity,
    public readonly life: number,
    public readonly core: NodeCore,
    private readonly wallOffset: number,
    private readonly links: FleetNodeLinks,
  ) {
    this.startedAt = links.now();
  }

  public get server(): string {
    return this.identity.server;
  }

  /** The process's own clocks: the monotonic one starts with it, the wall clock is skewed. */
  public get clock(): ClockReading {
    const now = this.links.now();
    return { monotonic: now - this.startedAt, wall: now + this.wallOffset };
  }

  /** Hands a message to the core, at once or when the process runs again. */
  public deliver(message: CoreMessage): void {
    this.receive(() => {
      for (const command of this.core.handle(message, this.clock)) {
        this.links.carryOut(this, command);
      }
    });
  }

  /** Does what the process does with something that arrives, at once or when it runs again. */
  public receive(action: () => void): void {
    if (!this.isRunning) return;
    if (this.isFrozen) this.inbox.push(action);
    else action();
  }

  /** Everything that arrived while the process was frozen is delivered at once. */
  public resume(): void {
    this.isFrozen = false;
    for (const action of this.inbox.splice(0)) this.receive(action);
  }
}
