const lowestBucketMilliseconds = 0.1;
const bucketGrowthFactor = 1.1;
const logarithmOfGrowthFactor = Math.log(bucketGrowthFactor);
/** Covers 0.1 ms to about 60 s. */
const bucketCount = 140;
/** The counts are halved after this many samples, so that recent samples dominate the quantiles. */
const samplesPerHalving = 2_048;
/** With fewer samples, quantiles are undefined. */
const minimumSamples = 20;
/** A quantile is cached for this many samples, because every call reads it. */
const samplesPerCachedQuantile = 32;

/** Histogram of the recent latencies of a service; bucket bounds grow by 10 %. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(bucketCount);
  private total = 0;
  private samplesSinceHalving = 0;
  private version = 0;
  private readonly cache = new Map<number, { readonly version: number; readonly value: number }>();

  public record(milliseconds: number): void {
    const bucket = bucketOf(milliseconds);
    this.counts[bucket] = (this.counts[bucket] ?? 0) + 1;
    this.total += 1;
    this.version += 1;
    this.samplesSinceHalving += 1;
    if (this.samplesSinceHalving >= samplesPerHalving) this.halve();
  }

  /** Upper bound of the bucket that holds the quantile; undefined while there are too few samples. */
  public quantile(quantile: number): number | undefined {
    if (this.total < minimumSamples) return undefined;
    const cached = this.cache.get(quantile);
    if (cached !== undefined && this.version - cached.version < samplesPerCachedQuantile) {
      return cached.value;
    }
    const value = this.computeQuantile(quantile);
    this.cache.set(quantile, { value, version: this.version });
    return value;
  }

  private computeQuantile(quantile: number): number {
    const targetCount = quantile * this.total;
    let cumulativeCount = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      cumulativeCount += this.counts[bucket] ?? 0;
      if (cumulativeCount >= targetCount)
        return lowestBucketMilliseconds * bucketGrowthFactor ** (bucket + 1);
    }
    return lowestBucketMilliseconds * bucketGrowthFactor ** bucketCount;
  }

  private halve(): void {
    this.samplesSinceHalving = 0;
    this.total = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      const halved = (this.counts[bucket] ?? 0) / 2;
      this.counts[bucket] = halved;
      this.total += halved;
    }
  }
}

function bucketOf(milliseconds: number): number {
  if (milliseconds <= lowestBucketMilliseconds) return 0;
  const bucket = Math.floor(
    Math.log(milliseconds / lowestBucketMilliseconds) / logarithmOfGrowthFactor,
  );
  return Math.min(bucketCount - 1, bucket);
}
