import type { BodyEndpoint } from '../messages/core-command.js';
import type { ResponseFrame } from '../messages/frames.js';
import type { CallOutcome } from '../messages/outcome.js';
import type { Outbox } from './outbox.js';

/** A response whose body is being streamed to a caller. */
export interface ResponseStream {
  readonly server: string;
  readonly callId: number;
}

export interface CallerResponderOptions {
  readonly self: string;
  readonly outbox: Outbox;
  /** The response body of this node's own upstream, if it runs the call. */
  readonly localResponseStream: (callId: number) => BodyEndpoint | undefined;
}

/** Replies to callers and tracks the responses that are still being streamed to them. */
export class CallerResponder {
  private readonly streams = new Map<number, ResponseStream>();

  public constructor(private readonly options: CallerResponderOptions) {}

  public get openStreamCount(): number {
    return this.streams.size;
  }

  /**
   * Replies to a caller. `response` is what the server sent; it is used only if the outcome is
   * `answered`.
   */
  public reply(
    requestNumber: number,
    outcome: CallOutcome,
    server: string | undefined,
    response: ResponseFrame | undefined,
  ): void {
    const { outbox } = this.options;
    const delivered = outcome.kind === 'answered' ? response : undefined;
    const streamedBody = delivered?.streamedBody === true;
    const { body, headers } = delivered ?? {};
    outbox.push({ body, headers, kind: 'reply-to-caller', outcome, requestNumber, streamedBody });
    if (delivered?.streamedBody !== true || server === undefined) {
      return;
    }
    this.streams.set(requestNumber, { callId: delivered.callId, server });
    outbox.push({
      direction: 'answer',
      from: this.responseSourceOf(server, delivered.callId),
      kind: 'relay-body',
      to: { kind: 'caller', requestNumber },
    });
  }

  /** Stops tracking the stream to a caller and returns its source. */
  public removeStream(requestNumber: number): ResponseStream | undefined {
    const stream = this.streams.get(requestNumber);
    this.streams.delete(requestNumber);
    return stream;
  }

  private responseSourceOf(server: string, callId: number): BodyEndpoint {
    const local =
      server === this.options.self ? this.options.localResponseStream(callId) : undefined;
    return local ?? { callId, kind: 'peer', server };
  }
}
