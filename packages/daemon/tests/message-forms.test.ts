import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Relay } from './message-forms/relay.js';

const relay = new Relay();
test.before(() => relay.start());
test.after(() => relay.close());

const fixedFields = ['Host: shop', 'X-Request-Id: r', 'Connection: close'];
const lengthField = 'Content-Length: 3';
const chunkedBody = '3\r\nabc\r\n0\r\n\r\n';

function buildRequest(line: string, fields: readonly string[], body = ''): string {
  return [`${line} HTTP/1.1`, ...fields, '', body].join('\r\n');
}

interface Exchange {
  readonly status: string;
  readonly response: string;
  /** What the server received; undefined if nothing. */
  readonly received: ReceivedRequest | undefined;
}

interface ReceivedRequest {
  readonly line: string;
  /** In lower case, with the end-to-end fields only. */
  readonly fields: readonly string[];
  readonly body: string;
}

/** Fields that the node sets, or that concern one connection. */
const ownFields = /^(connection|content-length|x-(request-id|deadline|instance|caller)):/;

async function exchange(bytes: string): Promise<Exchange> {
  relay.received.length = 0;
  const response = await relay.send(bytes);
  const [text] = relay.received;
  const [head = '', ...rest] = text?.split('\r\n\r\n') ?? [];
  const [line = '', ...lines] = head.split('\r\n');
  const fields = lines
    .map((field) => field.replace(/^[^:]*/, (name) => name.toLowerCase()))
    .filter((field) => !ownFields.test(field));
  return {
    received: text === undefined ? undefined : { body: rest.join('\r\n\r\n'), fields, line },
    response,
    status: /^(?:HTTP\/1\.1 100 Continue\r\n\r\n)?HTTP\/1\.1 (\d+)/.exec(response)?.[1] ?? 'none',
  };
}

/** Requests that are refused without reaching the server: name, status, request line, fields beside the fixed ones, and body. */
const refused: readonly (readonly [string, string, string, readonly string[], string?])[] = [
  ['two hosts', '400', 'GET /a', ['Host: other']],
  ['a host that is named by Connection', '400', 'GET /a', ['Connection: host']],
  ['a target with another host', '400', 'GET http://other/a', []],
  ['two identifiers', '400', 'GET /a', ['X-Request-Id: s']],
  ['two deadlines', '400', 'GET /a', ['X-Deadline: 100', 'X-Deadline: 200']],
  ['another transfer coding', '501', 'POST /a', ['Transfer-Encoding: gzip, chunked'], chunkedBody],
  [
    'another transfer coding in a field of its own',
    '501',
    'POST /a',
    ['Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'],
    chunkedBody,
  ],
  ['trailers', '400', 'POST /a', ['Transfer-Encoding: chunked'], '3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n'],
  ['chunked twice', '400', 'POST /a', Array(2).fill('Transfer-Encoding: chunked'), chunkedBody],
  ['a coding that ends no body', '400', 'POST /a', ['Transfer-Encoding: gzip'], 'abc'],
  ['identity', '400', 'POST /a', ['Transfer-Encoding: identity'], 'abc'],
  [
    'a length and chunks',
    '400',
    'POST /a',
    [lengthField, 'Transfer-Encoding: chunked'],
    chunkedBody,
  ],
  ['two lengths', '400', 'POST /a', [lengthField, 'Content-Length: 4'], 'abcd'],
  ['the same length twice', '400', 'POST /a', [lengthField, lengthField], 'abc'],
  ['a list of lengths', '400', 'POST /a', ['Content-Length: 3, 3'], 'abc'],
  ['a length with a sign', '400', 'POST /a', ['Content-Length: +3'], 'abc'],
  ['an unknown expectation', '417', 'POST /a', ['Expect: x', lengthField], 'abc'],
  ['a target in bytes above 0x7f', '400', 'GET /a\xe4', []],
  ['a target with a tab', '400', 'GET /a\tb', []],
  ['a method in lower case', '400', 'get /a', []],
  ['a folded field', '400', 'GET /a', ['X-F: a\r\n  b']],
  ['a space before the colon', '400', 'GET /a', ['X-F : a']],
  ['an asterisk, for which there is no route', '404', 'OPTIONS *', []],
  ['a tunnel', 'none', 'CONNECT shop:80', []],
];

for (const [name, status, line, fields, body] of refused) {
  test(`refused, and not passed on: ${name}`, async () => {
    const result = await exchange(buildRequest(line, [...fixedFields, ...fields], body));
    assert.is(result.received, undefined);
    assert.is(result.status, status);
  });
}

/**
 * Requests that reach the server: name, request line, fields beside the fixed ones, body as sent, and the fields and the body as
 * received, if they differ.
 */
const passedOn: readonly (readonly [
  string,
  string,
  readonly string[],
  string?,
  (readonly string[])?,
  string?,
])[] = [
  ['a length', 'POST /a', [lengthField], 'abc'],
  ['chunks', 'POST /a', ['Transfer-Encoding: chunked'], chunkedBody, [], 'abc'],
  [
    'a chunk extension',
    'POST /a',
    ['Transfer-Encoding: Chunked'],
    `3;a=b${chunkedBody.slice(1)}`,
    [],
    'abc',
  ],
  ['any bytes', 'POST /a', [lengthField, 'X-V: \xe4\xff'], '\xe4\xff\x00'],
  ['a GET with a body', 'GET /a', [lengthField], 'abc'],
  ['a HEAD with a body', 'HEAD /a', [lengthField], 'abc'],
  ['a DELETE with a body', 'DELETE /a', [lengthField], 'abc'],
  ['a registered method', 'PROPFIND /a', [lengthField], 'abc'],
  ['an empty body', 'PUT /a', ['Content-Length: 0']],
  ['a target with its own host', 'GET http://shop/a?b', []],
  ['an empty query', 'GET /a?', []],
  ['slashes and dots', 'GET //a//b/../c/./d', []],
  ['a fragment', 'GET /a#b?c', []],
  ['characters that URLs escape', 'GET /a"<>{}|\\^`%zz', []],
  ['repeated fields', 'GET /a', ['X-A: 1', 'X-A: 2', 'Authorization: a', 'Authorization: b']],
  ['an empty value', 'GET /a', ['X-F: ']],
  ['names of properties', 'GET /a', ['__proto__: a', 'constructor: b']],
  // RFC 6265, section 5.4: one field for all cookies.
  ['cookies', 'GET /a', ['Cookie: a=1', 'Cookie: b=2'], '', ['cookie: a=1; b=2']],
  // RFC 9110, section 7.6.1: fields that concern one connection.
  ['fields named by Connection', 'GET /a', ['X-F: a', 'Connection: x-f', 'TE: trailers'], '', []],
  // RFC 9110, section 7.8: an upgrade may be ignored.
  ['an upgrade', 'GET /a', ['Upgrade: h2c'], '', []],
  // RFC 9110, section 10.1.1: the node has read the whole body.
  ['an expectation', 'POST /a', ['Expect: 100-continue', lengthField], 'abc', []],
];

for (const [name, line, fields, body = '', expectedFields, expectedBody = body] of passedOn) {
  test(`passed on: ${name}`, async () => {
    const { received } = await exchange(buildRequest(line, [...fixedFields, ...fields], body));
    assert.is(received?.line, `${line} HTTP/1.1`);
    assert.is(received?.body, expectedBody);
    const sentFields = fields
      .map((field) => field.replace(/^[^:]*/, (text) => text.toLowerCase()))
      .filter((field) => !ownFields.test(field) && !field.startsWith('transfer-encoding'));
    assert.equal(received?.fields, ['host: shop', ...(expectedFields ?? sentFields)]);
  });
}

const manyFields = Array.from({ length: 1_000 }, (_, index) => `x${index}: 1`);

// Regression (UNASKED): by default, Node.js drops the fields after the thousandth without an error, so a request ran without its
// body, and without the fields that the system reads.
test('a request whose body and identifier are told after the thousandth field runs unchanged', async () => {
  const late = ['Host: shop', 'X-Late: 1', 'X-Request-Id: r', 'Connection: close', lengthField];
  const { received, status } = await exchange(
    buildRequest('POST /a', [...manyFields, ...late], 'abc'),
  );
  assert.is(status, '200');
  assert.is(received?.body, 'abc');
  assert.equal(received?.fields, [...manyFields, 'host: shop', 'x-late: 1']);
});

test('an answer whose length and signature are told after the thousandth field arrives unchanged', async () => {
  const { answer } = relay;
  relay.answer = `${manyFields.join('\r\n')}\r\nx-late: 1\r\ncontent-length: 2\r\n\r\nok`;
  const { response, status } = await exchange(buildRequest('GET /a', fixedFields));
  relay.answer = answer;
  assert.is(status, '200');
  assert.match(response, /\r\nx-late: 1\r\n/i);
  assert.match(response, /\r\n\r\nok$/);
});

const generatedRequests = 150;

/** A request of random parts, some of which make it ambiguous. */
function generateRequest(random: SeededRandomSource): string {
  const pick = <Value>(values: readonly [Value, ...Value[]]): Value =>
    values[Math.floor(random.next() * values.length)] ?? values[0];
  const fields = [...fixedFields];
  const count = Math.floor(random.next() * 6);
  for (let index = 0; index < count; index += 1)
    fields.push(
      pick([
        'X-A: 1',
        'X-A:  2 ',
        'x-b: \xe4',
        'Content-Type: a',
        'Content-Type: b',
        'Accept: a, b',
        'X-Request-Id: s',
        'Host: other',
        'Connection: x-a',
        'Connection: host',
        'Expect: 100-continue',
        'TE: gzip',
      ]),
    );
  const [framing, body] = pick<readonly [string | undefined, string]>([
    [undefined, ''],
    [lengthField, 'abc'],
    ['Transfer-Encoding: chunked', chunkedBody],
    ['Transfer-Encoding: gzip, chunked', chunkedBody],
    ['Transfer-Encoding: chunked', '3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n'],
  ]);
  if (framing !== undefined) fields.push(framing);
  fields.sort(() => random.next() - 0.5);
  const target = pick(['/a', '/a?', '//a', '/a/../b', 'http://shop/a', 'http://other/a', '/a#b']);
  return buildRequest(`${pick(['GET', 'POST', 'DELETE', 'HEAD'])} ${target}`, fields, body);
}

/** What the server has to receive, by a reading of the request that is independent of the node's. */
function expectedFieldsOf(sent: readonly string[]): readonly string[] {
  const fields = sent.map((field) => {
    const colon = field.indexOf(':');
    return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()] as const;
  });
  const options = fields.filter(([name]) => name === 'connection').map(([, value]) => value);
  const omitted = new Set([...options, 'transfer-encoding', 'expect', 'te']);
  return fields
    .filter(([name]) => !omitted.has(name))
    .map(([name, value]) => `${name}: ${value}`)
    .filter((field) => !ownFields.test(field));
}

test('generated requests are passed on unchanged or refused', async () => {
  const seed = Number(process.env.SEED ?? Math.floor(Math.random() * 1e9));
  const random = new SeededRandomSource(seed);
  for (let count = 0; count < generatedRequests; count += 1) {
    const bytes = generateRequest(random);
    const { received, status } = await exchange(bytes);
    const place = `SEED=${seed}, request ${count}: ${JSON.stringify(bytes)}`;
    const [head = '', ...rest] = bytes.split('\r\n\r\n');
    const [line = '', ...fields] = head.split('\r\n');
    const isAmbiguous =
      fields.filter((field) => /^(host|x-request-id):/i.test(field)).length > 2 ||
      /\r\nconnection: host|gzip, chunked|\r\nx-t:|\/\/other/i.test(bytes);
    assert.is(received === undefined, isAmbiguous, place);
    if (received === undefined) {
      assert.match(status, /^(400|501)$/, place);
      continue;
    }
    assert.is(status, '200', place);
    assert.is(received.line, line, place);
    assert.is(received.body, rest.length > 0 && rest[0] !== '' ? 'abc' : '', place);
    // The order of different names has no meaning.
    assert.equal([...received.fields].sort(), [...expectedFieldsOf(fields)].sort(), place);
  }
});

test.run();
