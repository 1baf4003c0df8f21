import type { CallOutcome } from '@peridotspring/core';

import type { Row } from '../questions/rows.js';
import { timeText } from './journal-rows.js';

/** Time that one bucket of the history covers. */
export const historyBucketMilliseconds = 10_000;
/** Buckets that are kept: one hour. */
export const historyBuckets = 360;
/** Pairs of service and reason in one bucket; further ones are counted under the service `(other)`. */
export const historyPairsPerBucket = 256;

const otherServices = '(other)';

interface Bucket {
  readonly number: number;
  readonly counts: Map<string, number>;
}

/** Counts refused and unknown outcomes by service and reason over the last hour. */
export class RefusalHistory {
  private buckets: Bucket[] = [];

  /** Counts an outcome; answered ones are left out. */
  public record(service: string, outcome: CallOutcome, now: number): void {
    if (outcome.kind === 'answered') return;
    const { counts } = this.bucketAt(now);
    const key = JSON.stringify([service, outcome.kind, outcome.reason]);
    const isRoom = counts.has(key) || counts.size < historyPairsPerBucket;
    // The number of reasons is fixed, so the keys of `(other)` are bounded as well.
    const used = isRoom ? key : JSON.stringify([otherServices, outcome.kind, outcome.reason]);
    counts.set(used, (counts.get(used) ?? 0) + 1);
  }

  /** One row for each service and reason, over the given time to the whole bucket. */
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
        last_at: timeText(last * historyBucketMilliseconds),
        outcome,
        reason,
        service,
      };
    });
  }

  private bucketAt(now: number): Bucket {
    const number = Math.floor(now / historyBucketMilliseconds);
    const newest = this.buckets.at(-1);
    // A wall clock that was set back keeps counting in the newest bucket.
    if (newest !== undefined && newest.number >= number) return newest;
    const bucket: Bucket = { counts: new Map(), number };
    this.buckets = [...this.buckets.slice(-(historyBuckets - 1)), bucket];
    return bucket;
  }
}
