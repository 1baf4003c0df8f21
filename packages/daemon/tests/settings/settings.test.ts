import { readFileSync } from 'node:fs';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { readStartRequest, settingsPage, type StartRequest } from '../../src/index.js';

const validEnvironment: Readonly<Record<string, string>> = {
  PERIDOTSPRING_AVAILABILITY_ZONE: 'regina-hall',
  PERIDOTSPRING_OPERATOR_SECRET: 'operator-secret-1',
  PERIDOTSPRING_PEER_ADVERTISED_ADDRESS: '10.0.0.7:7101',
  PERIDOTSPRING_PEER_SECRET: 'peer-secret-000001',
  PERIDOTSPRING_PLATFORM_ADDRESS: '127.0.0.1:2379',
  PERIDOTSPRING_REGION: 'prairie-west',
  PERIDOTSPRING_SERVER_NAME: 'regina-1',
};

function errorOutputOf(request: StartRequest): string {
  return request.kind === 'exit' ? request.errorOutput : '';
}

test('starts with a complete environment; a flag takes precedence over the variable', () => {
  const request = readStartRequest(
    ['--region', 'east', '--lease-milliseconds=900'],
    validEnvironment,
  );
  assert.is(request.kind, 'start');
  if (request.kind !== 'start') return;
  assert.equal([request.settings.region, request.settings.leaseMilliseconds], ['east', 900]);
  assert.equal(request.settings.callerAdvertisedAddress, { host: '10.0.0.7', port: 7100 });
  assert.equal(request.settings.upstreamAdvertisedAddress, { host: '127.0.0.1', port: 7102 });
});

test('reports all errors at once, each with the name of its setting', () => {
  const errors = errorOutputOf(
    readStartRequest(['--lease-milliseconds', 'soon', '--lse', '1', '--region'], {}),
  );
  for (const words of [
    'unknown flag --lse',
    'region (--region) needs a value',
    'serverName (--server-name, PERIDOTSPRING_SERVER_NAME) is required',
    'platformAddress',
    'must be a whole number of milliseconds from 500 to 30000, not "soon"',
  ]) {
    assert.ok(errors.includes(words), errors);
  }
});

/** Environment variable without its prefix, invalid value, text that the error message contains. */
const invalidValues: readonly (readonly [string, string, string])[] = [
  ['LEASE_MILLISECONDS', '499', 'from 500 to 30000'],
  ['LEASE_MILLISECONDS', '3e3', 'whole number'],
  ['LEASE_MILLISECONDS', '', 'whole number'],
  ['KEY_RECORD_BYTES', '-1', 'from 1048576'],
  ['SERVER_NAME', 'a b', 'must have 1 to 128'],
  ['PLATFORM_ADDRESS', 'localhost', 'must be host:port'],
  ['PLATFORM_ADDRESS', 'localhost:70000', 'port from 0 to 65535'],
  ['PEER_ADVERTISED_ADDRESS', '::1:7', 'must be host:port'],
  ['PEER_ADVERTISED_ADDRESS', '', 'is required with a wildcard'],
  ['PEER_ADVERTISED_ADDRESS', '0.0.0.0:1', 'other nodes can reach'],
  ['LOG_LEVEL', 'loud', 'must be one of debug, info, warn, error'],
  ['RETENTION_MILLISECONDS', '60000', 'at least 4 times'],
  ['PREVIOUS_PEER_SECRET', 'peer-secret-000001', 'must differ from peerSecret'],
  ['OPERATOR_SECRET', 'short-secret', 'must have 16 to 256'],
];

for (const [variable, value, words] of invalidValues) {
  test(`reports an invalid value with its range: ${variable}=${value}`, () => {
    const lease = variable === 'RETENTION_MILLISECONDS' ? '30000' : '3000';
    const environment = {
      ...validEnvironment,
      PERIDOTSPRING_LEASE_MILLISECONDS: lease,
      [`PERIDOTSPRING_${variable}`]: value,
    };
    const request = readStartRequest([], environment);
    assert.is(request.kind === 'exit' ? request.code : 0, 2);
    assert.ok(errorOutputOf(request).includes(words), errorOutputOf(request));
  });
}

test('prints secrets neither in errors nor in the list of settings', () => {
  const shortSecret = { ...validEnvironment, PERIDOTSPRING_OPERATOR_SECRET: 'too-short' };
  assert.not(errorOutputOf(readStartRequest([], shortSecret)).includes('too-short'));
  const misspelt = errorOutputOf(
    readStartRequest(['--peer-secrt=hunter2-hunter2', 'hunter3'], validEnvironment),
  );
  assert.not(misspelt.includes('hunter'), misspelt);
  const printed = readStartRequest(['--print-settings'], validEnvironment);
  const output = printed.kind === 'exit' ? printed.output : '';
  assert.match(output, /peerSecret=\(set\)\npreviousPeerSecret=\(none\)/);
  assert.match(output, /peerAdvertisedAddress=10\.0\.0\.7:7101/);
  for (const secret of ['peer-secret', 'operator-secret']) assert.not(output.includes(secret));
});

test('--check-settings exits without starting, with code 0 only for valid settings', () => {
  const codes = [validEnvironment, {}].map((environment) => {
    const request = readStartRequest(['--check-settings'], environment);
    return request.kind === 'exit' ? request.code : undefined;
  });
  assert.equal(codes, [0, 2]);
});

test('reports a misspelled variable, both when starting and when only checking', () => {
  const checked = readStartRequest(['--check-settings'], {
    ...validEnvironment,
    PERIDOTSPRING_LEASE_MS: '1',
  });
  assert.is(errorOutputOf(checked), 'unknown environment variable PERIDOTSPRING_LEASE_MS\n');
  const request = readStartRequest([], { ...validEnvironment, PERIDOTSPRING_LEASE_MS: '1' });
  assert.equal(request.kind === 'start' ? request.unknownVariables : [], [
    'PERIDOTSPRING_LEASE_MS',
  ]);
});

test('docs/settings.md is the page generated from the definitions', () => {
  const page = readFileSync(new URL('../../../../../docs/settings.md', import.meta.url), 'utf8');
  assert.is(page, settingsPage());
});

test.run();
