import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { simulateKinds, slotsPerServer } from './virtual-mesh/simulate-kinds.js';
import type { KindOutcomes, OfferedKind } from './virtual-mesh/simulate-kinds.js';

/** Slots of the servers of one of two services, and of the only service. */
const slotsOfHalf = 4 * slotsPerServer;
const allSlots = 2 * slotsOfHalf;

/** Share of their capacity that servers must use for answers in time, as in the tests of one kind of request. */
const usedCapacityShare = 0.85;
/** No kind may be served less often than this share of how often all requests are. */
const starvationShare = 0.25;
/** At most this share of the callers may return in vain: nine in ten are to be served or not to return. */
const maximumRefusedAgainShare = 0.1;

interface KindsCase {
  readonly name: string;
  readonly kinds: readonly OfferedKind[];
  /** The kind that must hardly notice the load, and the minimum share of its requests that must be answered in time. */
  readonly urgent?: { readonly kind: string; readonly minimumInTime: number };
}

const plan: OfferedKind = {
  calls: 'fetch',
  name: 'plan',
  priority: 1,
  requestsPerSecond: 60,
  service: 'front',
  targetMilliseconds: 428,
  timeoutMilliseconds: 1_069,
  workMilliseconds: 87,
};
const fetch: OfferedKind = {
  name: 'fetch',
  priority: 1,
  requestsPerSecond: 0,
  service: 'records',
  targetMilliseconds: 124,
  timeoutMilliseconds: 311,
  workMilliseconds: 22,
};
const history: OfferedKind = {
  name: 'history',
  priority: 2,
  requestsPerSecond: 1.3 * (slotsOfHalf / 0.343),
  service: 'records',
  targetMilliseconds: 2_025,
  timeoutMilliseconds: 2_531,
  workMilliseconds: 343,
};
const lookup: OfferedKind = {
  name: 'lookup',
  priority: 1,
  requestsPerSecond: 0.8 * (allSlots / 0.1),
  service: 'shop',
  targetMilliseconds: 500,
  timeoutMilliseconds: 2_000,
  workMilliseconds: 100,
};
const lodge: OfferedKind = {
  ...lookup,
  name: 'lodge',
  requestsPerSecond: 0.8 * (allSlots / 0.05),
  targetMilliseconds: 250,
  workMilliseconds: 50,
};

const cases: readonly KindsCase[] = [
  {
    kinds: [plan, fetch, history],
    name: 'calls that wait behind long, less urgent requests at 1.3 times the capacity',
    urgent: { kind: 'plan', minimumInTime: 0.95 },
  },
  {
    kinds: [
      { ...lodge, priority: 0, requestsPerSecond: 0.5 * (allSlots / 0.05) },
      { ...lookup, priority: 2, requestsPerSecond: 1.2 * (allSlots / 0.1) },
    ],
    name: 'urgent requests beside less urgent ones that are more than the servers can take',
    urgent: { kind: 'lodge', minimumInTime: usedCapacityShare },
  },
  { kinds: [lodge, lookup], name: 'short and long requests of one priority' },
];

for (const { kinds, name, urgent } of cases) {
  test(`${name}: what is delayed or refused costs callers least`, async () => {
    const outcomes = await simulateKinds({ kinds, seed: 1 });
    const all = [...outcomes.values()];
    const sum = (valueOf: (kind: KindOutcomes) => number): number =>
      all.reduce((total, kind) => total + valueOf(kind), 0);
    if (urgent !== undefined) {
      const { inTime = 0, sent = 1 } = outcomes.get(urgent.kind) ?? {};
      const share = (inTime / sent).toFixed(3);
      assert.ok(inTime >= urgent.minimumInTime * sent, `${urgent.kind}: ${share} in time`);
    }
    const servedShare = sum(({ inTime, late }) => inTime + late) / sum(({ sent }) => sent);
    for (const [kind, { inTime, late, sent }] of outcomes) {
      const share = (inTime + late) / sent;
      assert.ok(share >= starvationShare * servedShare, `${kind}: ${share.toFixed(3)} served`);
    }
    // Callers were told the length of one queue, and half of those that were refused came back in vain.
    const refusedAgain = sum(({ returned, servedAfterReturn }) => returned - servedAfterReturn);
    const refusedAgainShare = refusedAgain / sum(({ sent }) => sent);
    assert.ok(
      refusedAgainShare <= maximumRefusedAgainShare,
      `${refusedAgainShare.toFixed(3)} refused again`,
    );
  });
}

test.run();
