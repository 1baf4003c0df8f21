/** Arrival times of an open-loop load: they do not depend on when answers come. */
export interface ArrivalSchedule {
  /** Milliseconds from the start to the next arrival, or undefined at the end. */
  next(): number | undefined;
}

/** Arrivals with exponential gaps (a Poisson process) at a constant mean rate. */
export class PoissonSchedule implements ArrivalSchedule {
  private at = 0;

  public constructor(
    private readonly ratePerSecond: number,
    private readonly durationMilliseconds: number,
    private readonly random: () => number,
  ) {}

  public next(): number | undefined {
    this.at += (-Math.log(1 - this.random()) * 1_000) / this.ratePerSecond;
    return this.at <= this.durationMilliseconds ? this.at : undefined;
  }
}

/** A small seeded generator (mulberry32), so that a run's arrivals can be repeated. */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
