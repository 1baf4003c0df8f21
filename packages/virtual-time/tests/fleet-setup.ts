import fc from 'fast-check';

import { faultKinds } from '../src/fleet-faults.js';
import type { FaultKind, FleetFault } from '../src/fleet-faults.js';
import { fleetServers } from '../src/fleet-run.js';

/** Random faults of the given kinds that begin while earlier ones last. */
export function arbitraryFaults(
  kinds: readonly FaultKind[] = faultKinds,
  maximum = 6,
): fc.Arbitrary<FleetFault[]> {
  return fc.array(
    fc.record({
      durationMilliseconds: fc.constantFrom(300, 1_500, 4_000, 9_000),
      index: fc.nat(fleetServers().length - 1),
      kind: fc.constantFrom(...kinds),
      waitMilliseconds: fc.constantFrom(50, 700, 3_000, 6_000),
    }),
    { maxLength: maximum, minLength: 2 },
  );
}

/** Seeds whose whole range is drawn from, which `fc.nat` does not do. */
export const arbitrarySeed = fc.noBias(fc.nat(1_000_000));
