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
  decodeAnswer,
  encodeQuestion,
  type NodeAnswer,
  type NodeQuestion,
} from './node-question.js';

/**
 * Questions that wait for an answer at once. It bounds the connections that a question to every node
 * of a large fleet opens at a time.
 */
export const gatheringConcurrency = 128;

/** Sends questions to other nodes; the wiring implements it with the connections between nodes. */
export interface PeerTransport {
  /** Servers of all live members but this node. */
  servers(): readonly string[];
  /** Sends the frame, connecting first if need be. False when that is known to be impossible. */
  send(server: string, frame: OperatorQuestionFrame): boolean;
}

const largestFirstQuestionId = 2 ** 40;

interface PendingQuestion {
  readonly server: string;
  conclude(reply: PeerReply): void;
}

/** The payload of a node's answer, or why there is none. */
export type PeerReply =
  | { readonly kind: 'answer'; readonly payload: string }
  | { readonly kind: 'failed'; readonly cause: string };

/** One question to many nodes, while it is being asked. */
interface Gathering {
  readonly payload: string;
  readonly deadlineMilliseconds: number;
  readonly endsAt: number;
  readonly waiting: string[];
  readonly rows: Row[];
  readonly revisions: NodeRevision[];
  readonly missing: MissingNode[];
}

/** Asks other nodes with a deadline and names those that did not answer. */
export class PeerGatherer {
  private readonly pending = new Map<number, PendingQuestion>();
  /** Random, so that a late answer to an earlier life of this node is not taken for one of this life. */
  private nextQuestionId = Math.floor(Math.random() * largestFirstQuestionId);

  public constructor(
    private readonly transport: PeerTransport,
    public readonly clock: GatherClock = systemGatherClock,
  ) {}

  /** Servers of all live members but this node. */
  public servers(): readonly string[] {
    return this.transport.servers();
  }

  /** Asks other nodes a question. Never rejects. */
  public async gather(question: NodeQuestion, options: GatherOptions): Promise<GatheredRows> {
    const { deadlineMilliseconds } = options;
    const gathering: Gathering = {
      deadlineMilliseconds,
      endsAt: this.clock.now() + deadlineMilliseconds,
      missing: [],
      payload: encodeQuestion(question),
      revisions: [],
      rows: [],
      waiting: [...(options.servers ?? this.transport.servers())],
    };
    const workers = Array.from(
      { length: Math.min(gatheringConcurrency, gathering.waiting.length) },
      () => this.work(gathering),
    );
    await Promise.all(workers);
    return { missing: gathering.missing, revisions: gathering.revisions, rows: gathering.rows };
  }

  /** Takes an answer; one that came too late is dropped. */
  public answered(from: string, frame: OperatorAnswerFrame): void {
    const question = this.pending.get(frame.questionId);
    // Only the server that was asked may answer.
    if (question?.server === from) question.conclude({ kind: 'answer', payload: frame.answer });
  }

  /** The connection to a server was lost: its answers will not come. */
  public peerLost(server: string): void {
    for (const question of [...this.pending.values()]) {
      if (question.server === server) {
        question.conclude({ cause: 'connection lost', kind: 'failed' });
      }
    }
  }

  /** Ends every question in progress. */
  public close(): void {
    for (const question of [...this.pending.values()]) {
      question.conclude({ cause: 'the node that was asked stops', kind: 'failed' });
    }
  }

  private async work(gathering: Gathering): Promise<void> {
    for (let server = gathering.waiting.shift(); server !== undefined;) {
      const answer = await this.ask(server, gathering);
      if (answer.kind === 'rows') {
        gathering.rows.push(...answer.rows);
        gathering.revisions.push({ revision: answer.revision, server });
      } else {
        gathering.missing.push({ cause: answer.cause, server });
      }
      server = gathering.waiting.shift();
    }
  }

  private async ask(server: string, gathering: Gathering): Promise<NodeAnswer> {
    const { deadlineMilliseconds, endsAt, payload } = gathering;
    const remaining = endsAt - this.clock.now();
    const reply = await this.exchange(server, payload, remaining, deadlineMilliseconds);
    return reply.kind === 'answer' ? decodeAnswer(reply.payload) : reply;
  }

  /** Sends one question to one node and waits for its answer. Never rejects. */
  public exchange(
    server: string,
    payload: string,
    remaining: number,
    statedMilliseconds = remaining,
  ): Promise<PeerReply> {
    const cause = `no answer within ${Math.round(statedMilliseconds)} ms`;
    if (remaining <= 0) return Promise.resolve({ cause, kind: 'failed' });
    const questionId = this.nextQuestionId;
    this.nextQuestionId += 1;
    return new Promise((resolve) => {
      const conclude = (reply: PeerReply): void => {
        cancelTimer();
        this.pending.delete(questionId);
        resolve(reply);
      };
      const cancelTimer = this.clock.after(remaining, () => {
        conclude({ cause, kind: 'failed' });
      });
      this.pending.set(questionId, { conclude, server });
      const frame = { kind: 'operator-question', question: payload, questionId } as const;
      if (!this.transport.send(server, frame)) conclude({ cause: 'unreachable', kind: 'failed' });
    });
  }
}
