import { SeededRandomSource } from '@peridotspring/core';

import { targetMilliseconds, timeoutMilliseconds, VirtualMesh } from './virtual-mesh.js';
import { meanWorkMilliseconds } from './virtual-server.js';

const machines = 5;
const slotsOfMachine = 4;
const warmMilliseconds = 2_000;
const loadMilliseconds = 4_000;
/** Neighbours slow servers down for spans of this length. */
const spanMilliseconds = 150;

export interface LoadOptions {
  readonly seed: number;
  /** Requests relative to what all servers together finish at their usual speed. */
  readonly load: number;
  /** Share of the spans in which a server is slow, each server on its own. */
  readonly slowShare: number;
  readonly slowdown: number;
}

/** What callers got, as shares of their requests. */
export interface CallersGot {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly unknown: number;
  /** Time after which 95 of 100 refusals were told, in milliseconds. */
  readonly refusalMilliseconds: number;
}

/** Sends a steady load with random distances to all nodes and tells what callers got of it. */
export async function playLoad({
  load,
  seed,
  slowShare,
  slowdown,
}: LoadOptions): Promise<CallersGot> {
  const random = new SeededRandomSource(seed);
  const mesh = new VirtualMesh(machines, random);
  const { queue } = mesh;
  const end = warmMilliseconds + loadMilliseconds;
  const distance = meanWorkMilliseconds / (machines * slotsOfMachine * load);
  const sendOn = (): void => {
    if (queue.now >= end) return;
    mesh.call(mesh.pickMachine());
    queue.after(2 * distance * random.next(), sendOn);
  };
  const slowDown = (): void => {
    for (const { server } of mesh.machines) {
      server.slowdown = random.next() < slowShare ? slowdown : 1;
    }
    if (queue.now < end) queue.after(spanMilliseconds, slowDown);
  };
  queue.after(500, sendOn);
  if (slowShare > 0) queue.after(500, slowDown);
  await queue.runUntil(end + 2 * timeoutMilliseconds);
  const counted = mesh.requests.filter(
    ({ isAbandoned, sentAt }) => sentAt >= warmMilliseconds && !isAbandoned,
  );
  const shareOf = (isCounted: (request: (typeof counted)[number]) => boolean): number =>
    counted.filter(isCounted).length / counted.length;
  const isInTime = ({ concludedAt, sentAt }: (typeof counted)[number]): boolean =>
    concludedAt - sentAt <= targetMilliseconds;
  const refusals = counted
    .filter(({ outcomes }) => outcomes[0]?.kind === 'refused')
    .map(({ concludedAt, sentAt }) => concludedAt - sentAt)
    .sort((first, second) => first - second);
  return {
    inTime: shareOf((request) => request.outcomes[0]?.kind === 'answered' && isInTime(request)),
    late: shareOf((request) => request.outcomes[0]?.kind === 'answered' && !isInTime(request)),
    refusalMilliseconds: refusals[Math.floor(refusals.length * 0.95)] ?? 0,
    refused: refusals.length / counted.length,
    unknown: shareOf(({ outcomes }) => outcomes[0]?.kind === 'unknown'),
  };
}
