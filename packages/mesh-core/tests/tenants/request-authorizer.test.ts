import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { authorizeRequest, DenialCause, TenantDirectory } from '../../src/index.js';
import type { Authorization, Tenant } from '../../src/index.js';
import { createRoute } from '../fixtures.js';

function createTenant(name: string, apiKeys: readonly string[]): Tenant {
  return { allotment: { burst: 0, requestsPerSecond: Infinity }, apiKeys, name };
}

const longKey = 'k'.repeat(16_384);
const manyKeys = Array.from({ length: 20_000 }, (_, index) => `many-${index}`);
const tenants = new TenantDirectory(
  [
    createTenant('acme', ['acme-1', 'acme-1', 'shared', longKey]),
    createTenant('bolt', ['bolt-1', 'shared']),
    createTenant('none', []),
    createTenant('many', manyKeys),
    createTenant('third', ['shared']),
  ],
  (content) => `digest of ${content.toString()}`,
);

function authorize(
  fields: readonly string[],
  { hasTenants = true, isConfirmed = true, isKeyProven = true, isPublic = false } = {},
): string {
  const authorization: Authorization = authorizeRequest(createRoute({ isPublic }), fields, {
    isConfirmed,
    isKeyProven,
    tenants: hasTenants ? tenants : undefined,
  });
  return authorization.kind === 'granted'
    ? (authorization.tenant?.name ?? 'anonymous')
    : authorization.cause;
}

const cases: readonly (readonly [string, readonly string[], string])[] = [
  ['a known key', ['Bearer acme-1'], 'acme'],
  ['another case of the scheme and several spaces', ['bEARER   bolt-1 '], 'bolt'],
  ['a key of 16 KiB', [`Bearer ${longKey}`], 'acme'],
  ['a key of a long list', ['Bearer many-19999'], 'many'],
  ['a key in another case', ['Bearer ACME-1'], DenialCause.UnknownKey],
  ['a key that several tenants hold', ['Bearer shared'], DenialCause.UnknownKey],
  ['no key', [], DenialCause.InvalidCredentials],
  ['an empty key', ['Bearer '], DenialCause.InvalidCredentials],
  ['two words after the scheme', ['Bearer acme-1 acme-1'], DenialCause.InvalidCredentials],
  ['another scheme', ['Basic acme-1'], DenialCause.InvalidCredentials],
  ['a key without a scheme', ['acme-1'], DenialCause.InvalidCredentials],
  ['two fields', ['Bearer acme-1', 'Bearer acme-1'], DenialCause.InvalidCredentials],
];

for (const [title, fields, expected] of cases) {
  test(`${title} leads to: ${expected}`, () => {
    assert.is(authorize(fields), expected);
  });
}

test('an unknown key is not denied for good while a newer configuration may hold it', () => {
  assert.is(authorize(['Bearer new'], { isConfirmed: false }), DenialCause.Unconfirmed);
  assert.is(authorize(['Bearer acme-1'], { isConfirmed: false }), 'acme');
});

test('a known key is denied while its removal would not have become known', () => {
  const options = { isKeyProven: false };
  assert.is(authorize(['Bearer acme-1'], options), DenialCause.KeyUnproven);
  assert.is(authorize(['Bearer nobody'], options), DenialCause.UnknownKey);
  assert.is(authorize([], { ...options, isPublic: true }), 'anonymous');
  assert.is(authorize([], { ...options, hasTenants: false }), 'anonymous');
});

test('a public route and a configuration without tenants need no key', () => {
  assert.is(authorize([], { isPublic: true }), 'anonymous');
  assert.is(authorize(['Bearer acme-1'], { isPublic: true }), 'anonymous');
  assert.is(authorize([], { hasTenants: false }), 'anonymous');
});

test('keys that several tenants hold are counted once each', () => {
  assert.is(tenants.ambiguousKeyCount, 1);
});

test.run();
