#!/usr/bin/env node
import { setTimeout as sleep } from 'node:timers/promises';

import type { MeshNode } from '@peridotspring/mesh-core';
import {
  createLoad,
  createMemoryAccount,
  createNode,
  createStartFrame,
} from '@peridotspring/mesh-core/fixtures';
import { MeshConnections } from '@peridotspring/nodes';
import type { MeshConnectionsEvents } from '@peridotspring/nodes';
import { findFreePorts, SilencingForwarder } from '@peridotspring/stand-ins';
import { Command } from 'commander';
import { build } from 'hdr-histogram-js';

interface Flags {
  readonly connections: string;
  readonly rounds: string;
}

/** The interval at which an idle node calls `tick`. */
const tickIntervalMilliseconds = 50;
const pauseBetweenRoundsMilliseconds = 300;
const roundTimeoutMilliseconds = 10_000;

const start = createStartFrame({ idempotent: false });

function openConnections(
  self: MeshNode,
  port: number,
  events: Pick<MeshConnectionsEvents, 'onConnected' | 'onFrame'>,
): MeshConnections {
  return new MeshConnections({
    bindHost: '127.0.0.1',
    bindPort: port,
    clock: () => performance.now(),
    events: {
      ...events,
      onConfirmed: () => undefined,
      onDialFailed: () => undefined,
      onDisconnected: () => undefined,
      onSuspected: () => undefined,
    },
    helloPayload: () => ({
      configurationVersion: 1,
      knownNodes: 1,
      load: createLoad(),
      reachesStore: true,
    }),
    maximumUnnamedConnections: 500,
    memory: createMemoryAccount(),
    connectionMemory: createMemoryAccount(),
    self,
  });
}

/** A node to which the measured one is connected through a forwarder. */
interface Gate {
  readonly connections: MeshConnections;
  readonly forwarder: SilencingForwarder;
  readonly node: MeshNode;
}

/** One node that is connected to several others, and sends a request again when it is connected to one anew. */
class SilenceBenchmark {
  private readonly gates: Gate[] = [];
  private readonly histogram = build();
  /** The times at which requests were sent on a silent connection, by the name of the gate. */
  private readonly sentAt = new Map<string, number>();
  private readonly entry: MeshConnections;
  private readonly timer: NodeJS.Timeout;
  private connectedCount = 0;

  private constructor(entryPort: number) {
    this.entry = openConnections(
      createNode('entry', { address: `127.0.0.1:${entryPort}` }),
      entryPort,
      {
        onConnected: ({ node }) => {
          this.connectedCount += 1;
          if (this.sentAt.has(node.name)) this.entry.send(node.name, start);
        },
        onFrame: () => undefined,
      },
    );
    this.timer = setInterval(() => {
      const now = performance.now();
      for (const connections of [this.entry, ...this.gates.map((gate) => gate.connections)])
        connections.tick(now);
    }, tickIntervalMilliseconds);
  }

  public static async open(connectionCount: number): Promise<SilenceBenchmark> {
    const [entryPort = 0, ...ports] = await findFreePorts(connectionCount + 1);
    const benchmark = new SilenceBenchmark(entryPort);
    for (const port of ports) await benchmark.openGate(port);
    for (const { node } of benchmark.gates) benchmark.entry.dial(node);
    await benchmark.waitUntil(() => benchmark.connectedCount === connectionCount);
    return benchmark;
  }

  /** Silences connections and sends a request on each; resolves once all requests have arrived. */
  public async runRound(gates: readonly Gate[]): Promise<void> {
    await sleep(pauseBetweenRoundsMilliseconds);
    await this.entry.whenRead();
    for (const { forwarder, node } of gates) {
      forwarder.silence();
      this.sentAt.set(node.name, performance.now());
      this.entry.send(node.name, start);
    }
    await this.waitUntil(() => this.sentAt.size === 0);
  }

  public chooseGates(round: number, count: number): readonly Gate[] {
    return Array.from(
      { length: count },
      (_, index) => this.gates[(round + index) % this.gates.length],
    ).filter((gate) => gate !== undefined);
  }

  /** The time from a request on a silent connection to its arrival on another one, as a row of a table. */
  public describe(silencedCount: number): string {
    const at = (percentile: number): number => this.histogram.getValueAtPercentile(percentile);
    return `| ${this.gates.length} | ${silencedCount} | ${this.histogram.totalCount} | ${at(50)} | ${at(99)} |`;
  }

  public close(): void {
    clearInterval(this.timer);
    this.entry.close();
    for (const { connections, forwarder } of this.gates) {
      connections.close();
      forwarder.close();
    }
  }

  private async openGate(port: number): Promise<void> {
    const forwarder = new SilencingForwarder('127.0.0.1', port);
    const address = `127.0.0.1:${await forwarder.listen()}`;
    const node = createNode(`gate-${this.gates.length}`, { address });
    const connections = openConnections(node, port, {
      onConnected: () => undefined,
      onFrame: () => {
        this.recordArrival(node.name);
      },
    });
    await connections.listen();
    this.gates.push({ connections, forwarder, node });
  }

  private recordArrival(name: string): void {
    const sentAt = this.sentAt.get(name);
    if (sentAt === undefined) return;
    this.sentAt.delete(name);
    this.histogram.recordValue(Math.round(performance.now() - sentAt));
  }

  private async waitUntil(condition: () => boolean): Promise<void> {
    const deadline = performance.now() + roundTimeoutMilliseconds;
    while (!condition()) {
      if (performance.now() > deadline) throw new Error('requests did not arrive in time');
      await sleep(1);
    }
  }
}

async function measure(
  connectionCount: number,
  silencedCount: number,
  rounds: number,
): Promise<void> {
  const benchmark = await SilenceBenchmark.open(connectionCount);
  try {
    for (let round = 0; round < rounds; round += 1)
      await benchmark.runRound(benchmark.chooseGates(round, silencedCount));
    console.log(benchmark.describe(silencedCount));
  } finally {
    benchmark.close();
  }
}

const program = new Command('silent-connections')
  .description(
    'measures the time from a silent connection between nodes to a request on another one',
  )
  .option('--connections <list>', 'numbers of connections, separated by commas', '10,100,300')
  .option('--rounds <count>', 'rounds for each number', '100')
  .action(async ({ connections, rounds }: Flags) => {
    console.log('| Connections | Silent at once | Requests | p50, ms | p99, ms |');
    console.log('| --- | --- | --- | --- | --- |');
    for (const connectionCount of connections.split(',').map(Number)) {
      await measure(connectionCount, 1, Number(rounds));
      await measure(
        connectionCount,
        connectionCount,
        Math.max(1, Math.ceil(Number(rounds) / connectionCount)),
      );
    }
  });
await program.parseAsync();
