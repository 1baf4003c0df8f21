import { setTimeout as sleep } from 'node:timers/promises';

import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';

import { call, newKey, summaryOf } from './caller.js';
import type { CallResult } from './caller.js';
import { readAllExecutions, queryRows } from './test-fleet.js';
import { waitFor } from './wait-for.js';

const resendPauseMilliseconds = 200;
/** An outcome that is not final after this time indicates a defect. */
const finalOutcomeTimeoutMilliseconds = 60_000;
/**
 * A home records `connection-lost` as the final outcome of a key if the gate died. An entry also
 * answers `connection-lost` when it loses the connection to the home, but only until the takeover,
 * which completes within fewer resends than this.
 */
const connectionLostLimit = 30;
/**
 * Every further resend gets the same outcome; the caller has to find out by other means whether
 * the request ran.
 */
const finalReasons = ['created-before-takeover', 'key-too-old'];

/** Sends one non-idempotent request to the service `issuance`. */
export function sendKeyedRequest(entry: FleetServer, key: string, query = ''): Promise<CallResult> {
  return call(entry, `/issuance/certificates${query}`, {
    body: Buffer.from('{"mwh":5}'),
    key,
    method: 'POST',
  });
}

/** Sends a request through each entry in turn until its outcome is final. */
export async function resendUntilFinal(
  entries: readonly FleetServer[],
  key: string,
  query = '',
): Promise<CallResult> {
  let consecutiveConnectionLost = 0;
  const endsAt = performance.now() + finalOutcomeTimeoutMilliseconds;
  for (let attempt = 0; ; attempt += 1) {
    const entry = entries[attempt % entries.length];
    if (entry === undefined) throw new Error('there is no entry');
    const result = await sendKeyedRequest(entry, key, query);
    if (result.outcome === 'answered' || finalReasons.includes(result.reason)) return result;
    consecutiveConnectionLost =
      result.reason === 'connection-lost' ? consecutiveConnectionLost + 1 : 0;
    if (consecutiveConnectionLost === connectionLostLimit) return result;
    if (performance.now() > endsAt) {
      throw new Error(`no final outcome after ${attempt} resends: ${summaryOf(result)}`);
    }
    await sleep(resendPauseMilliseconds);
  }
}

/** Counts the executions of each key on all upstreams. */
export async function executionsByKey(fleet: ProcessFleet): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>();
  for (const { idempotencyKey } of await readAllExecutions(fleet)) {
    if (idempotencyKey === undefined) continue;
    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
  }
  return counts;
}

/**
 * Waits until the entry answers 24 requests with new random keys in a row, so that the key ranges
 * have homes.
 */
export async function waitForHomes(entry: FleetServer): Promise<void> {
  let consecutiveAnswers = 0;
  await waitFor('keyed requests are answered', async () => {
    const { outcome } = await sendKeyedRequest(entry, newKey());
    consecutiveAnswers = outcome === 'answered' ? consecutiveAnswers + 1 : 0;
    return consecutiveAnswers >= 24;
  });
}

/** Asks a node, as an operator does, for the name of the server that is the home of a key. */
export async function readHome(node: FleetServer, key: string): Promise<string> {
  const [row] = await queryRows(node, `show key issuance ${key}`);
  return typeof row?.home === 'string' ? row.home : '';
}
