import { readFileSync } from 'node:fs';

import { RefusalReason, UnknownReason } from '@peridotspring/core';
import { keywords, LoadGrouping, type Question } from '@peridotspring/language';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { fieldsOf, QueryRunner } from '../src/index.js';
import { createNode, directParser } from './in-memory-backend.js';

function readPage(name: string): string {
  return readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8');
}

const languagePage = readPage('language.md');
const examples = [...languagePage.matchAll(/```peridotspring\n([^]*?)```/g)].map(
  ([, text]) => text ?? '',
);

// The examples run in page order, because later ones change what earlier ones declare.
const runner = new QueryRunner(createNode().backend, directParser);

for (const text of examples) {
  test(`the example on the page runs: ${JSON.stringify(text.slice(0, 60))}`, async () => {
    const result = await runner.run({ text });
    assert.not.equal(result.kind, 'faults', JSON.stringify(result));
    if (result.kind !== 'change') return;
    const status = text.startsWith('dry run') ? 'dry-run' : 'accepted';
    assert.is(result.status, status, JSON.stringify(result));
  });
}

test('the page has an example for every keyword except `ascending` and `contains`', () => {
  const words = new Set(examples.join(' ').split(/[^a-z-]+/));
  const unused = keywords.filter((word) => !words.has(word));
  assert.equal(unused, ['ascending', 'contains']);
});

const kinds: readonly Question['kind'][] = [
  'budgets',
  'change',
  'configuration',
  'homes',
  'key',
  'members',
  'platform',
  'refusals',
  'request',
  'requests',
  'revision',
  'services',
  'tenants',
];
const documented: readonly (readonly [string, Question])[] = [
  ...kinds.map((kind) => [kind, { kind } as Question] as const),
  ...Object.values(LoadGrouping).map((by) => [`load by ${by}`, { by, kind: 'load' }] as const),
];

for (const [subject, question] of documented) {
  test(`the page documents the fields of show ${subject} as the code defines them`, () => {
    const section =
      languagePage.split(`### Fields of \`show ${subject}\`\n`)[1]?.split('###')[0] ?? '';
    const listed = section.split('\n').filter((line) => line.startsWith('- '));
    const defined = fieldsOf(question).map(({ documentation, name, type, unit }) => {
      const suffix = unit === undefined ? '' : `, ${unit}`;
      return `- \`${name}\` (${type}${suffix}): ${documentation}`;
    });
    assert.equal(listed, defined);
  });
}

test('the operations page lists every reason of a refusal and of an unknown outcome', () => {
  const operators = readPage('OPERATIONS.md');
  const reasons = [...Object.values(RefusalReason), ...Object.values(UnknownReason)];
  const missing = reasons.filter((reason) => !operators.includes(`\n| \`${reason}\``));
  assert.equal(missing, []);
});

test.run();
