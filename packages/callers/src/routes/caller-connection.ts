import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { containError } from '@peridotspring/core';
import { MemoryPlace } from '@peridotspring/mesh-core';
import type { MemoryAccount, MemoryHold } from '@peridotspring/mesh-core';

import { announcesBody } from '../request-body.js';
import { lingerOnClose } from './lingering-close.js';
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
}

interface OpenRequest extends ParsedRequest {
  startedAt: number;
  respondedAt: number;
  /** Memory of the answer until the caller has read it. */
  answerHold: MemoryHold | undefined;
}

/** The connection of a caller. Owns its socket and writes the responses in the order of the requests. */
export class CallerConnection {
  private readonly pipeline = new RequestPipeline<ResponseContent>();
  private readonly openRequests = new Map<number, OpenRequest>();
  /** Response status after a parse error, which closes the connection. */
  private parseErrorStatus: number | undefined;
  private isAdvancing = false;
  private lastActiveAt: number;

  public constructor(
    private readonly socket: Socket,
    private readonly clock: () => number,
    private readonly memory: MemoryAccount,
    private readonly events: CallerConnectionEvents,
  ) {
    this.lastActiveAt = clock();
    lingerOnClose(socket);
    socket.once('close', () => {
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
    this.socket.destroy();
  }

  public handleRequest(request: ParsedRequest): void {
    const { message, requestNumber } = request;
    // If a message without a body were consumed only after its response, that would resume a paused socket.
    if (!announcesBody(message)) message.resume();
    if (!this.pipeline.add(requestNumber)) {
      this.events.onRequestsDiscarded(1);
      this.pauseReadingIfNeeded();
      return;
    }
    this.openRequests.set(requestNumber, {
      ...request,
      answerHold: undefined,
      respondedAt: Infinity,
      startedAt: Infinity,
    });
    if (this.pipeline.exceedsWaitingLimit) this.stopAccepting();
    this.advance();
    if (this.pipeline.hasWaiting) this.pauseReadingIfNeeded();
  }

  /** Responds to a request that was started; the response is written after those of earlier requests. */
  public respond(requestNumber: number, response: ResponseContent): void {
    const request = this.openRequests.get(requestNumber);
    if (request === undefined) return;
    if (!this.pipeline.setResponse(requestNumber, response, response.body.length)) return;
    request.respondedAt = this.clock();
    if (!this.holdAnswer(request, response.body)) {
      // The request may have run, so nothing is said about it.
      this.socket.destroy();
      return;
    }
    this.advance();
  }

  /** Closes the connection after the requests already started; the last response announces the close. */
  public stopAccepting(): void {
    for (const [requestNumber, { startedAt }] of this.openRequests) {
      if (startedAt === Infinity) this.openRequests.delete(requestNumber);
    }
    const discardedCount = this.pipeline.stopAccepting();
    if (discardedCount > 0) this.events.onRequestsDiscarded(discardedCount);
  }

  /**
   * The caller sent bytes that are not a request, or no complete request in time. A request whose body is
   * incomplete because of that gets the status.
   */
  public handleParseError(status: number): void {
    if (this.parseErrorStatus !== undefined) return;
    this.parseErrorStatus = status;
    this.stopAccepting();
    this.pauseReadingIfNeeded();
    const incomplete = [...this.openRequests.values()].find(({ message }) => !message.complete);
    if (incomplete !== undefined) {
      this.respond(incomplete.requestNumber, { body: Buffer.alloc(0), fields: {}, status });
    }
    this.advance();
  }

  /** Returns whether there is memory for the answer. */
  private holdAnswer(request: OpenRequest, buffer: Uint8Array): boolean {
    if (buffer.length === 0) return true;
    const place = MemoryPlace.CallerAnswer;
    const end = (): void => {
      this.socket.destroy();
    };
    request.answerHold = this.memory.tryShare({ buffer, end, place }, request.respondedAt);
    return request.answerHold !== undefined;
  }

  private advance(): void {
    if (this.isAdvancing) return;
    this.isAdvancing = true;
    while (this.startNextRequest() || this.writeNextResponse());
    this.isAdvancing = false;
    if (this.parseErrorStatus !== undefined && this.pipeline.isEmpty)
      this.writeParseErrorResponse(this.parseErrorStatus);
  }

  private startNextRequest(): boolean {
    const requestNumber = this.pipeline.startNext();
    if (requestNumber === undefined) return false;
    if (!this.pipeline.hasWaiting) this.socket.resume();
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
      request.answerHold?.release();
      this.lastActiveAt = this.clock();
      this.openRequests.delete(next.requestNumber);
      this.pipeline.completeWrite();
      this.advance();
    });
    // The rest of an unread body would be parsed as the next request.
    const isLast = next.isLast && this.parseErrorStatus === undefined;
    const closesConnection = isLast || hasUnreadBody(request.message);
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

  private reportWait({ respondedAt, headerReadAt, requestId, startedAt }: OpenRequest): void {
    const beforeStartMilliseconds = startedAt - headerReadAt;
    const withAnswerMilliseconds = this.clock() - respondedAt;
    if (beforeStartMilliseconds + withAnswerMilliseconds < minimumReportedWaitMilliseconds) return;
    this.events.onPipelineWait({ beforeStartMilliseconds, requestId, withAnswerMilliseconds });
  }

  /** Deferred, since reading a message's body resumes the socket later in this turn of the event loop. */
  private pauseReadingIfNeeded(): void {
    process.nextTick(() => {
      if (this.pipeline.hasWaiting || this.parseErrorStatus !== undefined) this.socket.pause();
    });
  }

  private writeParseErrorResponse(status: number): void {
    const { socket } = this;
    // The last response has already ended the connection, and the lingering close is in progress.
    if (!socket.writable) return;
    socket.write(`HTTP/1.1 ${status} Unreadable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    socket.destroySoon();
  }

  private handleClosed(): void {
    for (const requestNumber of this.pipeline.unansweredRequests) {
      if (this.openRequests.has(requestNumber)) this.events.onCallerGone(requestNumber);
    }
    for (const { answerHold } of this.openRequests.values()) answerHold?.release();
    this.openRequests.clear();
    this.pipeline.stopAccepting();
  }
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
