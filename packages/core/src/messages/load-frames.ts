import type { LoadReport } from './load-report.js';

export interface LoadProbeFrame {
  readonly kind: 'load-probe';
  readonly service: string;
}

export interface LoadReportFrame {
  readonly kind: 'load-report';
  readonly load: LoadReport | undefined;
}

export type LoadFrame = LoadProbeFrame | LoadReportFrame;
