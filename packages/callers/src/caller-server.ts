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
import { answerHeaders, singleHeader } from './caller-headers.js';
import type { CallerServerOptions } from './caller-server-options.js';
import { badRequestResponse, describeConnectionFault } from './connection-fault.js';
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
  /** The head of a streamed answer is out, and its body follows. */
  isStreaming: boolean;
}

const stoppingRetryAfterMilliseconds = 1_000;
const busyRetryAfterMilliseconds = 200;
const maximumTenantLength = 64;

/** The HTTP server for callers. Owns their connections and the bodies that are streamed. */
export class CallerServer {
  private readonly server: Server;
  private readonly open = new Map<number, OpenRequest>();
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
      this.accept(request, response);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.rejectConnection(error, socket);
    });
  }

  /** Starts to accept callers; resolves to the port. */
  public async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.bindPort, this.options.bindHost, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  public get inProgress(): number {
    return this.open.size;
  }

  /** The stream of a request body that was too long to hold. */
  public requestBody(requestNumber: number): Readable | undefined {
    return this.open.get(requestNumber)?.body;
  }

  /** Where the streamed body of an answer goes. */
  public answerSink(requestNumber: number): ServerResponse | undefined {
    return this.open.get(requestNumber)?.response;
  }

  /** Answers a caller; a streamed body follows through `answerSink`. */
  public reply(command: ReplyToCallerCommand): void {
    const open = this.open.get(command.requestNumber);
    if (open === undefined) {
      return;
    }
    const { outcome } = command;
    if (outcome.kind !== 'answered') {
      this.finishWithOutcome(open, outcome, undefined);
      return;
    }
    const { response } = open;
    this.discardUnreadBody(open);
    const headers = answerHeaders(command.headers ?? {});
    headers[HeaderName.RequestId] = open.requestId;
    headers[HeaderName.Outcome] = outcome.kind;
    if (command.streamedBody) {
      open.isStreaming = true;
      response.writeHead(outcome.status, headers);
      response.once('finish', () => {
        this.report(open, outcome, undefined);
      });
      return;
    }
    const body = command.body ?? new Uint8Array();
    if (open.request.method !== 'HEAD' && outcome.status !== 204 && outcome.status !== 304) {
      headers['content-length'] = String(body.length);
    }
    response.writeHead(outcome.status, headers);
    response.end(body);
    this.report(open, outcome, undefined);
  }

  /** Stops accepting connections and closes idle ones; requests in progress go on. */
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

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const requestNumber = this.nextRequestNumber;
    this.nextRequestNumber += 1;
    const open: OpenRequest = {
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
    this.open.set(requestNumber, open);
    response.once('close', () => {
      this.closed(open);
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
    open.service = checked.service ?? open.service;
    if (checked.kind === 'rejected') {
      this.rejectRequest(open, checked, undefined);
      return;
    }
    if (this.rejectWhenBusy(open, checked)) {
      return;
    }
    if (!announcesBody(request)) {
      this.options.deliver(createRequestMessage(open, checked, new Uint8Array()));
      return;
    }
    void this.readBody(open, checked);
  }

  private rejectWhenBusy(open: OpenRequest, { requestClass }: AcceptedRequest): boolean {
    const isStopping = this.options.isStopping();
    if (!isStopping && this.open.size <= this.options.limits.requests) {
      return false;
    }
    const reason = isStopping ? RefusalReason.NodeStopping : RefusalReason.EntryBusy;
    const retryAfter = isStopping ? stoppingRetryAfterMilliseconds : busyRetryAfterMilliseconds;
    const detail = 'this node takes no more requests now';
    this.rejectRequest(open, { detail, kind: 'rejected', reason, requestClass }, retryAfter);
    return true;
  }

  private async readBody(open: OpenRequest, checked: AcceptedRequest): Promise<void> {
    const { held, longest, tooLargeDetail } = bodyLimitsOf(
      checked,
      this.options.limits,
      this.options.configuration(),
    );
    const announced = Number(open.request.headers['content-length'] ?? 0);
    const collected =
      announced > longest
        ? ({ kind: 'too-large' } as const)
        : await collectBody(open.request, held, longest);
    if (!this.open.has(open.requestNumber) || collected.kind === 'cut') {
      open.request.destroy();
      return;
    }
    if (collected.kind === 'whole') {
      this.options.deliver(createRequestMessage(open, checked, collected.bytes));
      return;
    }
    if (held === longest || collected.kind === 'too-large') {
      const reason = RefusalReason.BodyTooLarge;
      this.rejectRequest(open, { detail: tooLargeDetail, kind: 'rejected', reason }, undefined);
      return;
    }
    open.body = collected.stream;
    this.options.deliver(createRequestMessage(open, checked, undefined));
  }

  private tenantOf(request: IncomingMessage): string {
    const value = singleHeader(request.headers[HeaderName.Tenant]);
    if (value === undefined || value === '') {
      return this.options.defaultTenant;
    }
    return value.slice(0, maximumTenantLength);
  }

  private rejectRequest(
    open: OpenRequest,
    rejected: RejectedRequest,
    retryAfterMilliseconds: number | undefined,
  ): void {
    const outcome = outcomeOfRejection(rejected, retryAfterMilliseconds);
    this.finishWithOutcome(open, outcome, rejected.detail);
  }

  private finishWithOutcome(
    open: OpenRequest,
    outcome: RefusedOutcome | UnknownOutcome,
    detail: string | undefined,
  ): void {
    this.discardUnreadBody(open);
    writeOutcome(open.response, open.requestId, outcome, detail);
    this.report(open, outcome, detail);
  }

  /** A body that nobody reads would block the connection for the next request. */
  private discardUnreadBody(open: OpenRequest): void {
    if (!open.request.complete) {
      open.response.shouldKeepAlive = false;
    }
  }

  private report(open: OpenRequest, outcome: CallOutcome, refusedDetail: string | undefined): void {
    const { requestId, service, startedAt, tenant } = open;
    const milliseconds = this.options.clock() - startedAt;
    this.options.finished({ milliseconds, outcome, refusedDetail, requestId, service, tenant });
  }

  private closed(open: OpenRequest): void {
    this.open.delete(open.requestNumber);
    if (!open.response.writableFinished) {
      // Only this side destroys the answer with an error; a caller that goes away just closes it.
      if (open.isStreaming && open.response.errored !== null) {
        const reason = UnknownReason.AnswerCut;
        this.report(open, { attemptStarted: true, kind: 'outcome-unknown', reason }, undefined);
      }
      this.options.deliver({ kind: 'caller-gone', requestNumber: open.requestNumber });
    }
  }

  private rejectConnection(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const fault = describeConnectionFault(error.code, this.options.limits.headerBytes);
    if (fault === undefined) {
      socket.end(badRequestResponse);
      return;
    }
    socket.end(fault.response);
    this.options.finished({
      milliseconds: 0,
      outcome: fault.outcome,
      refusedDetail: fault.detail,
      requestId: undefined,
      service: 'unknown',
      tenant: this.options.defaultTenant,
    });
  }
}
