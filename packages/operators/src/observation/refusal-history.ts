import type { CallOutcome } from '@peridotspring/core';

import type { Row } from '../questions/rows.js';
import { formatTimestamp } from './journal-rows.js';

export const historyBucketMilliseconds = 10_000;
/** Limit of the buckets, which together cover one hour. */
export const maximumHistoryBuckets = 360;
/** Limit of the pairs of service and reason in one bucket. Further ones are counted under the service `(other)`. */
export const maximumPairsPerHistoryBucket = 256;

const otherServices = '(other)';

interface Bucket {
  readonly number: number;
  readonly counts: Map<string, number>;
}

/** Counts refused requests and unknown outcomes of the last hour by service and reason. */
export class RefusalHistory {
  private buckets: Bucket[] = [];

  /** Counts an outcome, unless the request was answered. */
  public record(service: string, outcome: CallOutcome, now: number): void {
    if (outcome.kind === 'answered') return;
    const { counts } = this.bucketAt(now);
    const key = JSON.stringify([service, outcome.kind, outcome.reason]);
    const hasRoom = counts.has(key) || counts.size < maximumPairsPerHistoryBucket;
    // The set of reasons is fixed, so the number of keys of `(other)` is bounded as well.
    const countedKey = hasRoom
      ? key
      : JSON.stringify([otherServices, outcome.kind, outcome.reason]);
    counts.set(countedKey, (counts.get(countedKey) ?? 0) + 1);
  }

  /** One row for each service and reason. The period is extended to whole buckets. */
  public rowsSince(sinceMilliseconds: number, now: number): readonly Row[] {
    const oldest = Math.floor((now - sinceMilliseconds) / historyBucketMilliseconds);
    const totals = new Map<string, { count: number; last: number }>();
    for (const bucket of this.buckets) {
      if (bucket.number < oldest) continue;
      for (const [key, count] of bucket.counts) {
        totals.set(key, { count: (totals.get(key)?.count ?? 0) + count, last: bucket.number });
      }
    }
    return [...totals].map(([key, { count, last }]) => {
      const [service, outcome, reason] = JSON.parse(key) as [string, string, string];
      return {
        count,
        last_at: formatTimestamp(last * historyBucketMilliseconds),
        outcome,
        reason,
        service,
      };
    });
  }

  private bucketAt(now: number): Bucket {
    const number = Math.floor(now / historyBucketMilliseconds);
    const newest = this.buckets.at(-1);
    // If the wall clock was set back, counting continues in the newest bucket.
    if (newest !== undefined && newest.number >= number) return newest;
    const bucket: Bucket = { counts: new Map(), number };
    this.buckets = [...this.buckets.slice(-(maximumHistoryBuckets - 1)), bucket];
    return bucket;
  }
}
