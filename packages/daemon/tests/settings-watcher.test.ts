import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { MeshSettings, SettingsResult } from '../src/mesh/index.js';
import { SettingsWatcher } from '../src/mesh/settings-watcher.js';

const address = { host: '10.0.0.1', port: 1 };
const settings: MeshSettings = {
  answerMemoryBytes: 1_048_576,
  callerConnections: 1_000,
  heldMemoryBytes: 67_108_864,
  protocolMemoryBytes: 33_554_432,
  peerMemoryBytes: 16_777_216,
  unnamedPeerConnections: 500,
  machineMemoryBytes: 268_435_456,
  availabilityZone: 'a',
  callerAddress: address,
  allotments: { overage: 0.1, slack: 20, windowMilliseconds: 5_000 },
  coldStartTolerance: { ratio: 1.5, slack: 8 },
  configurationPropagationMilliseconds: 2_000,
  graceMilliseconds: 6_000,
  knownRegions: ['r'],
  logLevel: 'info',
  nodeName: 'n',
  peerAddress: address,
  probesPerSecond: 30,
  readinessAddress: address,
  region: 'r',
  releasedRequests: [],
  repeats: { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 },
  reportAddress: address,
  reportIntervalMilliseconds: 1_500,
  serverAddress: address,
  service: 's',
  storeAddress: address,
};

async function watchResults(results: readonly SettingsResult[]): Promise<readonly string[]> {
  const callbacks: string[] = [];
  const remainingResults = [...results];
  const watcher = new SettingsWatcher({
    onChange: (_settings, fields) => callbacks.push(`changed ${fields.join()}`),
    onInvalid: (faults) => callbacks.push(`invalid ${faults[0]?.field ?? ''}`),
    read: () => Promise.resolve(remainingResults.shift() ?? { faults: [], kind: 'faults' }),
    settings,
    onUnknownFields: (fields) => callbacks.push(`unknown ${fields.join()}`),
  });
  while (remainingResults.length > 0) await watcher.check();
  watcher.close();
  return callbacks;
}

const valid = (
  changes: Partial<MeshSettings>,
  unknownFields: readonly string[] = [],
): SettingsResult => ({ kind: 'settings', settings: { ...settings, ...changes }, unknownFields });
const invalid: SettingsResult = {
  faults: [{ expected: 'a string', field: 'zone' }],
  kind: 'faults',
};

test('a file that says the same changes nothing', async () => {
  assert.equal(await watchResults([valid({}), valid({})]), []);
});

test('the fields that changed are named once', async () => {
  const changed = valid({ probesPerSecond: 10 });
  assert.equal(await watchResults([changed, changed]), ['changed probesPerSecond']);
});

test('a file that can not be used leaves what was in force and is reported once', async () => {
  assert.equal(await watchResults([invalid, invalid, valid({}), invalid]), [
    'invalid zone',
    'invalid zone',
  ]);
});

// A field that a newer platform added is harmless, but an operator who misspelt one has to see it.
test('each field that is ignored is named once', async () => {
  const results = [valid({}, ['first']), valid({}, ['first', 'second']), valid({}, ['first'])];
  assert.equal(await watchResults(results), ['unknown first', 'unknown second']);
});

test.run();
