import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DeclineReason } from '../../src/index.js';
import { GateHarness } from './gate-harness.js';

const validMilliseconds = 300;

function declineReasons({ replies }: GateHarness): readonly string[] {
  return replies.flatMap((reply) => (reply.kind === 'declined' ? [reply.reason] : []));
}

test('a request whose key may no longer be acted on does not start', () => {
  const harness = new GateHarness();
  harness.start({ keyValidMilliseconds: 0, tenant: 'acme' });
  assert.equal(declineReasons(harness), [DeclineReason.KeyUnproven]);
  harness.start({ keyValidMilliseconds: validMilliseconds, tenant: 'acme' });
  harness.start({ tenant: 'acme' });
  assert.is(harness.running.length, 2);
});

// The clock for deadlines may stand still while the machine is suspended.
test('a request that waited until its key expired does not start, also if the machine was suspended', () => {
  const harness = new GateHarness(1);
  harness.start();
  harness.start({ keyValidMilliseconds: validMilliseconds, tenant: 'acme' });
  harness.leaseNow += validMilliseconds + 1;
  harness.finish(0, 10);
  assert.is(harness.running.length, 1);
  assert.equal(declineReasons(harness), [DeclineReason.KeyUnproven]);
});

test.run();
