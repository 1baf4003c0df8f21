import type { IncomingMessage } from 'node:http';

import { toContainableError } from '@peridotspring/core';
import { findConnectionToClose, GuardedHttpServer } from '@peridotspring/http-server';
import type {
  ClientLimits,
  ClientStream,
  DeferredInput,
  ReceivedRequest,
} from '@peridotspring/http-server';
import {
  authorizeRequest,
  ClientFault,
  DenialCause,
  endToEndHeaders,
  headerValues,
  MemoryPlace,
  RefusalCause,
  stoppingRetryAfterMilliseconds,
  toOutgoingHeaders,
} from '@peridotspring/mesh-core';
import type {
  CallerLimits,
  EntryOutcome,
  EntryRequest,
  MemoryAccount,
  Route,
  RouteTable,
  Tenant,
  TenantDirectory,
} from '@peridotspring/mesh-core';

import { announcesLongBody, BodyReader } from './body-reader.js';
import { CallerConnection } from './caller-connection.js';
import type { PipelineWait, ResponseContent, ParsedRequest } from './caller-connection.js';

/** Limits while there is no configuration. */
const unconfiguredLimits: ClientLimits = {
  headerBytes: 16_384,
  headerTimeoutMilliseconds: 10_000,
  idleTimeoutMilliseconds: 5_000,
};
/** The network may hold up a part of a head that was sent in time. */
const headerTimeoutMarginMilliseconds = 1_000;
/** Retry-After of a node without a configuration, or with one that may be outdated; it reads one within about a second. */
const unconfiguredRetryAfterMilliseconds = 300;
/** Retry-After of a request whose body has no memory: what stalls is ended after a second. */
const noMemoryRetryAfterMilliseconds = 1_000;
const bodyTooLongDetail = 'the body is longer than the limit';
const millisecondsPerSecond = 1_000;

/** Header names that the server uses, in lower case. */
export interface CallerHeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  /** Carries the API key of a tenant; not forwarded if the configuration declares tenants. */
  readonly authorization: string;
  /** Headers that callers may not set; they are removed from requests. */
  readonly reserved: ReadonlySet<string>;
}

/** The parts of the active configuration that the server uses. */
export interface RoutingConfiguration {
  readonly table: RouteTable;
  readonly limits: CallerLimits;
  readonly tenants: TenantDirectory | undefined;
  /** Whether the store has shown recently that no newer configuration exists. */
  readonly isConfirmed: boolean;
  /** Whether the keys of the configuration in force may be acted on: their removal would have become known. */
  readonly isKeyProven: boolean;
}

/** A request that this server answered itself, for logs and metrics. */
export interface LocallyAnsweredRequest {
  readonly requestId: string;
  readonly status: number;
  readonly detail: string;
}

export interface RouteServerOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  /** Processes the input of connections that take more than their share of processor time. */
  readonly deferredInput: DeferredInput;
  readonly headerNames: CallerHeaderNames;
  readonly clock: () => number;
  /** Counts the bodies of requests, and the answers until callers have read them. */
  readonly memory: MemoryAccount;
  /** Counts connections, the heads of requests, and what is kept for each request beside its body. */
  readonly protocolMemory: MemoryAccount;
  /** Maximum number of connections; beyond it, the one that has been without a request longest is closed. */
  readonly maximumConnections: number;
  /** Nothing more is read on a connection, which closes after the requests in progress. */
  readonly onClientFault: (fault: ClientFault) => void;
  readonly routing: () => RoutingConfiguration | undefined;
  readonly onRequest: (request: EntryRequest) => void;
  readonly onCallerGone: (requestNumber: number) => void;
  /** A request was answered by this server itself, without being passed on. */
  readonly onAnsweredLocally: (answer: LocallyAnsweredRequest) => void;
  /** An error ended one request, which was answered 502 or whose connection was closed. */
  readonly onErrorContained: (requestId: string, error: Error) => void;
  /** A pipelined request waited for earlier requests on the same connection. */
  readonly onPipelineWait: (wait: PipelineWait) => void;
  /** Requests were read on a connection that closes before they start; none of them was passed on. */
  readonly onRequestsDiscarded: (count: number) => void;
}

/** The HTTP server for callers of routes. Owns their connections. */
export class RouteServer {
  private readonly server: GuardedHttpServer;
  private readonly connections = new Map<ClientStream, CallerConnection>();
  /** The connection of each request that was started and has no answer, by request number. */
  private readonly pendingRequests = new Map<number, CallerConnection>();
  private readonly reservedNamesWithCredentials: ReadonlySet<string>;
  private readonly bodies: BodyReader;
  private limits = unconfiguredLimits;
  private nextRequestNumber = 1;
  private isStopping = false;
  private isRefusing = false;

  public constructor(private readonly options: RouteServerOptions) {
    const { authorization, reserved } = options.headerNames;
    this.bodies = new BodyReader(options.memory, options.clock);
    this.reservedNamesWithCredentials = new Set([...reserved, authorization]);
    const { bindHost, bindPort, clock, deferredInput, protocolMemory } = options;
    this.server = new GuardedHttpServer({
      accept: (stream) => this.accept(stream),
      bindHost,
      bindPort,
      clock,
      deferredInput,
      formRules: {
        singleFields: new Set([options.headerNames.deadline, options.headerNames.requestId]),
      },
      limits: () => this.limits,
      memory: protocolMemory,
      onRequest: (request) => {
        this.handleRequest(request);
      },
      place: MemoryPlace.CallerRequest,
    });
  }

  public get inProgress(): number {
    let count = 0;
    for (const connection of this.connections.values()) count += connection.inProgress;
    return count;
  }

  public async listen(): Promise<number> {
    return this.server.listen();
  }

  /** Applies the limits of a newly activated configuration. */
  public configure(limits: CallerLimits): void {
    this.limits = {
      headerBytes: limits.headerBytes,
      headerTimeoutMilliseconds: limits.headerTimeoutMilliseconds + headerTimeoutMarginMilliseconds,
      idleTimeoutMilliseconds: limits.idleTimeoutMilliseconds,
    };
    this.server.configure();
  }

  public respond({ requestNumber }: EntryRequest, outcome: EntryOutcome): void {
    switch (outcome.kind) {
      case 'answered': {
        const { body, headers, status } = outcome;
        this.write(requestNumber, { body, fields: toOutgoingHeaders(headers), status });
        return;
      }
      case 'refused': {
        const fields = retryAfterHeader(outcome.retryAfterMilliseconds);
        const status = outcome.cause === RefusalCause.AllotmentUsed ? 429 : 503;
        this.write(requestNumber, { body: textBody(outcome.cause), fields, status });
        return;
      }
      case 'unknown': {
        const status = outcome.cause === 'timeout' ? 504 : 502;
        this.write(requestNumber, { body: textBody(outcome.cause), fields: {}, status });
      }
    }
  }

  /** Stops gracefully: started requests are answered, and each connection closes after its last response. */
  public stop(): void {
    this.isStopping = true;
    for (const connection of this.connections.values()) connection.stopAccepting();
  }

  /** Refuses all requests that start from now on. */
  public refuse(): void {
    this.isRefusing = true;
  }

  public async close(): Promise<void> {
    await this.server.close();
  }

  private accept(stream: ClientStream): CallerConnection | undefined {
    // Nothing has been read, so the caller knows that nothing has run.
    if (!this.makeRoomForConnection()) return undefined;
    const {
      clock,
      memory,
      onCallerGone,
      onClientFault,
      onErrorContained,
      onPipelineWait,
      onRequestsDiscarded,
      protocolMemory,
    } = this.options;
    const connection: CallerConnection = new CallerConnection(
      stream,
      clock,
      memory,
      protocolMemory,
      {
        onRequestStart: (request) => {
          this.pendingRequests.set(request.requestNumber, connection);
          this.startRequest(request).catch((error: unknown) => {
            this.handleRequestError(request, toContainableError(error));
          });
        },
        onCallerGone: (requestNumber) => {
          this.bodies.release(requestNumber);
          if (this.pendingRequests.delete(requestNumber)) onCallerGone(requestNumber);
        },
        onClientFault,
        onRequestsDiscarded,
        onResponseInvalid: onErrorContained,
        onPipelineWait,
      },
    );
    this.connections.set(stream, connection);
    stream.once('close', () => {
      this.connections.delete(stream);
    });
    if (this.isStopping) connection.stopAccepting();
    return connection;
  }

  private handleRequest({ message, response, stream }: ReceivedRequest): void {
    const { clock, headerNames } = this.options;
    const requestNumber = this.nextRequestNumber;
    this.nextRequestNumber += 1;
    const hold = stream.beginRequest(message, () => {
      this.bodies.end(requestNumber);
    });
    const requestId = firstValue(message.headers[headerNames.requestId]) ?? '';
    const headerReadAt = clock();
    const request = { headerReadAt, hold, message, requestId, requestNumber, response };
    this.connections.get(stream)?.handleRequest(request);
  }

  private makeRoomForConnection(): boolean {
    if (this.connections.size < this.options.maximumConnections) return true;
    this.options.onClientFault(ClientFault.TooManyConnections);
    const closed = findConnectionToClose(this.connections.values());
    closed?.destroy();
    return closed !== undefined;
  }

  private async startRequest(parsed: ParsedRequest): Promise<void> {
    const { message, requestNumber } = parsed;
    if (this.isRefusing) {
      this.answerLocally(
        parsed,
        503,
        'this node stops',
        retryAfterHeader(stoppingRetryAfterMilliseconds),
      );
      return;
    }
    const routing = this.options.routing();
    if (routing === undefined) {
      const fields = retryAfterHeader(unconfiguredRetryAfterMilliseconds);
      this.answerLocally(parsed, 503, 'no configuration yet', fields);
      return;
    }
    const route = routing.table.match(message.headers.host ?? '', message.url ?? '/');
    if (route === undefined) {
      this.answerLocally(parsed, 404, 'no route has this host and path');
      return;
    }
    const credentials = headerValues(message.rawHeaders, this.options.headerNames.authorization);
    const authorization = authorizeRequest(route, credentials, routing);
    const reservedNames = this.reservedNamesOf(routing);
    if (authorization.kind === 'denied') {
      this.deny(parsed, authorization.cause);
      return;
    }
    if (announcesLongBody(message, routing.limits)) {
      // The body has not been read yet, so the connection closes instead of reading it.
      this.answerLocally(parsed, 413, bodyTooLongDetail);
      return;
    }
    const readMilliseconds = Math.min(
      this.timeoutMillisecondsOf(message, route),
      route.timeoutMilliseconds,
    );
    const endsAt = parsed.headerReadAt + readMilliseconds;
    const body = await this.bodies.read(parsed, endsAt, routing.limits);
    if (!this.pendingRequests.has(requestNumber)) {
      this.bodies.release(requestNumber);
      return;
    }
    switch (body.kind) {
      case 'none':
        this.deliver(parsed, route, authorization.tenant, undefined, reservedNames);
        return;
      case 'whole':
        this.deliver(parsed, route, authorization.tenant, body.bytes, reservedNames);
        return;
      case 'late':
        this.answerLocally(parsed, 408, 'the body did not come in time');
        return;
      case 'too-large':
        this.answerLocally(parsed, 413, bodyTooLongDetail);
        return;
      case 'trailers':
        this.options.onClientFault(ClientFault.Trailers);
        this.answerLocally(parsed, 400, 'fields follow the body');
        return;
      case 'no-memory': {
        const fields = retryAfterHeader(noMemoryRetryAfterMilliseconds);
        this.answerLocally(parsed, 503, 'no memory for the body', fields);
        return;
      }
      case 'cut':
        this.bodies.release(requestNumber);
        this.pendingRequests.delete(requestNumber);
        message.destroy();
    }
  }

  private deliver(
    { message, headerReadAt, isPipelined, requestId, requestNumber }: ParsedRequest,
    route: Route,
    tenant: Tenant | undefined,
    body: Uint8Array | undefined,
    reservedNames: ReadonlySet<string>,
  ): void {
    this.options.onRequest({
      body,
      callerDeadline: headerReadAt + this.timeoutMillisecondsOf(message, route),
      headers: endToEndHeaders(message.rawHeaders, reservedNames),
      isPipelined,
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      receivedAt: headerReadAt,
      requestId,
      requestNumber,
      route,
      tenant,
    });
  }

  /** Without tenants, the credentials of callers are meant for the servers. */
  private reservedNamesOf({ tenants }: RoutingConfiguration): ReadonlySet<string> {
    return tenants === undefined
      ? this.options.headerNames.reserved
      : this.reservedNamesWithCredentials;
  }

  private deny(parsed: ParsedRequest, cause: DenialCause): void {
    switch (cause) {
      case DenialCause.InvalidCredentials:
      case DenialCause.UnknownKey:
        this.answerLocally(parsed, 401, cause, { 'www-authenticate': 'Bearer' });
        return;
      case DenialCause.KeyUnproven:
      case DenialCause.Unconfirmed:
        this.answerLocally(
          parsed,
          503,
          cause,
          retryAfterHeader(unconfiguredRetryAfterMilliseconds),
        );
    }
  }

  /** The request may have been passed on before the error, so the answer must not say that it did not run. */
  private handleRequestError({ requestId, requestNumber }: ParsedRequest, error: Error): void {
    this.options.onErrorContained(requestId, error);
    this.write(requestNumber, { body: textBody('internal error'), fields: {}, status: 502 });
  }

  /** How long the caller waits for the answer, counted from the request's head. */
  private timeoutMillisecondsOf({ headers }: IncomingMessage, route: Route): number {
    const requestedMilliseconds = Number(firstValue(headers[this.options.headerNames.deadline]));
    return Number.isFinite(requestedMilliseconds) && requestedMilliseconds > 0
      ? requestedMilliseconds
      : route.timeoutMilliseconds;
  }

  private answerLocally(
    { requestId, requestNumber }: ParsedRequest,
    status: number,
    detail: string,
    fields: ResponseContent['fields'] = {},
  ): void {
    this.write(requestNumber, { body: textBody(detail), fields, status });
    this.options.onAnsweredLocally({ detail, requestId, status });
  }

  private write(requestNumber: number, response: ResponseContent): void {
    const connection = this.pendingRequests.get(requestNumber);
    if (connection === undefined) return;
    this.pendingRequests.delete(requestNumber);
    this.bodies.release(requestNumber);
    connection.respond(requestNumber, response);
  }
}

function retryAfterHeader(milliseconds: number): Record<string, string> {
  return { 'retry-after': (milliseconds / millisecondsPerSecond).toFixed(3) };
}

function textBody(detail: string): Uint8Array {
  return Buffer.from(`${detail}\n`);
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
