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

/** The test in which each reason arises; a reason without one does not compile. */
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

/** An observer with real counters, and the counters' text. */
function observed(): { readonly observer: NodeObserver; readonly text: () => Promise<string> } {
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

function finish(observer: NodeObserver, outcome: CallOutcome): void {
  const request = { milliseconds: 1, requestId: 'r', service, tenant: 't' };
  observer.finished({ ...request, outcome });
}

function series(counter: CounterName, reason: string, text: string): number {
  const lines = text
    .split('\n')
    .filter((line) => line.startsWith(`peridotspring_${counter}_total`));
  const own = lines.filter((line) => line.includes(`reason="${reason}"`));
  return own.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

// A reason that no test reaches may never be given, or given wrongly, without anybody noticing.
test('each reason is named by the test in which it arises', () => {
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

// Operators find the cause of refusals in these counters only.
test('the counter of each refusal reason rises', async () => {
  const { observer, text } = observed();
  for (const reason of Object.values(RefusalReason)) {
    assert.is(series(CounterName.Refusals, reason, await text()), 0);
    finish(observer, { kind: 'refused-not-run', reason });
    assert.is(series(CounterName.Refusals, reason, await text()), 1, reason);
  }
});

test('the counter of each unknown reason rises', async () => {
  const { observer, text } = observed();
  for (const reason of Object.values(UnknownReason)) {
    assert.is(series(CounterName.Unknowns, reason, await text()), 0);
    finish(observer, { attemptStarted: false, kind: 'outcome-unknown', reason });
    assert.is(series(CounterName.Unknowns, reason, await text()), 1, reason);
  }
});

test('the counter of each retry reason rises', async () => {
  const { observer, text } = observed();
  for (const reason of Object.values(RetryReason)) {
    const labels = { reason, service };
    observer.command({ by: 1, counter: CounterName.Retries, kind: 'count', labels });
    assert.is(series(CounterName.Retries, reason, await text()), 1, reason);
  }
});

test.run();
