/** Share of the allowance that the nodes use; the rest covers requests that are counted differently. */
const usedShare = 0.7;
const slots = 10;

export interface RepeatBudgetOptions {
  /** Repeats allowed for each request of a service. */
  readonly ratio: number;
  /** Repeats allowed beyond the ratio in one window, by all nodes together. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** How much of its part of the repeats of a service a node uses. */
export interface RepeatUse {
  readonly service: string;
  readonly allowed: number;
  readonly used: number;
}

interface Window {
  /** Requests and repeats in slots of a tenth of the window. */
  readonly requests: number[];
  readonly repeats: number[];
  slot: number;
}

/**
 * This node's part of the repeats that a service may get in any window. Each node uses the ratio of
 * its own requests and an equal part of the slack, so the sum holds without messages, also while some
 * nodes are cut off from the others.
 */
export class RepeatBudget {
  private readonly windows = new Map<string, Window>();
  private nodes = 1;

  public constructor(private options: RepeatBudgetOptions) {}

  /** Bounds that hold from now on. */
  public configure(options: RepeatBudgetOptions): void {
    this.options = options;
  }

  /** The largest number of nodes that may be using their part now. */
  public shareBetween(nodes: number): void {
    this.nodes = Math.max(1, nodes);
  }

  public request(service: string, now: number): void {
    const window = this.windowOf(service, now);
    window.requests[window.slot % slots] = (window.requests[window.slot % slots] ?? 0) + 1;
  }

  /** Takes one repeat if there is one left. */
  public take(service: string, now: number): boolean {
    const window = this.windowOf(service, now);
    if (sum(window.repeats) + 1 > this.allowance(window)) return false;
    this.count(window);
    return true;
  }

  /** Gives back a repeat that did not reach a server. */
  public refund(service: string, now: number): void {
    const { repeats, slot } = this.windowOf(service, now);
    repeats[slot % slots] = Math.max(0, (repeats[slot % slots] ?? 0) - 1);
  }

  /** Counts a repeat that could not be avoided, such as a call made by a run that was itself a repeat. */
  public charge(service: string, now: number): void {
    this.count(this.windowOf(service, now));
  }

  /** What this node may send and has sent in the window, by service. */
  public *uses(now: number): Generator<RepeatUse> {
    for (const service of this.windows.keys()) {
      const window = this.windowOf(service, now);
      yield { allowed: this.allowance(window), service, used: sum(window.repeats) };
    }
  }

  private allowance({ requests }: Window): number {
    const { ratio, slack } = this.options;
    return usedShare * (ratio * sum(requests) + slack / this.nodes);
  }

  private count({ repeats, slot }: Window): void {
    repeats[slot % slots] = (repeats[slot % slots] ?? 0) + 1;
  }

  private windowOf(service: string, now: number): Window {
    const slot = Math.floor((now * slots) / this.options.windowMilliseconds);
    let window = this.windows.get(service);
    if (window === undefined) {
      window = { repeats: zeros(), requests: zeros(), slot };
      this.windows.set(service, window);
    }
    const skipped = Math.min(slots, slot - window.slot);
    for (let step = 1; step <= skipped; step += 1) {
      window.requests[(window.slot + step) % slots] = 0;
      window.repeats[(window.slot + step) % slots] = 0;
    }
    if (skipped === slots) {
      window.requests.fill(0);
      window.repeats.fill(0);
    }
    window.slot = Math.max(window.slot, slot);
    return window;
  }
}

function zeros(): number[] {
  return new Array<number>(slots).fill(0);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
