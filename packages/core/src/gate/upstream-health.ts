import type { GateSettings } from './gate-settings.js';

type HealthSettings = Pick<
  GateSettings,
  'recentAnswerMilliseconds' | 'refusedConnectionsUntilDown' | 'trialIntervalMilliseconds'
>;

/**
 * Whether the upstream counts as down. Only an answered request or a new announcement marks it as up
 * again. Its health endpoint may be wrong, so a healthy poll only makes the next trial due.
 */
export class UpstreamHealth {
  private down = false;
  private refusedConnections = 0;
  private lastAnswerAt = Number.NEGATIVE_INFINITY;
  private trialDueAt = 0;
  private trialExecutionId: number | undefined;

  public constructor(private readonly settings: HealthSettings) {}

  public get isDown(): boolean {
    return this.down;
  }

  /** Whether a request may be sent as a trial to an upstream that is down. */
  public isTrialDue(now: number): boolean {
    return this.trialExecutionId === undefined && now >= this.trialDueAt;
  }

  public onTrialStarted(executionId: number): void {
    this.trialExecutionId = executionId;
  }

  /** Time until the next trial is possible. */
  public untilTrialMilliseconds(now: number): number {
    return this.trialExecutionId === undefined
      ? Math.max(0, this.trialDueAt - now)
      : this.settings.trialIntervalMilliseconds;
  }

  /** Returns true if the upstream was down with refused connections, which indicates a restart. */
  public onAnswered(now: number): boolean {
    const isRestart = this.down && this.refusedConnections > 0;
    this.lastAnswerAt = now;
    this.markUp();
    return isRestart;
  }

  /** A request ended without an answer; `contact` states whether a connection was established. */
  public onUnanswered(
    executionId: number,
    contact: 'reached' | 'refused' | 'unknown',
    now: number,
  ): void {
    if (contact === 'refused') this.refusedConnections += 1;
    if (contact === 'reached' && !this.down) this.refusedConnections = 0;
    if (executionId === this.trialExecutionId) this.scheduleTrial(now);
    if (this.refusedConnections >= this.settings.refusedConnectionsUntilDown) this.markDown(now);
  }

  public onPolled(isHealthy: boolean, now: number): void {
    if (isHealthy) {
      if (this.trialExecutionId === undefined) this.trialDueAt = now;
      return;
    }
    if (now - this.lastAnswerAt >= this.settings.recentAnswerMilliseconds) this.markDown(now);
  }

  public markUp(): void {
    this.down = false;
    this.refusedConnections = 0;
    this.trialExecutionId = undefined;
  }

  private markDown(now: number): void {
    if (this.down) return;
    this.down = true;
    this.scheduleTrial(now);
  }

  private scheduleTrial(now: number): void {
    this.trialExecutionId = undefined;
    this.trialDueAt = now + this.settings.trialIntervalMilliseconds;
  }
}
