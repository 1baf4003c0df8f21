import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptOutcome, SeededRandomSource } from '../../src/index.js';
import type { LoadReport, RouterContract, Target } from '../../src/index.js';
import { at, load, noExclusions, routerWith, countChoices, target } from './setup.js';

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
        router.onAttemptEnded(server, AttemptOutcome.Answered, 20, at(1));
      }
      router.onLoadReport(server, report, at(1));
    }
    assert.equal([...countChoices(router, 2, 50).keys()], [chosen]);
  });
}

test('requests sent since the last report count as load, so that a burst is distributed evenly', () => {
  const router = routerWith(['one', 'two', 'three'].map((server) => target(server)));
  router.onLoadReport('one', load(0), at(1));
  router.onLoadReport('two', load(2), at(1));
  router.onLoadReport('three', load(4), at(1));
  for (let call = 0; call < 24; call += 1) {
    const server = router.choose('lookup', noExclusions, at(1))?.server ?? '';
    router.onSent(server, at(1));
  }
  // Loads of 0, 2 and 4 plus 24 requests are evenly distributed at 10 each, which is the limit.
  for (const server of ['one', 'two', 'three']) {
    assert.is(router.chooseServer('lookup', server, at(1)), undefined);
  }
});

function endAttempts(
  router: RouterContract,
  server: string,
  end: AttemptOutcome,
  count: number,
): void {
  for (let call = 0; call < count; call += 1) {
    router.onAttemptEnded(server, end, end === AttemptOutcome.Failed ? 1 : 20, at(10));
  }
}

interface EjectionCase {
  readonly failure: string;
  readonly degrade: (router: RouterContract) => void;
  readonly isEjected: boolean;
}

const ejectionCases: readonly EjectionCase[] = [
  {
    failure: 'a server that fails immediately attracts the load',
    isEjected: true,
    degrade: (router) => {
      endAttempts(router, 'bad', AttemptOutcome.Failed, 4);
    },
  },
  {
    failure: 'a server that cannot be reached gets more requests',
    isEjected: true,
    degrade: (router) => {
      endAttempts(router, 'bad', AttemptOutcome.Unreachable, 1);
    },
  },
  {
    failure: 'a server that became slow keeps its share',
    isEjected: true,
    degrade: (router) => {
      for (let call = 0; call < 12; call += 1) {
        router.onAttemptEnded('bad', AttemptOutcome.Answered, 100, at(10));
      }
    },
  },
  {
    failure: 'a single failure ejects a healthy server',
    isEjected: false,
    degrade: (router) => {
      endAttempts(router, 'bad', AttemptOutcome.Answered, 10);
      endAttempts(router, 'bad', AttemptOutcome.Failed, 1);
    },
  },
  {
    failure: 'a cold server is ejected as slow, so that it never warms up',
    isEjected: false,
    degrade: (router) => {
      router.onLoadReport('bad', load(1, { limit: 2, state: 'warming' }), at(10));
      for (let call = 0; call < 12; call += 1) {
        router.onAttemptEnded('bad', AttemptOutcome.Answered, 100, at(10));
      }
    },
  },
  {
    failure: 'refusals, which cost the server nothing, count as failures',
    isEjected: false,
    degrade: (router) => {
      endAttempts(router, 'bad', AttemptOutcome.Refused, 20);
    },
  },
];

function routerWithDegradedTarget(degrade: (router: RouterContract) => void): RouterContract {
  const servers = ['one', 'two', 'three', 'bad'];
  const router = routerWith(servers.map((server) => target(server)));
  for (const server of servers.slice(0, 3))
    endAttempts(router, server, AttemptOutcome.Answered, 20);
  degrade(router);
  return router;
}

for (const { failure, isEjected: isEjected, degrade: degrade } of ejectionCases) {
  test(`never: ${failure}`, () => {
    const router = routerWithDegradedTarget(degrade);
    // As the others are loaded, only an ejection keeps requests from the idle target.
    for (const server of ['one', 'two', 'three']) router.onLoadReport(server, load(9), at(10));
    router.onLoadReport('bad', load(0), at(10));
    assert.is(countChoices(router, 11).has('bad'), !isEjected);
  });
}

test('targets that all fail half of their requests are rarely ejected', () => {
  const servers = ['one', 'two', 'three', 'four'];
  const router = routerWith(servers.map((server) => target(server)));
  const random = new SeededRandomSource(9);
  let ejections = 0;
  for (let call = 0; call < 4_000; call += 1) {
    const server = router.choose('lookup', noExclusions, at(10 * call))?.server ?? '';
    router.onSent(server, at(10 * call));
    const end = random.next() < 0.5 ? AttemptOutcome.Failed : AttemptOutcome.Answered;
    router.onAttemptEnded(server, end, 5, at(10 * call + 5));
    for (const each of servers) {
      if (router.chooseServer('lookup', each, at(10 * call + 5)) === undefined) ejections += 1;
    }
  }
  assert.ok(ejections < 0.1 * 4 * 4_000, `${ejections} of 16000`);
});

test('an ejected server gets one trial request, and a growing share after the trial succeeds', () => {
  const router = routerWithDegradedTarget((each) => {
    endAttempts(each, 'bad', AttemptOutcome.Failed, 4);
  });
  assert.is(countChoices(router, 300).get('bad'), 1);
  router.onAttemptEnded('bad', AttemptOutcome.Answered, 20, at(320));
  for (const server of ['one', 'two', 'three', 'bad'])
    router.onLoadReport(server, load(2), at(320));
  const early = countChoices(router, 330).get('bad') ?? 0;
  for (const server of ['one', 'two', 'three', 'bad'])
    router.onLoadReport(server, load(2), at(2_400));
  const late = countChoices(router, 2_400).get('bad') ?? 0;
  assert.is(early, 0);
  assert.ok(late > 100, `${late} of 600`);
});

test('the time between failing trials grows, up to 10 s', () => {
  const router = routerWithDegradedTarget((each) => {
    endAttempts(each, 'bad', AttemptOutcome.Failed, 4);
  });
  const trials: number[] = [];
  for (let now = 20; now < 60_000; now += 10) {
    if (router.choose('lookup', noExclusions, at(now))?.server !== 'bad') continue;
    trials.push(now);
    router.onAttemptEnded('bad', AttemptOutcome.Failed, 1, at(now + 1));
  }
  const gaps = trials.slice(1).map((time, index) => time - (trials[index] ?? 0));
  assert.ok(gaps.every((gap, index) => index === 0 || gap >= (gaps[index - 1] ?? 0) - 10));
  assert.ok(Math.max(...gaps) <= 10_020, `${Math.max(...gaps)}`);
  assert.ok(trials.length < 14, `${trials.length}`);
});

test('a call that cannot be sent again becomes the trial only if no other call has for a time', () => {
  const router = routerWithDegradedTarget((each) => {
    endAttempts(each, 'bad', AttemptOutcome.Failed, 4);
  });
  assert.is.not(router.choose('lookup', noExclusions, at(300), true)?.server, 'bad');
  assert.is(router.choose('lookup', noExclusions, at(1_400), true)?.server, 'bad');
});

test('if every target is ejected, all of them are chosen from', () => {
  const router = routerWith([target('one'), target('two')]);
  for (const server of ['one', 'two']) endAttempts(router, server, AttemptOutcome.Unreachable, 1);
  assert.is(countChoices(router, 11).size, 2);
});

test('a call that all open targets refused goes to an ejected slow target, never to a failing one', () => {
  const degradations = {
    failing: { chosen: undefined, end: AttemptOutcome.Failed, latency: 1 },
    slow: { chosen: 'bad', end: AttemptOutcome.Answered, latency: 100 },
  };
  for (const { chosen, end, latency } of Object.values(degradations)) {
    const router = routerWithDegradedTarget((each) => {
      for (let call = 0; call < 12; call += 1) each.onAttemptEnded('bad', end, latency, at(10));
    });
    const refused = new Set(['one', 'two', 'three']);
    assert.is(router.choose('lookup', refused, at(11))?.server, chosen);
  }
});

test('a new target has a small share until its gate reports a limit', () => {
  const router = routerWith([], { rampMilliseconds: 10_000 });
  router.upsert(target('old'), at(-20_000));
  router.upsert(target('new'), at(0));
  router.onLoadReport('old', load(2), at(1));
  assert.is(countChoices(router, 2).get('new') ?? 0, 0);
  router.onLoadReport('new', load(1, { limit: 2, state: 'warming' }), at(3));
  router.onLoadReport('old', load(2), at(3));
  assert.is(countChoices(router, 3).get('new') ?? 0, 0);
  router.onLoadReport('new', load(0, { limit: 8, state: 'warming' }), at(4));
  router.onLoadReport('old', load(2), at(4));
  assert.ok((countChoices(router, 4).get('new') ?? 0) > 0);
});

test('probes are due without recent reports, only while the service is used, and within the budget', () => {
  const servers = Array.from({ length: 300 }, (_, index) => target(`s${index}`));
  const router = routerWith(servers);
  assert.is(router.targetsDueForProbe(at(2_000)).length, 0);
  let probes = 0;
  for (let now = 2_000; now < 6_000; now += 10) {
    router.choose('lookup', noExclusions, at(now));
    probes += router.targetsDueForProbe(at(now)).length;
  }
  // 3 per second for 4 seconds, and the 3 tokens that the bucket contains initially.
  assert.ok(probes >= 12 && probes <= 15, `${probes}`);
  assert.is(router.targetsDueForProbe(at(60_000)).length, 0);
});

test('an excluded target is never chosen, and a target is chosen whenever one is left', () => {
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
