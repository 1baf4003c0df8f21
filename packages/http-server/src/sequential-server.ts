import { ClientFault, MemoryPlace } from '@peridotspring/mesh-core';
import type { MemoryAccount } from '@peridotspring/mesh-core';

import type { ClientHandlers, ClientLimits, ClientStream } from './client-stream.js';
import { findConnectionToClose } from './connection-limit.js';
import type { LimitedConnection } from './connection-limit.js';
import type { DeferredInput } from './deferred-input.js';
import { writeFaultResponse } from './fault-response.js';
import { GuardedHttpServer } from './guarded-http-server.js';
import type { ReceivedRequest } from './guarded-http-server.js';
import { SequentialRequest } from './sequential-request.js';

/** A client that has not read on for this long gives way to others. */
const unreadMilliseconds = 1_000;

/** The address of a server, and what it shares with the other servers of the process. */
export interface SharedServerOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  /** The clock of the memory account. */
  readonly clock: () => number;
  readonly deferredInput: DeferredInput;
  readonly memory: MemoryAccount;
  /** The connection of a client was refused further requests, or closed. */
  readonly onClientFault: (fault: ClientFault) => void;
}

export interface SequentialServerOptions extends SharedServerOptions {
  readonly limits: ClientLimits;
  readonly maximumConnections: number;
  readonly parserHeaderBytes?: number;
  readonly onRequest: (request: SequentialRequest) => void;
  /** Time within which the body of a request has to come. */
  readonly requestTimeoutMilliseconds: number;
}

/** The connection of a client, which gives way while it has no request, or does not read its response. */
class SequentialClient implements LimitedConnection {
  /** The request in progress. */
  public request: SequentialRequest | undefined;
  public isRefused = false;
  private requestEndedAt = performance.now();

  public constructor(public readonly stream: ClientStream) {}

  public get isIdle(): boolean {
    const isUnread = performance.now() - this.stream.unreadSince >= unreadMilliseconds;
    return this.request === undefined || isUnread;
  }

  public get idleSince(): number {
    return this.request === undefined ? this.requestEndedAt : this.stream.unreadSince;
  }

  public endRequest(): void {
    this.request = undefined;
    this.requestEndedAt = performance.now();
  }
}

/**
 * HTTP server for a few clients. A connection has one request in progress; the next one is parsed when the response has been
 * passed on. A connection beyond the limit takes the place of the one that has been without a request longest.
 */
export class SequentialServer {
  private readonly server: GuardedHttpServer;
  private readonly clients = new Map<ClientStream, SequentialClient>();

  public constructor(private readonly options: SequentialServerOptions) {
    this.server = new GuardedHttpServer({
      ...options,
      accept: (stream) => this.accept(stream),
      limits: () => options.limits,
      onRequest: (request) => {
        this.handleRequest(request);
      },
      place: MemoryPlace.OperatorRequest,
    });
  }

  public async listen(): Promise<number> {
    return this.server.listen();
  }

  public async close(): Promise<void> {
    await this.server.close();
  }

  private accept(stream: ClientStream): ClientHandlers | undefined {
    if (this.clients.size >= this.options.maximumConnections && !this.closeIdleClient()) {
      this.options.onClientFault(ClientFault.TooManyConnections);
      return undefined;
    }
    const client = new SequentialClient(stream);
    this.clients.set(stream, client);
    stream.once('close', () => {
      this.clients.delete(stream);
    });
    return {
      mayParse: (isInBody) => !client.isRefused && (isInBody || client.request === undefined),
      onFault: (fault, hasRequestBegun) => {
        this.refuse(stream, fault, hasRequestBegun);
      },
    };
  }

  /** Returns whether there was one without a request, or one that does not read its response. */
  private closeIdleClient(): boolean {
    const closed = findConnectionToClose(this.clients.values());
    if (closed === undefined) return false;
    this.options.onClientFault(ClientFault.TooManyConnections);
    this.clients.delete(closed.stream);
    closed.stream.destroy();
    return true;
  }

  private refuse(stream: ClientStream, fault: ClientFault, hasRequestBegun: boolean): void {
    const client = this.clients.get(stream);
    if (client === undefined || client.isRefused) return;
    client.isRefused = true;
    this.options.onClientFault(fault);
    if (client.request === undefined) writeFaultResponse(stream, fault, hasRequestBegun);
    else client.request.fail(fault);
  }

  private handleRequest({ message, response, stream }: ReceivedRequest): void {
    const { clock, onClientFault, onRequest, requestTimeoutMilliseconds } = this.options;
    const hold = stream.beginRequest(message, () => {
      this.refuse(stream, ClientFault.NoMemory, true);
    });
    const client = this.clients.get(stream);
    if (client === undefined) return;
    const request = new SequentialRequest(message, response, stream, hold, clock, onClientFault);
    client.request = request;
    const timer = setTimeout(() => {
      if (!message.complete) this.refuse(stream, ClientFault.RequestLate, true);
    }, requestTimeoutMilliseconds);
    response.once('close', () => {
      clearTimeout(timer);
      hold.release();
      client.endRequest();
      stream.onIdle();
      stream.parse();
    });
    onRequest(request);
  }
}
