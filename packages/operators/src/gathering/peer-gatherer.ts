import type { OperatorAnswerFrame, OperatorQuestionFrame } from '@peridotspring/core';

import type {
  GatheredRows,
  GatherOptions,
  MissingNode,
  NodeRevision,
} from '../operator-backend.js';
import type { Row } from '../questions/rows.js';
import { systemGatherClock, type GatherClock } from './gather-clock.js';
import {
  decodeNodeAnswer,
  encodeNodeQuestion,
  type NodeAnswer,
  type NodeQuestion,
} from './node-question.js';

/**
 * Nodes that are asked concurrently for one question. It limits the connections that a question to
 * every node of a large cluster opens at once.
 */
export const maximumConcurrentQuestions = 128;

/** Sends questions to other nodes. The daemon implements it with the connections between nodes. */
export interface PeerTransport {
  /** Servers of all live members except this node. */
  servers(): readonly string[];
  /** Sends the frame, connecting first if necessary. False if the server is known to be unreachable. */
  send(server: string, frame: OperatorQuestionFrame): boolean;
}

const firstQuestionIdLimit = 2 ** 40;

interface PendingQuestion {
  readonly server: string;
  settle(reply: PeerReply): void;
}

/** The payload of a node's answer, or the cause of its absence. */
export type PeerReply =
  | { readonly kind: 'answer'; readonly payload: string }
  | { readonly kind: 'failed'; readonly cause: string };

/** The state of a question that is being sent to many nodes. */
interface GatherOperation {
  readonly payload: string;
  readonly deadlineMilliseconds: number;
  readonly deadlineAt: number;
  readonly unaskedServers: string[];
  readonly rows: Row[];
  readonly revisions: NodeRevision[];
  readonly missing: MissingNode[];
}

/** Asks other nodes a question with a deadline, and reports the nodes that did not answer. */
export class PeerGatherer {
  private readonly pending = new Map<number, PendingQuestion>();
  /** Starts at random, so that a late answer to an earlier incarnation of this node matches no question. */
  private nextQuestionId = Math.floor(Math.random() * firstQuestionIdLimit);

  public constructor(
    private readonly transport: PeerTransport,
    public readonly clock: GatherClock = systemGatherClock,
  ) {}

  /** Servers of all live members except this node. */
  public servers(): readonly string[] {
    return this.transport.servers();
  }

  /** Asks other nodes a question and collects their rows. Never rejects. */
  public async gather(question: NodeQuestion, options: GatherOptions): Promise<GatheredRows> {
    const { deadlineMilliseconds } = options;
    const operation: GatherOperation = {
      deadlineMilliseconds,
      deadlineAt: this.clock.now() + deadlineMilliseconds,
      missing: [],
      payload: encodeNodeQuestion(question),
      revisions: [],
      rows: [],
      unaskedServers: [...(options.servers ?? this.transport.servers())],
    };
    const workers = Array.from(
      { length: Math.min(maximumConcurrentQuestions, operation.unaskedServers.length) },
      () => this.askUnaskedServers(operation),
    );
    await Promise.all(workers);
    return { missing: operation.missing, revisions: operation.revisions, rows: operation.rows };
  }

  /** Handles an answer; an answer that arrives after its deadline is dropped. */
  public onAnswer(from: string, frame: OperatorAnswerFrame): void {
    const question = this.pending.get(frame.questionId);
    // Answers from any server other than the one asked are ignored.
    if (question?.server === from) question.settle({ kind: 'answer', payload: frame.answer });
  }

  /** Handles the loss of the connection to a server: its pending questions fail. */
  public onPeerLost(server: string): void {
    for (const question of [...this.pending.values()]) {
      if (question.server === server) {
        question.settle({ cause: 'connection lost', kind: 'failed' });
      }
    }
  }

  /** Fails all pending questions. */
  public close(): void {
    for (const question of [...this.pending.values()]) {
      question.settle({ cause: 'the node that received the query is stopping', kind: 'failed' });
    }
  }

  private async askUnaskedServers(operation: GatherOperation): Promise<void> {
    for (let server = operation.unaskedServers.shift(); server !== undefined;) {
      const answer = await this.ask(server, operation);
      if (answer.kind === 'rows') {
        operation.rows.push(...answer.rows);
        operation.revisions.push({ revision: answer.revision, server });
      } else {
        operation.missing.push({ cause: answer.cause, server });
      }
      server = operation.unaskedServers.shift();
    }
  }

  private async ask(server: string, operation: GatherOperation): Promise<NodeAnswer> {
    const { deadlineMilliseconds, deadlineAt, payload } = operation;
    const remainingMilliseconds = deadlineAt - this.clock.now();
    const reply = await this.exchange(server, payload, remainingMilliseconds, deadlineMilliseconds);
    return reply.kind === 'answer' ? decodeNodeAnswer(reply.payload) : reply;
  }

  /**
   * Sends one question to one node and waits for its answer. Never rejects.
   *
   * @param remainingMilliseconds Time after which the question fails.
   * @param reportedMilliseconds Time that the failure message states, such as the deadline of the query.
   */
  public exchange(
    server: string,
    payload: string,
    remainingMilliseconds: number,
    reportedMilliseconds = remainingMilliseconds,
  ): Promise<PeerReply> {
    const cause = `no answer within ${Math.round(reportedMilliseconds)} ms`;
    if (remainingMilliseconds <= 0) return Promise.resolve({ cause, kind: 'failed' });
    const questionId = this.nextQuestionId;
    this.nextQuestionId += 1;
    return new Promise((resolve) => {
      const settle = (reply: PeerReply): void => {
        cancelTimer();
        this.pending.delete(questionId);
        resolve(reply);
      };
      const cancelTimer = this.clock.after(remainingMilliseconds, () => {
        settle({ cause, kind: 'failed' });
      });
      this.pending.set(questionId, { settle, server });
      const frame = { kind: 'operator-question', question: payload, questionId } as const;
      if (!this.transport.send(server, frame)) settle({ cause: 'unreachable', kind: 'failed' });
    });
  }
}
