import { RefusalCause } from '@peridotspring/mesh-core';

import {
  coldStart,
  evacuationBoundMilliseconds,
  retryBudget,
  revocationMilliseconds,
} from './virtual-mesh.js';
import type { VirtualMesh, VirtualRequest } from './virtual-mesh.js';
import type { Run } from './virtual-server.js';

/** Outcomes may be late by one tick of a busy node. */
const deadlineToleranceMilliseconds = 20;
/** From this time after a server first stated a limit, it must hold. */
const limitStabilityMilliseconds = 3_000;
const limitWindowMilliseconds = 4_000;
/** In each window, a server may get this many times what its limit allows, and `limitSlack` requests more. */
const limitFactor = 1.5;
const limitSlack = 5;

/** Number of servers that a request crashes before it has to be recognized. */
const toleratedCrashes = 3;
/** From this time after the last tolerated crash, the request may reach servers in `toleratedRetries` retries. */
const recognitionMilliseconds = 3_000;
const toleratedRetries = 3;

/** Violations of what must hold at any time. */
export function guaranteeViolations(mesh: VirtualMesh): readonly string[] {
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
  for (const { requestId } of mesh.cutRequests)
    violations.push(`${requestId}: its node exited after a stop signal without an outcome`);
  violations.push(...limitViolations(mesh), ...deadlyRequestViolations(mesh));
  violations.push(...coldServerViolations(mesh), ...evacuationViolations(mesh));
  violations.push(...mesh.configurationBound.violations);
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

/** Checks how often a request that crashes servers reached them after it had crashed several. */
function deadlyRequestViolations(mesh: VirtualMesh): readonly string[] {
  const servers = mesh.machines.map(({ server }) => server);
  const crashTimes = servers.flatMap((server) => server.crashTimes).sort((a, b) => a - b);
  const lastTolerated = crashTimes[toleratedCrashes - 1] ?? Infinity;
  const retries = servers
    .flatMap(({ deadlyStarts }) => deadlyStarts)
    .filter((at) => at > lastTolerated + recognitionMilliseconds).length;
  const violations: string[] = [];
  if (retries > toleratedRetries) {
    violations.push(
      `a request that crashes servers reached ${retries} after it had crashed ${toleratedCrashes}`,
    );
  }
  for (const { isDeadly, outcomes, requestId } of mesh.requests) {
    const [outcome] = outcomes;
    if (!isDeadly && outcome?.kind === 'refused' && outcome.cause === RefusalCause.Quarantined)
      violations.push(`${requestId}: quarantined, though it crashed no server`);
  }
  return violations;
}

/** Checks the requests that each server received in any window while it stated a limit. */
function limitViolations(mesh: VirtualMesh): readonly string[] {
  const violations: string[] = [];
  for (const { server } of mesh.machines) {
    for (const { endedAt, firstStatedAt, incarnation, requestsPerSecond } of server.statedLimits) {
      const allowed =
        (limitFactor * requestsPerSecond * limitWindowMilliseconds) / 1_000 + limitSlack;
      const times = server.runs
        .filter((run) => run.incarnation === incarnation && run.at <= endedAt)
        .map(({ at }) => at)
        .filter((at) => at >= firstStatedAt + limitStabilityMilliseconds);
      for (const from of times) {
        const count = times.filter(
          (at) => at >= from && at < from + limitWindowMilliseconds,
        ).length;
        if (count <= allowed) continue;
        violations.push(`${incarnation}: takes ${requestsPerSecond}/s, ${count} from ${from} on`);
        break;
      }
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
  const { isAbandoned, isIdempotent, keyVersion, outcomes, requestId, sentAt } = request;
  const found: string[] = [];
  if (outcomes.length > 1) found.push('more than one outcome');
  if (outcomes.length === 0 && !isAbandoned && mesh.isEntryAlive(request)) found.push('no outcome');
  if (outcomes.length > 0) {
    const late = request.concludedAt - sentAt - mesh.requestTimeoutMilliseconds;
    if (late > deadlineToleranceMilliseconds)
      found.push(`${Math.round(late)} ms after its deadline`);
  }
  const removedAt = keyVersion === undefined ? undefined : mesh.writtenAt.get(keyVersion + 1);
  const startedLate = runs.some(({ at }) => at > (removedAt ?? Infinity) + revocationMilliseconds);
  if (startedLate) found.push('started although its key had been removed');
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

/**
 * Checks the retry budget over all nodes in each window. The requests that earn it are those of this window, of the one before
 * it, or of the one half a window before it, whichever has most: a retry may follow when the load has ended.
 */
function retryBudgetViolations(
  mesh: VirtualMesh,
  runsByRequest: ReadonlyMap<string, readonly Run[]>,
): readonly string[] {
  const { ratio, slack, windowMilliseconds } = retryBudget;
  const retryTimes = [...runsByRequest.values()].flatMap((runs) =>
    runs.slice(1).map(({ at }) => at),
  );
  const requestTimes = mesh.requests.map(({ sentAt }) => sentAt);
  const violations: string[] = [];
  for (let from = 0; from < mesh.queue.now; from += 1_000) {
    const countWithin = (times: readonly number[], start: number): number =>
      times.filter((at) => at >= start && at < start + windowMilliseconds).length;
    const starts = [from, from - windowMilliseconds / 2, from - windowMilliseconds];
    const requests = Math.max(...starts.map((start) => countWithin(requestTimes, start)));
    const count = countWithin(retryTimes, from);
    if (count > ratio * requests + slack)
      violations.push(`${count} retries for ${requests} requests`);
  }
  return violations;
}

/** Violations of what must hold once the faults have ended. */
export function recoveryViolations(
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
