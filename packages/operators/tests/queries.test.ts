import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { QueryRunner, renderTable, type QueryResult, type Row } from '../src/index.js';
import { createNode, directParser } from './in-memory-backend.js';

async function rowsOf(runner: QueryRunner, text: string): Promise<readonly Row[]> {
  const result = await runner.run({ text });
  if (result.kind !== 'rows') throw new Error(JSON.stringify(result));
  return result.rows;
}

function createNodeWithJournal(): ReturnType<typeof createNode> {
  const node = createNode();
  for (let number = 1; number <= 3; number += 1) {
    const requestId = `r${number}`;
    node.journal.record(
      requestId,
      {
        deadlineMilliseconds: 2_000,
        kind: 'received',
        method: 'GET',
        requestClass: 'idempotent',
        service: 'antrag',
        tenant: 'labs',
      },
      1_000,
    );
    const outcome = { kind: 'answered', status: 200 } as const;
    node.journal.record(
      requestId,
      { kind: 'concluded', outcome, service: 'antrag', tenant: 'labs' },
      1_000 + number * 100,
    );
  }
  return node;
}

/** Clauses of `show requests`, and the requests that it returns. */
const selections: readonly (readonly [string, readonly string[]])[] = [
  ['sort by latency_ms', ['r1', 'r2', 'r3']],
  ['sort by latency_ms descending limit 2', ['r3', 'r2']],
  ['where latency_ms > 0.1s sort by request', ['r2', 'r3']],
  ['where latency_ms >= 200 and request != r3', ['r2']],
  ['where request contains "3"', ['r3']],
  ['where reason = draining', []],
  ['where reason != draining limit 1', ['r3']],
];

for (const [clauses, expected] of selections) {
  test(`filter, sort order and limit select the expected rows: ${clauses}`, async () => {
    const runner = new QueryRunner(createNodeWithJournal().backend, directParser);
    const rows = await rowsOf(runner, `show requests ${clauses}`);
    assert.equal(
      rows.map((row) => row.request),
      expected,
    );
  });
}

/** Invalid question, column of the error, part of the message. */
const invalidQuestions: readonly (readonly [string, number, string])[] = [
  ['show members where slts > 1', 20, '`slots`'],
  ['show members where slots > many', 28, 'a number for the field `slots`'],
  ['show members where slots > 5s', 28, 'a number for the field `slots`'],
  ['show members where reachable = yes', 32, '`true` or `false`'],
  ['show members where slots contains 1', 20, 'a text field'],
  ['show members sort by age', 22, '`server`'],
  ['show members limit 0', 20, 'a whole number from 1'],
];

for (const [text, column, words] of invalidQuestions) {
  test(`an invalid field or value in a question gets an error with its position: ${text}`, async () => {
    const result = await new QueryRunner(createNode().backend, directParser).run({ text });
    assert.is(result.kind, 'faults');
    if (result.kind !== 'faults') return;
    assert.is(result.errors[0]?.column, column);
    assert.ok(result.errors[0]?.message.includes(words), result.errors[0]?.message);
  });
}

test('show load sums the load over the servers of a group', async () => {
  const rows = await rowsOf(
    new QueryRunner(createNode().backend, directParser),
    'show load by zone',
  );
  assert.equal(rows, [
    {
      in_flight: 4,
      latency_ms: 12,
      limit: 6,
      queued: 1,
      servers: 1,
      utilisation: 0.8333,
      zone: 'bern-a',
    },
  ]);
});

test('show services does not count dead members', async () => {
  const [row] = await rowsOf(new QueryRunner(createNode().backend, directParser), 'show services');
  assert.equal([row?.servers, row?.serving, row?.slots], [1, 1, 6]);
});

test('a change that is sent twice under one identifier takes effect once', async () => {
  const { backend, changes } = createNode();
  const runner = new QueryRunner(backend, directParser);
  const query = { changeId: 'c1', text: 'drain server bern-1' };
  const [first, second] = await Promise.all([runner.run(query), runner.run(query)]);
  assert.equal(first, second);
  assert.is(changes.proposals, 1);
  const other = await runner.run({ changeId: 'c1', text: 'drain server bern-2' });
  assert.is(other.kind === 'change' ? other.status : other.kind, 'rejected');
});

test('a change with an unresolved proposal is looked up by its identifier', async () => {
  const { backend, changes } = createNode();
  changes.isNextAnswerLost = true;
  const result = await new QueryRunner(backend, directParser).run({
    changeId: 'c1',
    text: 'drain zone bern-b',
  });
  assert.is(result.kind === 'change' ? result.status : result.kind, 'accepted');
});

// Operators mistook the current revision in this row for the revision that the change had produced.
test('the row of a change that the store does not list has no revision', async () => {
  const runner = new QueryRunner(createNode().backend, directParser);
  const result = await runner.run({ text: 'show change c9' });
  assert.equal(result.kind === 'rows' ? result.rows : result, [
    { change: 'c9', revision: null, state: 'not-found' },
  ]);
});

// Only the first proposal of a change may be answered with the statement that nothing was changed,
// because an earlier proposal may have been committed.
test('a change that is sent again is proposed as resent', async () => {
  const { backend, changes } = createNode();
  const proposed: (boolean | undefined)[] = [];
  changes.propose = ({ isResent }) => {
    proposed.push(isResent);
    return Promise.resolve({ kind: 'unresolved' });
  };
  const runner = new QueryRunner(backend, directParser);
  const query = { changeId: 'c1', text: 'drain zone bern-b' };
  await runner.run(query);
  await runner.run(query);
  assert.equal(proposed, [false, true]);
});

test('an unresolved change is reported as unresolved and can be sent again', async () => {
  const { backend, changes } = createNode();
  changes.isNextAnswerLost = true;
  changes.isReachable = false;
  const runner = new QueryRunner(backend, directParser);
  const query = { changeId: 'c1', text: 'drain zone bern-b' };
  const lost = await runner.run(query);
  assert.is(lost.kind === 'change' ? lost.status : lost.kind, 'unresolved');
  assert.is((await rowsOf(runner, 'show change c1'))[0]?.state, 'unresolved');
  changes.isReachable = true;
  assert.is((await rowsOf(runner, 'show change c1'))[0]?.state, 'in-force');
  const again = await runner.run(query);
  assert.is(again.kind === 'change' ? again.status : again.kind, 'unchanged');
  assert.is(changes.proposals, 1);
});

test('neither a dry run nor a change without differences is proposed', async () => {
  const { backend, changes } = createNode();
  const runner = new QueryRunner(backend, directParser);
  const statuses: string[] = [];
  for (const text of ['dry run drain zone bern-a', 'restore zone bern-a']) {
    const result: QueryResult = await runner.run({ text });
    if (result.kind === 'change') statuses.push(result.status);
  }
  assert.equal([statuses, changes.proposals], [['dry-run', 'unchanged'], 0]);
});

test('a warning is given if a drain matches no member or leaves a service without servers', async () => {
  const runner = new QueryRunner(createNode().backend, directParser);
  const result = await runner.run({
    text: 'dry run begin; drain zone bern-a; drain server berm-2; commit',
  });
  assert.is(result.kind, 'change');
  if (result.kind !== 'change') return;
  assert.equal(result.notes, [
    'no live member is named berm-2',
    'service antrag is left without a server that takes new work',
  ]);
});

test('a table contains no control characters, so that names cannot manipulate the terminal', () => {
  const result: QueryResult = {
    answered: 1,
    fields: [{ documentation: '', name: 'tenant', type: 'text' }],
    kind: 'rows',
    lacking: [],
    matched: 1,
    missing: [{ cause: 'lost\u001b[2J', server: 'a\u0007' }],
    revision: 1,
    rows: [{ tenant: 'x\u001b[31m\ny' }],
  };
  const lines = renderTable(result, '').split('\n');
  assert.equal(lines.slice(0, 2), ['tenant', 'x?[31m y']);
  assert.is(lines.at(-1), 'no answer from a?: lost?[2J');
});

test.run();
