import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptEnd, SeededRandomSource } from '../../src/index.js';
import type { LoadReport, RouterContract, Target } from '../../src/index.js';
import { at, load, none, routerWith, shares, target } from './setup.js';

interface PreferenceCase {
  readonly failure: string;
  readonly targets: readonly Target[];
  readonly reports: Readonly<Record<string, LoadReport>>;
  readonly chosen: string;
}

const preferenceCases: readonly PreferenceCase[] = [
  {
    chosen: 'one',
    failure: 'a loaded target is preferred to an idle one',
    reports: { one: load(1), two: load(9) },
    targets: [target('one'), target('two')],
  },
  {
    chosen: 'two',
    failure: 'equal counts hide that one target has a smaller limit',
    reports: { one: load(3, { limit: 4 }), two: load(3, { limit: 10 }) },
    targets: [target('one'), target('two')],
  },
  {
    chosen: 'one',
    failure: 'a request pays for another availability zone without need',
    reports: { one: load(3), two: load(3) },
    targets: [target('one'), target('two', { availabilityZone: 'b' })],
  },
  {
    chosen: 'two',
    failure: 'a full zone is preferred to an idle one',
    reports: { one: load(10, { queued: 9 }), two: load(0) },
    targets: [target('one'), target('two', { availabilityZone: 'b' })],
  },
  {
    chosen: 'one',
    failure: 'a short queue at a slow server is preferred to a longer one at a fast server',
    reports: { one: load(5), three: load(5), two: load(2, { latencyMilliseconds: 100 }) },
    targets: [target('one'), target('two'), target('three', { availabilityZone: 'b' })],
  },
  {
    chosen: 'one',
    failure: 'a draining target gets new work',
    reports: { one: load(9), two: load(0) },
    targets: [target('one'), target('two', { draining: true })],
  },
  {
    chosen: 'one',
    failure: 'a target whose gate reports draining gets new work',
    reports: { one: load(9), two: load(0, { state: 'draining' }) },
    targets: [target('one'), target('two')],
  },
  {
    chosen: 'one',
    failure: 'another region is used while the own one has targets',
    reports: { one: load(9), two: load(0) },
    targets: [target('one'), target('two', { region: 'far' })],
  },
];

for (const { chosen, failure, reports, targets } of preferenceCases) {
  test(`never: ${failure}`, () => {
    const router = routerWith(targets);
    for (const [server, report] of Object.entries(reports)) {
      for (let answer = 0; answer < 30; answer += 1) {
        router.concluded(server, AttemptEnd.Answered, 20, at(1));
      }
      router.reported(server, report, at(1));
    }
    assert.equal([...shares(router, 2, 50).keys()], [chosen]);
  });
}

test('requests sent since the report count, so that a burst is spread before the next report', () => {
  const router = routerWith(['one', 'two', 'three'].map((server) => target(server)));
  router.reported('one', load(0), at(1));
  router.reported('two', load(2), at(1));
  router.reported('three', load(4), at(1));
  for (let call = 0; call < 24; call += 1) {
    const server = router.choose('lookup', none, at(1))?.server ?? '';
    router.sent(server, at(1));
  }
  // 24 requests on loads of 0, 2 and 4 are even at 10 each.
  for (const server of ['one', 'two', 'three']) {
    assert.is(router.chooseServer('lookup', server, at(1)), undefined);
  }
});

function conclude(router: RouterContract, server: string, end: AttemptEnd, count: number): void {
  for (let call = 0; call < count; call += 1) {
    router.concluded(server, end, end === AttemptEnd.Failed ? 1 : 20, at(10));
  }
}

interface ShunCase {
  readonly failure: string;
  readonly spoil: (router: RouterContract) => void;
  readonly isShunned: boolean;
}

const shunCases: readonly ShunCase[] = [
  {
    failure: 'a server that fails at once attracts the load',
    isShunned: true,
    spoil: (router) => {
      conclude(router, 'bad', AttemptEnd.Failed, 4);
    },
  },
  {
    failure: 'a server that cannot be reached gets more requests',
    isShunned: true,
    spoil: (router) => {
      conclude(router, 'bad', AttemptEnd.Unreachable, 1);
    },
  },
  {
    failure: 'a server that became slow keeps its share',
    isShunned: true,
    spoil: (router) => {
      for (let call = 0; call < 12; call += 1) {
        router.concluded('bad', AttemptEnd.Answered, 100, at(10));
      }
    },
  },
  {
    failure: 'one failure takes a healthy server away',
    isShunned: false,
    spoil: (router) => {
      conclude(router, 'bad', AttemptEnd.Answered, 10);
      conclude(router, 'bad', AttemptEnd.Failed, 1);
    },
  },
  {
    failure: 'a cold server is shunned as slow, so that it never warms up',
    isShunned: false,
    spoil: (router) => {
      router.reported('bad', load(1, { limit: 2, state: 'warming' }), at(10));
      for (let call = 0; call < 12; call += 1) {
        router.concluded('bad', AttemptEnd.Answered, 100, at(10));
      }
    },
  },
  {
    failure: 'refusals, which cost nothing, count as failures',
    isShunned: false,
    spoil: (router) => {
      conclude(router, 'bad', AttemptEnd.Refused, 20);
    },
  },
];

function healthyAndSpoiled(spoil: (router: RouterContract) => void): RouterContract {
  const servers = ['one', 'two', 'three', 'bad'];
  const router = routerWith(servers.map((server) => target(server)));
  for (const server of servers.slice(0, 3)) conclude(router, server, AttemptEnd.Answered, 20);
  spoil(router);
  return router;
}

for (const { failure, isShunned, spoil } of shunCases) {
  test(`never: ${failure}`, () => {
    const router = healthyAndSpoiled(spoil);
    // With the others loaded, only the shun keeps requests from the idle target.
    for (const server of ['one', 'two', 'three']) router.reported(server, load(9), at(10));
    router.reported('bad', load(0), at(10));
    assert.is(shares(router, 11).has('bad'), !isShunned);
  });
}

test('targets that all fail half of their requests stay in the choice most of the time', () => {
  const servers = ['one', 'two', 'three', 'four'];
  const router = routerWith(servers.map((server) => target(server)));
  const random = new SeededRandomSource(9);
  let shunned = 0;
  for (let call = 0; call < 4_000; call += 1) {
    const server = router.choose('lookup', none, at(10 * call))?.server ?? '';
    router.sent(server, at(10 * call));
    const end = random.next() < 0.5 ? AttemptEnd.Failed : AttemptEnd.Answered;
    router.concluded(server, end, 5, at(10 * call + 5));
    for (const each of servers) {
      if (router.chooseServer('lookup', each, at(10 * call + 5)) === undefined) shunned += 1;
    }
  }
  assert.ok(shunned < 0.1 * 4 * 4_000, `${shunned} of 16000`);
});

test('a shunned server gets one trial, and a growing share after its success', () => {
  const router = healthyAndSpoiled((each) => {
    conclude(each, 'bad', AttemptEnd.Failed, 4);
  });
  assert.is(shares(router, 300).get('bad'), 1);
  router.concluded('bad', AttemptEnd.Answered, 20, at(320));
  for (const server of ['one', 'two', 'three', 'bad']) router.reported(server, load(2), at(320));
  const early = shares(router, 330).get('bad') ?? 0;
  for (const server of ['one', 'two', 'three', 'bad']) router.reported(server, load(2), at(2_400));
  const late = shares(router, 2_400).get('bad') ?? 0;
  assert.is(early, 0);
  assert.ok(late > 100, `${late} of 600`);
});

test('failed trials are further and further apart, at most 10 s', () => {
  const router = healthyAndSpoiled((each) => {
    conclude(each, 'bad', AttemptEnd.Failed, 4);
  });
  const trials: number[] = [];
  for (let now = 20; now < 60_000; now += 10) {
    if (router.choose('lookup', none, at(now))?.server !== 'bad') continue;
    trials.push(now);
    router.concluded('bad', AttemptEnd.Failed, 1, at(now + 1));
  }
  const gaps = trials.slice(1).map((time, index) => time - (trials[index] ?? 0));
  assert.ok(gaps.every((gap, index) => index === 0 || gap >= (gaps[index - 1] ?? 0) - 10));
  assert.ok(Math.max(...gaps) <= 10_020, `${Math.max(...gaps)}`);
  assert.ok(trials.length < 14, `${trials.length}`);
});

test('a call that cannot be repeated is not the trial while another call may be', () => {
  const router = healthyAndSpoiled((each) => {
    conclude(each, 'bad', AttemptEnd.Failed, 4);
  });
  assert.is.not(router.choose('lookup', none, at(300), true)?.server, 'bad');
  assert.is(router.choose('lookup', none, at(1_400), true)?.server, 'bad');
});

test('when every target is shunned, the choice is made among all of them', () => {
  const router = routerWith([target('one'), target('two')]);
  for (const server of ['one', 'two']) conclude(router, server, AttemptEnd.Unreachable, 1);
  assert.is(shares(router, 11).size, 2);
});

test('a call that the open targets refused goes to a slow target, never to a failing one', () => {
  const spoilers = {
    failing: { chosen: undefined, end: AttemptEnd.Failed, latency: 1 },
    slow: { chosen: 'bad', end: AttemptEnd.Answered, latency: 100 },
  };
  for (const { chosen, end, latency } of Object.values(spoilers)) {
    const router = healthyAndSpoiled((each) => {
      for (let call = 0; call < 12; call += 1) each.concluded('bad', end, latency, at(10));
    });
    const refused = new Set(['one', 'two', 'three']);
    assert.is(router.choose('lookup', refused, at(11))?.server, chosen);
  }
});

test('a new target has a small share until its gate reports a limit of its own', () => {
  const router = routerWith([], { rampMilliseconds: 10_000 });
  router.upsert(target('old'), at(-20_000));
  router.upsert(target('new'), at(0));
  router.reported('old', load(2), at(1));
  assert.is(shares(router, 2).get('new') ?? 0, 0);
  router.reported('new', load(1, { limit: 2, state: 'warming' }), at(3));
  router.reported('old', load(2), at(3));
  assert.is(shares(router, 3).get('new') ?? 0, 0);
  router.reported('new', load(0, { limit: 8, state: 'warming' }), at(4));
  router.reported('old', load(2), at(4));
  assert.ok((shares(router, 4).get('new') ?? 0) > 0);
});

test('probes are due after silence, only while the service is used, and within the budget', () => {
  const servers = Array.from({ length: 300 }, (_, index) => target(`s${index}`));
  const router = routerWith(servers);
  assert.is(router.dueForProbe(at(2_000)).length, 0);
  let probes = 0;
  for (let now = 2_000; now < 6_000; now += 10) {
    router.choose('lookup', none, at(now));
    probes += router.dueForProbe(at(now)).length;
  }
  // 3 a second for 4 seconds, and the 3 that the bucket holds at first.
  assert.ok(probes >= 12 && probes <= 15, `${probes}`);
  assert.is(router.dueForProbe(at(60_000)).length, 0);
});

test('a choice is never an excluded target, and there is one whenever a target is left', () => {
  fc.assert(
    fc.property(
      fc.integer({ max: 8, min: 1 }),
      fc.array(fc.integer({ max: 7, min: 0 }), { maxLength: 7 }),
      fc.integer(),
      (count, excludedIndexes, seed) => {
        const targets = Array.from({ length: count }, (_, index) =>
          target(`s${index}`, { availabilityZone: index % 2 === 0 ? 'a' : 'b' }),
        );
        const router = routerWith(targets, {}, seed);
        const excluded = new Set(excludedIndexes.map((index) => `s${index}`));
        const chosen = router.choose('lookup', excluded, at(1));
        const left = targets.filter((each) => !excluded.has(each.server));
        assert.is(chosen !== undefined, left.length > 0);
        assert.not.ok(chosen !== undefined && excluded.has(chosen.server));
      },
    ),
    { numRuns: 500, seed: 11 },
  );
});

test.run();
