import { RefusalReason, RetryReason } from '@peridotspring/core';
import { askOperator } from '@peridotspring/stand-ins';
import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, newKey } from './shared/caller.js';
import type { CallOptions } from './shared/caller.js';
import { HeldCalls } from './shared/held-calls.js';
import { issue, waitForHomes } from './shared/keyed-calls.js';
import { RawCaller } from './shared/raw-caller.js';
import { changeFaults, counterOf, gaugeOf, planOf, startTestFleet } from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** Few, so that little load fills a gate; more than one, so that a ramp can hold one back. */
const slots = 2;
const keyRecords = 1_000;
/** Held requests have to fit into the queue by their deadline. */
const patient = { deadlineMilliseconds: 30_000 } as const;
const serviceTimeMilliseconds = 200;

/**
 * Reasons that no request to real nodes brings about. `deadline-expired`: an entry sends a keyed
 * request with at least 1 ms left, and a call begins in the turn in which it was accepted, so only a
 * core that is called with an earlier clock reading sees a deadline in the past.
 */
const unreachable: ReadonlySet<string> = new Set([RefusalReason.DeadlineExpired]);

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
  /** Takes one request at a time from callers. */
  busyEntry: FleetServer;
  /** The only gate of the service `provenance`. */
  gate: FleetServer;
}

const test = suite<Context>('reasons');
const seen = new Set<string>();

test.before(async (context) => {
  const plans = [planOf('provenance', 1), planOf('issuance', 2), planOf('issuance', 3)];
  context.fleet = await startTestFleet({
    nodeFlags: ['--key-records', String(keyRecords), '--caller-body-bytes', '65536'],
    nodeFlagsOf: (server) => (server === 'issuance-2' ? ['--caller-requests', '1'] : []),
    plans: plans.map((plan) => ({ ...plan, slots })),
  });
  context.gate = context.fleet.server('provenance-1');
  context.busyEntry = context.fleet.server('issuance-2');
  context.entry = context.fleet.server('issuance-3');
  await waitForHomes(context.entry);
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

/** Repeats `act` until the node's counter of the reason rises. */
async function provoke(
  node: FleetServer,
  reason: string,
  act: () => unknown,
  counter = 'refusals',
  labels: Readonly<Record<string, string>> = {},
): Promise<void> {
  const read = (): Promise<number> => counterOf(node, counter, { ...labels, reason });
  const before = await read();
  await waitFor(`the ${counter} for ${reason} rise at ${node.plan.server}`, async () => {
    await act();
    return (await read()) > before;
  });
  seen.add(reason);
}

/** Repeats `act` until the gate itself refuses with the reason. */
function provokeAtGate(gate: FleetServer, reason: string, act: () => unknown): Promise<void> {
  return provoke(gate, reason, act, 'refusals', { said_by: 'gate' });
}

async function command(node: FleetServer, text: string): Promise<void> {
  const { body, status } = await askOperator(node.operatorPort, `${text} wait up to 20s`);
  assert.is(status, 200, JSON.stringify(body));
}

async function control(server: FleetServer, action: 'announce' | 'leave'): Promise<void> {
  const response = await fetch(`http://${server.control}/control/${action}`, { method: 'POST' });
  assert.ok(response.ok, await response.text());
}

/** Answers of a known length, so that the gate can tell which deadlines are too short. */
async function learnServiceTime(entry: FleetServer): Promise<void> {
  let consecutive = 0;
  await waitFor('lookups are answered in a row', async () => {
    const { outcome } = await call(entry, `/provenance/x?ms=${serviceTimeMilliseconds}`);
    consecutive = outcome === 'answered' ? consecutive + 1 : 0;
    return consecutive === 5;
  });
}

/** Occupies every slot of the gate and a place in its queue. */
async function holdWaiting(held: HeldCalls, { entry, gate }: Context): Promise<void> {
  await waitFor('a request waits at the gate', async () => {
    held.add(entry, 'provenance', patient);
    return (await gaugeOf(gate, 'gate_queued')) > 0;
  });
}

const faultyRequests: readonly [RefusalReason, string, CallOptions][] = [
  ['body-too-large', '/provenance/x', { body: Buffer.alloc(65_537), method: 'PUT' }],
  ['deadline-malformed', '/provenance/x', { headers: { 'peridotspring-deadline-ms': 'soon' } }],
  ['depth-exceeded', '/provenance/x', { headers: { 'peridotspring-depth': '17' } }],
  ['key-malformed', '/issuance/x', { key: 'k'.repeat(129), method: 'POST' }],
  ['key-missing', '/issuance/x', { method: 'POST' }],
  ['headers-too-large', '/provenance/x', { headers: { long: 'x'.repeat(20_000) } }],
  ['unknown-service', '/nowhere/x', {}],
  ['no-upstream', '/retirement/x', {}],
];

// A refusal that is told but not counted stays hidden from operators, and one that is counted twice misleads them.
test('each request that an entry refuses is counted once under its reason', async ({ entry }) => {
  await command(entry, 'declare service retirement');
  for (const [reason, path, options] of faultyRequests) {
    const before = await counterOf(entry, 'refusals', { reason });
    const result = await call(entry, path, options);
    // The parser refuses an oversized head before there is a request to add headers to.
    const told = reason === RefusalReason.HeadersTooLarge ? String(result.body) : result.reason;
    assert.match(told, reason);
    await waitFor(`${reason} is counted`, async () => {
      return (await counterOf(entry, 'refusals', { reason })) > before;
    });
    assert.is(await counterOf(entry, 'refusals', { reason }), before + 1, reason);
    seen.add(reason);
  }
});

// Such requests never reach the handler of requests, so their counter is a path of its own.
test('a request with two lengths is counted', async ({ entry }) => {
  await provoke(entry, RefusalReason.ConflictingLengths, () => {
    const raw = new RawCaller(entry);
    raw.send('PUT', '/provenance/x', ['content-length: 3', 'transfer-encoding: chunked']);
  });
});

// Callers that are turned away by a full node must show at that node.
test('a request above the limit of an entry is counted', async ({ busyEntry }) => {
  const held = new HeldCalls();
  held.add(busyEntry, 'provenance', patient);
  await provoke(busyEntry, RefusalReason.EntryBusy, () => call(busyEntry, '/provenance/x'));
  await held.release();
});

// Every way in which an occupied gate turns requests away has its own remedy, so each is told apart.
test('the refusals of an occupied gate are counted', async (context) => {
  const { entry, gate } = context;
  await learnServiceTime(entry);
  const held = new HeldCalls();
  const provokeHeld = (reason: RefusalReason, tenant: string): Promise<void> =>
    provokeAtGate(gate, reason, () => {
      held.add(entry, 'provenance', { ...patient, headers: { 'peridotspring-tenant': tenant } });
    });
  await provokeHeld(RefusalReason.QueueFull, 'first');
  await provokeHeld(RefusalReason.TenantOverShare, 'second');
  const lookup = (deadlineMilliseconds: number): Promise<unknown> =>
    call(entry, '/provenance/x', { deadlineMilliseconds });
  await provokeAtGate(gate, RefusalReason.DeadlineTooShort, () =>
    lookup(serviceTimeMilliseconds / 2),
  );
  await provokeAtGate(gate, RefusalReason.NoSlot, () => lookup(serviceTimeMilliseconds * 2));
  await provokeAtGate(gate, RefusalReason.Draining, async () => {
    await command(entry, 'drain server provenance-1');
  });
  await held.release();
  await command(entry, 'restore server provenance-1');
});

// A declared bound has to hold for a tenant that would still be within its share.
test('the refusals of a tenant above its declared bound are counted', async ({ entry, gate }) => {
  await command(entry, 'change service provenance tenant-in-flight maximum 1');
  const held = new HeldCalls();
  await provokeAtGate(gate, RefusalReason.TenantLimit, () => {
    held.add(entry, 'provenance', { ...patient, headers: { 'peridotspring-tenant': 'third' } });
  });
  await held.release();
  await command(entry, 'change service provenance tenant-in-flight maximum off');
});

// What waits for an upstream that leaves or starts cold is refused for another reason than load.
test('the refusals of a gate whose upstream leaves, starts cold or is down are counted', async (context) => {
  const { entry, gate } = context;
  await learnServiceTime(entry);
  const waiting = new HeldCalls();
  await holdWaiting(waiting, context);
  await provokeAtGate(gate, RefusalReason.NotServingService, () => control(gate, 'leave'));
  await waiting.release();
  await command(entry, 'change service provenance ramp 10m');
  await control(gate, 'announce');
  const cold = new HeldCalls();
  await provokeAtGate(gate, RefusalReason.WarmingUp, () => {
    cold.add(entry, 'provenance', patient);
  });
  await cold.release();
  await command(entry, 'change service provenance ramp 0ms');
  await changeFaults(gate, { refuseConnections: true });
  await provokeAtGate(gate, RefusalReason.UpstreamDown, () => call(entry, '/provenance/x'));
  await changeFaults(gate, { refuseConnections: false });
  await learnServiceTime(entry);
});

// Retries hide faults from callers, so operators see these faults in the counters only.
test('the retries are counted, and refusals of several targets as one', async ({
  busyEntry,
  entry,
}) => {
  const lookup = (): Promise<unknown> => call(entry, '/issuance/x?ms=5');
  await changeFaults(busyEntry, { closeWithoutAnswer: true });
  await provoke(entry, RetryReason.AttemptFailed, lookup, 'retries');
  await changeFaults(busyEntry, { closeWithoutAnswer: false, slowFactor: 100 });
  await command(entry, 'change service issuance hedging on');
  await provoke(entry, RetryReason.Hedge, lookup, 'retries');
  await command(entry, 'change service issuance hedging off');
  await changeFaults(busyEntry, { refuseConnections: true, slowFactor: 1 });
  await provoke(entry, RetryReason.RefusedElsewhere, lookup, 'retries');
  const held = new HeldCalls();
  await provoke(entry, RefusalReason.AllTargetsRefused, () => {
    held.add(entry, 'issuance', patient);
  });
  await held.release();
  await changeFaults(busyEntry, { refuseConnections: false });
  await waitForHomes(entry);
});

/** A key that was made an hour from now. */
function futureKey(): string {
  const hour = 3_600_000;
  const made = (Date.now() + hour).toString(16).padStart(12, '0');
  return `${made.slice(0, 8)}-${made.slice(8)}${newKey().slice(13)}`;
}

// Refusals of a home travel to the entry before they are counted there.
test('the refusals of a home are counted at the entry', async ({ entry }) => {
  await provoke(entry, RefusalReason.KeyFromFuture, () => issue(entry, futureKey()));
  await provoke(entry, RefusalReason.VoidAttempt, async () => {
    const key = futureKey();
    await issue(entry, key);
    await issue(entry, key);
  });
  await provoke(entry, RefusalReason.KeyReused, async () => {
    const key = newKey();
    await issue(entry, key);
    await issue(entry, key, '?other=1');
  });
});

// A peer that reads nothing must not make the entry hold bodies without bound.
test('a request for a node with a full connection is counted', async ({ entry, gate }) => {
  const body = Buffer.alloc(60_000);
  const options = { body, deadlineMilliseconds: 2_000, method: 'PUT' } as const;
  await provoke(entry, RefusalReason.PeerCongested, async () => {
    gate.node.kill('SIGSTOP');
    await Promise.all(Array.from({ length: 400 }, () => call(entry, '/provenance/x', options)));
    gate.node.kill('SIGCONT');
  });
});

// Until the others take a killed node for dead, requests for it can't be sent.
test('a request for a node that was killed is counted', async ({ entry, fleet }) => {
  await provoke(entry, RefusalReason.PeerUnreachable, async () => {
    if (!fleet.server('provenance-1').node.isRunning) await fleet.restartServer('provenance-1');
    await learnServiceTime(entry);
    fleet.server('provenance-1').node.kill('SIGKILL');
    for (let attempt = 0; attempt < 20; attempt += 1) await call(entry, '/provenance/x');
  });
});

// A caller whose connection stays open sends on while the node finishes what it has.
test('a request to a node that is stopping is counted', async ({ busyEntry }) => {
  const raw = new RawCaller(busyEntry);
  raw.send('GET', '/issuance/held?ms=30000', ['peridotspring-deadline-ms: 30000']);
  await waitFor('the node makes the call', async () => {
    return (await gaugeOf(busyEntry, 'calls_in_progress')) > 0;
  });
  busyEntry.node.kill('SIGTERM');
  await provoke(busyEntry, RefusalReason.NodeStopping, () => {
    raw.send('GET', '/issuance/x');
  });
  raw.close();
});

// At the bound of its memory a home refuses new keys rather than forget keys of the last minutes.
test('a request for a home that holds all the keys it may is counted', async ({ entry }) => {
  await provoke(entry, RefusalReason.KeyStoreFull, () =>
    Promise.all(Array.from({ length: 100 }, () => issue(entry, newKey()))),
  );
});

// A new reason needs a way to bring it about, or an entry in the list of those that have none.
test('every reason was seen but those that real nodes do not give', () => {
  const all = [...Object.values(RefusalReason), ...Object.values(RetryReason)];
  const missing = all.filter((reason) => !seen.has(reason));
  assert.equal(missing, [...unreachable]);
});

test.run();
