import { readdirSync, readFileSync } from 'node:fs';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EntryEventName, GateEventName } from '@peridotspring/mesh-core';

import { LogEvent } from '../../src/logging/log-event.js';
import { MeshEvent } from '../../src/mesh/index.js';

const root = new URL('../../../../../', import.meta.url);

function sourceText(folder: string): string {
  const base = new URL(folder, root);
  return readdirSync(base, { recursive: true })
    .map(String)
    .filter((file) => file.endsWith('.ts') && !file.endsWith('log-event.ts'))
    .map((file) => readFileSync(new URL(file, base), 'utf8'))
    .join('\n');
}

const operationsPage = readFileSync(new URL('docs/OPERATIONS.md', root), 'utf8');

// Operators configure alerts by event names, so each name must be documented and must actually be logged.
test('each event of the daemon is logged and documented', () => {
  const source = sourceText('packages/daemon/src/');
  for (const [name, event] of Object.entries(LogEvent)) {
    assert.ok(source.includes(`LogEvent.${name}`), `${event} is never logged`);
    assert.ok(operationsPage.includes(`| \`${event}\``), `${event} is not in docs/OPERATIONS.md`);
  }
});

test('each event of the core is documented', () => {
  const source = sourceText('packages/core/src/');
  const events = [...source.matchAll(/\.log\((?:'info', |'warn', )?'([a-z-]+)'/g)];
  assert.ok(events.length >= 3);
  for (const [, event = ''] of events) {
    assert.ok(operationsPage.includes(`| \`${event}\``), `${event} is not in docs/OPERATIONS.md`);
  }
});

test('each event of the routing node is logged and documented', () => {
  const source = `${sourceText('packages/daemon/src/')}${sourceText('platform/src/')}`;
  for (const [name, event] of Object.entries(MeshEvent)) {
    assert.ok(source.includes(`MeshEvent.${name}`), `${event} is never logged`);
    assert.ok(operationsPage.includes(`| \`${event}\``), `${event} is not in docs/OPERATIONS.md`);
  }
  for (const event of [...Object.values(EntryEventName), ...Object.values(GateEventName)]) {
    assert.ok(operationsPage.includes(`| \`${event}\``), `${event} is not in docs/OPERATIONS.md`);
  }
});

test.run();
