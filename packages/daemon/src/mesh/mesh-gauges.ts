import type { Metrics } from '@peridotspring/operators/metrics';

import type { AllotmentGauges } from './allotment-synchronizer.js';

/** Gauge values of a routing node; each property is the name of a gauge. */
export interface MeshGaugeValues {
  readonly allotment_requests_waiting: number;
  readonly allotment_share_lent: number;
  readonly configuration_age_seconds: number;
  readonly configuration_unconfirmed_seconds: number;
  readonly configuration_version: number;
  readonly gate_concurrency_limit: number;
  readonly gate_running: number;
  readonly gate_waiting: number;
  readonly evacuated_zones: number;
  readonly key_proof_age_seconds: number;
  readonly nodes_connected: number;
  readonly nodes_gone: number;
  readonly nodes_known: number;
  readonly nodes_wanted: number;
  readonly quarantined_requests: number;
  readonly requests_in_progress: number;
  readonly server_cold: number;
  readonly server_failure_share: number;
  readonly server_probes_allowed_per_second: number;
  readonly server_request_limit_per_second: number;
  readonly server_service_milliseconds: number;
  readonly server_slots: number;
  readonly server_unverified: number;
}

/** Gauges with a value for each service; each property is the name of a gauge. */
export interface MeshServiceGaugeValues {
  readonly load_report_age_milliseconds: ReadonlyMap<string, number>;
  readonly repeats_allowed: ReadonlyMap<string, number>;
  readonly repeats_used: ReadonlyMap<string, number>;
}

const gaugeHelpTexts: Readonly<Record<keyof MeshGaugeValues, string>> = {
  allotment_requests_waiting:
    'Requests that wait for an answer about the allotment of their tenant.',
  allotment_share_lent:
    'Shares of the allotments of tenants that nodes have lent to this one, which grants requests from them; at most 1 for each group of tenants.',
  configuration_age_seconds: 'Time since the configuration came into force on this node.',
  configuration_unconfirmed_seconds:
    'Time since the store or a peer last confirmed that the configuration in force is the newest.',
  configuration_version: 'Version of the configuration in force.',
  gate_concurrency_limit: 'Maximum number of requests that the gate runs concurrently.',
  gate_running: 'Requests that the server is running.',
  gate_waiting: 'Requests in the queue of the gate.',
  evacuated_zones: 'Availability zones that the operator has evacuated.',
  key_proof_age_seconds:
    'Age of the proof that removed API keys would be known; 0 if no bound is set.',
  nodes_connected: 'Peers that this node is connected to.',
  nodes_gone: 'Peers that were connected and are not connected now.',
  nodes_known: "Peers in this node's directory.",
  nodes_wanted: 'Peers that this node aims to be connected to; further peers may connect to it.',
  quarantined_requests: 'Requests that are refused because they have crashed several servers.',
  requests_in_progress: 'Requests of callers that have not been answered yet.',
  server_cold: 'Whether the server is cold or may be, so that its request rate is limited: 1 or 0.',
  server_failure_share: 'Recent share of requests that failed at the server, 0 to 1.',
  server_probes_allowed_per_second: 'Maximum number of load probes sent to the server per second.',
  server_request_limit_per_second:
    'Requests per second that the server says it takes from all nodes; 0 if it states no limit.',
  server_service_milliseconds: 'Recent mean duration of a request at the server.',
  server_slots:
    'Number of concurrent requests that the server reports it can run; 0 without a server.',
  server_unverified:
    'Whether a server is not used because the store has not answered yet whether it has left: 1 or 0.',
};

const serviceGaugeHelpTexts: Readonly<Record<keyof MeshServiceGaugeValues, string>> = {
  load_report_age_milliseconds: 'Age of the newest load report of a gate of the service.',
  repeats_allowed: 'Retries that this node may send in a budget window.',
  repeats_used: 'Retries that this node has sent in the current budget window.',
};

export interface MeshGaugeSources {
  readonly gaugeValues: () => MeshGaugeValues;
  /** Number of connections with frames that wait for the machine's link. */
  readonly waitingForLink: () => number;
  readonly serviceGaugeValues: () => MeshServiceGaugeValues;
  readonly allotmentGauges: () => AllotmentGauges;
}

/** Registers the gauges of a routing node; their values are read at each scrape. */
export function registerMeshGauges(
  metrics: Pick<Metrics, 'addGauge' | 'addLabelledGauge'>,
  { allotmentGauges, gaugeValues, serviceGaugeValues, waitingForLink }: MeshGaugeSources,
): void {
  for (const [name, help] of Object.entries(gaugeHelpTexts)) {
    metrics.addGauge({ help, name, read: () => gaugeValues()[name as keyof MeshGaugeValues] });
  }
  metrics.addGauge({
    help: "Connections to peers with frames that wait for the machine's link.",
    name: 'connections_waiting_for_link',
    read: waitingForLink,
  });
  for (const [name, help] of Object.entries(serviceGaugeHelpTexts)) {
    const read = (): ReadonlyMap<string, number> =>
      serviceGaugeValues()[name as keyof MeshServiceGaugeValues];
    metrics.addLabelledGauge({ help, label: 'service', name, read });
  }
  metrics.addLabelledGauge({
    help: 'Requests of a tenant within its allotment at this node since the tenant got a limit.',
    label: 'tenant',
    name: 'allotment_requests_permitted',
    read: () => allotmentGauges().permitted,
  });
  metrics.addLabelledGauge({
    help: 'Requests of a tenant that this node refused with 429 since the tenant got a limit.',
    label: 'tenant',
    name: 'allotment_requests_refused',
    read: () => allotmentGauges().refused,
  });
}
