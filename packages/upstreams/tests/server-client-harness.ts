import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { InvariantError } from '@peridotspring/core';
import type {
  Execution,
  ExecutionResult,
  HeaderList,
  ServerNotice,
  StartFrame,
} from '@peridotspring/mesh-core';
import { createMemoryAccount } from '@peridotspring/mesh-core/fixtures';

import { ServerClient } from '../src/mesh/index.js';
import type { ServerHeaderCodec } from '../src/mesh/index.js';

/** While set, reading the head of a response throws. */
export const injected = { headError: false };

const codec: ServerHeaderCodec = {
  callerService: 'x-caller-service',
  coldRemaining: 'x-cold-remaining',
  deadline: 'x-deadline',
  expectedInstance: 'x-expected-instance',
  instanceId: 'x-instance',
  parseLeaving: (value) => value === '1',
  parseRequestLimit: Number,
  leaving: 'x-leaving',
  requestLimit: 'x-limit',
  load: 'x-load',
  notExecuted: 'x-not-executed',
  parseColdTime: (value) => {
    if (value === 'throw') throw new Error('injected');
    return value === 'soon' ? undefined : Number(value);
  },
  parseLoad: (value) => {
    if (value === 'throw') throw new Error('injected');
    if (value === 'inconsistent') throw new InvariantError('injected');
    return { running: Number(value), slots: 4, slowdown: 1, waiting: 0 };
  },
  requestId: 'x-request-id',
  get signature() {
    if (injected.headError) throw new Error('injected');
    return 'x-signature';
  },
  tenant: 'x-tenant',
};

/** Small, so that tests reach the limit quickly. */
export const responseMemoryBytes = 4_194_304;

export type Behaviour = (socket: Socket, requestId: string) => void;

/** A TCP server that responds to each request with the bytes that the test writes. */
export class RawServer {
  public connections = 0;
  public readonly sockets = new Set<Socket>();
  private readonly server: Server;

  public constructor(private readonly behaviour: Behaviour) {
    this.server = createServer((socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('data', (chunk: Buffer) => {
        const requestId = /x-request-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1];
        if (requestId !== undefined) this.behaviour(socket, requestId);
      });
    });
  }

  public async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  public close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** A `ServerClient` whose results can be awaited. */
export class ServerClientHarness {
  public readonly client: ServerClient;
  public readonly unexpectedInstances: string[] = [];
  public readonly notices: ServerNotice[] = [];
  public readonly containedErrors: Error[] = [];
  private readonly resolvers = new Map<number, (result: ExecutionResult) => void>();
  private nextExecutionId = 1;

  public constructor(port: number) {
    this.client = new ServerClient({
      memory: createMemoryAccount(),
      responseMemoryBytes,
      clock: () => performance.now(),
      codec,
      onResult: (executionId, result) => this.resolvers.get(executionId)?.(result),
      host: '127.0.0.1',
      onErrorContained: (_requestId, error) => this.containedErrors.push(error),
      onLoadReport: () => undefined,
      onNotice: (notice) => this.notices.push(notice),
      onUnexpectedInstance: (instanceId) => this.unexpectedInstances.push(instanceId),
      port,
    });
  }

  public async run(
    requestId: string,
    headers: HeaderList = [],
    method = 'GET',
    idempotent = true,
  ): Promise<ExecutionResult> {
    const executionId = this.nextExecutionId;
    this.nextExecutionId += 1;
    const execution: Execution = {
      deadline: performance.now() + 2_000,
      executionId,
      frame: { ...startFrame(requestId), headers, idempotent, method },
      instanceId: 'i-1',
    };
    return new Promise((resolve) => {
      this.resolvers.set(executionId, resolve);
      this.client.run(execution);
    });
  }
}

function startFrame(requestId: string): StartFrame {
  return {
    callerService: 'shop',
    callId: 1,
    headers: [],
    idempotent: true,
    kind: 'start',
    method: 'GET',
    nested: false,
    optional: false,
    path: '/a',
    priority: 0,
    remainingMilliseconds: 2_000,
    repeat: false,
    requestId,
    routeName: 'r',
    service: 'shop',
    targetMilliseconds: 500,
  };
}

export async function withServer(
  behaviour: Behaviour,
  runTest: (harness: ServerClientHarness, server: RawServer) => Promise<void>,
): Promise<void> {
  const server = new RawServer(behaviour);
  const harness = new ServerClientHarness(await server.listen());
  try {
    await runTest(harness, server);
  } finally {
    harness.client.close();
    server.close();
  }
}

/** Runs a test against a TCP server that responds to anything it receives, for health checks. */
export async function withHealthServer(
  behaviour: (socket: Socket, requestId: string) => void,
  runTest: (
    harness: ServerClientHarness,
    server: { readonly sockets: Set<Socket> },
  ) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => {
      behaviour(socket, 'h');
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const harness = new ServerClientHarness((server.address() as AddressInfo).port);
  try {
    await runTest(harness, { sockets });
  } finally {
    harness.client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

export async function sleep(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

export function responseText(
  requestId: string,
  lines: readonly string[],
  body: string,
  status = 200,
): string {
  const head = [`HTTP/1.1 ${status} Any`, `x-request-id: ${requestId}`, ...lines];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

export const signed = 'x-signature: s';

export function completeResponse(requestId: string): string {
  return responseText(requestId, [signed, 'content-length: 4'], 'body');
}
