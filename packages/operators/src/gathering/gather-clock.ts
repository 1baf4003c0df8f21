/** Clock and timers for asking other nodes. A simulation supplies its own. */
export interface GatherClock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Runs an action once after a delay. The returned function cancels it. */
  after(milliseconds: number, action: () => void): () => void;
}

/** The monotonic clock and the timers of the process. */
export const systemGatherClock: GatherClock = {
  now: () => performance.now(),
  after: (milliseconds, action) => {
    const timer = setTimeout(action, milliseconds);
    return () => {
      clearTimeout(timer);
    };
  },
};
