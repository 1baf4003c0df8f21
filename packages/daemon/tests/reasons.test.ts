import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { CounterName, RefusalReason, RetryReason, UnknownReason } from '@peridotspring/core';
import type { CallOutcome } from '@peridotspring/core';
import { Metrics, RefusalHistory, RequestJournal } from '@peridotspring/operators';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { NodeObserver } from '../src/operators/node-observer.js';

const callerServer = 'callers/tests/caller-server.test.ts';
const engine = 'core/tests/calls/call-engine.test.ts';
const forwarder = 'core/tests/entry/keyed-forwarder.test.ts';
const gate = 'core/tests/gate/gate-refusals.test.ts';
const home = 'core/tests/homes/home-keeper.test.ts';
const keyRules = 'core/tests/homes/key-rules.test.ts';

/** The test file that produces each refusal reason. A reason without one is a compile error. */
const refusalTests: Readonly<Record<RefusalReason, string>> = {
  'all-targets-refused': engine,
  'body-too-large': callerServer,
  'conflicting-lengths': callerServer,
  'deadline-expired': engine,
  'deadline-malformed': callerServer,
  'deadline-too-short': gate,
  'depth-exceeded': callerServer,
  draining: gate,
  'entry-busy': callerServer,
  'headers-too-large': callerServer,
  'key-from-future': keyRules,
  'key-malformed': callerServer,
  'key-missing': callerServer,
  'key-reused': 'daemon/tests/at-most-once.process.test.ts',
  'key-store-full': home,
  'no-slot': gate,
  'no-upstream': engine,
  'node-stopping': callerServer,
  'not-serving-service': gate,
  'peer-congested': engine,
  'peer-unreachable': engine,
  'queue-full': gate,
  'tenant-limit': gate,
  'tenant-over-share': gate,
  'unknown-service': callerServer,
  'upstream-down': 'daemon/tests/lookups.process.test.ts',
  'void-attempt': home,
  'warming-up': gate,
};

const unknownTests: Readonly<Record<UnknownReason, string>> = {
  'answer-cut': 'daemon/tests/lookups.process.test.ts',
  'answer-not-kept': home,
  'answer-too-large': home,
  'connection-lost': home,
  'created-before-takeover': home,
  'deadline-after-start': forwarder,
  'deadline-malformed': callerServer,
  'depth-exceeded': callerServer,
  'entry-busy': callerServer,
  'home-unreachable': forwarder,
  'key-busy': home,
  'key-too-old': keyRules,
  'no-home': forwarder,
  'no-lease': home,
  'node-stopping': callerServer,
  'upstream-failed': 'daemon/tests/lookups.process.test.ts',
};

const retryTests: Readonly<Record<RetryReason, string>> = {
  'attempt-failed': 'daemon/tests/crash.process.test.ts',
  hedge: engine,
  'refused-elsewhere': engine,
};

const service = 'provenance';

/** Creates an observer with real metrics, and a function that returns their text. */
function newObserver(): { readonly observer: NodeObserver; readonly text: () => Promise<string> } {
  const metrics = new Metrics();
  const observer = new NodeObserver({
    journal: new RequestJournal(),
    log: { command: () => undefined },
    metrics,
    refusals: new RefusalHistory(),
    wallClock: () => 0,
  });
  return { observer, text: () => metrics.text() };
}

function recordOutcome(observer: NodeObserver, outcome: CallOutcome): void {
  const request = { milliseconds: 1, requestId: 'r', service, tenant: 't' };
  observer.onRequestFinished({ ...request, outcome });
}

function readCounter(counter: CounterName, reason: string, text: string): number {
  const lines = text
    .split('\n')
    .filter((line) => line.startsWith(`peridotspring_${counter}_total`));
  const own = lines.filter((line) => line.includes(`reason="${reason}"`));
  return own.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

// Without a test that produces it, a reason could be reported wrongly, or never, without being
// noticed.
test('each reason is named in the test that produces it', () => {
  const all = [refusalTests, unknownTests, retryTests].flatMap((table) => Object.entries(table));
  for (const [reason, file] of all) {
    const path = fileURLToPath(new URL(`../../../${file}`, import.meta.url));
    assert.ok(existsSync(path), path);
    const [name = ''] =
      Object.entries({ ...RefusalReason, ...UnknownReason, ...RetryReason }).find(
        ([, value]) => value === reason,
      ) ?? [];
    const isNamed = new RegExp(`[ '":(]${reason}\\b|Reason\\.${name}\\b`);
    assert.ok(isNamed.test(readFileSync(path, 'utf8')), `${file} does not name ${reason}`);
  }
});

// These counters are the only place where operators can see the cause of refusals.
test('each refusal reason increments its counter', async () => {
  const { observer, text } = newObserver();
  for (const reason of Object.values(RefusalReason)) {
    assert.is(readCounter(CounterName.Refusals, reason, await text()), 0);
    recordOutcome(observer, { kind: 'refused-not-run', reason });
    assert.is(readCounter(CounterName.Refusals, reason, await text()), 1, reason);
  }
});

test('each reason for an unknown outcome increments its counter', async () => {
  const { observer, text } = newObserver();
  for (const reason of Object.values(UnknownReason)) {
    assert.is(readCounter(CounterName.Unknowns, reason, await text()), 0);
    recordOutcome(observer, { attemptStarted: false, kind: 'outcome-unknown', reason });
    assert.is(readCounter(CounterName.Unknowns, reason, await text()), 1, reason);
  }
});

test('each retry reason increments its counter', async () => {
  const { observer, text } = newObserver();
  for (const reason of Object.values(RetryReason)) {
    const labels = { reason, service };
    observer.onCommand({ by: 1, counter: CounterName.Retries, kind: 'count', labels });
    assert.is(readCounter(CounterName.Retries, reason, await text()), 1, reason);
  }
});

test.run();
