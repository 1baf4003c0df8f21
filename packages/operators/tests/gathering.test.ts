import type { OperatorQuestionFrame } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  answerNodeQuestion,
  decodeAnswer,
  decodeZoneAnswer,
  encodeQuestion,
  PeerGatherer,
  QueryRunner,
  revisionQuestion,
  type NodeQuestion,
} from '../src/index.js';
import { isGatheredStatement } from '../src/gathering/statement-check.js';
import { createNode, directParser, nodeQuestion } from './in-memory-backend.js';

test('rows of nodes that answer are kept, and the others are named with the cause', async () => {
  const other = createNode();
  const node = createNode({
    send: (server, frame: OperatorQuestionFrame) => {
      if (server === 'unreachable') return false;
      if (server === 'lost')
        setImmediate(() => {
          node.gatherer.peerLost(server);
        });
      if (server === 'answers') {
        void answerNodeQuestion(other.backend, frame.question).then((answer) => {
          const { questionId } = frame;
          node.gatherer.answered(server, { answer, kind: 'operator-answer', questionId });
        });
      }
      return true;
    },
    servers: () => ['answers', 'unreachable', 'lost', 'silent'],
  });
  const gathered = await node.backend.gather(nodeQuestion('show load by zone'), {
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

test('an answer of a server that was not asked is not taken for the one that was', async () => {
  const gatherer: PeerGatherer = new PeerGatherer({
    send: (_, { questionId }) => {
      const answer = JSON.stringify({ kind: 'rows', revision: 9, rows: [] });
      gatherer.answered('other', { answer, kind: 'operator-answer', questionId });
      return true;
    },
    servers: () => ['asked'],
  });
  const gathered = await gatherer.gather(revisionQuestion, { deadlineMilliseconds: 20 });
  assert.equal(gathered.revisions, []);
});

test('a wait names the node that lacks the revision', async () => {
  const answer = JSON.stringify({ kind: 'rows', revision: 0, rows: [] });
  const node = createNode({
    send: (server, { questionId }) => {
      setImmediate(() => {
        node.gatherer.answered(server, { answer, kind: 'operator-answer', questionId });
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
const untrueSurveys: readonly (readonly [string, unknown])[] = [
  ['a count without a name', { lacking: { count: 1, named: [] }, members: 2 }],
  ['a name without a count', { lacking: { count: 0, named: [lackingNode] }, members: 2 }],
  ['more nodes than members', { lacking: { count: 1, named: [lackingNode] }, members: 0 }],
  ['no count of members', { lacking: { count: 0, named: [] } }],
  ['no tally', { members: 2 }],
];

for (const [name, survey] of untrueSurveys) {
  test(`a zone's answer that does not add up is no answer: ${name}`, () => {
    const missing = { count: 0, named: [] };
    const answer = { kind: 'zone-survey', missing, ...(survey as object) };
    assert.is(decodeZoneAnswer(JSON.stringify(answer)).kind, 'failed');
  });
}

const malformed = ['', '{}', 'null', '[]', '{"kind":"rows","revision":1,"rows":[{"a":{}}]}'];

for (const payload of malformed) {
  test(`a malformed answer counts as missing: ${payload}`, () => {
    assert.is(decodeAnswer(payload).kind, 'failed');
  });
}

const question = nodeQuestion('show requests where service = antrag sort by at limit 3').statement;
const { conditions, limit, order } = question;
const [condition] = conditions;
const faultyStatements: readonly unknown[] = [
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
const faultyPayloads = faultyStatements.map((statement) => JSON.stringify({ statement }));

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
  test(`the statement of a question reaches the other node unchanged: ${text}`, () => {
    const sent = nodeQuestion(text).statement;
    const { statement } = JSON.parse(encodeQuestion({ statement: sent, text })) as NodeQuestion;
    assert.ok(isGatheredStatement(statement));
    assert.equal({ ...sent, ...statement }, sent);
  });
}

for (const payload of ['', '{}', JSON.stringify({ text: 'show revision' }), ...faultyPayloads]) {
  test(`a node refuses anything but a question from another node: ${payload}`, async () => {
    const { backend, changes } = createNode();
    assert.is(decodeAnswer(await answerNodeQuestion(backend, payload)).kind, 'failed');
    assert.is(changes.proposals, 0);
  });
}

test.run();
