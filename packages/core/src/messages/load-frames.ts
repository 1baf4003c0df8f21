import type { LoadReport } from './load-report.js';

/** Asks a gate for its current load; answered by a `load-report` frame. */
export interface LoadProbeFrame {
  readonly kind: 'load-probe';
  readonly service: string;
}

export interface LoadReportFrame {
  readonly kind: 'load-report';
  readonly load: LoadReport | undefined;
}

export type LoadFrame = LoadProbeFrame | LoadReportFrame;
