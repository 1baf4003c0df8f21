import type { ZoneView } from './power-of-choices-policy.js';
import type { SelectionPolicy } from './selection-policy.js';

/** One-way delay to another availability zone when the settings state none. */
const defaultZoneDelayMilliseconds = 1;

/** Where the entry is, and what may be varied in measurements. */
export interface RouterOptions {
  readonly availabilityZone: string;
  readonly region: string;
  /** One-way delays to other availability zones. */
  readonly zoneDelays?: Readonly<Record<string, number>>;
  /** Defaults to power of choices. */
  readonly policy?: SelectionPolicy;
  /** Whether slow and failing targets leave the choice; true by default. */
  readonly shunning?: boolean;
  /** Time over which a new target's share grows; 0 gives it the full share at once. */
  readonly rampMilliseconds?: number;
}

/** Delays to availability zones as the settings state them. */
export function zoneView(options: RouterOptions): ZoneView {
  return {
    availabilityZone: options.availabilityZone,
    delayTo: (zone) =>
      zone === options.availabilityZone
        ? 0
        : (options.zoneDelays?.[zone] ?? defaultZoneDelayMilliseconds),
  };
}
