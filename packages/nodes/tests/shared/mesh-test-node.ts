import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';
import { createLoad, createMemoryAccount } from '@peridotspring/mesh-core/fixtures';

import { MeshConnections } from '../../src/index.js';

const tickIntervalMilliseconds = 20;

/** The connections of a node with a record of what happened on them. */
export class MeshTestNode {
  public readonly events: string[] = [];
  public readonly frames: MeshFrame[] = [];
  public readonly connections: MeshConnections;
  private readonly timer: NodeJS.Timeout;

  /** The node listens at its own address, or at another port if connections to it pass through a forwarder. */
  public constructor(
    public readonly self: MeshNode,
    port = Number(self.address.split(':')[1]),
  ) {
    this.connections = new MeshConnections({
      bindHost: '127.0.0.1',
      bindPort: port,
      clock: () => performance.now(),
      events: {
        onConfirmed: ({ name }) => this.events.push(`confirmed ${name}`),
        onConnected: ({ node }) => this.events.push(`connected ${node.name}`),
        onDialFailed: ({ name }, _detail, isRefused) =>
          this.events.push(`failed ${name}${isRefused ? ' refused' : ''}`),
        onDisconnected: ({ name }) => this.events.push(`lost ${name}`),
        onFrame: (_from, frame) => this.frames.push(frame),
        onSuspected: ({ name }) => this.events.push(`suspected ${name}`),
      },
      maximumUnnamedConnections: 500,
      memory: createMemoryAccount(),
      connectionMemory: createMemoryAccount(),
      helloPayload: () => ({
        configurationVersion: 3,
        knownNodes: 1,
        load: createLoad(),
        reachesStore: true,
      }),
      self,
    });
    this.timer = setInterval(() => {
      this.connections.tick(performance.now());
    }, tickIntervalMilliseconds);
  }

  /** Number of connections that have been established so far. */
  public get connectedCount(): number {
    return this.events.filter((event) => event.startsWith('connected ')).length;
  }

  public close(): void {
    clearInterval(this.timer);
    this.connections.close();
  }
}

export async function waitUntil(condition: () => boolean, milliseconds = 8_000): Promise<void> {
  const deadline = performance.now() + milliseconds;
  while (!condition()) {
    if (performance.now() > deadline)
      throw new Error(`the condition did not hold within ${milliseconds} ms`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
