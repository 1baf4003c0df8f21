/**
 * Share of the slots up to which a server keeps its speed. Servers that share their machine slow down
 * when nearly all of their slots are in use, so that more requests at once take longer in all.
 */
const fullSpeedShare = 0.8;

/** How many requests a server runs at the same time. */
export class ConcurrencyBound {
  private foreign = 0;

  /**
   * The server's own count, with the requests that this gate knows of: the rest were started by an
   * earlier life of the gate and still hold slots.
   */
  public reported(serverRunning: number, ownRunning: number): void {
    this.foreign = Math.max(0, serverRunning - ownRunning);
  }

  /** Slots for requests of callers. */
  public limit(slots: number): number {
    return Math.max(1, Math.floor(slots * fullSpeedShare) - this.foreign);
  }

  /** Slots for nested calls: they may use what callers' requests leave free, so that parents go on. */
  public nestedLimit(slots: number): number {
    return Math.max(1, slots - this.foreign);
  }
}
