import { Router, SeededRandomSource } from '../../src/index.js';
import type {
  ClockReading,
  LoadReport,
  RouterContract,
  RouterOptions,
  Target,
} from '../../src/index.js';

export const noExclusions: ReadonlySet<string> = new Set();

export function at(monotonic: number): ClockReading {
  return { monotonic, wall: monotonic };
}

export function target(server: string, changes: Partial<Target> = {}): Target {
  return {
    availabilityZone: 'a',
    draining: false,
    incarnation: 1,
    peerAddress: `${server}:1`,
    region: 'r',
    server,
    service: 'lookup',
    slots: 10,
    ...changes,
  };
}

export function load(inFlight: number, changes: Partial<LoadReport> = {}): LoadReport {
  return {
    inFlight,
    latencyMilliseconds: 20,
    limit: 10,
    queued: 0,
    service: 'lookup',
    state: 'serving',
    ...changes,
  };
}

export function routerWith(
  targets: readonly Target[],
  options: Partial<RouterOptions> = {},
  seed = 5,
): RouterContract {
  const router = new Router(
    { availabilityZone: 'a', rampMilliseconds: 0, region: 'r', ...options },
    new SeededRandomSource(seed),
  );
  for (const each of targets) router.upsert(each, at(0));
  return router;
}

/** Counts how often each server is chosen in a number of choices at the same time. */
export function countChoices(
  router: RouterContract,
  now: number,
  choices = 600,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (let choice = 0; choice < choices; choice += 1) {
    const server = router.choose('lookup', noExclusions, at(now))?.server ?? 'none';
    counts.set(server, (counts.get(server) ?? 0) + 1);
  }
  return counts;
}
