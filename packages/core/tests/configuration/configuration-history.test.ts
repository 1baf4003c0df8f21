import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  emptyConfiguration,
  serviceDefaults,
  type Configuration,
  type ServiceConfiguration,
} from '../../src/index.js';
import {
  applyChange,
  changesOverlap,
  describeChangedParts,
  diffConfigurations,
} from '../../src/configuration/configuration-change.js';
import { ConfigurationHistory } from '../../src/configuration/configuration-history.js';
import {
  decodePage,
  decodeRoot,
  emptyRoot,
  encodeRoot,
} from '../../src/configuration/store-layout.js';

function service(name: string, rampMilliseconds: number): ServiceConfiguration {
  return { ...serviceDefaults, name, rampMilliseconds };
}

function configurationOf(
  revision: number,
  ramps: Readonly<Record<string, number>>,
  drainedServers: readonly string[] = [],
): Configuration {
  const entries = Object.entries(ramps).map(([name, ramp]) => [name, service(name, ramp)] as const);
  const services = Object.fromEntries(entries);
  return { ...emptyConfiguration, revision, services, drainedServers };
}

const base = configurationOf(1, { a: 1, b: 1 }, ['s1']);

/** Two changes of the same base, and whether they conflict. */
const overlapTable: readonly (readonly [Configuration, Configuration, boolean])[] = [
  [configurationOf(1, { a: 2, b: 1 }, ['s1']), configurationOf(1, { a: 1, b: 2 }, ['s1']), false],
  [configurationOf(1, { a: 2, b: 1 }, ['s1']), configurationOf(1, { a: 3, b: 1 }, ['s1']), true],
  [configurationOf(1, { b: 1 }, ['s1']), configurationOf(1, { a: 2, b: 1 }, ['s1']), true],
  [configurationOf(1, { a: 1, b: 1 }), configurationOf(1, { a: 1, b: 1 }, ['s1', 's2']), false],
  [configurationOf(1, { a: 1, b: 1 }), configurationOf(1, { a: 2, b: 1 }, []), true],
];

for (const [index, [left, right, isOverlap]] of overlapTable.entries()) {
  test(`overlap row ${index}: only changes of different parts may be combined`, () => {
    const changes = [diffConfigurations(base, left), diffConfigurations(base, right)] as const;
    assert.is(changesOverlap(...changes), isOverlap);
  });
}

test('changed services, servers and zones are named for operators, and the order of fields is ignored', () => {
  const reordered = { ...base, services: { b: { ...service('b', 1) }, a: { ...service('a', 1) } } };
  assert.equal(describeChangedParts(diffConfigurations(base, reordered)), []);
  const changed = configurationOf(2, { a: 1, c: 1 }, ['s2']);
  const parts = ['b', 'c', 'server s1', 'server s2'];
  assert.equal(describeChangedParts(diffConfigurations(base, changed)), parts);
  assert.equal(applyChange(base, diffConfigurations(base, changed), 2), changed);
});

test('a push brings a node from any revision after its base to the same configuration', () => {
  const steps = [
    base,
    configurationOf(2, { a: 2, b: 1 }, ['s1']),
    configurationOf(3, { b: 1, c: 1 }, ['s1']),
    configurationOf(4, { b: 1, c: 1 }, []),
  ];
  const ahead = new ConfigurationHistory();
  for (const step of steps) ahead.advance(step);
  const push = ahead.createPush(1);
  assert.is(push.baseRevision, 1);
  for (const count of [1, 2, 3]) {
    const behind = new ConfigurationHistory();
    for (const step of steps.slice(0, count)) behind.advance(step);
    assert.equal(behind.applyPush(push), steps[3]);
  }
  assert.is(new ConfigurationHistory().applyPush(push), undefined);
  assert.equal(new ConfigurationHistory().applyPush(ahead.createPush(0)), steps[3]);
});

test('an earlier revision is found exactly or not at all, so that no change is rebased on a wrong base', () => {
  const history = new ConfigurationHistory();
  history.advance(base);
  history.advance(configurationOf(4, { a: 2 }));
  assert.equal(history.configurationAt(1), base);
  assert.is(history.configurationAt(2), undefined);
  assert.is(history.advance(configurationOf(3, {})), false);
});

test('the root record stays below 16 KB, and malformed records are rejected', () => {
  const changeId = '0'.repeat(36);
  const pages = emptyRoot.pages.map(() => `${changeId}@${Number.MAX_SAFE_INTEGER}`);
  const changeIds = Array.from({ length: 256 }, () => changeId);
  const root = { revision: Number.MAX_SAFE_INTEGER, pages, drains: pages[0], changeIds };
  assert.ok(encodeRoot(root).length < 16_384);
  assert.equal(decodeRoot(encodeRoot(root)), root);
  for (const text of ['', '{}', '[]', '{"revision":1,"pages":[],"changeIds":[]}']) {
    assert.is(decodeRoot(text), undefined);
  }
  assert.is(decodePage('{"a":1}'), undefined);
});

test.run();
