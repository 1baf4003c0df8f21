/** Availability zone and region of a node. */
export interface Location {
  readonly availabilityZone: string;
  readonly region: string;
}

/** Identifies an availability zone among those of all regions. */
export function zoneKey({ availabilityZone, region }: Location): string {
  return `${region}/${availabilityZone}`;
}

/** Whether two nodes are in the same availability zone. The names of zones are unique only within a region. */
export function isSameZone(first: Location, second: Location): boolean {
  return first.availabilityZone === second.availabilityZone && first.region === second.region;
}
