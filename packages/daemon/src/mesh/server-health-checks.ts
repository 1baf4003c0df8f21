import type { ServerGate } from '@peridotspring/mesh-core';
import type { HealthCheckResult } from '@peridotspring/upstreams/mesh';

import { MeshEvent } from './mesh-event.js';

/** If the server has not sent a report within this time after the start, the node checks its health. */
const firstReportTimeoutMilliseconds = 500;
const retryDelayMilliseconds = 3_000;

export interface ServerHealthChecksOptions {
  readonly clock: () => number;
  readonly startedAt: number;
  readonly gate: Pick<
    ServerGate,
    'hasServer' | 'onColdTimeChecked' | 'onProbeFinished' | 'onServerLoad'
  >;
  /** A server that had not reported answered that it is ready. */
  readonly onPassed: (instanceId: string, slots: number, now: number) => void;
  /** Path of the health check; undefined while none is configured. */
  readonly path: () => string | undefined;
  readonly check: (path: string) => Promise<HealthCheckResult | undefined>;
  readonly onProbe: () => void;
  readonly log: (event: string, fields: Readonly<Record<string, string | boolean>>) => void;
}

/** Checks the health of the server beside the node, and tells the gate what the answers show. */
export class ServerHealthChecks {
  private identificationDueAt: number;

  public constructor(private readonly options: ServerHealthChecksOptions) {
    this.identificationDueAt = options.startedAt + firstReportTimeoutMilliseconds;
  }

  /** After a restart, a health check identifies the server's incarnation before the server's next report. */
  public tick(now: number): void {
    const { gate, path } = this.options;
    const healthPath = path();
    if (gate.hasServer || now < this.identificationDueAt || healthPath === undefined) return;
    this.identificationDueAt = Infinity;
    void this.identify(healthPath);
  }

  /** Asks the server for its current load and whether it is cold, when the gate needs to know. */
  public async probe(): Promise<void> {
    const { check, clock, gate, onProbe, path } = this.options;
    onProbe();
    const healthPath = path();
    const sentAt = clock();
    const answer = healthPath === undefined ? undefined : await check(healthPath);
    const now = clock();
    if (answer !== undefined) this.reportState(answer, sentAt, now);
    gate.onProbeFinished(now);
  }

  private async identify(healthPath: string): Promise<void> {
    const { check, clock, log, onPassed } = this.options;
    const sentAt = clock();
    const answer = await check(healthPath);
    const now = clock();
    this.identificationDueAt = now + retryDelayMilliseconds;
    const { instanceId, isReady = false, load } = answer ?? {};
    log(MeshEvent.HealthChecked, { instance: instanceId ?? 'unknown', ready: isReady });
    if (answer === undefined || instanceId === undefined || !isReady || load === undefined) return;
    onPassed(instanceId, load.slots, now);
    this.reportState(answer, sentAt, now);
  }

  private reportState(
    { coldMilliseconds, load }: HealthCheckResult,
    sentAt: number,
    now: number,
  ): void {
    const { gate } = this.options;
    if (coldMilliseconds !== undefined) gate.onColdTimeChecked(sentAt, coldMilliseconds, now);
    if (load !== undefined) gate.onServerLoad(load, now);
  }
}
