import { setTimeout as sleep } from 'node:timers/promises';

import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';

import { call, newKey, summaryOf } from './caller.js';
import type { CallResult } from './caller.js';
import { allExecutions, rowsOf } from './test-fleet.js';
import { waitFor } from './wait-for.js';

const resendPauseMilliseconds = 200;
/** Only a fault keeps an outcome from being final for this long. */
const finalLimitMilliseconds = 60_000;
/**
 * A home whose gate died keeps `connection-lost` as the outcome of the key. An entry says the same of
 * a lost home, but only until the takeover, which takes less than this many resends.
 */
const lostResends = 30;
/** A resend gets the same answer for ever; the caller has to find out by other means. */
const finalReasons = ['created-before-takeover', 'key-too-old'];

/** Sends one non-idempotent request of the service `issuance`. */
export function issue(entry: FleetServer, key: string, query = ''): Promise<CallResult> {
  return call(entry, `/issuance/certificates${query}`, {
    body: Buffer.from('{"mwh":5}'),
    key,
    method: 'POST',
  });
}

/** Resends a request through the entries in turn until its outcome is final. */
export async function resendUntilFinal(
  entries: readonly FleetServer[],
  key: string,
  query = '',
): Promise<CallResult> {
  let lost = 0;
  const endsAt = performance.now() + finalLimitMilliseconds;
  for (let attempt = 0; ; attempt += 1) {
    const entry = entries[attempt % entries.length];
    if (entry === undefined) throw new Error('there is no entry');
    const result = await issue(entry, key, query);
    if (result.outcome === 'answered' || finalReasons.includes(result.reason)) return result;
    lost = result.reason === 'connection-lost' ? lost + 1 : 0;
    if (lost === lostResends) return result;
    if (performance.now() > endsAt) {
      throw new Error(`no final outcome after ${attempt} resends: ${summaryOf(result)}`);
    }
    await sleep(resendPauseMilliseconds);
  }
}

/** Number of executions of each key over all upstreams. */
export async function executionsByKey(fleet: ProcessFleet): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>();
  for (const { idempotencyKey } of await allExecutions(fleet)) {
    if (idempotencyKey === undefined) continue;
    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
  }
  return counts;
}

/** Waits until new keys of every range are answered through the entry. */
export async function waitForHomes(entry: FleetServer): Promise<void> {
  let consecutive = 0;
  await waitFor('keyed requests are answered', async () => {
    const { outcome } = await issue(entry, newKey());
    consecutive = outcome === 'answered' ? consecutive + 1 : 0;
    return consecutive >= 24;
  });
}

/** Name of the server that is the home of a key, as a node answers an operator. */
export async function homeOf(asked: FleetServer, key: string): Promise<string> {
  const [row] = await rowsOf(asked, `show key issuance ${key}`);
  return typeof row?.home === 'string' ? row.home : '';
}
