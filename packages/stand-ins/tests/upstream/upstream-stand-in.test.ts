import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { answerLine, answerPart, UpstreamStandIn } from '../../src/index.js';
import type { Execution, UpstreamStandInOptions } from '../../src/index.js';

async function withStandIn(
  options: Partial<UpstreamStandInOptions>,
  use: (standIn: UpstreamStandIn, base: string) => Promise<void>,
): Promise<void> {
  const standIn = new UpstreamStandIn(options);
  await standIn.start();
  try {
    await use(standIn, `http://${standIn.address}`);
  } finally {
    await standIn.close();
  }
}

async function until(condition: () => boolean): Promise<void> {
  const latest = Date.now() + 30_000;
  while (!condition()) {
    if (Date.now() > latest) throw new Error('the condition did not come true');
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

async function setFaults(standIn: UpstreamStandIn, faults: unknown): Promise<Response> {
  const body = JSON.stringify(faults);
  return fetch(`http://${standIn.controlAddress}/control/faults`, { body, method: 'POST' });
}

const isRejected = async (answer: Promise<unknown>): Promise<boolean> =>
  answer.then(
    () => false,
    () => true,
  );

test('an answer of megabytes is whole and names its request', async () => {
  await withStandIn({}, async (_standIn, base) => {
    const path = '/certificates?bytes=3000001&status=201';
    const answer = await fetch(base + path, {
      headers: { 'idempotency-key': 'k-1' },
      method: 'POST',
    });
    assert.is(answer.status, 201);
    const expected = answerPart(answerLine('POST', path, 'k-1'), 0, 3_000_001);
    assert.ok(expected.equals(Buffer.from(await answer.arrayBuffer())));
  });
});

test('requests beyond the slots wait inside, and the log has every execution', async () => {
  await withStandIn({ slots: 2 }, async (standIn, base) => {
    await setFaults(standIn, { freeze: true });
    const headers = { 'idempotency-key': 'k', 'peridotspring-request-id': 'r' };
    const answers = [1, 2, 3].map((name) => fetch(`${base}/${name}`, { headers }));
    await until(() => standIn.state.inFlight === 2 && standIn.state.queued === 1);
    await setFaults(standIn, { freeze: false });
    await Promise.all(answers);
    const log = await fetch(`http://${standIn.controlAddress}/control/executions`);
    const { executions } = (await log.json()) as { executions: Execution[] };
    assert.equal(executions.map((one) => one.path).sort(), ['/1', '/2', '/3']);
    assert.ok(executions.every((one) => one.idempotencyKey === 'k' && one.requestId === 'r'));
    assert.ok(executions.every((one) => (one.endedAt ?? 0) >= one.startedAt && !one.cancelled));
  });
});

test('a closed connection cancels its execution and frees the slot', async () => {
  await withStandIn({ slots: 1 }, async (standIn, base) => {
    const caller = new AbortController();
    const answer = isRejected(fetch(`${base}/?ms=600000`, { signal: caller.signal }));
    await until(() => standIn.state.inFlight === 1);
    caller.abort();
    assert.ok(await answer);
    await until(() => standIn.state.inFlight === 0);
    assert.equal(
      standIn.executions().map((one) => [one.result, one.cancelled]),
      [['cancelled', true]],
    );
  });
});

test('an execution stops at its deadline', async () => {
  await withStandIn({}, async (standIn, base) => {
    const headers = { 'peridotspring-deadline-ms': '5' };
    const answer = await fetch(`${base}/?ms=600000`, { headers });
    assert.is(answer.status, 504);
    assert.is(standIn.executions()[0]?.result, 'deadline-passed');
  });
});

for (const fault of ['closeWithoutAnswer', 'cutBody', 'refuseConnections'] as const) {
  test(`an upstream under ${fault} gives no whole answer and works again afterwards`, async () => {
    await withStandIn({}, async (standIn, base) => {
      assert.is((await setFaults(standIn, { [fault]: true })).status, 200);
      const read = fetch(`${base}/`).then(async (answer) => answer.text());
      assert.ok(await isRejected(read));
      assert.equal(
        standIn.executions().map((one) => one.result),
        fault === 'refuseConnections' ? [] : ['unanswered'],
      );
      await setFaults(standIn, { [fault]: false });
      assert.is((await fetch(`${base}/`)).status, 200);
    });
  });
}

test('failing fast runs nothing, and health and load endpoints can mislead', async () => {
  await withStandIn({}, async (standIn, base) => {
    await setFaults(standIn, { failFast: true, load: { inFlight: 99, kind: 'lying' } });
    assert.is((await fetch(`${base}/`)).status, 500);
    assert.is(standIn.state.executions, 0);
    assert.is((await fetch(`${base}/health`)).status, 503);
    await setFaults(standIn, { health: 'always-healthy' });
    assert.is((await fetch(`${base}/health`)).status, 200);
    assert.equal(await (await fetch(`${base}/load`)).json(), { inFlight: 99, slots: 10 });
    assert.is(standIn.state.polls, 3);
  });
});

test('a misspelt fault is rejected and changes nothing', async () => {
  await withStandIn({}, async (standIn) => {
    assert.is((await setFaults(standIn, { freze: true })).status, 400);
    assert.is((await setFaults(standIn, { slowFactor: 0 })).status, 400);
    assert.is(standIn.faults.slowFactor, 1);
  });
});

test('an upstream announces itself, repeats a drain for a restarted node, and leaves', async () => {
  const received: string[] = [];
  const node = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += String(chunk)));
    request.on('end', () => {
      received.push(`${request.url ?? ''} ${text}`);
      response.end();
    });
  });
  node.listen(0, '127.0.0.1');
  await once(node, 'listening');
  const nodeAddress = `127.0.0.1:${(node.address() as AddressInfo).port}`;
  const options = { announceIntervalMilliseconds: 5, nodeAddress, service: 'antrag', slots: 6 };
  await withStandIn({ ...options, announcedSlots: 8 }, async (standIn) => {
    const { address } = standIn;
    const expected = { address, connections: 250, service: 'antrag', slots: 8 };
    assert.equal(JSON.parse(received[0]?.replace('/announce ', '') ?? ''), expected);
    await standIn.drain();
    await until(() => received.filter((line) => line.startsWith('/drain')).length >= 2);
    await standIn.leave();
    assert.ok(received.includes('/leave {}'));
  });
  node.closeAllConnections();
  node.close();
});

test.run();
