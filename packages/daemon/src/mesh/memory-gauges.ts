import type { MemoryAccount } from '@peridotspring/mesh-core';
import type { Metrics } from '@peridotspring/operators/metrics';

/** Registers the gauge of the bytes that the process holds for others; its values are read at each scrape. */
export function registerMemoryGauges(
  metrics: Pick<Metrics, 'addLabelledGauge'>,
  accounts: readonly Pick<MemoryAccount, 'heldByPlace'>[],
): void {
  metrics.addLabelledGauge({
    help: 'Bytes that the process holds for others: bodies, answers, heads, connections and records of requests.',
    label: 'place',
    name: 'memory_held_bytes',
    read: () => addByPlace(accounts),
  });
}

function addByPlace(
  accounts: readonly Pick<MemoryAccount, 'heldByPlace'>[],
): ReadonlyMap<string, number> {
  const bytes = new Map<string, number>();
  for (const { heldByPlace } of accounts) {
    for (const [place, held] of heldByPlace) bytes.set(place, (bytes.get(place) ?? 0) + held);
  }
  return bytes;
}
