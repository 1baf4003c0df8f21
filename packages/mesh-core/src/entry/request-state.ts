import type { EntryRequest } from './entry-contract.js';

/** One gate that was asked to run a request. */
export interface Attempt {
  readonly callId: number;
  readonly state: RequestState;
  readonly node: string;
  /** The life of the gate's process that was asked. */
  readonly boot: number;
  readonly sentAt: number;
  readonly optional: boolean;
  readonly repeat: boolean;
  /** Since when the connection to the gate is down; undefined while it is up. */
  lostAt: number | undefined;
}

/** A request that is in progress at its entry. */
export class RequestState {
  public readonly attempts = new Map<number, Attempt>();
  /** Gates that declined, with the time that each expects until an answer. */
  public readonly declined = new Map<string, number>();
  /** Gates whose server may have run the request. */
  public readonly used = new Set<string>();
  public optionalTries = 0;
  /** A server said that it did not run the request. */
  public reachedServer = false;
  public isConcluded = false;

  public constructor(
    public readonly request: EntryRequest,
    public readonly service: string,
    /** Monotonic time by which the caller gets its answer. */
    public readonly deadline: number,
    public readonly nested: boolean,
  ) {}

  /** Gates that are not asked again unless there is no other. */
  public get excluded(): ReadonlySet<string> {
    return new Set([...this.declined.keys(), ...this.used]);
  }

  /** The gate that declined with the shortest expected time. */
  public get bestDeclined(): string | undefined {
    let best: string | undefined;
    let shortest = Infinity;
    for (const [node, expected] of this.declined) {
      if (expected >= shortest) continue;
      best = node;
      shortest = expected;
    }
    return best;
  }
}
