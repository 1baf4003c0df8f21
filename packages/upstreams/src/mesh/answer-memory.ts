/** An answer of which a part has been read. */
export interface PartialAnswer {
  readonly heldBytes: number;
  /** Throws away what was read and closes the connection. */
  giveUp(): void;
}

/**
 * Bounds what all answers that are being read hold together, since each may go on without end. When the bound is
 * exceeded, the answer that holds most is given up: ordinary answers are small, and so they are the last to fail.
 */
export class AnswerMemory {
  private readonly answers = new Set<PartialAnswer>();

  public constructor(private readonly limitBytes: number) {}

  public opened(answer: PartialAnswer): void {
    this.answers.add(answer);
  }

  /** The answer was read to its end or given up. */
  public closed(answer: PartialAnswer): void {
    this.answers.delete(answer);
  }

  /** An answer has grown. */
  public grown(): void {
    while (this.heldBytes() > this.limitBytes) {
      const largest = this.largest();
      if (largest === undefined) return;
      this.answers.delete(largest);
      largest.giveUp();
    }
  }

  private heldBytes(): number {
    let bytes = 0;
    for (const { heldBytes } of this.answers) bytes += heldBytes;
    return bytes;
  }

  private largest(): PartialAnswer | undefined {
    let largest: PartialAnswer | undefined;
    for (const answer of this.answers) {
      if (answer.heldBytes > (largest?.heldBytes ?? -1)) largest = answer;
    }
    return largest;
  }
}
