import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';
import type { Duplex } from 'node:stream';
import { buffer } from 'node:stream/consumers';

import { answerLine, answerPart } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { until, withStandIn } from './client-setup.js';

const expected = (path: string, bytes: number): Buffer =>
  answerPart(answerLine('GET', path, undefined), 0, bytes);

/** Path, length of the body, what becomes of it, and whether it is collected for a key's record. */
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
  test(`${path} with collectAnswer ${collectAnswer} is ${kind}: no byte is lost or kept beyond the limit`, async () => {
    await withStandIn({}, async (bench) => {
      const execution = bench.run(path, { collectAnswer });
      const result = await bench.result(execution);
      assert.is(result.kind, 'answered');
      if (result.kind !== 'answered') return;
      assert.is(result.streamedBody, kind === 'streamed');
      const stream = bench.client.answerBody(execution);
      const body = stream === undefined ? result.body : await buffer(stream);
      if (kind === 'dropped') assert.is(body, undefined);
      else assert.ok(expected(path, bytes).equals(body ?? Buffer.from('absent')));
      assert.ok(await bench.finished(execution));
      assert.equal(bench.kindsOf(execution), ['upstream-result', 'upstream-finished']);
      await until(() => bench.client.answerBody(execution) === undefined);
    });
  });
}

test('an answer that nobody reads is held back at the upstream, not in memory', async () => {
  await withStandIn({}, async (bench, standIn) => {
    const execution = bench.run('/?bytes=200000000');
    await bench.result(execution);
    const stream = bench.client.answerBody(execution) as Duplex;
    await new Promise((resolve) => setTimeout(resolve, 50));
    assert.ok(stream.readableLength + stream.writableLength <= 200_000);
    assert.is(standIn.state.inFlight, 1);
    bench.client.cancel(execution);
    assert.not(await bench.finished(execution));
    await until(() => standIn.state.inFlight === 0);
    assert.is(standIn.executions()[0]?.cancelled, true);
  });
});

test('an answer without a body is whole although it states a length', async () => {
  await withStandIn({}, async (bench) => {
    for (const changes of [{ method: 'HEAD' }, { method: 'GET' }]) {
      const execution = bench.run('/?status=204&bytes=100000', changes);
      assert.ok(await bench.finished(execution));
      const result = await bench.result(execution);
      assert.is(result.kind === 'answered' && result.body?.length, 0);
    }
  });
});

test('whole and streamed request bodies arrive unchanged', async () => {
  await withStandIn({}, async (bench) => {
    const body = Buffer.alloc(3_000_000, 'claim ');
    const digest = createHash('sha256').update(body).digest('hex');
    const whole = bench.run('/', { body, method: 'POST' });
    const streamed = bench.run(
      '/',
      { method: 'POST' },
      Readable.from([body.subarray(0, 9), body.subarray(9)]),
    );
    for (const execution of [whole, streamed]) {
      const result = await bench.result(execution);
      assert.is(result.kind === 'answered' && result.headers['stand-in-body-digest'], digest);
    }
  });
});

test('a request body that is cut is never run as if it were whole', async () => {
  await withStandIn({}, async (bench, standIn) => {
    const body = new Readable({ read: () => undefined });
    const execution = bench.run('/', { method: 'POST' }, body);
    body.push('first half');
    body.destroy(new Error('the caller has gone'));
    assert.is((await bench.result(execution)).kind, 'failed');
    assert.not(await bench.finished(execution));
    assert.is(standIn.state.executions, 0);
  });
});

test('cancelling tells of the end for requests that run and for ones that wait for a connection', async () => {
  await withStandIn(
    { freeze: true },
    async (bench, standIn) => {
      const running = bench.run('/');
      const waiting = bench.run('/');
      await until(() => standIn.state.inFlight === 1);
      for (const execution of [waiting, running]) {
        bench.client.cancel(execution);
        assert.equal(await bench.result(execution), { detail: 'cancelled', kind: 'failed' });
        assert.not(await bench.finished(execution));
      }
      await until(() => standIn.state.inFlight === 0);
      assert.is(standIn.state.executions, 1);
    },
    { clientConnections: 2 },
  );
});

for (const connections of [1, 4]) {
  test(`requests and polls open no more than the ${connections} announced connections`, async () => {
    await withStandIn(
      {},
      async (bench, standIn) => {
        const executions = Array.from({ length: 40 }, () => bench.run('/'));
        await bench.polled();
        for (const execution of executions) assert.ok(await bench.finished(execution));
        assert.ok(standIn.state.peakConnections <= connections, `${standIn.state.peakConnections}`);
      },
      { clientConnections: connections, slots: 40 },
    );
  });
}

test('a new address takes over while requests to the former one still finish', async () => {
  await withStandIn({ freeze: true }, async (bench, former) => {
    const old = bench.run('/');
    await until(() => former.state.inFlight === 1);
    await withStandIn({}, async (_other, standIn) => {
      bench.client.setAddress(standIn.address, 5);
      assert.ok(await bench.finished(bench.run('/')));
      assert.is(standIn.state.executions, 1);
    });
    await former.changeFaults({ freeze: false });
    assert.ok(await bench.finished(old));
  });
});

test('closing the client ends every execution and is reported', async () => {
  await withStandIn({ freeze: true }, async (bench, standIn) => {
    const execution = bench.run('/');
    await until(() => standIn.state.inFlight === 1);
    bench.client.close();
    assert.not(await bench.finished(execution));
    assert.equal(await bench.result(bench.run('/')), { kind: 'not-reached' });
  });
});

test.run();
