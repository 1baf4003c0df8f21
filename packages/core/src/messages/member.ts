export const MemberState = {
  Dead: 'dead',
  Draining: 'draining',
  Left: 'left',
  Serving: 'serving',
  Suspect: 'suspect',
  Warming: 'warming',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** The record of a node and its upstream that nodes gossip to each other. */
export interface MemberRecord {
  readonly server: string;
  readonly incarnation: number;
  readonly availabilityZone: string;
  readonly region: string;
  readonly peerAddress: string;
  /** Undefined while no upstream has announced itself to the node. */
  readonly service: string | undefined;
  readonly slots: number;
  readonly state: MemberState;
  /**
   * Start time of the process in Unix milliseconds. Unlike the incarnation it does not change when a
   * suspicion is refuted or a change is announced, so a change of it indicates a restart.
   */
  readonly startedAt?: number | undefined;
}

/** The availability zones that are unreachable from the zone of the reporting bridge. */
export interface ZoneReachability {
  /** All unreachable zones; every other zone is reachable. */
  readonly unreachable: readonly string[];
  /**
   * Orders the reports: wall time of the bridge, increased if necessary to exceed all earlier
   * reports.
   */
  readonly at: number;
}

/** An upstream's announcement of itself to the node beside it. */
export interface UpstreamAnnouncement {
  readonly service: string;
  /** `host:port` of the upstream's HTTP server. */
  readonly address: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** Number of connections that it accepts. */
  readonly connections: number;
}
