const smallestMilliseconds = 0.1;
const growth = 1.1;
const logarithmOfGrowth = Math.log(growth);
/** Covers 0.1 ms to about 60 s. */
const bucketCount = 140;
/** Counts are halved after this many samples, so that the quantiles follow the recent load. */
const samplesPerHalving = 2_048;
/** Below this number of samples no quantile is given. */
const minimumSamples = 20;
/** A computed quantile is kept for this many samples, because it is read once for each call. */
const samplesPerCachedQuantile = 32;

/** Recent latencies of a service in buckets 10 % apart. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(bucketCount);
  private total = 0;
  private sinceHalving = 0;
  private version = 0;
  private readonly cache = new Map<number, { readonly version: number; readonly value: number }>();

  public record(milliseconds: number): void {
    const bucket = bucketOf(milliseconds);
    this.counts[bucket] = (this.counts[bucket] ?? 0) + 1;
    this.total += 1;
    this.version += 1;
    this.sinceHalving += 1;
    if (this.sinceHalving >= samplesPerHalving) this.halve();
  }

  /** The upper bound of the bucket that holds the quantile; undefined while too little is known. */
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
    const wanted = quantile * this.total;
    let seen = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      seen += this.counts[bucket] ?? 0;
      if (seen >= wanted) return smallestMilliseconds * growth ** (bucket + 1);
    }
    return smallestMilliseconds * growth ** bucketCount;
  }

  private halve(): void {
    this.sinceHalving = 0;
    this.total = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      const halved = (this.counts[bucket] ?? 0) / 2;
      this.counts[bucket] = halved;
      this.total += halved;
    }
  }
}

function bucketOf(milliseconds: number): number {
  if (milliseconds <= smallestMilliseconds) return 0;
  const bucket = Math.floor(Math.log(milliseconds / smallestMilliseconds) / logarithmOfGrowth);
  return Math.min(bucketCount - 1, bucket);
}
