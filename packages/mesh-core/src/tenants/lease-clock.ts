export interface LeaseClockOptions {
  /** Monotonic clock in milliseconds; it may stop while the machine is suspended. */
  readonly steadyClock: () => number;
  /** Time of day in Unix milliseconds. */
  readonly timeOfDay: () => number;
}

/**
 * Difference between the clocks that is no step of the time of day: it has a granularity of 1 ms, and the clocks are not
 * read at exactly the same time.
 */
const toleranceMilliseconds = 2;
/** Rate at which the time of day may be slewed; twice that of NTP (RFC 5905, 500 ppm). */
const slewShare = 0.001;
/** Readings further apart than this are repeated, since the process may have been interrupted between them. */
const maximumReadingMilliseconds = 0.5;
const maximumReadings = 3;
/** What a suspension of unknown length counts as: longer than any proof holds. */
export const unknownSuspensionMilliseconds = 86_400_000;

/**
 * A clock that never runs slower than real time, also while the machine is suspended. It adds to the steady clock by how
 * much more the time of day has advanced. A step back of the time of day may hide a suspension of any length, so it counts
 * as a very long one.
 */
export class LeaseClock {
  private suspendedMilliseconds = 0;
  private observedAt: number;
  /** Highest recent difference between the time of day and the steady clock. */
  private reference: number;

  public constructor(private readonly options: LeaseClockOptions) {
    this.observedAt = options.steadyClock();
    this.reference = options.timeOfDay() - this.observedAt;
  }

  /** Time for which the machine may have been suspended, in total. */
  public readSuspendedMilliseconds(): number {
    this.now();
    return this.suspendedMilliseconds;
  }

  /** Returns the time in milliseconds since an arbitrary moment. */
  public now(): number {
    const { after, before, timeOfDay } = this.read();
    const lowest = timeOfDay - after;
    const highest = timeOfDay - before;
    const slewedReference = this.reference - (before - this.observedAt) * slewShare;
    this.observedAt = before;
    if (lowest > this.reference) {
      this.suspendedMilliseconds += lowest - this.reference;
      this.reference = lowest;
    } else if (highest < slewedReference - toleranceMilliseconds) {
      this.suspendedMilliseconds += unknownSuspensionMilliseconds;
      this.reference = highest;
    } else this.reference = Math.max(slewedReference, Math.min(highest, this.reference));
    return after + this.suspendedMilliseconds;
  }

  private read(): { readonly after: number; readonly before: number; readonly timeOfDay: number } {
    const { steadyClock, timeOfDay } = this.options;
    for (let readings = 1; ; readings += 1) {
      const before = steadyClock();
      const reading = { timeOfDay: timeOfDay(), after: steadyClock(), before };
      const isPrecise = reading.after - before <= maximumReadingMilliseconds;
      if (isPrecise || readings >= maximumReadings) return reading;
    }
  }
}
