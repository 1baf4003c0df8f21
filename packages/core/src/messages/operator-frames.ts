/** A question of an operator, gathered by the node that was asked. The payloads are JSON text. */
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
