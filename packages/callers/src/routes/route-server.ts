import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { endToEndList, outgoingFields } from '@peridotspring/mesh-core';
import type {
  CallerLimits,
  EntryOutcome,
  EntryRequest,
  Route,
  RouteTable,
} from '@peridotspring/mesh-core';

import { announcesBody, collectBody } from '../request-body.js';

/** Largest header that is read, in bytes; Node.js fixes it at the start, before the configured limit is known. */
const maximumHeaderBytes = 65_536;
/** Retry-After for a node that has no configuration yet; it reads one within about a second. */
const unconfiguredRetryAfterMilliseconds = 300;
/** Retry-After for a node that is about to end; its successor is up after about a second. */
const stoppingRetryAfterMilliseconds = 500;
const millisecondsPerSecond = 1_000;

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
}

/** The HTTP server for callers of routes. Owns their connections. */
export class RouteServer {
  private readonly server: Server;
  private readonly open = new Map<number, ServerResponse>();
  private nextRequestNumber = 1;
  private isStopping = false;
  private isRefusing = false;

  public constructor(private readonly options: RouteServerOptions) {
    this.server = createServer({ maxHeaderSize: maximumHeaderBytes, noDelay: true });
    this.server.requestTimeout = 0;
    this.server.on('request', (request, response) => {
      void this.accept(request, response);
    });
  }

  public get inProgress(): number {
    return this.open.size;
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
    const response = this.open.get(requestNumber);
    if (response === undefined) return;
    this.open.delete(requestNumber);
    switch (outcome.kind) {
      case 'answered': {
        const fields = outgoingFields(outcome.headers);
        this.write(response, outcome.status, fields, outcome.body);
        return;
      }
      case 'refused': {
        const fields = retryAfter(outcome.retryAfterMilliseconds);
        this.write(response, 503, fields, plainBody(outcome.cause));
        return;
      }
      case 'unknown':
        this.write(response, outcome.cause === 'timeout' ? 504 : 502, {}, plainBody(outcome.cause));
    }
  }

  /** Answers go on, and each tells its caller that the connection ends. */
  public stop(): void {
    this.isStopping = true;
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
    await closed;
  }

  private async accept(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const receivedAt = this.options.clock();
    const requestNumber = this.nextRequestNumber;
    this.nextRequestNumber += 1;
    this.open.set(requestNumber, response);
    response.once('close', () => {
      if (this.open.delete(requestNumber)) this.options.gone(requestNumber);
    });
    const { names } = this.options;
    const requestId = single(request.headers[names.requestId]) ?? '';
    if (this.isRefusing) {
      const fields = retryAfter(stoppingRetryAfterMilliseconds);
      this.answer(requestNumber, requestId, 503, 'this node stops', fields);
      return;
    }
    const routing = this.options.routing();
    if (routing === undefined) {
      const fields = retryAfter(unconfiguredRetryAfterMilliseconds);
      this.answer(requestNumber, requestId, 503, 'no configuration yet', fields);
      return;
    }
    const route = routing.table.match(request.headers.host ?? '', request.url ?? '/');
    if (route === undefined) {
      this.answer(requestNumber, requestId, 404, 'no route has this host and path');
      return;
    }
    const body = await this.readBody(request, routing.limits);
    if (!this.open.has(requestNumber)) return;
    if (body === 'too-large') {
      this.answer(requestNumber, requestId, 413, 'the body is longer than the limit');
      return;
    }
    if (body === 'cut') {
      request.destroy();
      return;
    }
    this.deliver(request, route, { body, receivedAt, requestId, requestNumber });
  }

  private deliver(
    request: IncomingMessage,
    route: Route,
    read: Pick<EntryRequest, 'body' | 'receivedAt' | 'requestId' | 'requestNumber'>,
  ): void {
    const { names } = this.options;
    const stated = Number(single(request.headers[names.deadline]));
    const patience = Number.isFinite(stated) && stated > 0 ? stated : route.timeoutMilliseconds;
    this.options.deliver({
      ...read,
      callerDeadline: read.receivedAt + patience,
      headers: endToEndList(request.rawHeaders, names.reserved),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      route,
    });
  }

  private async readBody(
    request: IncomingMessage,
    { bodyBytes }: CallerLimits,
  ): Promise<Uint8Array | undefined | 'too-large' | 'cut'> {
    if (!announcesBody(request)) return undefined;
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
    requestNumber: number,
    requestId: string,
    status: number,
    detail: string,
    fields: Record<string, string> = {},
  ): void {
    const response = this.open.get(requestNumber);
    if (response === undefined) return;
    this.open.delete(requestNumber);
    this.write(response, status, fields, plainBody(detail));
    this.options.answeredLocally({ detail, requestId, status });
  }

  private write(
    response: ServerResponse,
    status: number,
    fields: Record<string, string | string[]>,
    body: Uint8Array,
  ): void {
    // A body that nobody reads would be taken for the next request.
    if (this.isStopping || !response.req.complete) response.shouldKeepAlive = false;
    const hasBody = status !== 204 && status !== 304;
    if (hasBody) fields['content-length'] = String(body.length);
    response.writeHead(status, fields);
    if (hasBody && response.req.method !== 'HEAD') response.end(body);
    else response.end();
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
