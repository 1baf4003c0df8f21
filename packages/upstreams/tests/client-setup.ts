import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Readable } from 'node:stream';

import type { RequestHead, RunUpstreamCommand, UpstreamResult } from '@peridotspring/core';
import { UpstreamStandIn } from '@peridotspring/stand-ins';
import type { UpstreamFaults } from '@peridotspring/stand-ins';

import { UpstreamClient } from '../src/index.js';
import type { UpstreamClientMessage } from '../src/index.js';

/** Far above what a busy machine needs; only ends a test that can't pass any more. */
const patienceMilliseconds = 30_000;

/** What a test changes of an ordinary command. */
export type CommandChanges = Partial<RequestHead> &
  Partial<Pick<RunUpstreamCommand, 'body' | 'collectAnswer' | 'remainingMilliseconds'>>;

/** A client that keeps what it reports and lets a test wait for it. */
export class ClientBench {
  public readonly messages: UpstreamClientMessage[] = [];
  public readonly client = new UpstreamClient((message) => {
    this.messages.push(message);
    for (const wake of this.waiting.splice(0)) wake();
  });
  private readonly waiting: (() => void)[] = [];
  private nextExecution = 1;

  public constructor(address: string, connections = 10) {
    this.client.setAddress(address, connections);
  }

  /** Returns the execution's number. */
  public run(path: string, changes: CommandChanges = {}, stream?: Readable): number {
    const executionId = this.nextExecution;
    this.nextExecution += 1;
    const { body, collectAnswer = false, remainingMilliseconds = 60_000, ...head } = changes;
    const defaults = { depth: 2, headers: {}, method: 'GET', requestId: 'r-1', tenant: 'coop' };
    const command: RunUpstreamCommand = {
      body,
      collectAnswer,
      executionId,
      head: { ...defaults, path, service: 'antrag', ...head },
      kind: 'run-upstream',
      remainingMilliseconds,
      streamedBody: stream !== undefined,
    };
    this.client.run(command, stream);
    return executionId;
  }

  public async result(executionId: number): Promise<UpstreamResult> {
    return (await this.message('upstream-result', executionId)).result;
  }

  /** Resolves to whether the answer was complete. */
  public async finished(executionId: number): Promise<boolean> {
    return (await this.message('upstream-finished', executionId)).complete;
  }

  public async polled(): Promise<UpstreamClientMessage> {
    this.client.poll();
    const message = await this.message('upstream-polled');
    this.messages.splice(this.messages.indexOf(message), 1);
    return message;
  }

  /** Kinds of the messages about an execution, in order. */
  public kindsOf(executionId: number): string[] {
    return this.messages
      .filter((message) => 'executionId' in message && message.executionId === executionId)
      .map((message) => message.kind);
  }

  private async message<Kind extends UpstreamClientMessage['kind']>(
    kind: Kind,
    executionId?: number,
  ): Promise<Extract<UpstreamClientMessage, { kind: Kind }>> {
    type Found = Extract<UpstreamClientMessage, { kind: Kind }>;
    for (;;) {
      const found = this.messages.find(
        (one): one is Found =>
          one.kind === kind && (!('executionId' in one) || one.executionId === executionId),
      );
      if (found !== undefined) return found;
      await this.nextMessage();
    }
  }

  private async nextMessage(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(reject, patienceMilliseconds, new Error('no message came'));
      this.waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/** Runs a test against a stand-in under the given faults. */
export async function withStandIn(
  faults: Partial<UpstreamFaults>,
  use: (bench: ClientBench, standIn: UpstreamStandIn) => Promise<void>,
  options: { slots?: number; connections?: number; clientConnections?: number } = {},
): Promise<void> {
  const { clientConnections, ...standInOptions } = options;
  const standIn = new UpstreamStandIn(standInOptions);
  await standIn.start();
  const bench = new ClientBench(standIn.address, clientConnections);
  try {
    await standIn.changeFaults(faults);
    await use(bench, standIn);
  } finally {
    bench.client.close();
    await standIn.close();
  }
}

/** Runs a test against a server that handles its connections itself. */
export async function withRawServer(
  handle: (socket: Socket) => void,
  use: (bench: ClientBench) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    handle(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bench = new ClientBench(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  try {
    await use(bench);
  } finally {
    bench.client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

/** Waits for a condition that no message tells of. */
export async function until(condition: () => boolean): Promise<void> {
  const latest = Date.now() + patienceMilliseconds;
  while (!condition()) {
    if (Date.now() > latest) throw new Error('the condition did not come true');
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
