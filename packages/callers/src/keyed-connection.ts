import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ClientHandlers, ClientStream, LimitedConnection } from '@peridotspring/http-server';
import { ClientFault } from '@peridotspring/mesh-core';
import type { MemoryAccount, MemoryHold } from '@peridotspring/mesh-core';

import { BodyProgress } from './body-progress.js';
import type { BodyMemory } from './request-body.js';

/** Concurrent requests of one connection; what is behind them is not parsed. */
const maximumStartedRequests = 8;

/** A request of a connection, with the memory of its head, its buffered body and its answer. */
export interface ConnectionRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly hold: MemoryHold;
  /** The request will not be read to its end. */
  readonly onIncomplete: (fault: ClientFault) => void;
}

export interface KeyedConnectionEvents {
  /** Nothing more is read on the connection, which closes after the requests in progress. */
  readonly onClientFault: (fault: ClientFault) => void;
  /** No request is in progress on the connection, which is to be closed for the fault. */
  readonly onFaultyClose: (fault: ClientFault, hasRequestBegun: boolean) => void;
}

/** The connection of a caller of keyed requests: which requests are in progress, and why nothing more is read. */
export class KeyedConnection implements ClientHandlers, LimitedConnection {
  public idleSince: number;
  private readonly requests = new Set<ConnectionRequest>();
  private failure: { readonly fault: ClientFault; readonly hasRequestBegun: boolean } | undefined;
  private isStopping = false;

  public constructor(
    private readonly stream: ClientStream,
    private readonly memory: MemoryAccount,
    private readonly clock: () => number,
    private readonly events: KeyedConnectionEvents,
  ) {
    this.idleSince = clock();
  }

  public get isIdle(): boolean {
    return this.requests.size === 0;
  }

  public readonly mayParse = (isInBody: boolean): boolean => {
    if (this.failure !== undefined) return false;
    if (isInBody || this.isIdle) return true;
    return this.requests.size < maximumStartedRequests && !this.memory.isShort;
  };

  public readonly onFault = (fault: ClientFault, hasRequestBegun: boolean): void => {
    if (this.failure !== undefined) return;
    this.failure = { fault, hasRequestBegun };
    this.events.onClientFault(fault);
    this.stream.discardInput();
    for (const { message, onIncomplete } of this.requests)
      if (!message.complete) onIncomplete(fault);
    this.closeIfDue();
  };

  /** Counts a request whose head has been read. */
  public begin(
    message: IncomingMessage,
    response: ServerResponse,
    onIncomplete: ConnectionRequest['onIncomplete'],
  ): ConnectionRequest {
    const hold = this.stream.beginRequest(message, () => {
      this.onFault(ClientFault.NoMemory, true);
    });
    const request = { hold, message, onIncomplete, response };
    this.requests.add(request);
    response.once('close', () => {
      hold.release();
      this.end(request);
    });
    return request;
  }

  /** Memory of the body of a request while it is read. A body that stalls gives way to others. */
  public bodyMemoryOf({ hold, message }: ConnectionRequest): BodyMemory {
    const headBytes = hold.bytes;
    const progress = new BodyProgress([hold], this.clock);
    message.once('end', () => {
      progress.end();
    });
    return {
      onRead: (byteCount) => {
        progress.onRead(byteCount);
      },
      tryHold: (byteCount) => hold.tryResize(headBytes + byteCount, this.clock()),
    };
  }

  /** To be called before the head of a response is sent: the last one of a connection that is stopped announces the close. */
  public announceClose({ message, response }: ConnectionRequest): void {
    if (!message.complete || (this.isStopping && this.requests.size === 1))
      response.shouldKeepAlive = false;
  }

  /** Closes the connection once no request is in progress. */
  public stop(): void {
    this.isStopping = true;
    this.closeIfDue();
  }

  public destroy(): void {
    this.stream.destroy();
  }

  private end(request: ConnectionRequest): void {
    this.requests.delete(request);
    if (!this.isIdle) {
      this.stream.parse();
      return;
    }
    this.idleSince = this.clock();
    this.stream.onIdle();
    this.closeIfDue();
    this.stream.parse();
  }

  private closeIfDue(): void {
    if (!this.isIdle) return;
    if (this.failure !== undefined)
      this.events.onFaultyClose(this.failure.fault, this.failure.hasRequestBegun);
    else if (this.isStopping) this.stream.destroySoon();
  }
}
