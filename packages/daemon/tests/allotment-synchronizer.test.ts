import { SeededRandomSource } from '@peridotspring/core';
import { RefusalCause, TenantDirectory } from '@peridotspring/mesh-core';
import type { EntryOutcome, EntryRequest, MeshFrame, MeshNode } from '@peridotspring/mesh-core';
import { createRoute } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AllotmentSynchronizer } from '../src/mesh/allotment-synchronizer.js';

const limited = {
  allotment: { burst: 10, requestsPerSecond: 10 },
  apiKeys: ['key'],
  name: 'shop',
};
const self = createNode('self');
const peer = createNode('peer');

function createNode(name: string): MeshNode {
  return {
    address: '127.0.0.1:1',
    availabilityZone: 'zone',
    boot: 1,
    name,
    region: 'region',
    service: 'service',
  };
}

class Harness {
  public now = 0;
  public suspendedMilliseconds = 0;
  public brokerGroups = -1;
  public readonly outcomes: EntryOutcome[] = [];
  public readonly logged: string[] = [];
  public readonly sent: MeshFrame[] = [];
  public forwardedCount = 0;
  private scheduled: (() => void) | undefined;
  public readonly synchronizer = new AllotmentSynchronizer({
    callers: () => ({ respond: (_request, outcome) => this.outcomes.push(outcome) }),
    connections: () => ({
      send: (_node, frame) => {
        this.sent.push(frame);
        return true;
      },
    }),
    directory: () => ({
      brokersOf: () => ['peer', 'self'],
      setBrokerGroups: (count) => {
        this.brokerGroups = count;
      },
    }),
    isStopping: () => false,
    log: (event) => this.logged.push(event),
    nodeCount: () => 2,
    now: () => this.now,
    random: new SeededRandomSource(1),
    schedule: (action) => {
      this.scheduled = action;
      return () => undefined;
    },
    self,
    suspendedMilliseconds: () => this.suspendedMilliseconds,
    tolerance: { overage: 0.1, slack: 20, windowMilliseconds: 5_000 },
  });

  public admit(requestNumber: number, tenant: EntryRequest['tenant']): EntryRequest {
    const request: EntryRequest = {
      body: undefined,
      callerDeadline: Infinity,
      headers: [],
      method: 'GET',
      path: '/',
      receivedAt: 0,
      requestId: `request-${requestNumber}`,
      requestNumber,
      route: createRoute(),
      tenant,
    };
    this.synchronizer.admit(request, () => {
      this.forwardedCount += 1;
    });
    return request;
  }

  public runScheduled(): void {
    const action = this.scheduled;
    this.scheduled = undefined;
    action?.();
  }

  public tickUntil(time: number): void {
    for (; this.now < time; this.now += 50) this.synchronizer.tick();
  }
}

test('without limited tenants nothing is sent, selected or held', () => {
  const harness = new Harness();
  harness.synchronizer.configure(undefined);
  harness.tickUntil(5_000);
  harness.admit(1, { ...limited, allotment: { burst: 0, requestsPerSecond: Infinity } });
  assert.is(harness.forwardedCount, 1);
  assert.equal(harness.sent, []);
  assert.is(harness.brokerGroups, -1);
});

// Calls that servers make, and requests on public routes, have no tenant.
test('requests without a tenant are never counted', () => {
  const harness = new Harness();
  harness.synchronizer.configure(new TenantDirectory([limited], (content) => String(content)));
  for (let number = 1; number <= 500; number += 1) harness.admit(number, undefined);
  assert.is(harness.forwardedCount, 500);
});

test('a request beyond the allotment is refused with a time, and one line tells of all of them', () => {
  const harness = new Harness();
  harness.synchronizer.configure(new TenantDirectory([limited], (content) => String(content)));
  harness.admit(1, limited);
  harness.admit(2, limited);
  harness.now = 60;
  harness.runScheduled();
  assert.is(harness.forwardedCount, 0);
  assert.equal(
    harness.outcomes.map((outcome) => outcome.kind === 'refused' && outcome.cause),
    [RefusalCause.AllotmentUsed, RefusalCause.AllotmentUsed],
  );
  harness.tickUntil(10_000);
  assert.equal(harness.logged, ['allotment-used']);
  assert.equal([...harness.synchronizer.gauges.refused], [['shop', 2]]);
});

// The nodes that lent shares and granted requests count them as expired, and may have passed them on.
test('after a suspension of the machine nothing that was granted before is used', () => {
  const harness = new Harness();
  harness.synchronizer.configure(new TenantDirectory([limited], (content) => String(content)));
  harness.tickUntil(8_000);
  harness.admit(1, limited);
  harness.tickUntil(8_500);
  assert.is(harness.forwardedCount, 1);
  for (let number = 2; number <= 12; number += 1) {
    harness.now += 50;
    harness.admit(number, limited);
  }
  const forwardedBefore = harness.forwardedCount;
  assert.ok(forwardedBefore > 5);
  harness.suspendedMilliseconds = 5_000;
  harness.admit(13, limited);
  assert.is(harness.forwardedCount, forwardedBefore);
});

test('a peer that has just connected is not asked, since others may not know it yet', () => {
  const harness = new Harness();
  harness.synchronizer.onConnected(peer);
  harness.synchronizer.configure(new TenantDirectory([limited], (content) => String(content)));
  harness.tickUntil(4_900);
  assert.is(harness.sent.length, 0);
  harness.tickUntil(7_000);
  assert.ok(harness.sent.length > 0);
});

test('invalid frames of a peer are ignored', () => {
  const harness = new Harness();
  harness.synchronizer.configure(new TenantDirectory([limited], (content) => String(content)));
  const valid = {
    group: 0,
    isReturning: false,
    kind: 'allotment-ask',
    needs: [],
    number: 1,
    shareCount: 2,
  } as const;
  const changes = [
    { group: 0.5 },
    { shareCount: -1 },
    { stamp: NaN },
    { needs: [['shop', 1, -1, 0, 0]] },
    { needs: [['shop', 1]] },
    { needs: [[1, 1, 1, 1, 1]] },
    { needs: [['shop', 1e9, 0, 0, 0]] },
  ];
  for (const change of changes)
    harness.synchronizer.onFrame(peer, { ...valid, ...change } as unknown as typeof valid);
  assert.equal(harness.sent, []);
  harness.synchronizer.onFrame(peer, valid);
  assert.is(harness.sent.length, 1);
});

test.run();
