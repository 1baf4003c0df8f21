import { createHash, randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';

import { answerPart } from '@peridotspring/stand-ins';
import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, openResponse, readResult, summaryOf } from './shared/caller.js';
import {
  setUpstreamFaults,
  readCounter,
  readExecutions,
  readGauge,
  createPlan,
  startTestFleet,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

const mebibyte = 1_048_576;
const answerMebibytes = 96;
/** Credit, socket buffers and streams of both nodes together hold less than this of a body. */
const bufferedMebibytes = 4;
/**
 * Covers buffers and garbage that has not been collected yet; a fully buffered body would exceed
 * it.
 */
const memoryGrowthLimitMebibytes = 64;

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
  gate: FleetServer;
}

const test = suite<Context>('lookups');

test.before(async (context) => {
  const plans = [
    createPlan('provenance', 1),
    createPlan('provenance', 2),
    createPlan('issuance', 3),
  ];
  context.fleet = await startTestFleet({ plans });
  context.gate = context.fleet.server('provenance-1');
  context.entry = context.fleet.server('issuance-3');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

function readResidentMebibytes(server: FleetServer): number {
  const status = readFileSync(`/proc/${server.node.pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

// The response body identifies the request, so that a wrong route or a mixed-up response is
// detected.
test('every node answers lookups of every service with the matching body', async ({ fleet }) => {
  for (const entry of fleet.servers.values()) {
    for (const service of ['provenance', 'issuance']) {
      const paths = Array.from({ length: 8 }, (_, index) => `/certificates/${index}?bytes=300`);
      const results = await Promise.all(paths.map((path) => call(entry, `/${service}${path}`)));
      for (const [index, result] of results.entries()) {
        assert.is(summaryOf(result), 'complete answered 200');
        const line = `GET ${paths[index] ?? ''} -\n`;
        assert.ok(result.body.equals(answerPart(line, 0, 300)));
      }
    }
  }
});

// Lost, repeated or reordered chunks would change the digest or the pattern.
test('a body of several MB is streamed completely in each direction', async ({ entry }) => {
  const body = randomBytes(12 * mebibyte);
  const bytes = 12 * mebibyte + 7;
  const path = `/certificates?bytes=${bytes}`;
  const result = await call(entry, `/provenance${path}`, { body, method: 'PUT' });
  assert.is(summaryOf(result), 'complete answered 200');
  const digest = createHash('sha256').update(body).digest('hex');
  assert.is(result.headers['stand-in-body-digest'], digest);
  assert.ok(result.body.equals(answerPart(`PUT ${path} -\n`, 0, bytes)));
});

// Without flow control by credit the gate would send the entire body to an entry whose caller does
// not read.
test('a response that its caller does not read is held back, not buffered', async ({
  entry,
  fleet,
}) => {
  const gates = [fleet.server('provenance-1'), fleet.server('provenance-2')];
  const nodes = [entry, ...gates];
  const before = nodes.map(readResidentMebibytes);
  const sentBefore = await Promise.all(gates.map((gate) => readGauge(gate, 'peer_bytes_sent')));
  const bytes = answerMebibytes * mebibyte;
  const response = await openResponse(entry, `/provenance/archive?bytes=${bytes}`);
  const readSentBytes = async (): Promise<number> => {
    const now = await Promise.all(gates.map((gate) => readGauge(gate, 'peer_bytes_sent')));
    return Math.max(...now.map((sent, index) => sent - (sentBefore[index] ?? 0)));
  };
  let lastSentBytes = -1;
  await waitFor('the gate stops sending', async () => {
    const previousSentBytes = lastSentBytes;
    lastSentBytes = await readSentBytes();
    return lastSentBytes > 100_000 && lastSentBytes === previousSentBytes;
  });
  const socketBuffers = 8 * mebibyte;
  assert.ok(
    lastSentBytes < bufferedMebibytes * mebibyte + socketBuffers,
    `${lastSentBytes} bytes were sent`,
  );
  const result = await readResult(response);
  assert.is(summaryOf(result), 'complete answered 200');
  assert.is(result.body.length, bytes);
  for (const [index, node] of nodes.entries()) {
    const growth = readResidentMebibytes(node) - (before[index] ?? 0);
    assert.ok(growth < memoryGrowthLimitMebibytes, `the memory of a node grew by ${growth} MiB`);
  }
});

// If a truncated response looked complete, the caller would take part of a record for the entire
// record.
test('a response that the upstream truncates never looks complete', async ({ entry, fleet }) => {
  const gates = [fleet.server('provenance-1'), fleet.server('provenance-2')];
  await Promise.all(gates.map((gate) => setUpstreamFaults(gate, { cutBody: true })));
  const sizes = [200, 60_000, 200_000, 2 * mebibyte];
  const results = await Promise.all(
    sizes.flatMap((bytes) => [
      call(entry, `/provenance/x?bytes=${bytes}`),
      call(entry, `/provenance/x?bytes=${bytes}&chunked=1`),
    ]),
  );
  await Promise.all(gates.map((gate) => setUpstreamFaults(gate, { cutBody: false })));
  for (const result of results) {
    const isReported =
      result.isComplete && result.outcome === 'outcome-unknown' && result.status === 502;
    assert.ok(isReported || !result.isComplete, JSON.stringify(countSummaries(results)));
  }
  assert.ok((await readCounter(entry, 'retries', { reason: 'attempt-failed' })) > 0);
  assert.ok((await readCounter(entry, 'unknown_outcomes', { reason: 'upstream-failed' })) > 0);
  await waitFor('the truncated responses are counted', async () => {
    return (await readCounter(entry, 'unknown_outcomes', { reason: 'answer-cut' })) >= 4;
  });
});

// If the upstream refuses the connection, the entry must not report that the request might have
// run.
test('a lookup is refused as not run, and does not run, while all upstreams are down', async ({
  entry,
  fleet,
}) => {
  const gates = [fleet.server('provenance-1'), fleet.server('provenance-2')];
  await Promise.all(gates.map((gate) => setUpstreamFaults(gate, { refuseConnections: true })));
  const before = await Promise.all(gates.map(readExecutions));
  let result = await call(entry, '/provenance/away');
  await waitFor('the idle connections to the upstreams are closed', async () => {
    result = await call(entry, '/provenance/away');
    return result.outcome !== 'answered' && result.outcome !== 'outcome-unknown';
  });
  const executions = (await Promise.all(gates.map(readExecutions))).flat();
  await Promise.all(gates.map((gate) => setUpstreamFaults(gate, { refuseConnections: false })));
  assert.is(summaryOf(result), 'complete refused-not-run upstream-down 503');
  assert.ok(executions.length >= before.flat().length);
  const refusedAt = { reason: 'upstream-down', said_by: 'entry' };
  assert.ok((await readCounter(entry, 'refusals', refusedAt)) > 0);
  await waitFor('lookups are answered again', async () => {
    return (await call(entry, '/provenance/back')).outcome === 'answered';
  });
});

test.run();
