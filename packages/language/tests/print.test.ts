import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RequestClass, serviceDefaults } from '@peridotspring/core';

import { parseStatement, printService, quote } from '../src/index.js';

const text = fc.string({ minLength: 1 }).filter((value) => !/[\r\n]/.test(value));

test('any name that is quoted reads back as itself, so that no name can end its own quotes', () => {
  fc.assert(
    fc.property(text, (name) => {
      const result = parseStatement(`drain server ${quote(name)}`);
      assert.is(result.kind, 'parsed');
      if (result.kind !== 'parsed' || result.statement.kind !== 'change') return;
      const [command] = result.statement.commands;
      assert.is(command?.kind === 'drain-server' ? command.server.text : undefined, name);
    }),
    { numRuns: 300, seed: 1 },
  );
});

test('a printed service parses, names like keywords and numbers included', () => {
  const printed = printService({
    ...serviceDefaults,
    name: 'service',
    probeBudgetShare: 1e-7,
    requestKinds: [
      { method: '*', name: '12', pathPrefix: '/a"b', requestClass: RequestClass.NonIdempotent },
    ],
    tenants: [{ tenant: 'limit', weight: 2.5 }],
  });
  assert.is(parseStatement(printed).kind, 'parsed', printed);
  assert.ok(printed.includes('deadline maximum 1m'));
  assert.ok(printed.includes('probe budget 0.0000001'));
});

test.run();
