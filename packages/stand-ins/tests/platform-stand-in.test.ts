import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { PlatformStandIn } from '../src/index.js';

const standInSuite = suite<{ standIn: PlatformStandIn; url: string }>('PlatformStandIn');

standInSuite.before.each(async (context) => {
  context.standIn = new PlatformStandIn();
  context.url = await context.standIn.listen();
});
standInSuite.after.each(async ({ standIn }) => {
  await standIn.close();
});

async function post(url: string, body: unknown): Promise<Record<string, unknown>> {
  const response = await fetch(url, { method: 'POST', body: JSON.stringify(body) });
  return (await response.json()) as Record<string, unknown>;
}

const key = Buffer.from('k').toString('base64');
const put = (lease: unknown): unknown => ({
  success: [{ requestPut: { key, value: key, lease } }],
});

standInSuite(
  'a lapsed lease removes its keys, which its holder cannot prevent',
  async ({ standIn, url }) => {
    const { ID } = await post(`${url}/v3/lease/grant`, { TTL: '60' });
    await post(`${url}/v3/kv/txn`, put(ID));
    assert.is((await post(`${url}/v3/kv/range`, { key })).count, '1');
    await post(`${url}/control/fault`, { kind: 'lapse-lease', lease: ID });
    assert.is((await post(`${url}/v3/kv/range`, { key })).count, undefined);
    const alive = await post(`${url}/v3/lease/keepalive`, { ID });
    assert.is((alive.result as Record<string, unknown>).TTL, undefined);
    assert.is(standIn.callCounts['/v3/lease/grant'], 1);
  },
);

standInSuite('a revoked lease cannot be used, and an unknown fault is refused', async ({ url }) => {
  const { ID } = await post(`${url}/v3/lease/grant`, { TTL: '60' });
  await post(`${url}/v3/lease/revoke`, { ID });
  assert.ok('error' in (await post(`${url}/v3/kv/txn`, put(ID))));
  assert.ok('message' in (await post(`${url}/control/fault`, { kind: 'no-such-fault' })));
});

standInSuite.run();
