/** Where a node is. */
export interface Location {
  readonly availabilityZone: string;
  readonly region: string;
}

/** Whether traffic between two nodes stays in one availability zone; regions may use a name of a zone again. */
export function isSameZone(first: Location, second: Location): boolean {
  return first.availabilityZone === second.availabilityZone && first.region === second.region;
}
