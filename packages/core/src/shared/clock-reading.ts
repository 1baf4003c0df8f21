/** A simultaneous reading of a node's monotonic and wall clocks, in milliseconds. */
export interface ClockReading {
  /** Never goes backwards; used for durations, leases and timeouts. */
  readonly monotonic: number;
  /**
   * Unix time; compared with other nodes' wall clocks only with allowance for the permitted clock
   * skew.
   */
  readonly wall: number;
}
