import type { Metrics } from '@peridotspring/operators/metrics';

/** Figures of a routing node, by the names of their gauges. */
export interface MeshFigures {
  readonly configuration_version: number;
  readonly gate_concurrency_limit: number;
  readonly gate_running: number;
  readonly gate_waiting: number;
  readonly nodes_connected: number;
  readonly nodes_known: number;
  readonly requests_in_progress: number;
  readonly server_failure_share: number;
  readonly server_service_milliseconds: number;
}

const helpTexts: Readonly<Record<keyof MeshFigures, string>> = {
  configuration_version: 'Version of the configuration in force.',
  gate_concurrency_limit: 'Requests that the gate runs at once.',
  gate_running: 'Requests at the server.',
  gate_waiting: 'Requests that wait at the gate.',
  nodes_connected: 'Other nodes with a connection.',
  nodes_known: 'Other nodes that were heard of.',
  requests_in_progress: 'Requests of callers that have no answer yet.',
  server_failure_share: 'Recent share of requests that the server failed, 0 to 1.',
  server_service_milliseconds: 'Recent mean time of a request at the server.',
};

/** Adds the gauges of a routing node, which are read at each scrape. */
export function registerMeshGauges(
  metrics: Pick<Metrics, 'addGauge'>,
  figures: () => MeshFigures,
): void {
  for (const [name, help] of Object.entries(helpTexts)) {
    metrics.addGauge({ help, name, read: () => figures()[name as keyof MeshFigures] });
  }
}
