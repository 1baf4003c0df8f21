import { emptyConfiguration, type Configuration } from '@peridotspring/core';
import { parseStatement, printService } from '@peridotspring/language';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { applyCommands, type ApplyResult } from '../src/index.js';

function apply(base: Configuration, text: string): ApplyResult {
  const result = parseStatement(text);
  if (result.kind !== 'parsed' || result.statement.kind !== 'change') {
    throw new Error(`not a change: ${text}`);
  }
  return applyCommands(base, result.statement.commands);
}

function applyValid(base: Configuration, text: string): Configuration {
  const result = apply(base, text);
  if (result.kind === 'invalid') throw new Error(result.errors[0]?.message);
  return result.configuration;
}

const configurationWithAntrag = applyValid(
  emptyConfiguration,
  'declare service antrag request file POST "/claims" non-idempotent request read GET "/" idempotent tenant labs weight 2',
);

/** Invalid change, column of its first error, part of the message. */
const invalidChanges: readonly (readonly [string, number, string])[] = [
  ['change service parzellen ramp 1s', 16, 'service `parzellen`'],
  ['remove service parzellen', 16, 'a declared service'],
  ['change service antrag deadline default 2m', 40, 'from 1 to 60000 ms'],
  ['change service antrag deadline maximum 1s', 16, 'at most its deadline maximum'],
  ['change service antrag probe budget 20%', 36, 'probe budget 0.2'],
  ['change service antrag retry budget ratio 1.1', 42, 'from 0 to 1'],
  ['change service antrag retry budget maximum -1', 44, 'from 0 to 1000'],
  ['change service antrag ramp 1h', 28, 'ramp 3600000'],
  ['change service antrag body maximum 2000000000', 36, 'from 0 to 1073741824 bytes'],
  ['change service antrag body maximum 1.5', 36, 'a whole number'],
  ['change service antrag queue maximum 1001', 37, 'queue maximum 1001'],
  ['change service antrag queue maximum -1', 37, 'from 0 to 1000 requests'],
  ['change service antrag tenant-in-flight maximum 0', 48, 'from 1 to 10000 requests'],
  ['change service antrag tenant labs weight 0', 42, 'weight 0'],
  ['change service antrag remove tenant other', 37, 'a tenant with a weight'],
  ['change service antrag remove request other', 38, 'a request of the service'],
  ['change service antrag request x get "/" idempotent', 33, 'HTTP method'],
  ['change service antrag request x GET "x" idempotent', 37, 'starts with /'],
  ['change service antrag request x GET "/" idempotent before y', 59, 'request `y`'],
  ['declare service "a/b"', 17, 'service name'],
  ['declare service __proto__', 17, 'service name'],
  ['change service constructor ramp 1s', 16, 'a declared service'],
  ['drain server "a b"', 14, 'server or zone name'],
];

for (const [text, column, words] of invalidChanges) {
  test(`an invalid change gets an error that names the field and its range: ${text}`, () => {
    const result = apply(configurationWithAntrag, text);
    assert.is(result.kind, 'invalid');
    if (result.kind !== 'invalid') return;
    assert.is(result.errors[0]?.column, column);
    assert.ok(result.errors[0]?.message.includes(words), result.errors[0]?.message);
  });
}

test('an invalid command makes the whole group invalid', () => {
  const result = apply(
    configurationWithAntrag,
    'begin; drain server a; change service b ramp 1s; commit',
  );
  assert.is(result.kind, 'invalid');
});

test('a declaration replaces the whole service, including what it omits', () => {
  const next = applyValid(configurationWithAntrag, 'declare service antrag ramp 5s');
  assert.equal(next.services.antrag?.requestKinds, []);
  assert.is(next.services.antrag?.rampMilliseconds, 5_000);
});

test('`before` moves a request kind, and the difference reports the new order', () => {
  const result = apply(
    configurationWithAntrag,
    'change service antrag request read GET "/" idempotent before file',
  );
  assert.is(result.kind, 'applied');
  if (result.kind !== 'applied') return;
  const names = result.configuration.services.antrag?.requestKinds.map(({ name }) => name);
  assert.equal(names, ['read', 'file']);
  assert.is(result.difference[0]?.change, 'reordered');
});

test('a zone that is drained twice is listed once and restored at once', () => {
  const drained = applyValid(
    configurationWithAntrag,
    'begin; drain zone thun-c; drain zone thun-c; commit',
  );
  assert.equal(drained.drainedAvailabilityZones, ['thun-c']);
  assert.equal(applyValid(drained, 'restore zone thun-c').drainedAvailabilityZones, []);
});

test('limits can be set and removed, and a new declaration removes them', () => {
  const text = 'change service antrag body maximum 0 queue maximum 5 tenant-in-flight maximum 3';
  const bounded = applyValid(configurationWithAntrag, text).services.antrag;
  assert.is(bounded?.maximumBodyBytes, 0);
  assert.is(bounded?.queueLength, 5);
  assert.is(bounded?.maximumTenantInFlight, 3);
  const lift = 'change service antrag body maximum off queue maximum off';
  const lifted = applyValid(applyValid(configurationWithAntrag, text), lift).services.antrag;
  assert.equal([lifted && 'maximumBodyBytes' in lifted, lifted?.queueLength], [false, undefined]);
  assert.is(lifted?.maximumTenantInFlight, 3);
  const declared = applyValid(applyValid(configurationWithAntrag, text), 'declare service antrag')
    .services.antrag;
  assert.is(declared?.maximumTenantInFlight, undefined);
});

const arbitraryService = fc.record({
  bounds: fc.record(
    {
      maximumBodyBytes: fc.integer({ max: 1_073_741_824, min: 0 }),
      maximumTenantInFlight: fc.integer({ max: 10_000, min: 1 }),
      queueLength: fc.integer({ max: 1_000, min: 0 }),
    },
    { requiredKeys: [] },
  ),
  default: fc.integer({ max: 60_000, min: 1 }),
  hedging: fc.boolean(),
  kinds: fc.uniqueArray(fc.stringMatching(/^[A-Za-z0-9_.-]{1,8}$/), { maxLength: 4 }),
  prefix: fc.stringMatching(/^\/[\x21-\x7e]{0,12}$/),
  probe: fc.double({ max: 0.1, min: 0, noNaN: true }),
  tenants: fc.uniqueArray(fc.stringMatching(/^[\x21-\x7e]{1,8}$/), { maxLength: 4 }),
});

test('applying the printed declaration of a service yields the same service', () => {
  fc.assert(
    fc.property(arbitraryService, (values) => {
      const original = {
        ...values.bounds,
        defaultDeadlineMilliseconds: values.default,
        hedging: values.hedging,
        maximumDeadlineMilliseconds: 60_000,
        name: 'a1',
        // Shares below one billionth lose digits in decimal notation and have no effect anyway.
        probeBudgetShare: Number(values.probe.toFixed(9)),
        rampMilliseconds: values.default,
        requestKinds: values.kinds.map((name) => ({
          method: '*',
          name,
          pathPrefix: values.prefix,
          requestClass: 'non-idempotent' as const,
        })),
        retryBudgetMaximum: 3,
        retryBudgetRatio: 0.3,
        tenants: values.tenants.map((tenant) => ({ tenant, weight: 1.5 })),
      };
      const printed = printService(original);
      assert.equal(applyValid(emptyConfiguration, printed).services.a1, original, printed);
    }),
    { numRuns: 300, seed: 2 },
  );
});

test.run();
