import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import type { Readable } from 'node:stream';

/** A body that is thrown away and goes on for longer than this is taken to have no end. */
const maximumDiscardedBytes = 16_777_216;

/** What became of the beginning of an answer's body. */
export type CollectedAnswer =
  | { readonly kind: 'whole'; readonly body: Uint8Array }
  /** The body is longer than the limit; the stream has all of it. */
  | { readonly kind: 'streamed'; readonly body: Readable }
  /** The body is longer than the limit and is thrown away. */
  | { readonly kind: 'too-long' }
  | { readonly kind: 'cut' };

/** Up to which length a body is collected, and what happens to a longer one. */
export interface CollectionRule {
  readonly limitBytes: number;
  /** A body that is discarded leaves its connection for the next request, if it ends within a bound. */
  readonly whenLonger: 'stream' | 'discard' | 'close';
}

/**
 * Collects a body up to the limit. `concluded` is called once with the result; `ended` is called
 * once after it, when the connection is done with the answer or the body was cut.
 */
export class AnswerCollector {
  private readonly chunks: Buffer[] = [];
  private collectedBytes = 0;
  private isConcluded = false;

  public constructor(
    private readonly response: IncomingMessage,
    private readonly rule: CollectionRule,
    private readonly concluded: (answer: CollectedAnswer) => void,
    private readonly ended: (complete: boolean) => void,
    /** Called for each part of the body that is held from then on. */
    private readonly grown: () => void = () => undefined,
  ) {}

  public start(): void {
    this.response.on('data', this.onData);
    this.response.on('end', () => {
      if (this.response.complete) this.concludeWhole();
    });
    // An error of the response is followed by 'close', which tells whether the body was whole.
    this.response.on('error', () => undefined);
    this.response.on('close', () => {
      const complete = this.response.complete && this.response.readableEnded;
      if (complete) this.concludeWhole();
      else this.conclude({ kind: 'cut' });
      this.ended(complete);
    });
    const announced = Number(this.response.headers['content-length'] ?? 0);
    if (announced > this.rule.limitBytes && !this.hasNoBody()) this.exceed();
  }

  /** Bytes that are held now. */
  public get heldBytes(): number {
    return this.isConcluded ? 0 : this.collectedBytes;
  }

  /** Throws away what was collected and closes the connection. */
  public giveUp(): void {
    this.response.off('data', this.onData);
    this.chunks.length = 0;
    this.response.destroy();
    this.conclude({ kind: 'too-long' });
  }

  private readonly onData = (chunk: Buffer): void => {
    this.chunks.push(chunk);
    this.collectedBytes += chunk.length;
    if (this.collectedBytes > this.rule.limitBytes) {
      this.exceed();
      return;
    }
    this.grown();
    // A short answer has been parsed to its end when its only chunk arrives. 'end' and 'close' follow
    // after the connection's own cleanup, for which the caller need not wait.
    if (this.response.complete && this.response.readableLength === 0) this.concludeWhole();
  };

  /** The answer to HEAD has the length of a body that is not sent. */
  private hasNoBody(): boolean {
    const { statusCode } = this.response;
    const method = (this.response as { req?: { method?: string } }).req?.method;
    return method === 'HEAD' || statusCode === 204 || statusCode === 304;
  }

  private exceed(): void {
    this.response.off('data', this.onData);
    if (this.rule.whenLonger === 'close') {
      this.giveUp();
      return;
    }
    if (this.rule.whenLonger === 'discard') {
      this.discard();
      return;
    }
    const body = new PassThrough();
    // Without a reader, a cut must not end the process; readers see it as an error of their own.
    body.on('error', () => undefined);
    for (const chunk of this.chunks) body.write(chunk);
    this.response.pipe(body);
    this.response.on('close', () => {
      if (!this.response.readableEnded) body.destroy(new Error('the answer was cut'));
    });
    body.on('close', () => {
      if (!body.readableEnded) this.response.destroy();
    });
    this.conclude({ body, kind: 'streamed' });
  }

  private discard(): void {
    this.chunks.length = 0;
    this.response.on('data', (chunk: Buffer) => {
      this.collectedBytes += chunk.length;
      if (this.collectedBytes > maximumDiscardedBytes) this.response.destroy();
    });
    this.response.resume();
    this.conclude({ kind: 'too-long' });
  }

  private concludeWhole(): void {
    if (!this.isConcluded) this.conclude({ body: Buffer.concat(this.chunks), kind: 'whole' });
  }

  private conclude(answer: CollectedAnswer): void {
    if (this.isConcluded) return;
    this.isConcluded = true;
    this.concluded(answer);
  }
}
