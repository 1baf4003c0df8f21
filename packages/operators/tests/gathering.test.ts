import type { OperatorQuestionFrame } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  answerNodeQuestion,
  decodeNodeAnswer,
  decodeZoneAnswer,
  encodeNodeQuestion,
  PeerGatherer,
  QueryRunner,
  revisionQuestion,
  type NodeQuestion,
} from '../src/index.js';
import { isGatheredStatement } from '../src/gathering/statement-guards.js';
import { createNode, directParser, parseNodeQuestion } from './in-memory-backend.js';

test('the result has the rows of nodes that answer, and lists the others with the cause', async () => {
  const other = createNode();
  const node = createNode({
    send: (server, frame: OperatorQuestionFrame) => {
      if (server === 'unreachable') return false;
      if (server === 'lost')
        setImmediate(() => {
          node.gatherer.onPeerLost(server);
        });
      if (server === 'answers') {
        void answerNodeQuestion(other.backend, frame.question).then((answer) => {
          const { questionId } = frame;
          node.gatherer.onAnswer(server, { answer, kind: 'operator-answer', questionId });
        });
      }
      return true;
    },
    servers: () => ['answers', 'unreachable', 'lost', 'silent'],
  });
  const gathered = await node.backend.gather(parseNodeQuestion('show load by zone'), {
    deadlineMilliseconds: 50,
  });
  assert.is(gathered.rows.length, 1);
  assert.equal(
    [...gathered.missing].sort((a, b) => (a.server < b.server ? -1 : 1)),
    [
      { cause: 'connection lost', server: 'lost' },
      { cause: 'no answer within 50 ms', server: 'silent' },
      { cause: 'unreachable', server: 'unreachable' },
    ],
  );
});

test('an answer from a server that was not asked is ignored', async () => {
  const gatherer: PeerGatherer = new PeerGatherer({
    send: (_, { questionId }) => {
      const answer = JSON.stringify({ kind: 'rows', revision: 9, rows: [] });
      gatherer.onAnswer('other', { answer, kind: 'operator-answer', questionId });
      return true;
    },
    servers: () => ['asked'],
  });
  const gathered = await gatherer.gather(revisionQuestion, { deadlineMilliseconds: 20 });
  assert.equal(gathered.revisions, []);
});

test('`wait` names the nodes that lack the revision', async () => {
  const answer = JSON.stringify({ kind: 'rows', revision: 0, rows: [] });
  const node = createNode({
    send: (server, { questionId }) => {
      setImmediate(() => {
        node.gatherer.onAnswer(server, { answer, kind: 'operator-answer', questionId });
      });
      return true;
    },
    servers: () => ['behind'],
  });
  const runner = new QueryRunner(node.backend, directParser);
  const result = await runner.run({ text: 'drain server bern-1 wait up to 50ms' });
  assert.is(result.kind, 'change');
  if (result.kind !== 'change') return;
  assert.is(result.status, 'accepted');
  assert.is(result.inForce?.everywhere, false);
  assert.equal(result.inForce?.lacking, [{ revision: 0, server: 'behind' }]);
});

const lackingNode = { revision: 0, server: 'a' };
const inconsistentSurveys: readonly (readonly [string, unknown])[] = [
  ['a count without a name', { lacking: { count: 1, named: [] }, members: 2 }],
  ['a name without a count', { lacking: { count: 0, named: [lackingNode] }, members: 2 }],
  ['more nodes than members', { lacking: { count: 1, named: [lackingNode] }, members: 0 }],
  ['no count of members', { lacking: { count: 0, named: [] } }],
  ['no tally', { members: 2 }],
];

for (const [name, survey] of inconsistentSurveys) {
  test(`a zone survey with inconsistent counts is rejected: ${name}`, () => {
    const missing = { count: 0, named: [] };
    const answer = { kind: 'zone-survey', missing, ...(survey as object) };
    assert.is(decodeZoneAnswer(JSON.stringify(answer)).kind, 'failed');
  });
}

const malformedAnswers = ['', '{}', 'null', '[]', '{"kind":"rows","revision":1,"rows":[{"a":{}}]}'];

for (const payload of malformedAnswers) {
  test(`a malformed answer is decoded as a failure: ${payload}`, () => {
    assert.is(decodeNodeAnswer(payload).kind, 'failed');
  });
}

const question = parseNodeQuestion(
  'show requests where service = antrag sort by at limit 3',
).statement;
const { conditions, limit, order } = question;
const [condition] = conditions;
const invalidStatements: readonly unknown[] = [
  undefined,
  null,
  { ...question, kind: 'change', commands: [] },
  { ...question, question: { kind: 'x' } },
  { ...question, question: { by: 'x', kind: 'load' } },
  { ...question, question: { kind: 'request' } },
  { ...question, question: { kind: 'refusals', sinceMilliseconds: '1' } },
  { ...question, question: { changeId: 'c', kind: 'change' } },
  { ...question, conditions: undefined },
  { ...question, conditions: [{ ...condition, comparison: 'like' }] },
  { ...question, conditions: [{ ...condition, value: { kind: 'text', value: 1 } }] },
  { ...question, conditions: [{ ...condition, field: 'service' }] },
  { ...question, limit: { ...limit, value: '3' } },
  { ...question, order: { ...order, descending: 1 } },
];
const invalidPayloads = invalidStatements.map((statement) => JSON.stringify({ statement }));

for (const text of [
  'show requests where service = antrag and retries > 1 sort by at descending limit 3',
  'show requests where service contains "a" and duration_ms >= 5ms',
  'show refusals since 10m',
  'show request r-1',
  'show load by tenant',
  'show budgets',
  'show homes',
  'show platform',
  'show revision',
  'show tenants',
]) {
  test(`the statement of a question is unchanged after encoding and decoding: ${text}`, () => {
    const sent = parseNodeQuestion(text).statement;
    const { statement } = JSON.parse(encodeNodeQuestion({ statement: sent, text })) as NodeQuestion;
    assert.ok(isGatheredStatement(statement));
    assert.equal({ ...sent, ...statement }, sent);
  });
}

for (const payload of ['', '{}', JSON.stringify({ text: 'show revision' }), ...invalidPayloads]) {
  test(`a node rejects a payload that is not a question between nodes: ${payload}`, async () => {
    const { backend, changes } = createNode();
    assert.is(decodeNodeAnswer(await answerNodeQuestion(backend, payload)).kind, 'failed');
    assert.is(changes.proposals, 0);
  });
}

test.run();
