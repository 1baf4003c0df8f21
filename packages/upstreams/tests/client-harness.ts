import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Readable } from 'node:stream';

import type { RequestHead, RunUpstreamCommand, UpstreamResult } from '@peridotspring/core';
import { UpstreamStandIn } from '@peridotspring/stand-ins';
import type { UpstreamFaults } from '@peridotspring/stand-ins';

import { UpstreamClient } from '../src/index.js';
import type { UpstreamClientMessage } from '../src/index.js';

/** Far longer than a busy machine needs; it only ends a test that can no longer pass. */
const timeoutMilliseconds = 30_000;

/** Values that a test sets instead of the defaults of a command. */
export type CommandOverrides = Partial<RequestHead> &
  Partial<Pick<RunUpstreamCommand, 'body' | 'collectAnswer' | 'remainingMilliseconds'>>;

/** An `UpstreamClient` whose messages are recorded and can be awaited. */
export class UpstreamClientHarness {
  public readonly messages: UpstreamClientMessage[] = [];
  public readonly client = new UpstreamClient((message) => {
    this.messages.push(message);
    for (const wake of this.messageWaiters.splice(0)) wake();
  });
  private readonly messageWaiters: (() => void)[] = [];
  private nextExecutionId = 1;

  public constructor(address: string, connections = 10) {
    this.client.setAddress(address, connections);
  }

  /** Sends a request and returns the identifier of its execution. */
  public run(path: string, overrides: CommandOverrides = {}, stream?: Readable): number {
    const executionId = this.nextExecutionId;
    this.nextExecutionId += 1;
    const { body, collectAnswer = false, remainingMilliseconds = 60_000, ...head } = overrides;
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

  public async waitForResult(executionId: number): Promise<UpstreamResult> {
    return (await this.waitForMessage('upstream-result', executionId)).result;
  }

  /** Resolves to whether the response was complete. */
  public async waitForFinish(executionId: number): Promise<boolean> {
    return (await this.waitForMessage('upstream-finished', executionId)).complete;
  }

  public async pollOnce(): Promise<UpstreamClientMessage> {
    this.client.poll();
    const message = await this.waitForMessage('upstream-polled');
    this.messages.splice(this.messages.indexOf(message), 1);
    return message;
  }

  /** Kinds of the messages about an execution, in order. */
  public kindsOf(executionId: number): string[] {
    return this.messages
      .filter((message) => 'executionId' in message && message.executionId === executionId)
      .map((message) => message.kind);
  }

  private async waitForMessage<Kind extends UpstreamClientMessage['kind']>(
    kind: Kind,
    executionId?: number,
  ): Promise<Extract<UpstreamClientMessage, { kind: Kind }>> {
    type Found = Extract<UpstreamClientMessage, { kind: Kind }>;
    for (;;) {
      const found = this.messages.find(
        (candidate): candidate is Found =>
          candidate.kind === kind &&
          (!('executionId' in candidate) || candidate.executionId === executionId),
      );
      if (found !== undefined) return found;
      await this.waitForNextMessage();
    }
  }

  private async waitForNextMessage(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(
        reject,
        timeoutMilliseconds,
        new Error('no message before the timeout'),
      );
      this.messageWaiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/** Runs a test against a stand-in upstream with the given faults. */
export async function withStandIn(
  faults: Partial<UpstreamFaults>,
  runTest: (harness: UpstreamClientHarness, standIn: UpstreamStandIn) => Promise<void>,
  options: { slots?: number; connections?: number; clientConnections?: number } = {},
): Promise<void> {
  const { clientConnections, ...standInOptions } = options;
  const standIn = new UpstreamStandIn(standInOptions);
  await standIn.start();
  const harness = new UpstreamClientHarness(standIn.address, clientConnections);
  try {
    await standIn.changeFaults(faults);
    await runTest(harness, standIn);
  } finally {
    harness.client.close();
    await standIn.close();
  }
}

/** Runs a test against a TCP server whose connections are handled by `handle`. */
export async function withRawServer(
  handle: (socket: Socket) => void,
  runTest: (harness: UpstreamClientHarness) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    handle(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const harness = new UpstreamClientHarness(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  try {
    await runTest(harness);
  } finally {
    harness.client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

/** Polls for a condition that no message reports. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const latest = Date.now() + timeoutMilliseconds;
  while (!condition()) {
    if (Date.now() > latest) throw new Error('condition not met before the timeout');
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
