import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AllotmentAdmission } from '../../src/allotments/allotment-admission.js';
import {
  brokerQualificationMilliseconds,
  brokerTimeoutMilliseconds,
  grantMilliseconds,
  holdMilliseconds,
  loanMilliseconds,
  ownershipDelayMilliseconds,
} from '../../src/allotments/allotment-timing.js';
import type {
  AllotmentAskFrame,
  AllotmentGrantFrame,
} from '../../src/messages/allotment-frames.js';
import type { Tenant } from '../../src/tenants/tenant.js';

const tolerance = { overage: 0.1, slack: 20, windowMilliseconds: 5_000 };

function tenantWith(requestsPerSecond: number): Tenant {
  return {
    allotment: { burst: requestsPerSecond, requestsPerSecond },
    apiKeys: [],
    name: 'shop',
  };
}

/** One node, whose broker is played by the test if it is another node. */
class Harness {
  public readonly sent: { readonly node: string; readonly frame: AllotmentAskFrame }[] = [];
  public readonly outcomes: string[] = [];
  public broker = 'broker';
  public now = 0;
  private requestNumber = 0;
  public readonly admission = new AllotmentAdmission({
    brokersOf: () => [this.broker, 'other'],
    isLeaving: () => false,
    random: new SeededRandomSource(1),
    self: { boot: 1, name: 'self' },
    send: (node, frame) => {
      if (frame.kind === 'allotment-ask') this.sent.push({ frame, node });
      return true;
    },
    shareCount: () => 1,
    startedAt: 0,
    tolerance,
  });

  public constructor(tenant: Tenant = tenantWith(10)) {
    this.admission.configure([tenant], 0);
    // Long enough ago for them to be chosen.
    for (const node of ['broker', 'other', 'preferred'])
      this.admission.onConnected(node, 1, -brokerQualificationMilliseconds);
  }

  public request(): void {
    this.requestNumber += 1;
    this.admission.admit(
      'shop',
      {
        permit: () => this.outcomes.push('permitted'),
        refuse: (milliseconds) => this.outcomes.push(milliseconds > 0 ? 'refused' : 'no time'),
        requestNumber: this.requestNumber,
      },
      this.now,
    );
  }

  public tickUntil(time: number): void {
    for (; this.now < time; this.now += 10) this.admission.tick(this.now);
  }

  public lastAsk(): AllotmentAskFrame {
    const last = this.sent.at(-1);
    if (last === undefined) throw new Error('nothing was sent');
    return last.frame;
  }

  /** The broker's answer to the last message. */
  public grant(
    total: number,
    retryMilliseconds = 0,
    changes: Partial<AllotmentGrantFrame> = {},
  ): void {
    const { group, number } = this.lastAsk();
    const frame: AllotmentGrantFrame = {
      grants: [['shop', total, retryMilliseconds]],
      group,
      isLeaving: false,
      isReturned: false,
      kind: 'allotment-grant',
      number,
      stamp: 0,
      ...changes,
    };
    this.admission.onGrant(this.sent.at(-1)?.node ?? '', frame, this.now);
  }
}

test('a tenant without a limit is not counted', () => {
  const harness = new Harness(tenantWith(Infinity));
  harness.request();
  harness.tickUntil(5_000);
  assert.equal(harness.outcomes, ['permitted']);
  assert.is(harness.sent.length, 0);
});

test('the first request waits for the answer of the broker', () => {
  const harness = new Harness();
  harness.request();
  assert.equal(harness.outcomes, []);
  assert.equal(harness.lastAsk().needs, [['shop', 0, 1, 0, 0]]);
  harness.grant(1);
  assert.equal(harness.outcomes, ['permitted']);
});

test('a request is refused if the broker does not answer in time', () => {
  const harness = new Harness();
  harness.request();
  harness.tickUntil(holdMilliseconds + 20);
  assert.equal(harness.outcomes, ['refused']);
});

test('a request that waits and whose caller leaves is forgotten', () => {
  const harness = new Harness();
  harness.request();
  assert.is(harness.admission.cancel(1), true);
  harness.grant(1);
  assert.equal(harness.outcomes, []);
});

// The load: one tenant sends many times its limit. The broker must not get a message for each request.
test('the excess of a tenant is refused at once and asks the broker seldom', () => {
  const harness = new Harness();
  for (; harness.now < 6_000; harness.now += 5) {
    const sent = harness.sent.length;
    harness.request();
    harness.admission.tick(harness.now);
    if (harness.sent.length > sent) harness.grant(0, 250);
  }
  assert.ok(harness.sent.length <= 6 * 4 + 10, `${harness.sent.length} messages`);
  assert.is(harness.outcomes.filter((outcome) => outcome === 'refused').length, 1_200);
});

test('a grant lasts as counted from before it was asked for', () => {
  const harness = new Harness();
  harness.request();
  harness.now = 40;
  harness.grant(3);
  harness.now = grantMilliseconds;
  harness.request();
  assert.equal(harness.outcomes, ['permitted']);
});

test('an answer that comes after its message was given up changes nothing', () => {
  const harness = new Harness();
  harness.request();
  const late = harness.lastAsk();
  harness.tickUntil(brokerTimeoutMilliseconds + 100);
  assert.is(harness.sent.at(-1)?.node, 'other');
  harness.grant(5, 0, { number: late.number });
  harness.request();
  assert.equal(harness.outcomes, ['refused']);
});

test('a request that was refused later gives its token back, but no more than was granted', () => {
  const harness = new Harness();
  harness.request();
  harness.grant(1);
  harness.admission.giveBack('shop', harness.now);
  harness.admission.giveBack('shop', harness.now);
  harness.request();
  harness.request();
  assert.equal(harness.outcomes, ['permitted', 'permitted']);
});

// The predecessor of the process may have lent the share just before it ended.
test('a process lends nothing until loans of its predecessor have ended', () => {
  const harness = new Harness();
  const lendsAt: number[] = [];
  for (; harness.now < ownershipDelayMilliseconds + 2_000; harness.now += 10) {
    const sent = harness.sent.length;
    harness.admission.tick(harness.now);
    if (harness.sent.length === sent) continue;
    if (harness.lastAsk().shareCount > 0) lendsAt.push(harness.now);
    harness.grant(0);
  }
  assert.ok((lendsAt[0] ?? 0) >= ownershipDelayMilliseconds);
});

// Both brokers would grant from the same share.
test('the share is lent to another broker only when the first one has returned it or the loan has ended', () => {
  for (const isReturned of [true, false]) {
    const harness = new Harness();
    const lent: { readonly at: number; readonly node: string }[] = [];
    for (; harness.now < ownershipDelayMilliseconds + 8_000; harness.now += 10) {
      const sent = harness.sent.length;
      if (harness.now > ownershipDelayMilliseconds + 2_000) harness.broker = 'preferred';
      harness.admission.tick(harness.now);
      const last = harness.sent.at(-1);
      if (last === undefined || harness.sent.length === sent) continue;
      if (last.frame.shareCount > 0) lent.push({ at: harness.now, node: last.node });
      harness.grant(0, 0, { isReturned: isReturned && last.frame.isReturning });
    }
    const lastOfFirst = lent.filter(({ node }) => node === 'broker').at(-1)?.at ?? 0;
    const firstOfSecond = lent.find(({ node }) => node === 'preferred')?.at ?? 0;
    const gap = firstOfSecond - lastOfFirst;
    assert.is(gap >= loanMilliseconds, !isReturned, `${gap} ms`);
    assert.ok(gap > 0);
  }
});

// All nodes that were reset would otherwise have only their own parts for seconds.
test('a broker whose connection was reset is used again at once, a restarted one is not', () => {
  const harness = new Harness();
  harness.admission.onConnectionLost('broker', harness.now);
  harness.admission.onConnected('broker', 1, harness.now + 50);
  harness.now += 60;
  harness.request();
  assert.is(harness.sent.at(-1)?.node, 'broker');
  harness.admission.onConnectionLost('broker', harness.now);
  harness.admission.onConnected('broker', 2, harness.now + 50);
  harness.now += 60;
  harness.request();
  assert.is(harness.sent.at(-1)?.node, 'other');
});

test('a node without connections grants from its own share', () => {
  const harness = new Harness();
  harness.broker = 'self';
  harness.tickUntil(ownershipDelayMilliseconds + 4_000);
  harness.request();
  assert.equal(harness.outcomes, ['permitted']);
  assert.is(harness.sent.length, 0);
});

test('callers that are refused together return at the rate at which there is room', () => {
  const harness = new Harness(tenantWith(20));
  const times: number[] = [];
  for (let count = 0; count < 30; count += 1)
    harness.admission.admit(
      'shop',
      {
        permit: () => undefined,
        refuse: (milliseconds) => times.push(milliseconds),
        requestNumber: 1_000 + count,
      },
      0,
    );
  harness.grant(0, 250);
  assert.is(times.length, 30);
  assert.ok(Math.min(...times) >= 250);
  const within = times.filter((milliseconds) => milliseconds <= 1_250).length;
  assert.ok(within >= 10 && within <= 25, `${within} return within a second`);
});

test.run();
