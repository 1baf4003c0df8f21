import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { parseStatement, type Statement } from '../src/index.js';

function parsed(text: string): Statement {
  const result = parseStatement(text);
  if (result.kind === 'faulty') throw new Error(result.errors.map((e) => e.message).join('\n'));
  return result.statement;
}

const questions: readonly (readonly [string, object])[] = [
  ['show configuration', { kind: 'configuration' }],
  ['show services;', { kind: 'services' }],
  ['show tenants', { kind: 'tenants' }],
  ['show members # all of them', { kind: 'members' }],
  ['show load by service', { by: 'service', kind: 'load' }],
  ['show load by zone', { by: 'zone', kind: 'load' }],
  ['show load by server', { by: 'server', kind: 'load' }],
  ['show load by tenant', { by: 'tenant', kind: 'load' }],
  ['show refusals', { kind: 'refusals', sinceMilliseconds: undefined }],
  ['show refusals since 10m', { kind: 'refusals', sinceMilliseconds: 600_000 }],
  ['show request 018f-1', { kind: 'request', requestId: '018f-1' }],
  ['show request 12', { kind: 'request', requestId: '12' }],
  ['show change c1', { changeId: 'c1', kind: 'change' }],
  ['show key service "a b"', { key: 'a b', kind: 'key', service: 'service' }],
  ['show requests', { kind: 'requests' }],
  ['show budgets', { kind: 'budgets' }],
  ['show homes', { kind: 'homes' }],
  ['show platform', { kind: 'platform' }],
  ['show revision', { kind: 'revision' }],
];

for (const [text, question] of questions) {
  test(`question is not taken for another one: ${text}`, () => {
    const statement = parsed(text);
    assert.is(statement.kind, 'question');
    if (statement.kind === 'question') assert.equal(statement.question, question);
  });
}

test('filter, order and limit keep their values and units', () => {
  const statement = parsed(
    'show requests where latency_ms >= 1.5s and service != antrag and share < 2% sort by at descending limit 5',
  );
  assert.is(statement.kind, 'question');
  if (statement.kind !== 'question') return;
  assert.equal(
    statement.conditions.map(({ comparison, field, value }) => [field.text, comparison, value]),
    [
      ['latency_ms', '>=', { kind: 'duration', milliseconds: 1500 }],
      ['service', '!=', { kind: 'text', value: 'antrag' }],
      ['share', '<', { kind: 'number', value: 0.02 }],
    ],
  );
  assert.is(statement.order?.descending, true);
  assert.is(statement.limit?.value, 5);
});

test('a group, a dry run and a wait are kept, so that no change is made by mistake', () => {
  const statement = parsed(
    'dry run begin; declare service a request r GET "/x" idempotent before s; drain zone thun-c; commit wait up to 9s;',
  );
  assert.is(statement.kind, 'change');
  if (statement.kind !== 'change') return;
  assert.is(statement.dryRun, true);
  assert.equal(statement.wait, { upToMilliseconds: 9000 });
  assert.equal(
    statement.commands.map((command) => command.kind),
    ['declare-service', 'drain-zone'],
  );
});

test('wait alone names a revision and a time', () => {
  assert.equal(parsed('wait for revision 7 up to 2s'), {
    kind: 'wait',
    revision: 7,
    upToMilliseconds: 2000,
  });
});

/** Text, line, column, found, and one of the expected words. */
const faults: readonly (readonly [string, number, number, string, string])[] = [
  ['', 1, 1, 'the end', '`show`'],
  ['shwo services', 1, 1, '`shwo`', '`show`'],
  ['show servces', 1, 6, '`servces`', '`services`'],
  ['show load\n  by rack', 2, 6, '`rack`', '`zone`'],
  ['show services limit many', 1, 21, '`many`', 'a number'],
  ['show services whre a = 1', 1, 15, '`whre`', '`where`'],
  ['show services where a 1', 1, 23, '`1`', '`contains`'],
  ['show members; show load', 1, 15, '`show`', 'the end'],
  ['declare service a ramp 10', 1, 24, '`10`', 'a duration such as 500ms, 2s, 10m or 1h'],
  ['declare service a queue maximum on', 1, 33, '`on`', '`off`'],
  ['declare service a body 10', 1, 24, '`10`', '`maximum`'],
  ['declare service a remove request r', 1, 19, '`remove`', '`ramp`'],
  ['declare service a request r GET /x', 1, 33, '"/"', 'a word, a number'],
  ['drain server "a', 1, 14, 'a text that is not closed', 'a text that ends with a quote'],
  ['drain server "a\\n"', 1, 14, 'a text that is not closed', 'a text that ends with a quote'],
  ['dry run show services', 1, 9, '`show`', '`declare`'],
  ['begin; drain zone a commit', 1, 21, '`commit`', '`;`'],
  ['drain server', 1, 13, 'the end', 'a name'],
  ['change service a', 1, 17, 'the end', '`tenant`'],
];

for (const [text, line, column, found, expected] of faults) {
  test(`fault is located and explained: ${JSON.stringify(text)}`, () => {
    const result = parseStatement(text);
    assert.is(result.kind, 'faulty');
    if (result.kind !== 'faulty') return;
    const [error] = result.errors;
    assert.equal([error?.line, error?.column, error?.found], [line, column, found]);
    assert.ok(
      error?.expected.some((word) => word.startsWith(expected)),
      error?.message,
    );
  });
}

test('a text of hostile size is refused before it is parsed', () => {
  assert.is(parseStatement('show '.repeat(100_000)).kind, 'faulty');
});

/** Texts of many faults. The first one took 45 s at 200,000 characters before an open quote was a token. */
const hostileTexts = ['"' + '\\"'.repeat(20_000), '? a '.repeat(20_000), '"a\n'.repeat(20_000)];

for (const text of hostileTexts) {
  test(`a hostile text does not fill the answer with errors: ${JSON.stringify(text.slice(0, 8))}`, () => {
    const result = parseStatement(text);
    assert.is(result.kind, 'faulty');
    assert.ok(result.kind === 'faulty' && result.errors.length <= 10);
  });
}

test.run();
