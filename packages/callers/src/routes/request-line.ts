/** Requests of one connection that are in progress at once; more wait until answers have been written. */
const maximumStartedRequests = 8;
/** Bytes of answers that wait to be written to one connection; no request of it starts above that. */
const maximumAnswerBytes = 1_048_576;
/**
 * Requests of one connection that were read and wait to start. Reading pauses as soon as one waits, so these
 * come from bytes that had been read before; a connection that exceeds the bound ends with its next answers.
 */
const maximumWaitingRequests = 2_000;

interface StartedRequest<Answer> {
  readonly requestNumber: number;
  answer: Answer | undefined;
  answerBytes: number;
  isBeingWritten: boolean;
}

/** An answer whose turn it is. */
export interface WritableAnswer<Answer> {
  readonly requestNumber: number;
  readonly answer: Answer;
  /** Nothing follows this answer on its connection. */
  readonly isLast: boolean;
}

/**
 * The requests of one connection in the order in which they were read. Several may be in progress, and
 * their answers leave in that order. A connection that ends answers what was started; requests behind the
 * answer that announces the end are never started, so their caller may send them again.
 */
export class RequestLine<Answer> {
  private readonly waiting: number[] = [];
  private readonly started: StartedRequest<Answer>[] = [];
  private isEnding = false;
  private isEndAnnounced = false;

  /** Whether requests wait for others to end before they start. */
  public get hasWaiting(): boolean {
    return this.waiting.length > 0;
  }

  public get isEmpty(): boolean {
    return this.started.length === 0;
  }

  /** Requests that were started and have no answer. */
  public get unanswered(): readonly number[] {
    return this.started
      .filter(({ answer }) => answer === undefined)
      .map(({ requestNumber }) => requestNumber);
  }

  /** A request was read. False if it will never start. */
  public read(requestNumber: number): boolean {
    if (this.isEnding && !this.mayStartInEnding()) return false;
    this.waiting.push(requestNumber);
    return true;
  }

  /** Whether more requests wait than their bound allows. */
  public get isOverfull(): boolean {
    return this.waiting.length > maximumWaitingRequests;
  }

  /** Starts the next request if there is room for it. */
  public start(): number | undefined {
    if (this.started.length >= maximumStartedRequests) return undefined;
    if (this.unwrittenBytes() > maximumAnswerBytes) return undefined;
    const requestNumber = this.waiting.shift();
    if (requestNumber === undefined) return undefined;
    this.started.push({ answer: undefined, answerBytes: 0, isBeingWritten: false, requestNumber });
    return requestNumber;
  }

  /** A started request has its answer. False if the request is not in the line. */
  public answered(requestNumber: number, answer: Answer, answerBytes: number): boolean {
    const request = this.started.find((started) => started.requestNumber === requestNumber);
    if (request === undefined || request.answer !== undefined) return false;
    request.answer = answer;
    request.answerBytes = answerBytes;
    return true;
  }

  /** The answer to write now; it is given once. */
  public nextAnswer(): WritableAnswer<Answer> | undefined {
    const [first] = this.started;
    if (first?.answer === undefined || first.isBeingWritten) return undefined;
    first.isBeingWritten = true;
    const isLast = this.isEnding && this.started.length === 1;
    this.isEndAnnounced ||= isLast;
    return { answer: first.answer, isLast, requestNumber: first.requestNumber };
  }

  /** The answer that was given last has been written. */
  public written(): void {
    this.started.shift();
  }

  /** The connection is to end with the requests that were started. Returns how many will never start. */
  public end(): number {
    this.isEnding = true;
    return this.waiting.splice(0).length;
  }

  /**
   * An answer that is being written may have left without the announcement; the next request is then
   * answered with it. A request behind one that will announce the end is never started.
   */
  private mayStartInEnding(): boolean {
    if (this.isEndAnnounced || this.hasWaiting) return false;
    return this.started.every(({ isBeingWritten }) => isBeingWritten);
  }

  private unwrittenBytes(): number {
    let bytes = 0;
    for (const { answerBytes } of this.started) bytes += answerBytes;
    return bytes;
  }
}
