/** Identity and location of a node. A restart under the same server name has a higher incarnation. */
export interface NodeIdentity {
  /** Unique name of the server that the node runs on. */
  readonly server: string;
  /** Start time of the process in Unix milliseconds; increased to refute a suspicion. */
  readonly incarnation: number;
  readonly availabilityZone: string;
  readonly region: string;
  /** `host:port` on which the node accepts connections from other nodes. */
  readonly peerAddress: string;
}

/** One incarnation of a server's node, as identified in home tables. */
export interface ServerIncarnation {
  readonly server: string;
  readonly incarnation: number;
}
