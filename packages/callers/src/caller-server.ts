import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';

import { checkRequest, RefusalReason, RequestClass, UnknownReason } from '@peridotspring/core';
import type {
  AcceptedRequest,
  CallerGoneMessage,
  CallerRequestMessage,
  CallOutcome,
  Configuration,
  RejectedRequest,
  ReplyToCallerCommand,
  RequestHead,
} from '@peridotspring/core';

import { answerHeaders, forwardedHeaders, HeaderName, singleHeader } from './caller-headers.js';
import { statusOf } from './outcome-status.js';
import { announcesBody, collectBody } from './request-body.js';

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly connections: number;
  /** Requests in progress; more are refused with `entry-busy`. */
  readonly requests: number;
  /** Bodies up to this size are held, so that they can be sent again. */
  readonly heldBodyBytes: number;
  /** Longest body of an idempotent request. */
  readonly bodyBytes: number;
  /** Longest body of a non-idempotent request. */
  readonly keyedBodyBytes: number;
  readonly headersTimeoutMilliseconds: number;
  readonly requestTimeoutMilliseconds: number;
}

/** A request that was refused or answered, for counters and the journal. */
export interface FinishedRequest {
  /** Undefined when the head could not be read, so that no request came to be. */
  readonly requestId: string | undefined;
  readonly service: string;
  readonly tenant: string;
  readonly outcome: CallOutcome;
  /** Present when the entry itself refused the request. */
  readonly refusedDetail?: string | undefined;
  readonly milliseconds: number;
}

export interface CallerServerOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  /** Tenant of a request that names none. */
  readonly defaultTenant: string;
  readonly limits: CallerLimits;
  /** Starts every request identifier of this life of the node. */
  readonly requestIdPrefix: string;
  readonly configuration: () => Configuration;
  readonly isStopping: () => boolean;
  readonly clock: () => number;
  readonly deliver: (message: CallerRequestMessage | CallerGoneMessage) => void;
  readonly finished: (request: FinishedRequest) => void;
}

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
      this.deliver(open, checked, new Uint8Array(), false);
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
    const { bodyBytes, heldBodyBytes, keyedBodyBytes } = this.options.limits;
    const isKeyed = checked.requestClass === RequestClass.NonIdempotent;
    const limit = isKeyed ? keyedBodyBytes : heldBodyBytes;
    const longest = isKeyed ? keyedBodyBytes : bodyBytes;
    const announced = Number(open.request.headers['content-length'] ?? 0);
    const collected =
      announced > longest
        ? ({ kind: 'too-large' } as const)
        : await collectBody(open.request, limit, longest);
    if (!this.open.has(open.requestNumber) || collected.kind === 'cut') {
      open.request.destroy();
      return;
    }
    if (collected.kind === 'whole') {
      this.deliver(open, checked, collected.bytes, false);
      return;
    }
    if (isKeyed || collected.kind === 'too-large') {
      const named = isKeyed ? 'a non-idempotent' : 'an idempotent';
      const detail = `the body of ${named} request must be at most ${longest} bytes`;
      const reason = RefusalReason.BodyTooLarge;
      this.rejectRequest(open, { detail, kind: 'rejected', reason }, undefined);
      return;
    }
    open.body = collected.stream;
    this.deliver(open, checked, undefined, true);
  }

  private deliver(
    open: OpenRequest,
    checked: AcceptedRequest,
    body: Uint8Array | undefined,
    streamedBody: boolean,
  ): void {
    const { deadlineMilliseconds, depth, key, path, requestClass, service } = checked;
    const { request, requestId, requestNumber, tenant } = open;
    const method = request.method ?? 'GET';
    const headers = forwardedHeaders(request.headers);
    const head: RequestHead = {
      // The upstream's client counts the hop.
      depth,
      headers,
      method,
      path,
      requestId,
      service,
      tenant,
    };
    const digest =
      requestClass === RequestClass.NonIdempotent && body !== undefined
        ? createHash('sha256').update(`${method}\n${path}\n`).update(body).digest('hex')
        : undefined;
    this.options.deliver({
      body,
      deadlineMilliseconds,
      digest,
      head,
      key,
      kind: 'caller-request',
      requestClass,
      requestNumber,
      streamedBody,
    });
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
    { detail, reason, requestClass }: RejectedRequest,
    retryAfterMilliseconds: number | undefined,
  ): void {
    const unknownReason = Object.values(UnknownReason).find((known) => known === reason);
    if (requestClass === RequestClass.NonIdempotent && unknownReason !== undefined) {
      // Only the home of the key knows whether an earlier attempt ran.
      const kind = 'outcome-unknown';
      const attemptStarted = false;
      const outcome = {
        attemptStarted,
        kind,
        reason: unknownReason,
        retryAfterMilliseconds,
      } as const;
      this.finishWithOutcome(open, outcome, detail);
      return;
    }
    this.finishWithOutcome(
      open,
      { kind: 'refused-not-run', reason, retryAfterMilliseconds },
      detail,
    );
  }

  private finishWithOutcome(
    open: OpenRequest,
    outcome: Exclude<CallOutcome, { readonly kind: 'answered' }>,
    refusedDetail: string | undefined,
  ): void {
    const { requestId, response } = open;
    this.discardUnreadBody(open);
    const { kind, reason, retryAfterMilliseconds } = outcome;
    const started = outcome.kind === 'outcome-unknown' && outcome.attemptStarted;
    response.setHeader('content-type', 'application/json');
    response.setHeader(HeaderName.RequestId, requestId);
    response.setHeader(HeaderName.Outcome, kind);
    response.setHeader(HeaderName.Reason, reason);
    response.setHeader(HeaderName.Attempt, started ? 'started' : 'not-started');
    if (retryAfterMilliseconds !== undefined) {
      // The header has whole seconds; the body has the exact time.
      response.setHeader(HeaderName.RetryAfter, Math.ceil(retryAfterMilliseconds / 1_000));
    }
    response.statusCode = statusOf(outcome);
    const detail = refusedDetail;
    const body = { detail, outcome: kind, reason, requestId, retryAfterMilliseconds };
    response.end(`${JSON.stringify(body)}\n`);
    this.report(open, outcome, refusedDetail);
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
    const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
    const reason = isTooLarge ? RefusalReason.HeadersTooLarge : RefusalReason.ConflictingLengths;
    const isLengthFault =
      error.code === 'HPE_UNEXPECTED_CONTENT_LENGTH' ||
      error.code === 'HPE_INVALID_CONTENT_LENGTH' ||
      error.code === 'HPE_INVALID_TRANSFER_ENCODING';
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    if (!isTooLarge && !isLengthFault) {
      socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
      return;
    }
    const outcome = { kind: 'refused-not-run', reason } as const;
    const detail = isTooLarge
      ? `the request head must be at most ${this.options.limits.headerBytes} bytes`
      : 'Content-Length and Transfer-Encoding must describe one length';
    const body = `${JSON.stringify({ detail, outcome: outcome.kind, reason })}\n`;
    const status = isTooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\n` +
        `${HeaderName.Outcome}: ${outcome.kind}\r\n${HeaderName.Reason}: ${reason}\r\n` +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
    this.options.finished({
      milliseconds: 0,
      outcome,
      refusedDetail: detail,
      requestId: undefined,
      service: 'unknown',
      tenant: this.options.defaultTenant,
    });
  }
}
