import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EvacuatedZones } from '../../src/index.js';
import type { EvacuationSnapshot } from '../../src/index.js';

/** A snapshot; zones are written as `name@revision`. */
function snapshot(era: number, revision: number, ...zones: readonly string[]): EvacuationSnapshot {
  return {
    era,
    revision,
    zones: zones.map((zone) => {
      const [availabilityZone = '', writtenAt] = zone.split('@');
      return { availabilityZone, revision: Number(writtenAt) };
    }),
  };
}

interface Step {
  readonly offer?: EvacuationSnapshot;
  /** Removed zones, in a change at this era and revision. */
  readonly end?: readonly [era: number, revision: number, zone: string];
  readonly hasChanged?: boolean;
  readonly at?: number;
  readonly zones: readonly string[];
}

/** Name, and steps with the zones that are evacuated after each. */
const cases: readonly (readonly [string, readonly Step[]])[] = [
  [
    'an evacuation begins and ends',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
    ],
  ],
  [
    'several zones at once',
    [
      { offer: snapshot(1, 10, 'b@9', 'a@8'), zones: ['a', 'b'] },
      { end: [1, 12, 'a'], zones: ['b'] },
    ],
  ],
  [
    'an older snapshot neither forgets an evacuation nor brings one back',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { offer: snapshot(1, 8), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(1, 11, 'a@9'), zones: [] },
    ],
  ],
  [
    'a zone is evacuated again after its evacuation ended',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(1, 15, 'a@14'), zones: ['a'] },
    ],
  ],
  [
    'a store restored from a copy without the evacuation: it holds until the operator writes it again',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { offer: snapshot(2, 7), zones: ['a'] },
      { at: 1_000, offer: snapshot(2, 9, 'a@8'), zones: ['a'] },
      { at: 60_000, zones: ['a'] },
      { end: [2, 10, 'a'], zones: [] },
    ],
  ],
  [
    'a store restored from a copy without the evacuation, which the operator does not write again',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { offer: snapshot(2, 7), zones: ['a'] },
      { at: 4_000, zones: ['a'] },
      { at: 6_000, zones: [] },
    ],
  ],
  [
    'a store restored from a copy without the evacuation, which the operator writes again and ends at once',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { offer: snapshot(2, 7), zones: ['a'] },
      { end: [2, 9, 'a'], hasChanged: true, zones: [] },
    ],
  ],
  [
    'a change that is older than the snapshot ends nothing',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { offer: snapshot(2, 7), zones: ['a'] },
      { end: [2, 6, 'a'], hasChanged: false, zones: ['a'] },
    ],
  ],
  [
    'a store restored from a copy that still has an evacuation that ended',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(2, 10, 'a@9'), zones: [] },
      { offer: snapshot(2, 13, 'a@13'), zones: ['a'] },
    ],
  ],
  // Found by seeds 10 and 12 of the virtual mesh: a new evacuation was given the revision of one that had ended.
  [
    'a zone evacuated anew after a restore, with a revision that is given out again',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(2, 7), zones: [] },
      { at: 500, offer: snapshot(2, 9, 'a@9'), zones: [] },
      { at: 1_100, zones: ['a'] },
    ],
  ],
  [
    'the same later after the restore',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(2, 7), zones: [] },
      { at: 2_000, offer: snapshot(2, 9, 'a@9'), zones: ['a'] },
    ],
  ],
  // Found by seed 123 of the virtual mesh.
  [
    'a zone that is evacuated for the second time when the store returns with its first evacuation',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(1, 15, 'a@14'), zones: ['a'] },
      { offer: snapshot(2, 10, 'a@9'), zones: ['a'] },
    ],
  ],
  // Found by seed 98 of the virtual mesh.
  [
    'an evacuation with a revision that is given out again, and another restore right after it',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(2, 7), zones: [] },
      { at: 500, offer: snapshot(2, 9, 'a@9'), zones: [] },
      { at: 1_100, zones: ['a'] },
      { at: 1_200, offer: snapshot(3, 9, 'a@9'), zones: ['a'] },
    ],
  ],
  // Found by seed 254 of the virtual mesh.
  [
    'a zone evacuated anew with a revision that is given out again, which the store loses at once',
    [
      { offer: snapshot(1, 10, 'a@9'), zones: ['a'] },
      { end: [1, 12, 'a'], zones: [] },
      { offer: snapshot(2, 7), zones: [] },
      { at: 500, offer: snapshot(2, 9, 'a@9'), zones: [] },
      { at: 700, offer: snapshot(3, 7), zones: ['a'] },
    ],
  ],
  [
    'a late snapshot of an earlier era is ignored',
    [
      { offer: snapshot(2, 10), zones: [] },
      { offer: snapshot(1, 90, 'a@80'), zones: [] },
    ],
  ],
];

for (const [name, steps] of cases) {
  test(name, () => {
    const evacuatedZones = new EvacuatedZones();
    for (const { at = 0, end, hasChanged, offer, zones } of steps) {
      if (offer !== undefined) evacuatedZones.offer(offer, at);
      if (end !== undefined) {
        const [era, revision, zone] = end;
        const result = evacuatedZones.applyChanges([], [zone], { era, revision }, at);
        if (hasChanged !== undefined) assert.is(result, hasChanged);
      }
      evacuatedZones.tick(at);
      assert.equal(evacuatedZones.names, zones);
    }
  });
}

// Found by seeds of the virtual mesh: a node that restarted after the store had lost an evacuation served in the zone until
// the operator wrote the evacuation again.
test('a node that starts learns from its peers which zones they hold over a restored copy', () => {
  const holding = new EvacuatedZones();
  holding.offer(snapshot(1, 10, 'a@9'), 0);
  holding.offer(snapshot(2, 7), 1_000);
  const started = new EvacuatedZones();
  started.offer(snapshot(1, 2), 2_000);
  const told = holding.latest(2_000);
  assert.ok(told !== undefined && started.offer(told, 2_000));
  assert.equal(started.names, ['a']);
  // The time that is left is passed on, so that a chain of nodes that start does not prolong it.
  assert.ok(started.tick(6_000));
  assert.equal(started.names, []);
});

test('a zone that a peer still holds is not evacuated again once its evacuation has ended', () => {
  const holding = new EvacuatedZones();
  holding.offer(snapshot(1, 10, 'a@9'), 0);
  holding.offer(snapshot(2, 20), 1_000);
  const informed = new EvacuatedZones();
  informed.offer(snapshot(2, 8, 'a@8'), 1_000);
  informed.applyChanges([], ['a'], { era: 2, revision: 12 }, 1_100);
  const told = holding.latest(1_200);
  if (told !== undefined) informed.offer(told, 1_200);
  assert.equal(informed.names, []);
});

test('reports a change only if the evacuated zones differ', () => {
  const evacuatedZones = new EvacuatedZones();
  assert.not(evacuatedZones.offer(snapshot(1, 10), 0));
  assert.ok(evacuatedZones.offer(snapshot(1, 12, 'a@11'), 0));
  assert.not(evacuatedZones.offer(snapshot(1, 20, 'a@11'), 0));
  assert.not(evacuatedZones.offer(snapshot(1, 21, 'a@21'), 0));
  assert.ok(evacuatedZones.applyChanges([], ['a'], { era: 1, revision: 22 }, 0));
});

test.run();
