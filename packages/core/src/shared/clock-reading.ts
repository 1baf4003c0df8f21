/** A reading of both clocks of a node, in milliseconds. */
export interface ClockReading {
  /** Never goes backwards; stands for durations, leases and timeouts. */
  readonly monotonic: number;
  /** Unix time; only compared with other nodes' wall clocks within the allowed skew. */
  readonly wall: number;
}
