import { SeededRandomSource } from '@peridotspring/core';

import { targetMilliseconds, timeoutMilliseconds, VirtualMesh } from './virtual-mesh.js';
import { meanWorkMilliseconds } from './virtual-server.js';

const machines = 5;
const zones = 2;
const slotsPerServer = 4;
const restartMilliseconds = 500;
const coldFactor = 2;
const warmUpMilliseconds = 2_000;
const loadPhaseMilliseconds = 4_000;
/** Length of the periods in which a server is either slow, as with busy neighbours on its host, or not. */
const slowdownPeriodMilliseconds = 150;

export interface LoadOptions {
  readonly seed: number;
  /** Request rate relative to the capacity of all servers at their normal speed. */
  readonly load: number;
  /** Share of the periods in which a server is slow, drawn for each server independently. */
  readonly slowShare: number;
  readonly slowdown: number;
  /** Duration of the work relative to the usual one of the simulation. */
  readonly workFactor?: number;
  /** Slowdown of requests that start while nearly all slots of their server are in use. */
  readonly crowdedFactor?: number;
  /** Whether all nodes and servers restart at once when the load has run for a while; the servers are cold afterwards. */
  readonly restartsAll?: boolean;
}

/** Outcomes of requests as seen by callers, as shares of all requests. */
export interface CallerOutcomes {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly unknown: number;
  /** 95th percentile of the time from a request to its refusal. */
  readonly refusalPercentile95Milliseconds: number;
}

function restartAll(mesh: VirtualMesh): void {
  for (const machine of mesh.machines) {
    mesh.kill(machine);
    machine.server.restart(false);
    mesh.queue.after(restartMilliseconds, () => {
      mesh.start(machine);
    });
  }
}

/** Sends a constant mean load with random intervals to all nodes, and returns the outcomes for callers. */
export async function simulateLoad({
  load,
  seed,
  slowShare,
  slowdown,
  crowdedFactor = 1,
  restartsAll = false,
  workFactor = 1,
}: LoadOptions): Promise<CallerOutcomes> {
  const random = new SeededRandomSource(seed);
  const mesh = new VirtualMesh(machines, random, zones, restartsAll);
  const { queue } = mesh;
  const end = warmUpMilliseconds + loadPhaseMilliseconds;
  const meanIntervalMilliseconds =
    (meanWorkMilliseconds * workFactor) / (machines * slotsPerServer * load);
  for (const { server } of mesh.machines) {
    server.workFactor = workFactor;
    server.crowdedFactor = crowdedFactor;
    server.coldFactor = restartsAll ? coldFactor : 1;
  }
  if (restartsAll)
    queue.after(warmUpMilliseconds, () => {
      restartAll(mesh);
    });
  const sendNextRequest = (): void => {
    if (queue.now >= end) return;
    mesh.sendRequest(mesh.pickMachine());
    queue.after(2 * meanIntervalMilliseconds * random.next(), sendNextRequest);
  };
  const updateSlowdowns = (): void => {
    for (const { server } of mesh.machines) {
      server.slowdown = random.next() < slowShare ? slowdown : 1;
    }
    if (queue.now < end) queue.after(slowdownPeriodMilliseconds, updateSlowdowns);
  };
  queue.after(500, sendNextRequest);
  if (slowShare > 0) queue.after(500, updateSlowdowns);
  await queue.runUntil(end + 2 * timeoutMilliseconds);
  const measuredRequests = mesh.requests.filter(
    ({ isAbandoned, sentAt }) => sentAt >= warmUpMilliseconds && !isAbandoned,
  );
  const shareOf = (isCounted: (request: (typeof measuredRequests)[number]) => boolean): number =>
    measuredRequests.filter(isCounted).length / measuredRequests.length;
  const isInTime = ({ concludedAt, sentAt }: (typeof measuredRequests)[number]): boolean =>
    concludedAt - sentAt <= targetMilliseconds;
  const refusals = measuredRequests
    .filter(({ outcomes }) => outcomes[0]?.kind === 'refused')
    .map(({ concludedAt, sentAt }) => concludedAt - sentAt)
    .sort((first, second) => first - second);
  return {
    inTime: shareOf((request) => request.outcomes[0]?.kind === 'answered' && isInTime(request)),
    late: shareOf((request) => request.outcomes[0]?.kind === 'answered' && !isInTime(request)),
    refusalPercentile95Milliseconds: refusals[Math.floor(refusals.length * 0.95)] ?? 0,
    refused: refusals.length / measuredRequests.length,
    unknown: shareOf(({ outcomes }) => outcomes[0]?.kind === 'unknown'),
  };
}
