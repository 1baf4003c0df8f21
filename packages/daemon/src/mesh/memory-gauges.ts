import type { MemoryAccount } from '@peridotspring/mesh-core';
import type { Metrics } from '@peridotspring/operators/metrics';

/** Registers the gauge of the bytes that the process holds for others; its values are read at each scrape. */
export function registerMemoryGauges(
  metrics: Pick<Metrics, 'addLabelledGauge'>,
  memory: Pick<MemoryAccount, 'heldByPlace'>,
): void {
  metrics.addLabelledGauge({
    help: 'Bytes of bodies and answers that the process holds.',
    label: 'place',
    name: 'memory_held_bytes',
    read: () => memory.heldByPlace,
  });
}
