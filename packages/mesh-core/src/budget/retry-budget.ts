/**
 * Share of the allowance that nodes use. The rest is a margin for requests that are counted differently.
 */
const usableShare = 0.7;
/**
 * Share of the retries earned by repeatable requests of callers that hedges of nested calls leave to those requests. A nested
 * call has the time of its whole request left, while a request of a caller that is late has missed its target.
 */
const shareKeptFromNestedHedges = 0.5;
const bucketsPerWindow = 10;

export interface RetryBudgetOptions {
  /** Retries allowed per request to the service. */
  readonly ratio: number;
  /** Retries allowed per window in addition to the ratio, for all nodes together. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Retries of a service in the current window at this node: how many it may make and has made. */
export interface RetryUsage {
  readonly service: string;
  readonly allowed: number;
  readonly used: number;
}

interface Window {
  /** Requests and retries per bucket; a bucket is a tenth of the window. */
  readonly requests: number[];
  /** Those of the requests that may be sent to a second server. */
  readonly repeatableRequests: number[];
  readonly retries: number[];
  currentBucket: number;
}

/**
 * This node's share of the retries that a service may receive in any window. Each node uses the ratio of its
 * own requests and an equal part of the slack, so the total stays within the bound without coordination, even
 * while some nodes are partitioned from the others.
 */
export class RetryBudget {
  private readonly windows = new Map<string, Window>();
  private nodeCount = 1;

  public constructor(private options: RetryBudgetOptions) {}

  /** Replaces the bounds. */
  public configure(options: RetryBudgetOptions): void {
    this.options = options;
  }

  /** Sets the largest number of nodes that may be using their share at present. */
  public setNodeCount(nodeCount: number): void {
    this.nodeCount = Math.max(1, nodeCount);
  }

  public recordRequest(service: string, isRepeatable: boolean, now: number): void {
    const window = this.windowOf(service, now);
    const bucket = window.currentBucket % bucketsPerWindow;
    window.requests[bucket] = (window.requests[bucket] ?? 0) + 1;
    if (isRepeatable)
      window.repeatableRequests[bucket] = (window.repeatableRequests[bucket] ?? 0) + 1;
  }

  /** Takes one retry from the budget; false if none is left. */
  public tryTake(service: string, now: number, isNestedHedge = false): boolean {
    const window = this.windowOf(service, now);
    const kept = isNestedHedge ? this.keptFromNestedHedges(window) : 0;
    if (sum(window.retries) + 1 > this.allowance(window) - kept) return false;
    this.recordRetry(window);
    return true;
  }

  /** Returns a retry that did not reach a server. */
  public refund(service: string, now: number): void {
    const { retries, currentBucket } = this.windowOf(service, now);
    retries[currentBucket % bucketsPerWindow] = Math.max(
      0,
      (retries[currentBucket % bucketsPerWindow] ?? 0) - 1,
    );
  }

  /** Counts a retry that can't be avoided, such as a nested call of a request that was itself a retry. */
  public recordUnavoidableRetry(service: string, now: number): void {
    this.recordRetry(this.windowOf(service, now));
  }

  /** Retries that this node may make and has made in the current window, by service. */
  public *usageByService(now: number): Generator<RetryUsage> {
    for (const service of this.windows.keys()) {
      const window = this.windowOf(service, now);
      yield { allowed: this.allowance(window), service, used: sum(window.retries) };
    }
  }

  private allowance({ requests }: Window): number {
    const { ratio, slack } = this.options;
    return usableShare * (ratio * sum(requests) + slack / this.nodeCount);
  }

  private keptFromNestedHedges({ repeatableRequests }: Window): number {
    return shareKeptFromNestedHedges * usableShare * this.options.ratio * sum(repeatableRequests);
  }

  private recordRetry({ retries, currentBucket }: Window): void {
    retries[currentBucket % bucketsPerWindow] =
      (retries[currentBucket % bucketsPerWindow] ?? 0) + 1;
  }

  private windowOf(service: string, now: number): Window {
    const bucket = Math.floor((now * bucketsPerWindow) / this.options.windowMilliseconds);
    let window = this.windows.get(service);
    if (window === undefined) {
      window = {
        currentBucket: bucket,
        repeatableRequests: zeros(),
        requests: zeros(),
        retries: zeros(),
      };
      this.windows.set(service, window);
    }
    const skipped = Math.min(bucketsPerWindow, bucket - window.currentBucket);
    for (let step = 1; step <= skipped; step += 1) {
      window.requests[(window.currentBucket + step) % bucketsPerWindow] = 0;
      window.repeatableRequests[(window.currentBucket + step) % bucketsPerWindow] = 0;
      window.retries[(window.currentBucket + step) % bucketsPerWindow] = 0;
    }
    if (skipped === bucketsPerWindow) {
      window.requests.fill(0);
      window.repeatableRequests.fill(0);
      window.retries.fill(0);
    }
    window.currentBucket = Math.max(window.currentBucket, bucket);
    return window;
  }
}

function zeros(): number[] {
  return new Array<number>(bucketsPerWindow).fill(0);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
