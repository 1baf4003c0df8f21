import { pickRandom, SeededRandomSource } from '@peridotspring/core';

import { coldStart, retryBudget, timeoutMilliseconds, VirtualMesh } from './virtual-mesh.js';
import type { VirtualRequest } from './virtual-mesh.js';
import type { Run } from './virtual-server.js';

/** In larger fleets each node connects to a part of the other nodes only. */
const fullyConnectedFleetSize = 5;
const warmUpMilliseconds = 2_000;
const faultPhaseMilliseconds = 7_000;
/** Time after the last fault by which the mesh must have recovered. */
const recoveryPhaseMilliseconds = 6_000;
/** The configuration changes once more this long after the last fault, when other nodes have taken over the watch. */
const lastChangeDelayMilliseconds = 3_000;
const recoveredRequestCount = 60;
/** Outcomes may be late by one tick of a busy node. */
const deadlineToleranceMilliseconds = 20;

type InjectFault = (mesh: VirtualMesh, random: SeededRandomSource) => void;

/** Faults that are injected at random times; they may repeat and overlap. */
const faults: readonly (readonly [string, InjectFault])[] = [
  [
    'kill a node',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      mesh.kill(machine);
      mesh.queue.after(300 * random.next(), () => {
        mesh.start(machine);
      });
    },
  ],
  [
    'stop a node',
    (mesh) => {
      mesh.stop(mesh.pickMachine());
    },
  ],
  [
    'restart a server',
    (mesh, random) => {
      mesh.pickMachine().server.restart(random.next() < 0.5);
    },
  ],
  [
    'replace a server',
    (mesh, random) => {
      mesh.pickMachine().server.replace(random.next() < 0.5);
    },
  ],
  [
    'partition two nodes',
    (mesh, random) => {
      mesh.links.blockConnection(mesh.pickMachine().name, mesh.pickMachine().name);
      mesh.queue.after(2_000 * random.next(), () => {
        mesh.links.unblockConnections();
      });
    },
  ],
  [
    'reset the connections',
    (mesh) => {
      mesh.links.resetAll();
    },
  ],
  [
    'change the configuration',
    (mesh) => {
      mesh.configure();
    },
  ],
  [
    'make the store unreadable for a node',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      machine.canReadStore = false;
      mesh.queue.after(1_500 * random.next(), () => {
        machine.canReadStore = true;
      });
    },
  ],
  [
    'slow a server down',
    (mesh, random) => {
      const { server } = mesh.pickMachine();
      server.slowdown = 2 + 10 * random.next();
      mesh.queue.after(1_500 * random.next(), () => {
        server.slowdown = 1;
      });
    },
  ],
  [
    'lose answers',
    (mesh, random) => {
      for (const { server } of mesh.machines) server.lostAnswerShare = 0.6;
      mesh.queue.after(1_500 * random.next(), () => {
        for (const { server } of mesh.machines) server.lostAnswerShare = 0;
      });
    },
  ],
];

/** Additional faults for larger fleets. A change of the first list would change what existing seeds simulate. */
const largeFleetFaults: readonly (readonly [string, InjectFault])[] = [
  [
    'kill half of the nodes',
    (mesh, random) => {
      for (const machine of mesh.machines) {
        if (random.next() < 0.5) continue;
        mesh.kill(machine);
        mesh.queue.after(300 + 300 * random.next(), () => {
          mesh.start(machine);
        });
      }
    },
  ],
  [
    'kill the node of a draining server',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      machine.server.replace(random.next() < 0.5);
      mesh.queue.after(100 * random.next(), () => {
        mesh.kill(machine);
        mesh.queue.after(50 * random.next(), () => {
          mesh.start(machine);
        });
      });
    },
  ],
];

/** Additional faults if the simulation includes restores of the store. */
const storeRestoreFaults: readonly (readonly [string, InjectFault])[] = [
  [
    'restore the store from a backup',
    (mesh, random) => {
      mesh.restoreStore(5_000 * random.next());
    },
  ],
  [
    'restore the store right after a change',
    (mesh, random) => {
      mesh.configure();
      mesh.queue.after(200 * random.next(), () => {
        mesh.restoreStore(300 + 3_000 * random.next());
      });
    },
  ],
];

/** Time after the start of an evacuation by which no request may reach a server of the zone. */
const evacuationBoundMilliseconds = 1_500;

/** Additional faults if servers start cold. */
const coldServerFaults: readonly (readonly [string, InjectFault])[] = [
  [
    'evacuate a zone',
    (mesh, random) => {
      const { availabilityZone } = mesh.pickMachine();
      mesh.evacuate(availabilityZone, true);
      mesh.queue.after(500 + 2_500 * random.next(), () => {
        mesh.evacuate(availabilityZone, false);
      });
    },
  ],
  [
    'kill a node beside a cold server several times',
    (mesh, random) => {
      const machine = mesh.pickMachine();
      machine.server.restart(random.next() < 0.5);
      for (const after of [150, 400, 700]) {
        mesh.queue.after(after, () => {
          mesh.kill(machine);
          mesh.start(machine);
        });
      }
    },
  ],
];

export interface SimulationOptions {
  /** Availability zones. With one zone most nodes receive configurations from two others, with two zones from four. */
  readonly zones?: number;
  readonly machines?: number;
  /** Whether the store is occasionally restored from a backup. */
  readonly restoresStore?: boolean;
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
    machines = fullyConnectedFleetSize,
    restoresStore = false,
    startsCold = false,
    zones = 2,
  }: SimulationOptions = {},
): Promise<SimulationResult> {
  const random = new SeededRandomSource(seed);
  const mesh = new VirtualMesh(machines, random, zones, startsCold);
  const injectedFaults: string[] = [];
  const possibleFaults = [
    ...faults,
    ...(machines > fullyConnectedFleetSize ? largeFleetFaults : []),
    ...(startsCold ? [...coldServerFaults, ...coldServerFaults] : []),
    ...(restoresStore ? [...storeRestoreFaults, ...storeRestoreFaults] : []),
  ];
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
  queue.after(500, sendNextRequest);
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

function guaranteeViolations(mesh: VirtualMesh): readonly string[] {
  const violations: string[] = [];
  const runs = mesh.machines.flatMap(({ server }) => server.runs);
  const runsByRequest = new Map<string, Run[]>();
  for (const run of runs)
    runsByRequest.set(run.requestId, [...(runsByRequest.get(run.requestId) ?? []), run]);
  for (const request of mesh.requests) {
    const requestRuns = runsByRequest.get(request.requestId) ?? [];
    for (const violation of requestViolations(mesh, request, requestRuns))
      violations.push(`${request.requestId}: ${violation}`);
  }
  for (const { server } of mesh.machines) {
    for (const { at, incarnation, requestId } of server.runs) {
      const confirmedAt = server.endConfirmedAt.get(incarnation);
      // Requests that were in transit when the server began to drain arrive within a millisecond.
      if (confirmedAt !== undefined && at > confirmedAt + 1) {
        violations.push(
          `${requestId}: started at ${incarnation} after the end of this incarnation was confirmed`,
        );
      }
    }
  }
  violations.push(...coldServerViolations(mesh), ...evacuationViolations(mesh));
  violations.push(...retryBudgetViolations(mesh, runsByRequest), ...mesh.versionRegressions);
  return violations;
}

/** Checks the requests that each cold server received in any second. */
function coldServerViolations(mesh: VirtualMesh): readonly string[] {
  const violations: string[] = [];
  for (const { server } of mesh.machines) {
    const coldRuns = server.runs.filter(({ isCold }) => isCold);
    for (const { at: from, incarnation } of coldRuns) {
      const count = coldRuns.filter(
        (run) => run.incarnation === incarnation && run.at >= from && run.at < from + 1_000,
      ).length;
      if (count <= coldStart.maximumRequests) continue;
      violations.push(`${incarnation}: cold, ${count} requests from ${Math.round(from)} on`);
      break;
    }
  }
  return violations;
}

function evacuationViolations(mesh: VirtualMesh): readonly string[] {
  const violations: string[] = [];
  for (const { availabilityZone, endedAt, startedAt } of mesh.evacuations) {
    for (const { availabilityZone: zone, name, server } of mesh.machines) {
      if (zone !== availabilityZone) continue;
      const late = server.runs.filter(
        ({ at }) => at > startedAt + evacuationBoundMilliseconds && at < endedAt,
      ).length;
      if (late > 0) violations.push(`${name}: ${late} requests in the evacuated zone ${zone}`);
    }
  }
  return violations;
}

function requestViolations(
  mesh: VirtualMesh,
  request: VirtualRequest,
  runs: readonly Run[],
): readonly string[] {
  const { isAbandoned, isIdempotent, outcomes, requestId, sentAt } = request;
  const found: string[] = [];
  if (outcomes.length > 1) found.push('more than one outcome');
  if (outcomes.length === 0 && !isAbandoned && mesh.isEntryAlive(request)) found.push('no outcome');
  if (outcomes.length > 0) {
    const late = request.concludedAt - sentAt - timeoutMilliseconds;
    if (late > deadlineToleranceMilliseconds)
      found.push(`${Math.round(late)} ms after its deadline`);
  }
  if (!isIdempotent && runs.length > 1) found.push(`not idempotent, but ran ${runs.length} times`);
  const [outcome] = outcomes;
  if (outcome?.kind === 'refused' && runs.length > 0) found.push('refused although it ran');
  if (outcome?.kind === 'answered') {
    if (runs.length === 0) found.push('answered although it never ran');
    if (Buffer.from(outcome.body).toString() !== requestId)
      found.push('received the answer of another request');
  }
  return found;
}

/** Checks the retry budget over all nodes in each window. */
function retryBudgetViolations(
  mesh: VirtualMesh,
  runsByRequest: ReadonlyMap<string, readonly Run[]>,
): readonly string[] {
  const { ratio, slack, windowMilliseconds } = retryBudget;
  const retryTimes = [...runsByRequest.values()].flatMap((runs) =>
    runs.slice(1).map(({ at }) => at),
  );
  const violations: string[] = [];
  for (let from = 0; from < mesh.queue.now; from += 1_000) {
    const isInside = (at: number): boolean => at >= from && at < from + windowMilliseconds;
    const requests = mesh.requests.filter(({ sentAt }) => isInside(sentAt)).length;
    const count = retryTimes.filter(isInside).length;
    if (count > ratio * requests + slack)
      violations.push(`${count} retries for ${requests} requests`);
  }
  return violations;
}

function recoveryViolations(
  mesh: VirtualMesh,
  recoveredRequests: readonly (VirtualRequest | undefined)[],
): readonly string[] {
  const violations: string[] = [];
  for (const name of mesh.missingEntries) violations.push(`${name}: no entry in the store`);
  const { undiscoverableNodes: undiscoverableNodes } = mesh;
  const discoverableNodes = mesh.machines.length - 1 - undiscoverableNodes.size;
  for (const { name, node } of mesh.machines) {
    // A node that no other node can discover counts as gone.
    if (undiscoverableNodes.has(name)) continue;
    const gaugeValues = node?.driver.gaugeValues;
    if (gaugeValues === undefined || !(node?.driver.isReady ?? false))
      violations.push(`${name}: not ready`);
    if (gaugeValues?.configuration_version !== mesh.version) {
      violations.push(
        `${name}: version ${gaugeValues?.configuration_version ?? 0} of ${mesh.version}`,
      );
    }
    if ((gaugeValues?.nodes_known ?? 0) < discoverableNodes) {
      violations.push(`${name}: ${gaugeValues?.nodes_known ?? 0} nodes known`);
    }
    if (gaugeValues === undefined || gaugeValues.nodes_connected < gaugeValues.nodes_wanted) {
      violations.push(
        `${name}: ${gaugeValues?.nodes_connected ?? 0} of ${gaugeValues?.nodes_wanted ?? 0} nodes connected`,
      );
    }
    if (gaugeValues !== undefined && gaugeValues.gate_running + gaugeValues.gate_waiting > 0) {
      violations.push(`${name}: the gate still has requests`);
    }
  }
  for (const request of recoveredRequests) {
    const outcome = request?.outcomes[0];
    if (request?.isAbandoned !== true && outcome?.kind !== 'answered') {
      violations.push(
        `${request?.requestId ?? 'a request'}: ${outcome?.kind ?? 'not accepted'} after recovery`,
      );
    }
  }
  return violations;
}
