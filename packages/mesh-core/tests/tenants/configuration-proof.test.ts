import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationProof } from '../../src/index.js';

test('a proof expires before the bound has passed', () => {
  const proof = new ConfigurationProof(5_000);
  assert.not(proof.isValid(0));
  assert.ok(proof.offer({ provenAt: 100, version: 3 }, 3));
  assert.ok(proof.isValid(4_900));
  assert.not(proof.isValid(5_000));
  assert.is(proof.ageMilliseconds(4_900), 4_800);
});

test('a proof of a version that is newer than the one in force is not accepted', () => {
  const proof = new ConfigurationProof(5_000);
  assert.not(proof.offer({ provenAt: 100, version: 4 }, 3));
  assert.not(proof.isValid(200));
});

test('an older proof does not replace a newer one, and one without a time is not accepted', () => {
  const proof = new ConfigurationProof(5_000);
  proof.offer({ provenAt: 2_000, version: 3 }, 3);
  assert.not(proof.offer({ provenAt: 1_000, version: 3 }, 3));
  assert.not(proof.offer({ provenAt: Number.NaN, version: 3 }, 3));
  assert.is(proof.ageMilliseconds(2_500), 500);
});

test.run();
