import { createLoopbackOptions } from '@peridotspring/http-server/fixtures';
import { NodeLink } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AnnouncementServer, parseAnnouncement } from '../src/index.js';
import type { AnnouncementMessage } from '../src/index.js';

const valid = { address: '127.0.0.1:8080', connections: 200, service: 'antrag', slots: 6 };

async function withServer(
  runTest: (address: string, messages: AnnouncementMessage[]) => Promise<void>,
): Promise<void> {
  const messages: AnnouncementMessage[] = [];
  const server = new AnnouncementServer({
    ...createLoopbackOptions(),
    onMessage: (message) => messages.push(message),
  });
  const port = await server.listen();
  try {
    await runTest(`127.0.0.1:${port}`, messages);
  } finally {
    await server.close();
  }
}

test('announce, drain, restore and leave of the stand-in upstream are accepted and reported', async () => {
  await withServer(async (address, messages) => {
    const link = new NodeLink(address);
    const responses = [
      await link.announce(valid),
      await link.drain(),
      await link.restore(),
      await link.leave(),
    ];
    assert.equal(
      responses.map((response) => response.status),
      [200, 200, 200, 200],
    );
    assert.equal(messages, [
      { announcement: valid, kind: 'upstream-announced' },
      { draining: true, kind: 'upstream-drain' },
      { draining: false, kind: 'upstream-drain' },
      { kind: 'upstream-left' },
    ]);
  });
});

const slotsRange = 'expected an integer from 1 to 10000';
const addressRange = 'expected host:port with a port from 1 to 65535';
const serviceRange =
  'expected 1 to 63 lower-case letters, digits and hyphens that begin with a letter';
const invalidFields: readonly [string, unknown, string][] = [
  ['slots', 0, slotsRange],
  ['slots', 2.5, slotsRange],
  ['slots', '6', slotsRange],
  ['slots', undefined, slotsRange],
  ['slots', 10_001, slotsRange],
  ['connections', 65_536, 'expected an integer from 1 to 65535'],
  ['address', '127.0.0.1', addressRange],
  ['address', '127.0.0.1:0', addressRange],
  ['address', 'http://127.0.0.1:80', addressRange],
  ['address', 7, addressRange],
  ['service', 'Antrag', serviceRange],
  ['slot', 6, 'unknown field; expected service, address, slots and connections'],
];

for (const [field, value, message] of invalidFields) {
  test(`${field} ${String(value)} is rejected with an error that states the accepted values`, () => {
    const parsed = parseAnnouncement({ ...valid, [field]: value });
    assert.equal(parsed, { errors: [{ field, message }], kind: 'invalid' });
  });
}

test('all errors of an announcement are reported together', () => {
  const parsed = parseAnnouncement({ ...valid, connections: 0, slots: 0 });
  assert.is(parsed.kind === 'invalid' && parsed.errors.length, 2);
  assert.is(parseAnnouncement({ ...valid, address: '[::1]:80' }).kind, 'valid');
});

const requestCases = [
  { body: '{', field: 'body', method: 'POST', path: '/announce', status: 400 },
  { body: '[]', field: 'body', method: 'POST', path: '/announce', status: 400 },
  { body: ' '.repeat(16_385), field: 'body', method: 'POST', path: '/drain', status: 413 },
  { body: undefined, field: 'method', method: 'GET', path: '/drain', status: 405 },
  { body: '{}', field: 'path', method: 'POST', path: '/announced', status: 404 },
];

for (const { body, field, method, path, status } of requestCases) {
  test(`${method} ${path} is answered with ${status} and reports no message`, async () => {
    await withServer(async (address, messages) => {
      const response = await fetch(`http://${address}${path}`, { body, method });
      assert.is(response.status, status);
      const content = (await response.json()) as { errors: { field: string }[] };
      assert.is(content.errors[0]?.field, field);
      assert.equal(messages, []);
    });
  });
}

test.run();
