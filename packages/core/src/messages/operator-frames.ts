/**
 * An operator's query, forwarded by the node that received it, which gathers the answers. The
 * payloads are JSON text.
 */
export interface OperatorQuestionFrame {
  readonly kind: 'operator-question';
  readonly questionId: number;
  readonly question: string;
}

export interface OperatorAnswerFrame {
  readonly kind: 'operator-answer';
  readonly questionId: number;
  readonly answer: string;
}

export type OperatorFrame = OperatorQuestionFrame | OperatorAnswerFrame;
