import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { endToEndHeaders, toOutgoingHeaders } from '@peridotspring/mesh-core';
import type {
  CallerLimits,
  EntryOutcome,
  EntryRequest,
  Route,
  RouteTable,
} from '@peridotspring/mesh-core';

import { announcesBody, collectBody } from '../request-body.js';
import { CallerConnection } from './caller-connection.js';
import type { ConnectionWait, LocalResponse, ReadRequest } from './caller-connection.js';

/** Largest header that is read, in bytes; Node.js fixes it at the start, before the configured limit is known. */
const maximumHeaderBytes = 65_536;
/** Retry-After for a node that has no configuration yet; it reads one within about a second. */
const unconfiguredRetryAfterMilliseconds = 300;
/** Retry-After for a node that is about to end; its successor is up after about a second. */
const stoppingRetryAfterMilliseconds = 500;
const millisecondsPerSecond = 1_000;
/** The caller closed its side in the middle of a request. */
const leftInMiddleCode = 'HPE_INVALID_EOF_STATE';

/** Names of the header fields that the server reads and writes, in lower case. */
export interface CallerHeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  /** Fields that callers may not set. */
  readonly reserved: ReadonlySet<string>;
}

/** What the server needs to know of the configuration in force. */
export interface RoutingView {
  readonly table: RouteTable;
  readonly limits: CallerLimits;
}

/** A request that got its answer, for logs and metrics. */
export interface LocalAnswer {
  readonly requestId: string;
  readonly status: number;
  readonly detail: string;
}

export interface RouteServerOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  readonly names: CallerHeaderNames;
  readonly clock: () => number;
  readonly routing: () => RoutingView | undefined;
  readonly deliver: (request: EntryRequest) => void;
  readonly gone: (requestNumber: number) => void;
  /** A request was answered here without a route. */
  readonly answeredLocally: (answer: LocalAnswer) => void;
  /** A request waited for others that its caller had sent before on the same connection. */
  readonly waitedBehind: (wait: ConnectionWait) => void;
  /** Requests that were read on a connection that ends before them; none of them was passed on. */
  readonly notPassedOn: (count: number) => void;
}

/** The HTTP server for callers of routes. Owns their connections. */
export class RouteServer {
  private readonly server: Server;
  private readonly connections = new Map<Duplex, CallerConnection>();
  /** The connection of each request that was begun and has no answer. */
  private readonly open = new Map<number, CallerConnection>();
  private nextRequestNumber = 1;
  private isStopping = false;
  private isRefusing = false;

  public constructor(private readonly options: RouteServerOptions) {
    this.server = createServer({ maxHeaderSize: maximumHeaderBytes, noDelay: true });
    this.server.requestTimeout = 0;
    this.server.on('connection', (socket: Socket) => {
      this.accept(socket);
    });
    this.server.on('request', (message, response) => {
      const requestNumber = this.nextRequestNumber;
      this.nextRequestNumber += 1;
      const requestId = single(message.headers[options.names.requestId]) ?? '';
      const readAt = options.clock();
      const request = { message, readAt, requestId, requestNumber, response };
      this.connections.get(message.socket)?.read(request);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const connection = this.connections.get(socket);
      const hasLeft = !socket.writable || error.code === leftInMiddleCode;
      if (connection === undefined || hasLeft) socket.destroy();
      else connection.unreadable(statusOfFault(error));
    });
  }

  public get inProgress(): number {
    let count = 0;
    for (const connection of this.connections.values()) count += connection.inProgress;
    return count;
  }

  public async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.bindPort, this.options.bindHost, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Applies the limits of a configuration that came into force. */
  public configure(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
    this.server.headersTimeout = limits.headerTimeoutMilliseconds + millisecondsPerSecond;
  }

  public respond({ requestNumber }: EntryRequest, outcome: EntryOutcome): void {
    switch (outcome.kind) {
      case 'answered': {
        const { body, headers, status } = outcome;
        this.write(requestNumber, { body, fields: toOutgoingHeaders(headers), status });
        return;
      }
      case 'refused': {
        const fields = retryAfter(outcome.retryAfterMilliseconds);
        this.write(requestNumber, { body: plainBody(outcome.cause), fields, status: 503 });
        return;
      }
      case 'unknown': {
        const status = outcome.cause === 'timeout' ? 504 : 502;
        this.write(requestNumber, { body: plainBody(outcome.cause), fields: {}, status });
      }
    }
  }

  /** Requests that were begun are answered, and each connection ends with its last answer. */
  public stop(): void {
    this.isStopping = true;
    for (const connection of this.connections.values()) connection.end();
  }

  /** Requests that come from now on are refused. */
  public refuse(): void {
    this.isRefusing = true;
  }

  public async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeAllConnections();
    // A connection that lingers has left the server's list.
    for (const socket of this.connections.keys()) socket.destroy();
    await closed;
  }

  private accept(socket: Socket): void {
    const { clock, gone, notPassedOn, waitedBehind } = this.options;
    const connection: CallerConnection = new CallerConnection(socket, clock, {
      begin: (request) => {
        this.open.set(request.requestNumber, connection);
        void this.begin(request);
      },
      gone: (requestNumber) => {
        if (this.open.delete(requestNumber)) gone(requestNumber);
      },
      notPassedOn,
      waitedBehind,
    });
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
    });
    if (this.isStopping) connection.end();
  }

  private async begin(read: ReadRequest): Promise<void> {
    const { message, requestNumber } = read;
    if (this.isRefusing) {
      this.answer(read, 503, 'this node stops', retryAfter(stoppingRetryAfterMilliseconds));
      return;
    }
    const routing = this.options.routing();
    if (routing === undefined) {
      const fields = retryAfter(unconfiguredRetryAfterMilliseconds);
      this.answer(read, 503, 'no configuration yet', fields);
      return;
    }
    const route = routing.table.match(message.headers.host ?? '', message.url ?? '/');
    if (route === undefined) {
      this.answer(read, 404, 'no route has this host and path');
      return;
    }
    const body = await this.readBodyInTime(read, route, routing.limits);
    if (!this.open.has(requestNumber)) return;
    if (body === 'late') {
      this.answer(read, 408, 'the body did not come in time');
      return;
    }
    if (body === 'too-large') {
      this.answer(read, 413, 'the body is longer than the limit');
      return;
    }
    if (body === 'cut') {
      this.open.delete(requestNumber);
      message.destroy();
      return;
    }
    this.deliver(read, route, body);
  }

  private deliver(
    { message, readAt, requestId, requestNumber }: ReadRequest,
    route: Route,
    body: Uint8Array | undefined,
  ): void {
    const { names } = this.options;
    this.options.deliver({
      body,
      callerDeadline: readAt + this.patienceOf(message, route),
      headers: endToEndHeaders(message.rawHeaders, names.reserved),
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      receivedAt: readAt,
      requestId,
      requestNumber,
      route,
    });
  }

  /** Time from the request's head for which its caller waits. */
  private patienceOf({ headers }: IncomingMessage, route: Route): number {
    const stated = Number(single(headers[this.options.names.deadline]));
    return Number.isFinite(stated) && stated > 0 ? stated : route.timeoutMilliseconds;
  }

  /** A body may come a byte at a time without end; it is read for as long as its caller waits. */
  private async readBodyInTime(
    { message, readAt }: ReadRequest,
    route: Route,
    limits: CallerLimits,
  ): Promise<Uint8Array | undefined | 'too-large' | 'cut' | 'late'> {
    if (!announcesBody(message)) return undefined;
    const left = readAt + this.patienceOf(message, route) - this.options.clock();
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<'late'>((resolve) => {
      timer = setTimeout(resolve, left, 'late');
    });
    const body = await Promise.race([this.readBody(message, limits), late]);
    clearTimeout(timer);
    return body;
  }

  private async readBody(
    request: IncomingMessage,
    { bodyBytes }: CallerLimits,
  ): Promise<Uint8Array | 'too-large' | 'cut'> {
    if (Number(request.headers['content-length'] ?? 0) > bodyBytes) return 'too-large';
    const collected = await collectBody(request, bodyBytes, bodyBytes);
    switch (collected.kind) {
      case 'whole':
        return collected.bytes;
      case 'longer':
        return 'too-large';
      case 'cut':
        return 'cut';
    }
  }

  private answer(
    { requestId, requestNumber }: ReadRequest,
    status: number,
    detail: string,
    fields: LocalResponse['fields'] = {},
  ): void {
    this.write(requestNumber, { body: plainBody(detail), fields, status });
    this.options.answeredLocally({ detail, requestId, status });
  }

  private write(requestNumber: number, response: LocalResponse): void {
    const connection = this.open.get(requestNumber);
    if (connection === undefined) return;
    this.open.delete(requestNumber);
    connection.answer(requestNumber, response);
  }
}

/** Status for bytes that could not be read as a request. */
function statusOfFault({ code }: NodeJS.ErrnoException): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return 431;
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return 408;
    default:
      return 400;
  }
}

function retryAfter(milliseconds: number): Record<string, string> {
  return { 'retry-after': (milliseconds / millisecondsPerSecond).toFixed(3) };
}

function plainBody(detail: string): Uint8Array {
  return Buffer.from(`${detail}\n`);
}

function single(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
