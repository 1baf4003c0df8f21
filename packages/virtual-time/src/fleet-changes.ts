import { serviceDefaults } from '@peridotspring/core';
import type { Configuration, ServiceConfiguration } from '@peridotspring/core';

import type { Fleet } from './fleet.js';
import type { ChangeEntry } from './fleet-log.js';
import type { FleetNode } from './fleet-node.js';

const rampMilliseconds = 1_000;

/** Drained servers and availability zones that a change sets. */
export type ChangedDrains = Partial<
  Pick<Configuration, 'drainedAvailabilityZones' | 'drainedServers'>
>;

/** An operator at a node changes services on top of what the node has in force. */
export function proposeChange(
  fleet: Fleet,
  node: FleetNode,
  services: readonly string[],
  drains: ChangedDrains = {},
): ChangeEntry {
  const marker = fleet.log.changes.length + 1;
  const proposedAt = fleet.now;
  const change: ChangeEntry = {
    concludedAt: undefined,
    marker,
    proposedAt,
    result: undefined,
    services,
  };
  fleet.log.changes.push(change);
  const base = node.core.subsystems.configuration.inForce;
  const changed = services.map((name) => [name, declaration(name, marker)] as const);
  const declared = { ...base.services, ...Object.fromEntries(changed) };
  node.deliver({
    baseRevision: base.revision,
    changeId: `change-${marker}`,
    configuration: { ...base, services: declared, ...drains },
    kind: 'propose-configuration',
    proposalId: marker,
  });
  return change;
}

/** The marker of the change that last declared the service. */
export function markerOf(configuration: Configuration, service: string): number | undefined {
  const declared = configuration.services[service];
  return declared && declared.rampMilliseconds - rampMilliseconds;
}

/** A declaration that carries the marker of its change in a field that matters little here. */
function declaration(name: string, marker: number): ServiceConfiguration {
  return { ...serviceDefaults, name, rampMilliseconds: rampMilliseconds + marker };
}
