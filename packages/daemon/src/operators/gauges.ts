import type { NodeCore } from '@peridotspring/core';
import type { NodeConnections } from '@peridotspring/nodes';
import type { GaugeDefinition, Metrics, NodeView } from '@peridotspring/operators';
import type { PlatformStore } from '@peridotspring/platform';

export interface GaugeSources {
  readonly connections: NodeConnections;
  readonly core: NodeCore;
  readonly store: PlatformStore;
  readonly view: NodeView;
}

function createGaugeDefinitions({
  connections,
  core,
  store,
  view,
}: GaugeSources): readonly GaugeDefinition[] {
  const probeBudget = (): { readonly allowed: number; readonly spent: number } =>
    view.budgets().find(({ budget }) => budget === 'probe') ?? { allowed: 0, spent: 0 };
  const countMembersIn = (state: string): number =>
    view.members().filter((member) => member.state === state).length;
  return [
    {
      help: 'Revision of the configuration in force on this node.',
      name: 'configuration_revision',
      read: () => view.configuration().revision,
    },
    {
      help: 'Requests that the upstream is running.',
      name: 'gate_in_flight',
      read: () => view.load()?.inFlight ?? 0,
    },
    {
      help: 'Requests that wait at the gate.',
      name: 'gate_queued',
      read: () => view.load()?.queued ?? 0,
    },
    {
      help: 'Requests that the gate runs at once now.',
      name: 'gate_limit',
      read: () => view.load()?.limit ?? 0,
    },
    {
      help: 'Slot-milliseconds that measuring the upstream may have taken since the start.',
      name: 'probe_allowed_slot_milliseconds',
      read: () => probeBudget().allowed,
    },
    {
      help: 'Slot-milliseconds that measuring the upstream has taken since the start.',
      name: 'probe_spent_slot_milliseconds',
      read: () => probeBudget().spent,
    },
    {
      help: 'Calls in progress that this node makes.',
      name: 'calls_in_progress',
      read: () => core.subsystems.engine.callsInProgress,
    },
    {
      help: 'Keys that were forgotten before their retention time since the start, for lack of room.',
      name: 'keys_forgotten_early',
      read: () => core.subsystems.homes.recordUsage.evicted,
    },
    {
      help: 'Bytes sent to other nodes since the start.',
      name: 'peer_bytes_sent',
      read: () => connections.traffic.sent,
    },
    {
      help: 'Bytes received from other nodes since the start.',
      name: 'peer_bytes_received',
      read: () => connections.traffic.received,
    },
    {
      help: '1 while the last call of the platform was answered.',
      name: 'platform_reachable',
      read: () => (store.isResponding ? 1 : 0),
    },
    {
      help: 'Calls of the platform since the start, waiting watches included.',
      name: 'platform_calls',
      read: () => view.platformStatus().calls,
    },
    ...['serving', 'warming', 'draining', 'suspect', 'dead', 'left'].map((state) => ({
      help: `Members in state ${state} as this node knows them.`,
      name: `members_${state}`,
      read: () => countMembersIn(state),
    })),
  ];
}

/** Registers the gauges of a node. */
export function registerGauges(metrics: Metrics, sources: GaugeSources): void {
  for (const gauge of createGaugeDefinitions(sources)) {
    metrics.addGauge(gauge);
  }
}
