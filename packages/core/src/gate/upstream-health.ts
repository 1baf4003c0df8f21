import type { GateSettings } from './gate-settings.js';

type HealthSettings = Pick<
  GateSettings,
  'answerEvidenceMilliseconds' | 'refusedConnectionsUntilDown' | 'trialIntervalMilliseconds'
>;

/**
 * Whether the upstream counts as down. Only an answered request or a new announcement brings it
 * back: its health endpoint may mislead, so a healthy poll merely makes the next trial due.
 */
export class UpstreamHealth {
  private down = false;
  private refusedConnections = 0;
  private answeredAt = Number.NEGATIVE_INFINITY;
  private trialDueAt = 0;
  private trialExecution: number | undefined;

  public constructor(private readonly settings: HealthSettings) {}

  public get isDown(): boolean {
    return this.down;
  }

  /** Whether a request may try if the upstream answers again. */
  public isTrialDue(now: number): boolean {
    return this.trialExecution === undefined && now >= this.trialDueAt;
  }

  public trialStarted(executionId: number): void {
    this.trialExecution = executionId;
  }

  /** Time until another trial is possible. */
  public untilTrialMilliseconds(now: number): number {
    return this.trialExecution === undefined
      ? Math.max(0, this.trialDueAt - now)
      : this.settings.trialIntervalMilliseconds;
  }

  /** Returns true if the upstream was down after refused connections, as a restarting process is. */
  public answered(now: number): boolean {
    const isRestart = this.down && this.refusedConnections > 0;
    this.answeredAt = now;
    this.reset();
    return isRestart;
  }

  /** A request ended without an answer; `contact` says whether a connection was established. */
  public unanswered(
    executionId: number,
    contact: 'reached' | 'refused' | 'unknown',
    now: number,
  ): void {
    if (contact === 'refused') this.refusedConnections += 1;
    if (contact === 'reached' && !this.down) this.refusedConnections = 0;
    if (executionId === this.trialExecution) this.scheduleTrial(now);
    if (this.refusedConnections >= this.settings.refusedConnectionsUntilDown) this.setDown(now);
  }

  public polled(healthy: boolean, now: number): void {
    if (healthy) {
      if (this.trialExecution === undefined) this.trialDueAt = now;
      return;
    }
    if (now - this.answeredAt >= this.settings.answerEvidenceMilliseconds) this.setDown(now);
  }

  /** Takes the upstream as up. */
  public reset(): void {
    this.down = false;
    this.refusedConnections = 0;
    this.trialExecution = undefined;
  }

  private setDown(now: number): void {
    if (this.down) return;
    this.down = true;
    this.scheduleTrial(now);
  }

  private scheduleTrial(now: number): void {
    this.trialExecution = undefined;
    this.trialDueAt = now + this.settings.trialIntervalMilliseconds;
  }
}
