import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { MeshSettings, SettingsResult } from '../src/mesh/index.js';
import { SettingsWatch } from '../src/mesh/settings-watch.js';

const address = { host: '10.0.0.1', port: 1 };
const settings: MeshSettings = {
  answerMemoryBytes: 1_048_576,
  availabilityZone: 'a',
  callerAddress: address,
  graceMilliseconds: 6_000,
  logLevel: 'info',
  nodeName: 'n',
  peerAddress: address,
  probesPerSecond: 30,
  readinessAddress: address,
  region: 'r',
  repeats: { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 },
  reportAddress: address,
  serverAddress: address,
  service: 's',
  storeAddress: address,
};

async function follow(results: readonly SettingsResult[]): Promise<readonly string[]> {
  const seen: string[] = [];
  const waiting = [...results];
  const watch = new SettingsWatch({
    changed: (_settings, fields) => seen.push(`changed ${fields.join()}`),
    invalid: (faults) => seen.push(`invalid ${faults[0]?.field ?? ''}`),
    read: () => Promise.resolve(waiting.shift() ?? { faults: [], kind: 'faults' }),
    settings,
    unknown: (fields) => seen.push(`unknown ${fields.join()}`),
  });
  while (waiting.length > 0) await watch.check();
  watch.close();
  return seen;
}

const valid = (
  changes: Partial<MeshSettings>,
  unknownFields: readonly string[] = [],
): SettingsResult => ({ kind: 'settings', settings: { ...settings, ...changes }, unknownFields });
const faulty: SettingsResult = {
  faults: [{ expected: 'a string', field: 'zone' }],
  kind: 'faults',
};

test('a file that says the same changes nothing', async () => {
  assert.equal(await follow([valid({}), valid({})]), []);
});

test('the fields that changed are named once', async () => {
  const changed = valid({ probesPerSecond: 10 });
  assert.equal(await follow([changed, changed]), ['changed probesPerSecond']);
});

test('a file that can not be used leaves what was in force and is reported once', async () => {
  assert.equal(await follow([faulty, faulty, valid({}), faulty]), ['invalid zone', 'invalid zone']);
});

// A field that a newer platform added is harmless, but an operator who misspelt one has to see it.
test('each field that is ignored is named once', async () => {
  const results = [valid({}, ['first']), valid({}, ['first', 'second']), valid({}, ['first'])];
  assert.equal(await follow(results), ['unknown first', 'unknown second']);
});

test.run();
