import { CollectionSchedule, MemoryAccount } from '@peridotspring/mesh-core';

import type { EventRecorder } from './event-recorder.js';
import { GarbageCollector } from './garbage-collector.js';
import { MeshEvent } from './mesh-event.js';
import type { MeshSettings } from './mesh-settings.js';

/** Returns a function that creates an account with a limit; the accounts share one schedule for the collection of garbage. */
export function createMemoryAccounts(
  { machineMemoryBytes }: MeshSettings,
  clock: () => number,
  events: EventRecorder,
): (limitBytes: number) => MemoryAccount {
  const collector = new GarbageCollector();
  const schedule = new CollectionSchedule({
    limitBytes: machineMemoryBytes,
    residentBytes: () => process.memoryUsage.rss(),
  });
  return (limitBytes) =>
    new MemoryAccount({
      limitBytes,
      onEnded: (place, bytes) => {
        events.record(MeshEvent.MemoryReclaimed, { bytes, place });
      },
      onReleased: (bytes) => {
        if (!schedule.onReleased(bytes, clock())) return;
        // What is released in this turn of the event loop is garbage only after it.
        setImmediate(() => {
          collector.collect();
        });
      },
      onRefused: (place, bytes) => {
        events.record(MeshEvent.MemoryExhausted, { bytes, place });
      },
    });
}
