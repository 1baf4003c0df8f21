import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { announcesBody } from '../request-body.js';
import { lingerOnClose } from './lingering-close.js';
import { RequestLine } from './request-line.js';

/** Shorter waits come from the turns of the event loop and are not told. */
const shortestWaitMilliseconds = 1;

/** One request as it was read from its connection. */
export interface ReadRequest {
  /** Unique in the life of the node. */
  readonly requestNumber: number;
  readonly requestId: string;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Monotonic time when its header had been read. */
  readonly readAt: number;
}

export interface LocalResponse {
  readonly status: number;
  readonly fields: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
}

/** How long a request waited for others that were sent before it on the same connection. */
export interface ConnectionWait {
  readonly requestId: string;
  /** Before it was passed on. */
  readonly beforeStartMilliseconds: number;
  /** With its answer, before that was written. */
  readonly withAnswerMilliseconds: number;
}

export interface CallerConnectionEvents {
  /** The request is to be answered now. */
  readonly begin: (request: ReadRequest) => void;
  /** The caller went away; the request was begun and has no answer. */
  readonly gone: (requestNumber: number) => void;
  readonly waitedBehind: (wait: ConnectionWait) => void;
  /** Requests were read and will never be begun, since the connection ends before them. */
  readonly notPassedOn: (count: number) => void;
}

interface OpenRequest extends ReadRequest {
  startedAt: number;
  answeredAt: number;
}

/** One connection of a caller. Owns its socket and writes the answers in the order of the requests. */
export class CallerConnection {
  private readonly line = new RequestLine<LocalResponse>();
  private readonly open = new Map<number, OpenRequest>();
  /** Status for bytes that are no request; they end the connection. */
  private faultStatus: number | undefined;
  private isAdvancing = false;

  public constructor(
    private readonly socket: Socket,
    private readonly clock: () => number,
    private readonly events: CallerConnectionEvents,
  ) {
    lingerOnClose(socket);
    socket.once('close', () => {
      this.closed();
    });
  }

  /** Requests that were begun and whose answer has not been written. */
  public get inProgress(): number {
    let count = 0;
    for (const { startedAt } of this.open.values()) if (startedAt !== Infinity) count += 1;
    return count;
  }

  public read(request: ReadRequest): void {
    const { message, requestNumber } = request;
    // A message without a body that is read only after its answer would resume a paused connection.
    if (!announcesBody(message)) message.resume();
    if (!this.line.read(requestNumber)) {
      this.events.notPassedOn(1);
      this.pauseReading();
      return;
    }
    this.open.set(requestNumber, { ...request, answeredAt: Infinity, startedAt: Infinity });
    if (this.line.isOverfull) this.end();
    this.advance();
    if (this.line.hasWaiting) this.pauseReading();
  }

  /** The answer to a request that was begun; it is written in its turn. */
  public answer(requestNumber: number, response: LocalResponse): void {
    const request = this.open.get(requestNumber);
    if (request === undefined) return;
    if (!this.line.answered(requestNumber, response, response.body.length)) return;
    request.answeredAt = this.clock();
    this.advance();
  }

  /** Answers what was begun; the last answer tells that the connection ends. */
  public end(): void {
    for (const [requestNumber, { startedAt }] of this.open) {
      if (startedAt === Infinity) this.open.delete(requestNumber);
    }
    const left = this.line.end();
    if (left > 0) this.events.notPassedOn(left);
  }

  /** The caller sent bytes that are no request, or none in time; a request that they cut gets the status. */
  public unreadable(status: number): void {
    if (this.faultStatus !== undefined) return;
    this.faultStatus = status;
    this.end();
    this.pauseReading();
    const incomplete = [...this.open.values()].find(({ message }) => !message.complete);
    if (incomplete !== undefined) {
      this.answer(incomplete.requestNumber, { body: Buffer.alloc(0), fields: {}, status });
    }
    this.advance();
  }

  private advance(): void {
    if (this.isAdvancing) return;
    this.isAdvancing = true;
    while (this.beginNext() || this.writeNext());
    this.isAdvancing = false;
    if (this.faultStatus !== undefined && this.line.isEmpty) this.refuseRest(this.faultStatus);
  }

  private beginNext(): boolean {
    const requestNumber = this.line.start();
    if (requestNumber === undefined) return false;
    if (!this.line.hasWaiting) this.socket.resume();
    const request = this.open.get(requestNumber);
    if (request === undefined) return true;
    request.startedAt = this.clock();
    this.events.begin(request);
    return true;
  }

  private writeNext(): boolean {
    const next = this.line.nextAnswer();
    if (next === undefined) return false;
    const request = this.open.get(next.requestNumber);
    if (request === undefined) return false;
    this.tellWait(request);
    request.response.once('finish', () => {
      this.open.delete(next.requestNumber);
      this.line.written();
      this.advance();
    });
    // A body that nobody reads would be taken for the next request.
    const isLast = next.isLast && this.faultStatus === undefined;
    write(request.response, next.answer, isLast || !request.message.complete);
    return true;
  }

  private tellWait({ answeredAt, readAt, requestId, startedAt }: OpenRequest): void {
    const beforeStartMilliseconds = startedAt - readAt;
    const withAnswerMilliseconds = this.clock() - answeredAt;
    if (beforeStartMilliseconds + withAnswerMilliseconds < shortestWaitMilliseconds) return;
    this.events.waitedBehind({ beforeStartMilliseconds, requestId, withAnswerMilliseconds });
  }

  /** Reading of a message's body resumes the socket in a later step of this turn. */
  private pauseReading(): void {
    process.nextTick(() => {
      if (this.line.hasWaiting || this.faultStatus !== undefined) this.socket.pause();
    });
  }

  private refuseRest(status: number): void {
    const { socket } = this;
    // The last answer has ended the connection already; it lingers.
    if (!socket.writable) return;
    socket.write(`HTTP/1.1 ${status} Unreadable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    socket.destroySoon();
  }

  private closed(): void {
    for (const requestNumber of this.line.unanswered) {
      if (this.open.has(requestNumber)) this.events.gone(requestNumber);
    }
    this.open.clear();
    this.line.end();
  }
}

function write(
  response: ServerResponse,
  { body, fields, status }: LocalResponse,
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
