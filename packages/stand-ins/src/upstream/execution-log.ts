/** How an execution ended. */
export const ExecutionResult = {
  Answered: 'answered',
  /** The connection was closed before the answer was out. */
  Cancelled: 'cancelled',
  /** The deadline header ran out first. */
  DeadlinePassed: 'deadline-passed',
  /** The stand-in was told to give no whole answer. */
  Unanswered: 'unanswered',
} as const;
/** One of {@link ExecutionResult}. */
export type ExecutionResult = (typeof ExecutionResult)[keyof typeof ExecutionResult];

/** One run of a request: it had a slot, so it counts as run however it ended. */
export interface Execution {
  readonly number: number;
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly requestId: string | undefined;
  /** Unix time in milliseconds. */
  readonly startedAt: number;
  readonly endedAt: number | undefined;
  readonly cancelled: boolean;
  readonly result: ExecutionResult | undefined;
}

/** What is known of an execution at its start. */
export type ExecutionStart = Pick<
  Execution,
  'idempotencyKey' | 'method' | 'path' | 'requestId' | 'startedAt'
>;

/** The executions of one upstream, in order of their start. */
export class ExecutionLog {
  private readonly entries: Execution[] = [];

  public get size(): number {
    return this.entries.length;
  }

  /** Returns the number of the execution. */
  public start(start: ExecutionStart): number {
    const number = this.entries.length;
    this.entries.push({
      ...start,
      cancelled: false,
      endedAt: undefined,
      number,
      result: undefined,
    });
    return number;
  }

  public end(number: number, result: ExecutionResult, endedAt: number): void {
    const entry = this.entries[number];
    if (entry?.endedAt !== undefined || entry === undefined) return;
    const cancelled = result === ExecutionResult.Cancelled;
    this.entries[number] = { ...entry, cancelled, endedAt, result };
  }

  /** Executions from a number on, at most `limit`. */
  public list(from = 0, limit = Number.POSITIVE_INFINITY): readonly Execution[] {
    return this.entries.slice(from, from + limit);
  }
}
