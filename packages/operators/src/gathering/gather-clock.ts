/** The time that gathering runs on; a simulation supplies its own. */
export interface GatherClock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Runs the action once after the delay; the returned function prevents that. */
  after(milliseconds: number, action: () => void): () => void;
}

/** The process's own monotonic clock and timers. */
export const systemGatherClock: GatherClock = {
  now: () => performance.now(),
  after: (milliseconds, action) => {
    const timer = setTimeout(action, milliseconds);
    return () => {
      clearTimeout(timer);
    };
  },
};
