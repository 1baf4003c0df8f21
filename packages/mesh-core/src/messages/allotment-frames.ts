/**
 * What a node has left of a tenant's grant, needs at once, would like to have ahead of need, and gives back.
 * A tuple, since the field names would be most of the frame.
 */
export type AllotmentNeed = readonly [
  tenant: string,
  unspent: number,
  needed: number,
  ahead: number,
  returned: number,
];

/** How many requests of a tenant the node may make from now on, and in what time to ask again if it needed more. */
export type AllotmentGrant = readonly [tenant: string, total: number, retryMilliseconds: number];

/** Sent to the broker of a group of tenants: renews the sender's loan and asks for requests. */
export interface AllotmentAskFrame {
  readonly kind: 'allotment-ask';
  readonly group: number;
  /** Increases with each frame of a process. */
  readonly number: number;
  /**
   * Number of nodes among which the sender divides the allotments; it lends its part of those of the group. 0 if it lends
   * nothing.
   */
  readonly shareCount: number;
  /** The newest `stamp` of the broker; without it, nothing is lent. */
  readonly stamp?: number | undefined;
  /** Whether the sender wants its share back, because it has chosen another broker. */
  readonly isReturning: boolean;
  /** Tenants that are not listed have nothing left. */
  readonly needs: readonly AllotmentNeed[];
}

/** The broker's answer. */
export interface AllotmentGrantFrame {
  readonly kind: 'allotment-grant';
  readonly group: number;
  /** That of the frame which is answered. */
  readonly number: number;
  /** Time on the broker's clock in whole milliseconds, rounded down, which the next ask repeats. */
  readonly stamp: number;
  /** Whether the broker no longer uses the share of the node. */
  readonly isReturned: boolean;
  /** Whether the broker's process stops. */
  readonly isLeaving: boolean;
  readonly grants: readonly AllotmentGrant[];
}
