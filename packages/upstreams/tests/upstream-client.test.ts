import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';
import type { Duplex } from 'node:stream';
import { buffer } from 'node:stream/consumers';

import { answerLine, answerPart } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { waitUntil, withStandIn } from './client-harness.js';

const expectedBody = (path: string, bytes: number): Buffer =>
  answerPart(answerLine('GET', path, undefined), 0, bytes);

/** Path, length of the response body, its handling, and whether it is collected for an idempotency key's record. */
type BodyCase = readonly [string, number, 'whole' | 'streamed' | 'dropped', boolean];

const bodyCases: readonly BodyCase[] = [
  ['/?bytes=0', 0, 'whole', false],
  ['/?bytes=65536', 65_536, 'whole', false],
  ['/?bytes=65537', 65_537, 'streamed', false],
  ['/?chunked=1&bytes=65536', 65_536, 'whole', false],
  ['/?chunked=1&bytes=65537', 65_537, 'streamed', false],
  ['/?chunked=1&bytes=5000000', 5_000_000, 'streamed', false],
  ['/?bytes=1048576', 1_048_576, 'whole', true],
  ['/?bytes=1048577', 1_048_577, 'dropped', true],
  ['/?chunked=1&bytes=1048577', 1_048_577, 'dropped', true],
];

for (const [path, bytes, kind, collectAnswer] of bodyCases) {
  test(`${path} with collectAnswer ${collectAnswer} gives a ${kind} body, complete and within the memory limit`, async () => {
    await withStandIn({}, async (harness) => {
      const executionId = harness.run(path, { collectAnswer });
      const result = await harness.waitForResult(executionId);
      assert.is(result.kind, 'answered');
      if (result.kind !== 'answered') return;
      assert.is(result.streamedBody, kind === 'streamed');
      const stream = harness.client.responseBody(executionId);
      const body = stream === undefined ? result.body : await buffer(stream);
      if (kind === 'dropped') assert.is(body, undefined);
      else assert.ok(expectedBody(path, bytes).equals(body ?? Buffer.from('absent')));
      assert.ok(await harness.waitForFinish(executionId));
      assert.equal(harness.kindsOf(executionId), ['upstream-result', 'upstream-finished']);
      await waitUntil(() => harness.client.responseBody(executionId) === undefined);
    });
  });
}

test('a response that nobody reads is limited by backpressure and not buffered in memory', async () => {
  await withStandIn({}, async (harness, standIn) => {
    const executionId = harness.run('/?bytes=200000000');
    await harness.waitForResult(executionId);
    const stream = harness.client.responseBody(executionId) as Duplex;
    await new Promise((resolve) => setTimeout(resolve, 50));
    assert.ok(stream.readableLength + stream.writableLength <= 200_000);
    assert.is(standIn.state.inFlight, 1);
    harness.client.cancel(executionId);
    assert.not(await harness.waitForFinish(executionId));
    await waitUntil(() => standIn.state.inFlight === 0);
    assert.is(standIn.executions()[0]?.cancelled, true);
  });
});

test('a response to HEAD or with status 204 is complete although it declares a length', async () => {
  await withStandIn({}, async (harness) => {
    for (const changes of [{ method: 'HEAD' }, { method: 'GET' }]) {
      const executionId = harness.run('/?status=204&bytes=100000', changes);
      assert.ok(await harness.waitForFinish(executionId));
      const result = await harness.waitForResult(executionId);
      assert.is(result.kind === 'answered' && result.body?.length, 0);
    }
  });
});

test('buffered and streamed request bodies arrive unchanged', async () => {
  await withStandIn({}, async (harness) => {
    const body = Buffer.alloc(3_000_000, 'claim ');
    const digest = createHash('sha256').update(body).digest('hex');
    const whole = harness.run('/', { body, method: 'POST' });
    const streamed = harness.run(
      '/',
      { method: 'POST' },
      Readable.from([body.subarray(0, 9), body.subarray(9)]),
    );
    for (const executionId of [whole, streamed]) {
      const result = await harness.waitForResult(executionId);
      assert.is(result.kind === 'answered' && result.headers['stand-in-body-digest'], digest);
    }
  });
});

test('a request whose body is aborted is not executed with a truncated body', async () => {
  await withStandIn({}, async (harness, standIn) => {
    const body = new Readable({ read: () => undefined });
    const executionId = harness.run('/', { method: 'POST' }, body);
    body.push('first half');
    body.destroy(new Error('caller disconnected'));
    assert.is((await harness.waitForResult(executionId)).kind, 'failed');
    assert.not(await harness.waitForFinish(executionId));
    assert.is(standIn.state.executions, 0);
  });
});

test('cancelling ends running requests and requests that are queued for a connection', async () => {
  await withStandIn(
    { freeze: true },
    async (harness, standIn) => {
      const running = harness.run('/');
      const waiting = harness.run('/');
      await waitUntil(() => standIn.state.inFlight === 1);
      for (const executionId of [waiting, running]) {
        harness.client.cancel(executionId);
        assert.equal(await harness.waitForResult(executionId), {
          detail: 'cancelled',
          kind: 'failed',
        });
        assert.not(await harness.waitForFinish(executionId));
      }
      await waitUntil(() => standIn.state.inFlight === 0);
      assert.is(standIn.state.executions, 1);
    },
    { clientConnections: 2 },
  );
});

for (const connections of [1, 4]) {
  test(`requests and polls open no more than the ${connections} announced connections`, async () => {
    await withStandIn(
      {},
      async (harness, standIn) => {
        const executions = Array.from({ length: 40 }, () => harness.run('/'));
        await harness.pollOnce();
        for (const executionId of executions) assert.ok(await harness.waitForFinish(executionId));
        assert.ok(standIn.state.peakConnections <= connections, `${standIn.state.peakConnections}`);
      },
      { clientConnections: connections, slots: 40 },
    );
  });
}

test('requests to the previous address finish after the address has changed', async () => {
  await withStandIn({ freeze: true }, async (harness, previous) => {
    const old = harness.run('/');
    await waitUntil(() => previous.state.inFlight === 1);
    await withStandIn({}, async (_other, standIn) => {
      harness.client.setAddress(standIn.address, 5);
      assert.ok(await harness.waitForFinish(harness.run('/')));
      assert.is(standIn.state.executions, 1);
    });
    await previous.changeFaults({ freeze: false });
    assert.ok(await harness.waitForFinish(old));
  });
});

test('closing the client ends every execution and reports it', async () => {
  await withStandIn({ freeze: true }, async (harness, standIn) => {
    const executionId = harness.run('/');
    await waitUntil(() => standIn.state.inFlight === 1);
    harness.client.close();
    assert.not(await harness.waitForFinish(executionId));
    assert.equal(await harness.waitForResult(harness.run('/')), { kind: 'not-reached' });
  });
});

test.run();
