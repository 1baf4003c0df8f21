export const MemberState = {
  Dead: 'dead',
  Draining: 'draining',
  Left: 'left',
  Serving: 'serving',
  Suspect: 'suspect',
  Warming: 'warming',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** What nodes tell each other of a node and the upstream beside it. */
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
   * Start of the process in Unix milliseconds. Unlike the incarnation it stays the same when a
   * suspicion is refuted or a change is announced, so it tells a restart from those.
   */
  readonly startedAt?: number | undefined;
}

/** The availability zones that can't be reached from the zone of the bridge that says so. */
export interface ZoneReachability {
  /** Every unreachable zone; all others can be reached. */
  readonly unreachable: readonly string[];
  /** Orders the statements: wall time of the bridge, raised above earlier statements. */
  readonly at: number;
}

/** What an upstream says of itself to the node beside it. */
export interface UpstreamAnnouncement {
  readonly service: string;
  /** `host:port` of the upstream's HTTP server. */
  readonly address: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Connections that it accepts. */
  readonly connections: number;
}
