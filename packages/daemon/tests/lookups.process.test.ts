import { createHash, randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';

import { answerPart } from '@peridotspring/stand-ins';
import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, open, read, summaryOf } from './shared/caller.js';
import {
  changeFaults,
  counterOf,
  executionsOf,
  gaugeOf,
  planOf,
  startTestFleet,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

const mebibyte = 1_048_576;
const answerMebibytes = 96;
/** Credits, socket buffers and streams of both nodes hold less than this of a body. */
const heldMebibytes = 4;
/** Garbage that is not collected yet adds to what is held; a whole body would exceed it. */
const growthMebibytes = 64;

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
  gate: FleetServer;
}

const test = suite<Context>('lookups');

test.before(async (context) => {
  const plans = [planOf('provenance', 1), planOf('provenance', 2), planOf('issuance', 3)];
  context.fleet = await startTestFleet({ plans });
  context.gate = context.fleet.server('provenance-1');
  context.entry = context.fleet.server('issuance-3');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

function residentMebibytes(server: FleetServer): number {
  const status = readFileSync(`/proc/${server.node.pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

// A wrong route or a mixed-up answer would show in the body, which names the request.
test('every node answers lookups of every service with the body of that very request', async ({
  fleet,
}) => {
  for (const entry of fleet.servers.values()) {
    for (const service of ['provenance', 'issuance']) {
      const paths = Array.from({ length: 8 }, (_, index) => `/certificates/${index}?bytes=300`);
      const results = await Promise.all(paths.map((path) => call(entry, `/${service}${path}`)));
      for (const [index, result] of results.entries()) {
        assert.is(summaryOf(result), 'whole answered 200');
        const line = `GET ${paths[index] ?? ''} -\n`;
        assert.ok(result.body.equals(answerPart(line, 0, 300)));
      }
    }
  }
});

// Lost, repeated or reordered chunks would change the digest or the pattern.
test('a body of several MB is streamed whole in each direction', async ({ entry }) => {
  const body = randomBytes(12 * mebibyte);
  const bytes = 12 * mebibyte + 7;
  const path = `/certificates?bytes=${bytes}`;
  const result = await call(entry, `/provenance${path}`, { body, method: 'PUT' });
  assert.is(summaryOf(result), 'whole answered 200');
  const digest = createHash('sha256').update(body).digest('hex');
  assert.is(result.headers['stand-in-body-digest'], digest);
  assert.ok(result.body.equals(answerPart(`PUT ${path} -\n`, 0, bytes)));
});

// Without credit the gate would send the whole body to an entry whose caller does not read.
test('an answer that its caller does not read is held back, not buffered', async ({
  entry,
  fleet,
}) => {
  const gates = [fleet.server('provenance-1'), fleet.server('provenance-2')];
  const nodes = [entry, ...gates];
  const before = nodes.map(residentMebibytes);
  const sentBefore = await Promise.all(gates.map((gate) => gaugeOf(gate, 'peer_bytes_sent')));
  const bytes = answerMebibytes * mebibyte;
  const response = await open(entry, `/provenance/archive?bytes=${bytes}`);
  const sentNow = async (): Promise<number> => {
    const now = await Promise.all(gates.map((gate) => gaugeOf(gate, 'peer_bytes_sent')));
    return Math.max(...now.map((sent, index) => sent - (sentBefore[index] ?? 0)));
  };
  let last = -1;
  await waitFor('the gate stops sending', async () => {
    const previous = last;
    last = await sentNow();
    return last > 100_000 && last === previous;
  });
  const socketBuffers = 8 * mebibyte;
  assert.ok(last < heldMebibytes * mebibyte + socketBuffers, `${last} bytes were sent`);
  const result = await read(response);
  assert.is(summaryOf(result), 'whole answered 200');
  assert.is(result.body.length, bytes);
  for (const [index, node] of nodes.entries()) {
    const growth = residentMebibytes(node) - (before[index] ?? 0);
    assert.ok(growth < growthMebibytes, `a node grew by ${growth} MiB`);
  }
});

// A cut answer that ends like a whole one would give the caller half a record as if it were all.
test('an answer that the upstream cuts never looks whole', async ({ entry, fleet }) => {
  const gates = [fleet.server('provenance-1'), fleet.server('provenance-2')];
  await Promise.all(gates.map((gate) => changeFaults(gate, { cutBody: true })));
  const sizes = [200, 60_000, 200_000, 2 * mebibyte];
  const results = await Promise.all(
    sizes.flatMap((bytes) => [
      call(entry, `/provenance/x?bytes=${bytes}`),
      call(entry, `/provenance/x?bytes=${bytes}&chunked=1`),
    ]),
  );
  await Promise.all(gates.map((gate) => changeFaults(gate, { cutBody: false })));
  for (const result of results) {
    const isTold = result.isWhole && result.outcome === 'outcome-unknown' && result.status === 502;
    assert.ok(isTold || !result.isWhole, JSON.stringify(countSummaries(results)));
  }
  assert.ok((await counterOf(entry, 'retries', { reason: 'attempt-failed' })) > 0);
  assert.ok((await counterOf(entry, 'unknown_outcomes', { reason: 'upstream-failed' })) > 0);
  await waitFor('the cut answers are counted', async () => {
    return (await counterOf(entry, 'unknown_outcomes', { reason: 'answer-cut' })) >= 4;
  });
});

// The entry must not tell callers of a refused connection as if the request might have run.
test('with every upstream away a lookup is refused as not run, and nothing ran', async ({
  entry,
  fleet,
}) => {
  const gates = [fleet.server('provenance-1'), fleet.server('provenance-2')];
  await Promise.all(gates.map((gate) => changeFaults(gate, { refuseConnections: true })));
  const before = await Promise.all(gates.map(executionsOf));
  let result = await call(entry, '/provenance/away');
  await waitFor('the idle connections to the upstreams are gone', async () => {
    result = await call(entry, '/provenance/away');
    return result.outcome !== 'answered' && result.outcome !== 'outcome-unknown';
  });
  const ran = (await Promise.all(gates.map(executionsOf))).flat();
  await Promise.all(gates.map((gate) => changeFaults(gate, { refuseConnections: false })));
  assert.is(summaryOf(result), 'whole refused-not-run upstream-down 503');
  assert.ok(ran.length >= before.flat().length);
  const refusedAt = { reason: 'upstream-down', said_by: 'entry' };
  assert.ok((await counterOf(entry, 'refusals', refusedAt)) > 0);
  await waitFor('lookups are answered again', async () => {
    return (await call(entry, '/provenance/back')).outcome === 'answered';
  });
});

test.run();
