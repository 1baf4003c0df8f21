/** A source of random numbers seeded by the driver, so that every run is reproducible. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** A small seeded pseudorandom number generator (mulberry32). */
export class SeededRandomSource implements RandomSource {
  private state: number;

  public constructor(seed: number) {
    this.state = seed >>> 0;
  }

  public next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }
}

/** Returns an integer in [0, bound). */
export function nextInteger(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound);
}

/** Returns a random element, or undefined for an empty list. */
export function pickRandom<Element>(
  random: RandomSource,
  elements: readonly Element[],
): Element | undefined {
  return elements[nextInteger(random, elements.length)];
}

/** Returns a shuffled copy. */
export function shuffled<Element>(random: RandomSource, elements: readonly Element[]): Element[] {
  const copy = [...elements];
  for (let last = copy.length - 1; last > 0; last -= 1) {
    const other = nextInteger(random, last + 1);
    const swapped = copy[last];
    copy[last] = copy[other] as Element;
    copy[other] = swapped as Element;
  }
  return copy;
}
