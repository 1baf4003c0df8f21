import { pickRandom, SeededRandomSource } from '@peridotspring/core';

import { selectFaults } from './mesh-faults.js';
import { guaranteeViolations, recoveryViolations } from './mesh-violations.js';
import { timeoutMilliseconds, VirtualMesh } from './virtual-mesh.js';
import type { VirtualRequest } from './virtual-mesh.js';

/** In larger fleets each node connects to a part of the other nodes only. */
const fullyConnectedFleetSize = 5;
const warmUpMilliseconds = 2_000;
const faultPhaseMilliseconds = 7_000;
/** Time after the last fault by which the mesh must have recovered. */
const recoveryPhaseMilliseconds = 6_000;
/** The configuration changes once more this long after the last fault, when other nodes have taken over the watch. */
const lastChangeDelayMilliseconds = 3_000;
const recoveredRequestCount = 60;

export interface SimulationOptions {
  /** Availability zones. With one zone most nodes receive configurations from two others, with two zones from four. */
  readonly zones?: number;
  readonly machines?: number;
  /** Whether the store is occasionally restored from a backup. */
  readonly restoresStore?: boolean;
  /** Whether all nodes that watch the configuration are cut off from the store at once. */
  readonly cutsWatchers?: boolean;
  /** Whether servers state for some time that they take few requests. */
  readonly limitsServers?: boolean;
  /** Whether one request crashes each server that runs it, and comes again and again. */
  readonly sendsDeadlyRequest?: boolean;
  /** Whether connections between nodes go silent, in one direction or in both, or are suspected wrongly. */
  readonly silencesConnections?: boolean;
  /** Whether each version of the configuration removes the key of the version before, and that is enforced. */
  readonly replacesKeys?: boolean;
  /** Whether servers leave without draining, and go on serving while nodes are killed. */
  readonly departs?: boolean;
  /** Whether the store loses the records of departed servers. */
  readonly forgetsDepartures?: boolean;
  /** Whether servers are cold after their start, and zones are evacuated. */
  readonly startsCold?: boolean;
}

export interface SimulationResult {
  readonly violations: readonly string[];
  readonly injectedFaults: readonly string[];
  readonly requests: number;
  readonly answered: number;
}

/** Simulates one seed: requests and faults at the same time, then no faults, so that the mesh must recover. */
export async function simulateMesh(
  seed: number,
  {
    cutsWatchers = false,
    departs = false,
    forgetsDepartures = false,
    limitsServers = false,
    machines = fullyConnectedFleetSize,
    replacesKeys = false,
    restoresStore = false,
    sendsDeadlyRequest = false,
    silencesConnections = false,
    startsCold = false,
    zones = 2,
  }: SimulationOptions = {},
): Promise<SimulationResult> {
  const random = new SeededRandomSource(seed);
  const mesh = new VirtualMesh(
    machines,
    random,
    zones,
    startsCold,
    timeoutMilliseconds,
    replacesKeys,
  );
  mesh.store.forgetsDepartures = forgetsDepartures;
  const injectedFaults: string[] = [];
  const possibleFaults = selectFaults({
    cutsWatchers,
    departs,
    isLargeFleet: machines > fullyConnectedFleetSize,
    limitsServers,
    replacesKeys,
    restoresStore,
    sendsDeadlyRequest,
    silencesConnections,
    startsCold,
  });
  const { queue } = mesh;
  const end = warmUpMilliseconds + faultPhaseMilliseconds;
  const sendNextRequest = (): void => {
    if (queue.now >= end) return;
    mesh.sendRequest(mesh.pickMachine());
    queue.after(16 * random.next(), sendNextRequest);
  };
  const injectNextFault = (): void => {
    if (queue.now >= end) return;
    const [name, injectFault] = pickRandom(random, possibleFaults) ?? [];
    injectedFaults.push(`${Math.round(queue.now)} ${name ?? ''}`);
    injectFault?.(mesh, random);
    queue.after(900 * random.next(), injectNextFault);
  };
  const sendDeadlyRequest = (): void => {
    if (queue.now >= end) return;
    mesh.sendDeadlyRequest(mesh.pickMachine());
    queue.after(400 * random.next(), sendDeadlyRequest);
  };
  queue.after(500, sendNextRequest);
  if (sendsDeadlyRequest) queue.after(1_000, sendDeadlyRequest);
  // From then on, one node receives the configuration only from its peers.
  queue.after(warmUpMilliseconds, () => {
    mesh.loseStore(mesh.pickMachine());
  });
  queue.after(warmUpMilliseconds, injectNextFault);
  // The nodes that watched the configuration may have been killed; this version must still reach every node.
  queue.after(end + lastChangeDelayMilliseconds, () => {
    mesh.configure();
  });
  await queue.runUntil(end + recoveryPhaseMilliseconds);
  mesh.usesRemovedKeys = false;
  const recoveredRequests: (VirtualRequest | undefined)[] = [];
  for (let count = 0; count < recoveredRequestCount; count += 1) {
    queue.after(20 * count, () => {
      const machine = mesh.pickMachine();
      if (!mesh.undiscoverableNodes.has(machine.name))
        recoveredRequests.push(mesh.sendRequest(machine));
    });
  }
  await queue.runUntil(queue.now + 20 * recoveredRequestCount + 2 * timeoutMilliseconds);
  const violations = [...guaranteeViolations(mesh), ...recoveryViolations(mesh, recoveredRequests)];
  const answered = mesh.requests.filter(({ outcomes }) => outcomes[0]?.kind === 'answered').length;
  return {
    answered,
    violations,
    injectedFaults,
    requests: mesh.requests.length,
  };
}
