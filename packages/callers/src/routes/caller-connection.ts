import type { IncomingMessage, ServerResponse } from 'node:http';

import { containError } from '@peridotspring/core';
import { faultFields, writeFaultResponse } from '@peridotspring/http-server';
import type { ClientHandlers, ClientStream, LimitedConnection } from '@peridotspring/http-server';
import { headMemory, MemoryPlace, statusOfClientFault } from '@peridotspring/mesh-core';
import type { ClientFault, MemoryAccount, MemoryHold } from '@peridotspring/mesh-core';

import { announcesBody } from '../request-body.js';
import { RequestPipeline } from './request-pipeline.js';

/** Shorter waits are caused by the event loop and are not reported. */
const minimumReportedWaitMilliseconds = 1;

/** A request whose head has been parsed. */
export interface ParsedRequest {
  /** Unique within one incarnation of the node. */
  readonly requestNumber: number;
  readonly requestId: string;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Monotonic time at which the request's head had been read. */
  readonly headerReadAt: number;
  /** Memory of the request beside its body. */
  readonly hold: MemoryHold;
  /** Whether the caller sent it before it had the answer to the request in front of it. */
  readonly isPipelined: boolean;
}

export interface ResponseContent {
  readonly status: number;
  readonly fields: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
}

/** How long a pipelined request waited for earlier requests on the same connection. */
export interface PipelineWait {
  readonly requestId: string;
  /** Time between the end of its head and its start. */
  readonly beforeStartMilliseconds: number;
  /** Time between its answer and the writing of the response. */
  readonly withAnswerMilliseconds: number;
}

export interface CallerConnectionEvents {
  /** The request is to be processed now. */
  readonly onRequestStart: (request: ParsedRequest) => void;
  /** The caller disconnected; the request was started and has no answer. */
  readonly onCallerGone: (requestNumber: number) => void;
  readonly onPipelineWait: (wait: PipelineWait) => void;
  /** A response could not be written; the request was answered 502, or its connection closed. */
  readonly onResponseInvalid: (requestId: string, error: Error) => void;
  /** Requests were read but will never be started, since the connection closes first. */
  readonly onRequestsDiscarded: (count: number) => void;
  /** Nothing more is read on the connection, which closes after the requests in progress. */
  readonly onClientFault: (fault: ClientFault) => void;
}

interface OpenRequest extends ParsedRequest {
  startedAt: number;
  respondedAt: number;
  /** Memory of the answer until the caller has read it. */
  answerHold: MemoryHold | undefined;
}

interface ClientFailure {
  readonly fault: ClientFault;
  /** Whether a response tells of the fault, behind those to the requests in progress. */
  readonly hasResponse: boolean;
}

/** The connection of a caller. Owns its stream and writes the responses in the order of the requests. */
export class CallerConnection implements ClientHandlers, LimitedConnection {
  private readonly pipeline = new RequestPipeline<ResponseContent>();
  private readonly openRequests = new Map<number, OpenRequest>();
  /** Why nothing more is read, and the connection closes after the requests in progress. */
  private failure: ClientFailure | undefined;
  private isAdvancing = false;
  /** Whether the caller had sent more when its last request was answered. */
  private hasSentMore = false;
  private lastActiveAt: number;

  public constructor(
    private readonly stream: ClientStream,
    private readonly clock: () => number,
    private readonly memory: MemoryAccount,
    private readonly protocolMemory: MemoryAccount,
    private readonly events: CallerConnectionEvents,
  ) {
    this.lastActiveAt = clock();
    stream.once('close', () => {
      this.handleClosed();
    });
  }

  /** Number of requests that were started and whose response has not been written. */
  public get inProgress(): number {
    let count = 0;
    for (const { startedAt } of this.openRequests.values()) if (startedAt !== Infinity) count += 1;
    return count;
  }

  /** Whether no request has been read that is not answered; the head of one may have begun. */
  public get isIdle(): boolean {
    return this.openRequests.size === 0;
  }

  /** Time of the last response, or of the start. */
  public get idleSince(): number {
    return this.lastActiveAt;
  }

  /** Closes the connection at once. */
  public destroy(): void {
    this.stream.destroy();
  }

  /** A request that waits is read no further, nor is any behind it. While memory is short, requests come one at a time. */
  public readonly mayParse = (isInBody: boolean): boolean => {
    if (this.pipeline.hasWaiting || this.failure !== undefined) return false;
    return isInBody || this.isIdle || !this.protocolMemory.isShort;
  };

  /**
   * The caller sent what is not a request, or not a complete one in time, or more than there is memory for. A request whose body
   * is incomplete because of that gets the status of the fault.
   */
  public readonly onFault = (fault: ClientFault, hasRequestBegun: boolean): void => {
    if (this.failure !== undefined) return;
    const status = statusOfClientFault(fault);
    this.failure = { fault, hasResponse: hasRequestBegun && status !== undefined };
    this.events.onClientFault(fault);
    this.stopAccepting();
    this.stream.discardInput();
    const incomplete = [...this.openRequests.values()].find(({ message }) => !message.complete);
    if (incomplete !== undefined && status !== undefined)
      this.respond(incomplete.requestNumber, {
        body: Buffer.alloc(0),
        fields: faultFields(fault),
        status,
      });
    this.advance();
  };

  public handleRequest(request: Omit<ParsedRequest, 'isPipelined'>): void {
    const { hold, message, requestNumber } = request;
    if (!announcesBody(message)) message.resume();
    if (!this.pipeline.add(requestNumber)) {
      hold.release();
      this.events.onRequestsDiscarded(1);
      this.stream.discardInput();
      return;
    }
    this.openRequests.set(requestNumber, {
      ...request,
      isPipelined: !this.isIdle || this.hasSentMore,
      answerHold: undefined,
      respondedAt: Infinity,
      startedAt: Infinity,
    });
    this.advance();
  }

  /** Responds to a request that was started; the response is written after those of earlier requests. */
  public respond(requestNumber: number, response: ResponseContent): void {
    const request = this.openRequests.get(requestNumber);
    if (request === undefined) return;
    if (!this.pipeline.setResponse(requestNumber, response, response.body.length)) return;
    request.respondedAt = this.clock();
    if (!this.holdAnswer(request, response)) {
      // The request may have run, so nothing is said about it.
      this.stream.destroy();
      return;
    }
    this.advance();
  }

  /** Closes the connection after the requests already started; the last response announces the close. */
  public stopAccepting(): void {
    for (const [requestNumber, { hold, startedAt }] of this.openRequests) {
      if (startedAt !== Infinity) continue;
      hold.release();
      this.openRequests.delete(requestNumber);
    }
    const discardedCount = this.pipeline.stopAccepting();
    if (discardedCount > 0) this.events.onRequestsDiscarded(discardedCount);
  }

  /** Returns whether there is memory for the answer. */
  private holdAnswer(request: OpenRequest, { body: buffer, fields }: ResponseContent): boolean {
    const { hold } = request;
    // The request may have run, so that its answer is worth more than the memory of its fields.
    hold.resize(hold.bytes + fieldsMemory(fields));
    if (buffer.length === 0) return true;
    const place = MemoryPlace.CallerAnswer;
    const end = (): void => {
      this.stream.destroy();
    };
    request.answerHold = this.memory.tryShare({ buffer, end, place }, request.respondedAt);
    return request.answerHold !== undefined;
  }

  private advance(): void {
    if (this.isAdvancing) return;
    this.isAdvancing = true;
    while (this.startNextRequest() || this.writeNextResponse());
    this.isAdvancing = false;
    if (this.failure === undefined) {
      this.stream.parse();
      return;
    }
    const { fault, hasResponse } = this.failure;
    if (this.pipeline.isEmpty) writeFaultResponse(this.stream, fault, hasResponse);
  }

  private startNextRequest(): boolean {
    const requestNumber = this.pipeline.startNext();
    if (requestNumber === undefined) return false;
    const request = this.openRequests.get(requestNumber);
    if (request === undefined) return true;
    request.startedAt = this.clock();
    this.events.onRequestStart(request);
    return true;
  }

  private writeNextResponse(): boolean {
    const next = this.pipeline.takeNextResponse();
    if (next === undefined) return false;
    const request = this.openRequests.get(next.requestNumber);
    if (request === undefined) return false;
    this.reportWait(request);
    request.response.once('finish', () => {
      releaseHolds(request);
      this.lastActiveAt = this.clock();
      this.openRequests.delete(next.requestNumber);
      this.pipeline.completeWrite();
      if (this.isIdle) this.handleIdle();
      this.advance();
    });
    // The rest of an unread body would be parsed as the next request.
    const isLast = next.isLast && this.failure?.hasResponse !== true;
    const closesConnection = isLast || hasUnreadBody(request.message);
    if (closesConnection) this.stream.discardInput();
    containError(
      () => {
        writeResponse(request.response, next.response, closesConnection);
      },
      (error) => {
        this.events.onResponseInvalid(request.requestId, error);
        writeFallbackResponse(request.response, closesConnection);
      },
    );
    return true;
  }

  private handleIdle(): void {
    this.hasSentMore = this.stream.hasInput;
    this.stream.onIdle();
  }

  private reportWait({ respondedAt, headerReadAt, requestId, startedAt }: OpenRequest): void {
    const beforeStartMilliseconds = startedAt - headerReadAt;
    const withAnswerMilliseconds = this.clock() - respondedAt;
    if (beforeStartMilliseconds + withAnswerMilliseconds < minimumReportedWaitMilliseconds) return;
    this.events.onPipelineWait({ beforeStartMilliseconds, requestId, withAnswerMilliseconds });
  }

  private handleClosed(): void {
    for (const requestNumber of this.pipeline.unansweredRequests) {
      if (this.openRequests.has(requestNumber)) this.events.onCallerGone(requestNumber);
    }
    for (const request of this.openRequests.values()) releaseHolds(request);
    this.openRequests.clear();
    this.pipeline.stopAccepting();
  }
}

function releaseHolds({ answerHold, hold }: OpenRequest): void {
  answerHold?.release();
  hold.release();
}

/** Memory of the header fields of a response. */
function fieldsMemory(fields: ResponseContent['fields']): number {
  let byteCount = 0;
  let count = 0;
  for (const [name, value] of Object.entries(fields)) {
    for (const text of typeof value === 'string' ? [value] : value) {
      byteCount += name.length + text.length;
      count += 1;
    }
  }
  return headMemory(byteCount, count);
}

/** A message without a body may not be complete either, if its request is answered in the turn that read its head. */
function hasUnreadBody(message: IncomingMessage): boolean {
  return announcesBody(message) && !message.complete;
}

function writeResponse(
  response: ServerResponse,
  { body, fields, status }: ResponseContent,
  isLast: boolean,
): void {
  if (isLast) response.shouldKeepAlive = false;
  const hasBody = status !== 204 && status !== 304;
  response.writeHead(status, {
    ...fields,
    ...(hasBody && { 'content-length': String(body.length) }),
  });
  if (hasBody && response.req.method !== 'HEAD') response.end(body);
  else response.end();
}

/** Replaces a response that could not be written. Once its head has been sent, only closing the connection is left. */
function writeFallbackResponse(response: ServerResponse, isLast: boolean): void {
  if (response.headersSent) response.destroy();
  else writeResponse(response, { body: Buffer.alloc(0), fields: {}, status: 502 }, isLast);
}
