import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  describeConfigurationFault,
  emptyConfiguration,
  serviceDefaults,
  validateConfiguration,
} from '../../src/index.js';

const valid = { ...serviceDefaults, name: 'provenance' };
const kind = { name: 'lookup', method: 'GET', pathPrefix: '/', requestClass: 'idempotent' };

function faultsOf(change: object, name = 'provenance'): readonly string[] {
  const services = { [name]: { ...valid, ...change } };
  return validateConfiguration({ ...emptyConfiguration, services }).map(describeConfigurationFault);
}

const validChanges: readonly object[] = [
  {},
  { probeBudgetShare: 0.1, rampMilliseconds: 0, retryBudgetRatio: 1 },
  { defaultDeadlineMilliseconds: 60_000 },
  { requestKinds: [kind, { ...kind, name: 'all', method: '*' }] },
  { tenants: [{ tenant: 'Gemeinde Thun', weight: 0.01 }] },
  { maximumBodyBytes: 0, maximumTenantInFlight: 1, queueLength: 0 },
  { maximumBodyBytes: 1_073_741_824, maximumTenantInFlight: 10_000, queueLength: 1_000 },
];

for (const change of validChanges) {
  test(`accepts ${JSON.stringify(change)}, which is within the limits`, () => {
    assert.equal(faultsOf(change), []);
  });
}

const invalidChanges: readonly (readonly [object, string])[] = [
  [{ probeBudgetShare: 0.11 }, 'probeBudgetShare: expected a number from 0 to 0.1, found 0.11'],
  [{ rampMilliseconds: 1.5 }, 'rampMilliseconds: expected an integer from 0 to 600000, found 1.5'],
  [
    { maximumDeadlineMilliseconds: 0, defaultDeadlineMilliseconds: 1 },
    'maximumDeadlineMilliseconds: expected an integer from 1 to 60000, found 0',
  ],
  [
    { maximumDeadlineMilliseconds: 1_000 },
    'defaultDeadlineMilliseconds: expected at most maximumDeadlineMilliseconds (1000), found 2000',
  ],
  [
    { maximumBodyBytes: -1 },
    'maximumBodyBytes: expected an integer from 0 to 1073741824, found -1',
  ],
  [{ queueLength: null }, 'queueLength: expected an integer from 0 to 1000, found null'],
  [
    { maximumTenantInFlight: 0 },
    'maximumTenantInFlight: expected an integer from 1 to 10000, found 0',
  ],
  [{ hedging: 'yes' }, 'hedging: expected true or false, found "yes"'],
  [{ retryBudgetRatio: Number.NaN }, 'retryBudgetRatio: expected a number from 0 to 1, found null'],
  [{ requestKinds: [kind, kind] }, 'requestKinds: expected each name once, found "lookup"'],
  [
    { requestKinds: [{ ...kind, method: 'get' }] },
    'requestKinds[0].method: expected * or an HTTP method, found "get"',
  ],
  [
    { tenants: [{ tenant: 'a', weight: 0 }] },
    'tenants[0].weight: expected a number from 0.01 to 1000, found 0',
  ],
  [{ tenants: 'all' }, 'tenants: expected a list of at most 256 entries, found "all"'],
  [{ name: 'issuance' }, 'name: expected provenance, found issuance'],
];

for (const [change, expected] of invalidChanges) {
  test(`names the field and its range: ${expected}`, () => {
    const faults = faultsOf(change);
    assert.ok(faults.includes(`services.provenance.${expected}`), faults.join('\n'));
  });
}

test('a service name that is not valid in a path or a store key is rejected', () => {
  for (const name of ['', 'Provenance', 'a/b', '-a', 'a'.repeat(64)]) {
    assert.is.not(faultsOf({ name }, name).length, 0);
  }
});

test('lists and whole configurations that exceed the limits of a frame or the store are rejected', () => {
  const drainedServers = Array.from({ length: 2_001 }, (_, index) => `server-${index}`);
  assert.is(validateConfiguration({ ...emptyConfiguration, drainedServers }).length, 1);
  const tenants = Array.from({ length: 256 }, (_, index) => {
    return { tenant: `${index}`.padStart(120, 't'), weight: 1 };
  });
  const names = Array.from({ length: 40 }, (_, index) => `service-${index}`);
  const services = Object.fromEntries(names.map((name) => [name, { ...valid, name, tenants }]));
  const faults = validateConfiguration({ ...emptyConfiguration, services });
  assert.equal(
    faults.map((fault) => fault.field),
    ['configuration'],
  );
});

test('values that are not configurations are rejected without an exception', () => {
  for (const value of [undefined, null, 7, [], {}, { services: { a: null } }]) {
    assert.is.not(validateConfiguration(value).length, 0);
  }
});

test.run();
