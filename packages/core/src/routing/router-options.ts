import type { ZoneTopology } from './power-of-choices-policy.js';
import type { SelectionPolicy } from './selection-policy.js';

/** One-way delay to another availability zone if the settings contain none. */
const defaultZoneDelayMilliseconds = 1;

/** Location of the entry, and options that benchmarks vary. */
export interface RouterOptions {
  readonly availabilityZone: string;
  readonly region: string;
  /** One-way delays to other availability zones in milliseconds. */
  readonly zoneDelays?: Readonly<Record<string, number>>;
  /** Defaults to `PowerOfChoicesPolicy`. */
  readonly policy?: SelectionPolicy;
  /** Whether slow and failing targets are ejected; true by default. */
  readonly outlierEjection?: boolean;
  /** Time over which the share of a new target grows; 0 gives it the full share at once. */
  readonly rampMilliseconds?: number;
}

/** Returns the delays from the settings, with the default for zones that the settings omit. */
export function createZoneTopology(options: RouterOptions): ZoneTopology {
  return {
    availabilityZone: options.availabilityZone,
    delayTo: (zone) =>
      zone === options.availabilityZone
        ? 0
        : (options.zoneDelays?.[zone] ?? defaultZoneDelayMilliseconds),
  };
}
