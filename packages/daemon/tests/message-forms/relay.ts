import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { RouteServer } from '@peridotspring/callers';
import { DeferredInput } from '@peridotspring/http-server';
import { RouteTable, UnknownCause } from '@peridotspring/mesh-core';
import type { EntryRequest, ExecutionResult } from '@peridotspring/mesh-core';
import {
  createMemoryAccount,
  createRoute,
  createStartFrame,
} from '@peridotspring/mesh-core/fixtures';
import { ServerClient } from '@peridotspring/upstreams/mesh';

const host = '127.0.0.1';
const routeTimeoutMilliseconds = 5_000;
const responseTimeoutMilliseconds = 3_000;
const limits = {
  bodyBytes: 65_536,
  headerBytes: 131_072,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};
const systemFields = {
  authorization: 'authorization',
  callerService: 'x-caller',
  coldRemaining: 'x-cold',
  deadline: 'x-deadline',
  expectedInstance: 'x-instance',
  instanceId: 'x-instance-id',
  leaving: 'x-leaving',
  load: 'x-load',
  notExecuted: 'x-not-executed',
  requestId: 'x-request-id',
  requestLimit: 'x-limit',
  signature: 'x-signature',
  tenant: 'x-tenant',
} as const;

/** The caller's side and the server's side of a node of routes, without the nodes between them. */
export class Relay {
  /** The bytes of each request that the server received. */
  public readonly received: string[] = [];
  /** The rest of the head, and the body, of the server's answers. */
  public answer = 'content-length: 2\r\n\r\nok';
  private readonly serverSockets = new Set<Socket>();
  private readonly listener: Server;
  private readonly pending = new Map<number, EntryRequest>();
  private client: ServerClient | undefined;
  private readonly routes: RouteServer;
  private port = 0;

  public constructor() {
    this.listener = createServer((socket) => {
      this.serve(socket);
    });
    const routing = {
      isConfirmed: true,
      isKeyProven: true,
      limits,
      table: new RouteTable({
        limits,
        routes: [
          createRoute({
            host: 'shop',
            pathPrefix: '/',
            timeoutMilliseconds: routeTimeoutMilliseconds,
          }),
        ],
        services: new Map(),
        version: 1,
      }),
      tenants: undefined,
    };
    this.routes = new RouteServer({
      bindHost: host,
      bindPort: 0,
      clock: () => performance.now(),
      deferredInput: new DeferredInput(),
      headerNames: {
        authorization: systemFields.authorization,
        deadline: systemFields.deadline,
        requestId: systemFields.requestId,
        reserved: new Set([
          systemFields.callerService,
          systemFields.deadline,
          systemFields.expectedInstance,
          systemFields.requestId,
          systemFields.tenant,
        ]),
      },
      maximumConnections: 100,
      memory: createMemoryAccount(),
      onAnsweredLocally: () => undefined,
      onCallerGone: () => undefined,
      onClientFault: () => undefined,
      onErrorContained: () => undefined,
      onPipelineWait: () => undefined,
      onRequest: (request) => {
        this.passOn(request);
      },
      onRequestsDiscarded: () => undefined,
      protocolMemory: createMemoryAccount(),
      routing: () => routing,
    });
  }

  public async start(): Promise<void> {
    await new Promise<void>((resolve) => this.listener.listen(0, host, resolve));
    const { port } = this.listener.address() as AddressInfo;
    this.client = new ServerClient({
      clock: () => performance.now(),
      codec: {
        ...systemFields,
        parseColdTime: () => undefined,
        parseLeaving: () => false,
        parseLoad: () => undefined,
        parseRequestLimit: () => undefined,
      },
      host,
      memory: createMemoryAccount(),
      onErrorContained: () => undefined,
      onLoadReport: () => undefined,
      onNotice: () => undefined,
      onResult: (executionId, result) => {
        this.onResult(executionId, result);
      },
      onUnexpectedInstance: () => undefined,
      port,
      responseMemoryBytes: 1_048_576,
    });
    this.port = await this.routes.listen();
  }

  public async close(): Promise<void> {
    this.client?.close();
    await this.routes.close();
    for (const socket of this.serverSockets) socket.destroy();
    await new Promise((resolve) => this.listener.close(resolve));
  }

  /** Sends bytes on a connection of their own; resolves to what came back until the connection ended or went quiet. */
  public async send(bytes: string): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect({ host, port: this.port });
      let text = '';
      const end = (): void => {
        socket.destroy();
        resolve(text);
      };
      const timer = setTimeout(end, responseTimeoutMilliseconds);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        clearTimeout(timer);
        end();
      });
      socket.write(Buffer.from(bytes, 'latin1'));
    });
  }

  private passOn(request: EntryRequest): void {
    const { body, headers, method, path, requestId, requestNumber } = request;
    this.pending.set(requestNumber, request);
    const frame = createStartFrame({ body, headers, method, path, requestId });
    const deadline = performance.now() + routeTimeoutMilliseconds;
    this.client?.run({ deadline, executionId: requestNumber, frame, instanceId: 'i-1' });
  }

  private onResult(requestNumber: number, result: ExecutionResult): void {
    const request = this.pending.get(requestNumber);
    this.pending.delete(requestNumber);
    if (request === undefined) return;
    this.routes.respond(
      request,
      result.kind === 'answered' ? result : { cause: UnknownCause.AttemptFailed, kind: 'unknown' },
    );
  }

  /** Answers when the connection has been quiet for a moment, so that bytes after the request are seen too. */
  private serve(socket: Socket): void {
    this.serverSockets.add(socket);
    let text = '';
    let timer: NodeJS.Timeout | undefined;
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.serverSockets.delete(socket);
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      clearTimeout(timer);
      timer = setTimeout(() => {
        this.received.push(text);
        const requestId = /x-request-id: (.*)\r\n/i.exec(text)?.[1] ?? '';
        text = '';
        const fields = `x-request-id: ${requestId}\r\nx-signature: s\r\nconnection: close\r\n`;
        socket.end(Buffer.from(`HTTP/1.1 200 OK\r\n${fields}${this.answer}`, 'latin1'));
      }, 20);
    });
  }
}
