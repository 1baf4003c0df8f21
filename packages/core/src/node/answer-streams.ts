import type { BodyEndpoint } from '../messages/core-command.js';
import type { AnswerFrame } from '../messages/frames.js';
import type { CallOutcome } from '../messages/outcome.js';
import type { Outbox } from './outbox.js';

/** A streamed answer that is on its way to a caller. */
export interface AnswerStream {
  readonly server: string;
  readonly callId: number;
}

export interface AnswerStreamsOptions {
  readonly self: string;
  readonly outbox: Outbox;
  /** The stream of an answer by this node's own upstream. */
  readonly localAnswerStream: (callId: number) => BodyEndpoint | undefined;
}

/** Delivers outcomes to callers and keeps the answers that are still being streamed. */
export class AnswerStreams {
  private readonly streams = new Map<number, AnswerStream>();

  public constructor(private readonly options: AnswerStreamsOptions) {}

  public get size(): number {
    return this.streams.size;
  }

  /** Replies to a caller; `answer` is what the server sent, if its answer is delivered. */
  public reply(
    requestNumber: number,
    outcome: CallOutcome,
    server: string | undefined,
    answer: AnswerFrame | undefined,
  ): void {
    const { outbox } = this.options;
    const delivered = outcome.kind === 'answered' ? answer : undefined;
    const streamedBody = delivered?.streamedBody === true;
    const { body, headers } = delivered ?? {};
    outbox.push({ body, headers, kind: 'reply-to-caller', outcome, requestNumber, streamedBody });
    if (delivered?.streamedBody !== true || server === undefined) {
      return;
    }
    this.streams.set(requestNumber, { callId: delivered.callId, server });
    outbox.push({
      direction: 'answer',
      from: this.endpointOf(server, delivered.callId),
      kind: 'relay-body',
      to: { kind: 'caller', requestNumber },
    });
  }

  /** Ends the stream to a caller and returns where it came from. */
  public end(requestNumber: number): AnswerStream | undefined {
    const stream = this.streams.get(requestNumber);
    this.streams.delete(requestNumber);
    return stream;
  }

  private endpointOf(server: string, callId: number): BodyEndpoint {
    const local = server === this.options.self ? this.options.localAnswerStream(callId) : undefined;
    return local ?? { callId, kind: 'peer', server };
  }
}
