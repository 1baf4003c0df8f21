/** Concurrent requests of one connection; further requests wait until responses have been written. */
const maximumStartedRequests = 8;
/** No request of a connection is started while its unwritten responses exceed this. */
const maximumPendingResponseBytes = 1_048_576;
interface StartedRequest<Content> {
  readonly requestNumber: number;
  response: Content | undefined;
  responseBytes: number;
  isBeingWritten: boolean;
}

/** The next response to be written. */
export interface WritableResponse<Content> {
  readonly requestNumber: number;
  readonly response: Content;
  /** Whether this is the last response on the connection. */
  readonly isLast: boolean;
}

/**
 * The pipelined requests of one connection in the order in which they were read. Several may be in progress;
 * their responses are written in that order. When the connection closes, the started requests are still
 * answered. Requests after the response that announces the close are never started, so that the caller may
 * safely send them again.
 */
export class RequestPipeline<Content> {
  private readonly waiting: number[] = [];
  private readonly started: StartedRequest<Content>[] = [];
  private isClosing = false;
  private isCloseAnnounced = false;

  /** Whether requests wait for earlier ones before they can start. */
  public get hasWaiting(): boolean {
    return this.waiting.length > 0;
  }

  public get isEmpty(): boolean {
    return this.started.length === 0;
  }

  /** Requests that were started and have no response. */
  public get unansweredRequests(): readonly number[] {
    return this.started
      .filter(({ response }) => response === undefined)
      .map(({ requestNumber }) => requestNumber);
  }

  /** Adds a request that was read. Returns false if it will never be started. */
  public add(requestNumber: number): boolean {
    if (this.isClosing && !this.canStartWhileClosing()) return false;
    this.waiting.push(requestNumber);
    return true;
  }

  /** Starts the next waiting request if the limits on concurrency and unwritten responses allow it. */
  public startNext(): number | undefined {
    if (this.started.length >= maximumStartedRequests) return undefined;
    if (this.pendingResponseBytes() > maximumPendingResponseBytes) return undefined;
    const requestNumber = this.waiting.shift();
    if (requestNumber === undefined) return undefined;
    this.started.push({
      response: undefined,
      responseBytes: 0,
      isBeingWritten: false,
      requestNumber,
    });
    return requestNumber;
  }

  /** Sets the response of a started request. Returns false if there is no such request without a response. */
  public setResponse(requestNumber: number, response: Content, responseBytes: number): boolean {
    const request = this.started.find((started) => started.requestNumber === requestNumber);
    if (request === undefined || request.response !== undefined) return false;
    request.response = response;
    request.responseBytes = responseBytes;
    return true;
  }

  /** Returns the response to write now, if there is one; each response is returned only once. */
  public takeNextResponse(): WritableResponse<Content> | undefined {
    const [first] = this.started;
    if (first?.response === undefined || first.isBeingWritten) return undefined;
    first.isBeingWritten = true;
    const isLast = this.isClosing && this.started.length === 1;
    this.isCloseAnnounced ||= isLast;
    return { response: first.response, isLast, requestNumber: first.requestNumber };
  }

  /** Removes the request whose response was taken last; the response has been written. */
  public completeWrite(): void {
    this.started.shift();
  }

  /** Closes the pipeline after the started requests. Returns the number of requests that will never start. */
  public stopAccepting(): number {
    this.isClosing = true;
    return this.waiting.splice(0).length;
  }

  /**
   * A response that is already being written may have been sent without announcing the close. The next request
   * is then started, and its response announces it. A request behind one that will announce it never starts.
   */
  private canStartWhileClosing(): boolean {
    if (this.isCloseAnnounced || this.hasWaiting) return false;
    return this.started.every(({ isBeingWritten }) => isBeingWritten);
  }

  private pendingResponseBytes(): number {
    let bytes = 0;
    for (const { responseBytes } of this.started) bytes += responseBytes;
    return bytes;
  }
}
