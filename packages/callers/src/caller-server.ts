import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
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

import { bodyLimitsOf } from './body-limits.js';
import { responseHeaders, singleHeader } from './caller-headers.js';
import type { CallerServerOptions } from './caller-server-options.js';
import { badRequestResponse, createParseErrorResponse } from './parse-error-response.js';
import { outcomeOfRejection, writeOutcome } from './outcome-response.js';
import { announcesBody, collectBody } from './request-body.js';
import { createRequestMessage } from './request-message.js';

interface OpenRequest {
  readonly requestNumber: number;
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly startedAt: number;
  service: string;
  tenant: string;
  body: Readable | undefined;
  /** The head of a streamed response has been sent, and its body follows. */
  isStreaming: boolean;
}

const stoppingRetryAfterMilliseconds = 1_000;
const busyRetryAfterMilliseconds = 200;
const maximumTenantLength = 64;

/** The HTTP server for callers. Owns their connections and the streamed bodies. */
export class CallerServer {
  private readonly server: Server;
  private readonly openRequests = new Map<number, OpenRequest>();
  private nextRequestNumber = 1;

  public constructor(private readonly options: CallerServerOptions) {
    const { limits } = options;
    this.server = createServer({
      headersTimeout: limits.headersTimeoutMilliseconds,
      maxHeaderSize: limits.headerBytes,
      noDelay: true,
      requestTimeout: limits.requestTimeoutMilliseconds,
    });
    this.server.maxConnections = limits.connections;
    this.server.on('request', (request, response) => {
      this.handleRequest(request, response);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.handleClientError(error, socket);
    });
  }

  /** Starts accepting connections; resolves to the port. */
  public async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.bindPort, this.options.bindHost, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
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
    const { response } = openRequest;
    this.disableKeepAliveForUnreadBody(openRequest);
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
    if (openRequest.request.method !== 'HEAD' && outcome.status !== 204 && outcome.status !== 304) {
      headers['content-length'] = String(body.length);
    }
    response.writeHead(outcome.status, headers);
    response.end(body);
    this.reportFinished(openRequest, outcome, undefined);
  }

  /** Stops accepting connections and closes idle ones; requests in progress continue. */
  public stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
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

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const requestNumber = this.nextRequestNumber;
    this.nextRequestNumber += 1;
    const openRequest: OpenRequest = {
      body: undefined,
      isStreaming: false,
      request,
      requestId: `${this.options.requestIdPrefix}-${requestNumber.toString(36)}`,
      requestNumber,
      response,
      service: 'unknown',
      startedAt: this.options.clock(),
      tenant: this.tenantOf(request),
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
    if (!announcesBody(request)) {
      this.options.deliver(createRequestMessage(openRequest, checked, new Uint8Array()));
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
    const announcedBytes = Number(openRequest.request.headers['content-length'] ?? 0);
    const collected =
      announcedBytes > maximumBytes
        ? ({ kind: 'too-large' } as const)
        : await collectBody(openRequest.request, bufferedBytes, maximumBytes);
    if (
      !this.openRequests.has(openRequest.requestNumber) ||
      collected.kind === 'cut' ||
      collected.kind === 'no-memory'
    ) {
      openRequest.request.destroy();
      return;
    }
    if (collected.kind === 'whole') {
      this.options.deliver(createRequestMessage(openRequest, checked, collected.bytes));
      return;
    }
    if (bufferedBytes === maximumBytes || collected.kind === 'too-large') {
      const reason = RefusalReason.BodyTooLarge;
      this.rejectRequest(
        openRequest,
        { detail: tooLargeDetail, kind: 'rejected', reason },
        undefined,
      );
      return;
    }
    openRequest.body = collected.stream;
    this.options.deliver(createRequestMessage(openRequest, checked, undefined));
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
    this.disableKeepAliveForUnreadBody(openRequest);
    writeOutcome(openRequest.response, openRequest.requestId, outcome, detail);
    this.reportFinished(openRequest, outcome, detail);
  }

  /** An unread body would block the connection for the next request, so the connection is closed. */
  private disableKeepAliveForUnreadBody(openRequest: OpenRequest): void {
    if (!openRequest.request.complete) {
      openRequest.response.shouldKeepAlive = false;
    }
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

  private handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const errorResponse = createParseErrorResponse(error.code, this.options.limits.headerBytes);
    if (errorResponse === undefined) {
      socket.end(badRequestResponse);
      return;
    }
    socket.end(errorResponse.response);
    this.options.onFinished({
      milliseconds: 0,
      outcome: errorResponse.outcome,
      refusedDetail: errorResponse.detail,
      requestId: undefined,
      service: 'unknown',
      tenant: this.options.defaultTenant,
    });
  }
}
