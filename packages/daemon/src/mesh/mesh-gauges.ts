import type { Metrics } from '@peridotspring/operators/metrics';

/** Figures of a routing node, by the names of their gauges. */
export interface MeshFigures {
  readonly configuration_age_seconds: number;
  readonly configuration_version: number;
  readonly gate_concurrency_limit: number;
  readonly gate_running: number;
  readonly gate_waiting: number;
  readonly nodes_connected: number;
  readonly nodes_gone: number;
  readonly nodes_known: number;
  readonly nodes_wanted: number;
  readonly requests_in_progress: number;
  readonly server_failure_share: number;
  readonly server_probes_allowed_per_second: number;
  readonly server_service_milliseconds: number;
  readonly server_slots: number;
}

/** Figures of a routing node with a value for each service, by the names of their gauges. */
export interface MeshServiceFigures {
  readonly load_report_age_milliseconds: ReadonlyMap<string, number>;
  readonly repeats_allowed: ReadonlyMap<string, number>;
  readonly repeats_used: ReadonlyMap<string, number>;
}

const helpTexts: Readonly<Record<keyof MeshFigures, string>> = {
  configuration_age_seconds: 'Time since the configuration came into force here.',
  configuration_version: 'Version of the configuration in force.',
  gate_concurrency_limit: 'Requests that the gate runs at once.',
  gate_running: 'Requests at the server.',
  gate_waiting: 'Requests that wait at the gate.',
  nodes_connected: 'Other nodes with a connection.',
  nodes_gone: 'Other nodes that had a connection and have none now.',
  nodes_known: 'Other nodes that were heard of.',
  nodes_wanted: 'Other nodes that this one means to be connected to; others may connect to it.',
  requests_in_progress: 'Requests of callers that have no answer yet.',
  server_failure_share: 'Recent share of requests that the server failed, 0 to 1.',
  server_probes_allowed_per_second: 'Questions for its speed that the server may be asked.',
  server_service_milliseconds: 'Recent mean time of a request at the server.',
  server_slots: 'Requests that the server says it can run at once; 0 without a server.',
};

const serviceHelpTexts: Readonly<Record<keyof MeshServiceFigures, string>> = {
  load_report_age_milliseconds: 'Age of the newest load that a gate of the service told.',
  repeats_allowed: 'Second attempts that this node may send in a window.',
  repeats_used: 'Second attempts that this node has sent in the window.',
};

export interface MeshGaugeSources {
  readonly figures: () => MeshFigures;
  readonly serviceFigures: () => MeshServiceFigures;
}

/** Adds the gauges of a routing node, which are read at each scrape. */
export function registerMeshGauges(
  metrics: Pick<Metrics, 'addGauge' | 'addLabelledGauge'>,
  { figures, serviceFigures }: MeshGaugeSources,
): void {
  for (const [name, help] of Object.entries(helpTexts)) {
    metrics.addGauge({ help, name, read: () => figures()[name as keyof MeshFigures] });
  }
  for (const [name, help] of Object.entries(serviceHelpTexts)) {
    const read = (): ReadonlyMap<string, number> =>
      serviceFigures()[name as keyof MeshServiceFigures];
    metrics.addLabelledGauge({ help, label: 'service', name, read });
  }
}
