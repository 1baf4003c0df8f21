import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';

import { checkRequest, HeaderName, RefusalReason, UnknownReason } from '@peridotspring/core';
import type {
  AcceptedRequest,
  CallOutcome,
  RefusedOutcome,
  RejectedRequest,
  ReplyToCallerCommand,
  UnknownOutcome,
} from '@peridotspring/core';

import {
  findConnectionToClose,
  GuardedHttpServer,
  writeFaultResponse,
} from '@peridotspring/http-server';
import type { ClientStream, ReceivedRequest } from '@peridotspring/http-server';
import { ClientFault, MemoryPlace, statusOfClientFault } from '@peridotspring/mesh-core';

import { bodyLimitsOf } from './body-limits.js';
import { responseHeaders, singleHeader } from './caller-headers.js';
import type { CallerServerOptions } from './caller-server-options.js';
import { KeyedConnection } from './keyed-connection.js';
import type { ConnectionRequest } from './keyed-connection.js';
import { createParseErrorResponse } from './parse-error-response.js';
import { outcomeOfRejection, writeOutcome } from './outcome-response.js';
import { announcesBody, collectBody } from './request-body.js';
import { createRequestMessage } from './request-message.js';

interface OpenRequest {
  readonly requestNumber: number;
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly startedAt: number;
  readonly connection: KeyedConnection;
  readonly tracked: ConnectionRequest;
  /** Set once its head has been accepted. */
  checked?: AcceptedRequest;
  /** Whether the core has it, or the first part of it. */
  isPassedOn: boolean;
  service: string;
  tenant: string;
  body: Readable | undefined;
  /** The head of a streamed response has been sent, and its body follows. */
  isStreaming: boolean;
}

const stoppingRetryAfterMilliseconds = 1_000;
const busyRetryAfterMilliseconds = 200;
/** What stalls gives its memory up after a second. */
const noMemoryRetryAfterMilliseconds = 1_000;
const noMemoryDetail = 'this node has no memory for the request';
const badRequestStatus = 400;
const maximumTenantLength = 64;

/** The HTTP server for callers. Owns their connections and the streamed bodies. */
export class CallerServer {
  private readonly server: GuardedHttpServer;
  private readonly connections = new Map<ClientStream, KeyedConnection>();
  private readonly openRequests = new Map<number, OpenRequest>();
  private nextRequestNumber = 1;

  public constructor(private readonly options: CallerServerOptions) {
    const { limits } = options;
    const { headerBytes, headersTimeoutMilliseconds, idleTimeoutMilliseconds } = limits;
    this.server = new GuardedHttpServer({
      ...options,
      accept: (stream) => this.accept(stream),
      limits: () => ({
        headerBytes,
        headerTimeoutMilliseconds: headersTimeoutMilliseconds,
        idleTimeoutMilliseconds,
      }),
      // Fields are kept as properties of objects, where one named `__proto__` would be lost.
      formRules: {
        refusedFields: new Set(['__proto__']),
        singleFields: new Set([HeaderName.Tenant]),
      },
      onRequest: (received) => {
        this.handleRequest(received);
      },
      parserHeaderBytes: headerBytes,
      place: MemoryPlace.CallerRequest,
    });
  }

  /** Starts accepting connections; resolves to the port. */
  public async listen(): Promise<number> {
    return this.server.listen();
  }

  public get inProgress(): number {
    return this.openRequests.size;
  }

  /** The stream of a request body that is too long to buffer. */
  public requestBodyStream(requestNumber: number): Readable | undefined {
    return this.openRequests.get(requestNumber)?.body;
  }

  /** The stream that receives the body of a streamed response. */
  public responseStream(requestNumber: number): ServerResponse | undefined {
    return this.openRequests.get(requestNumber)?.response;
  }

  /** Answers a caller; a streamed body is written to `responseStream` afterwards. */
  public reply(command: ReplyToCallerCommand): void {
    const openRequest = this.openRequests.get(command.requestNumber);
    if (openRequest === undefined) {
      return;
    }
    const { outcome } = command;
    if (outcome.kind !== 'answered') {
      this.finishWithOutcome(openRequest, outcome, undefined);
      return;
    }
    const { connection, response, tracked } = openRequest;
    connection.announceClose(tracked);
    const headers = responseHeaders(command.headers ?? {});
    headers[HeaderName.RequestId] = openRequest.requestId;
    headers[HeaderName.Outcome] = outcome.kind;
    if (command.streamedBody) {
      openRequest.isStreaming = true;
      response.writeHead(outcome.status, headers);
      response.once('finish', () => {
        this.reportFinished(openRequest, outcome, undefined);
      });
      return;
    }
    const body = command.body ?? new Uint8Array();
    if (!tracked.hold.tryResize(tracked.hold.bytes + body.length, this.options.clock())) {
      this.cutAnswer(openRequest);
      return;
    }
    if (openRequest.request.method !== 'HEAD' && outcome.status !== 204 && outcome.status !== 304) {
      headers['content-length'] = String(body.length);
    }
    response.writeHead(outcome.status, headers);
    response.end(body);
    this.reportFinished(openRequest, outcome, undefined);
  }

  /** Stops accepting connections and closes idle ones; requests in progress continue. */
  public stopAccepting(): void {
    this.server.stopListening();
    for (const connection of this.connections.values()) connection.stop();
  }

  public async close(): Promise<void> {
    await this.server.close();
  }

  private accept(stream: ClientStream): KeyedConnection | undefined {
    const { clock, limits, memory, onClientFault } = this.options;
    if (this.connections.size >= limits.connections) {
      onClientFault(ClientFault.TooManyConnections);
      const closed = findConnectionToClose(this.connections.values());
      if (closed === undefined) return undefined;
      closed.destroy();
    }
    const connection = new KeyedConnection(stream, memory, clock, {
      onClientFault,
      onFaultyClose: (fault, hasRequestBegun) => {
        this.closeFaulty(stream, fault, hasRequestBegun);
      },
    });
    this.connections.set(stream, connection);
    stream.once('close', () => {
      this.connections.delete(stream);
    });
    return connection;
  }

  private handleRequest({ message: request, response, stream }: ReceivedRequest): void {
    const connection = this.connections.get(stream);
    if (connection === undefined) return;
    const requestNumber = this.nextRequestNumber;
    this.nextRequestNumber += 1;
    const openRequest: OpenRequest = {
      body: undefined,
      connection,
      isPassedOn: false,
      isStreaming: false,
      request,
      requestId: `${this.options.requestIdPrefix}-${requestNumber.toString(36)}`,
      requestNumber,
      response,
      service: 'unknown',
      startedAt: this.options.clock(),
      tenant: this.tenantOf(request),
      tracked: connection.begin(request, response, (fault) => {
        this.endIncomplete(openRequest, fault);
      }),
    };
    this.openRequests.set(requestNumber, openRequest);
    response.once('close', () => {
      this.handleResponseClosed(openRequest);
    });
    const { headers, method = 'GET', url = '/' } = request;
    const checked = checkRequest(
      {
        deadline: singleHeader(headers[HeaderName.Deadline]),
        depth: singleHeader(headers[HeaderName.Depth]),
        key: singleHeader(headers[HeaderName.IdempotencyKey]),
        method,
        url,
      },
      this.options.configuration(),
    );
    openRequest.service = checked.service ?? openRequest.service;
    if (checked.kind === 'rejected') {
      this.rejectRequest(openRequest, checked, undefined);
      return;
    }
    if (this.rejectIfBusy(openRequest, checked)) {
      return;
    }
    openRequest.checked = checked;
    if (!announcesBody(request)) {
      this.passOn(openRequest, checked, new Uint8Array());
      return;
    }
    void this.readBody(openRequest, checked);
  }

  private rejectIfBusy(openRequest: OpenRequest, { requestClass }: AcceptedRequest): boolean {
    const isStopping = this.options.isStopping();
    if (!isStopping && this.openRequests.size <= this.options.limits.requests) {
      return false;
    }
    const reason = isStopping ? RefusalReason.NodeStopping : RefusalReason.EntryBusy;
    const retryAfter = isStopping ? stoppingRetryAfterMilliseconds : busyRetryAfterMilliseconds;
    const detail = 'this node takes no more requests now';
    this.rejectRequest(openRequest, { detail, kind: 'rejected', reason, requestClass }, retryAfter);
    return true;
  }

  private async readBody(openRequest: OpenRequest, checked: AcceptedRequest): Promise<void> {
    const { bufferedBytes, maximumBytes, tooLargeDetail } = bodyLimitsOf(
      checked,
      this.options.limits,
      this.options.configuration(),
    );
    const { connection, request, requestNumber, response, tracked } = openRequest;
    const announcedBytes = Number(request.headers['content-length'] ?? 0);
    const timer = setTimeout(() => {
      if (!request.complete) connection.onFault(ClientFault.RequestLate, true);
    }, this.options.limits.requestTimeoutMilliseconds);
    response.once('close', () => {
      clearTimeout(timer);
    });
    const collected =
      announcedBytes > maximumBytes
        ? ({ kind: 'too-large' } as const)
        : await collectBody(request, bufferedBytes, maximumBytes, connection.bodyMemoryOf(tracked));
    if (!this.openRequests.has(requestNumber) || response.headersSent) return;
    switch (collected.kind) {
      case 'cut':
        request.destroy();
        return;
      case 'no-memory':
        this.endIncomplete(openRequest, ClientFault.NoMemory);
        return;
      case 'trailers':
        this.options.onClientFault(ClientFault.Trailers);
        this.endIncomplete(openRequest, ClientFault.Trailers);
        return;
      case 'whole':
        this.passOn(openRequest, checked, collected.bytes);
        return;
      case 'longer':
        if (bufferedBytes === maximumBytes) break;
        openRequest.body = collected.stream;
        this.passOn(openRequest, checked, undefined);
        return;
      case 'too-large':
    }
    const reason = RefusalReason.BodyTooLarge;
    this.rejectRequest(
      openRequest,
      { detail: tooLargeDetail, kind: 'rejected', reason },
      undefined,
    );
  }

  /** From now on, the request may run. */
  private passOn(
    openRequest: OpenRequest,
    checked: AcceptedRequest,
    body: Uint8Array | undefined,
  ): void {
    openRequest.isPassedOn = true;
    this.options.deliver(createRequestMessage(openRequest, checked, body));
  }

  /** Answers a request that will not be read to its end, unless a part of it has been passed on. */
  private endIncomplete(openRequest: OpenRequest, fault: ClientFault): void {
    const { checked, connection, isPassedOn, response } = openRequest;
    if (response.writableEnded) return;
    if (isPassedOn) {
      connection.destroy();
      return;
    }
    if (fault === ClientFault.NoMemory) {
      const reason = RefusalReason.EntryBusy;
      const requestClass = checked?.requestClass;
      const rejected = { detail: noMemoryDetail, kind: 'rejected', reason, requestClass } as const;
      this.rejectRequest(openRequest, rejected, noMemoryRetryAfterMilliseconds);
      return;
    }
    response.shouldKeepAlive = false;
    response.writeHead(statusOfClientFault(fault) ?? badRequestStatus, { 'content-length': 0 });
    response.end();
  }

  /** Closes a connection without a request in progress. Nothing of what its caller has begun to send was passed on. */
  private closeFaulty(stream: ClientStream, fault: ClientFault, hasRequestBegun: boolean): void {
    const errorResponse = createParseErrorResponse(fault, this.options.limits.headerBytes);
    if (errorResponse === undefined || !hasRequestBegun || !stream.writable) {
      writeFaultResponse(stream, fault, hasRequestBegun);
      return;
    }
    stream.write(errorResponse.response);
    stream.destroySoon();
    this.options.onFinished({
      milliseconds: 0,
      outcome: errorResponse.outcome,
      refusedDetail: errorResponse.detail,
      requestId: undefined,
      service: 'unknown',
      tenant: this.options.defaultTenant,
    });
  }

  /** There is no memory for the answer of a request that has run. */
  private cutAnswer(openRequest: OpenRequest): void {
    const reason = UnknownReason.AnswerCut;
    const outcome = { attemptStarted: true, kind: 'outcome-unknown', reason } as const;
    this.reportFinished(openRequest, outcome, undefined);
    openRequest.connection.destroy();
  }

  private tenantOf(request: IncomingMessage): string {
    const value = singleHeader(request.headers[HeaderName.Tenant]);
    if (value === undefined || value === '') {
      return this.options.defaultTenant;
    }
    return value.slice(0, maximumTenantLength);
  }

  private rejectRequest(
    openRequest: OpenRequest,
    rejected: RejectedRequest,
    retryAfterMilliseconds: number | undefined,
  ): void {
    const outcome = outcomeOfRejection(rejected, retryAfterMilliseconds);
    this.finishWithOutcome(openRequest, outcome, rejected.detail);
  }

  private finishWithOutcome(
    openRequest: OpenRequest,
    outcome: RefusedOutcome | UnknownOutcome,
    detail: string | undefined,
  ): void {
    openRequest.connection.announceClose(openRequest.tracked);
    writeOutcome(openRequest.response, openRequest.requestId, outcome, detail);
    this.reportFinished(openRequest, outcome, detail);
  }

  private reportFinished(
    openRequest: OpenRequest,
    outcome: CallOutcome,
    refusedDetail: string | undefined,
  ): void {
    const { requestId, service, startedAt, tenant } = openRequest;
    const milliseconds = this.options.clock() - startedAt;
    this.options.onFinished({ milliseconds, outcome, refusedDetail, requestId, service, tenant });
  }

  private handleResponseClosed(openRequest: OpenRequest): void {
    this.openRequests.delete(openRequest.requestNumber);
    if (!openRequest.response.writableFinished) {
      // Only this node destroys the response with an error; a caller that disconnects closes it without one.
      if (openRequest.isStreaming && openRequest.response.errored !== null) {
        const reason = UnknownReason.AnswerCut;
        this.reportFinished(
          openRequest,
          { attemptStarted: true, kind: 'outcome-unknown', reason },
          undefined,
        );
      }
      this.options.deliver({ kind: 'caller-gone', requestNumber: openRequest.requestNumber });
    }
  }
}
