import type { EntryRequest } from './entry-contract.js';
import { RouteDurations } from './route-durations.js';

/** Retry-After of a node that is about to exit; its successor is up after about a second. */
export const stoppingRetryAfterMilliseconds = 500;

/** The end of the process, as far as it concerns requests. */
export interface StopSchedule {
  /** From this time on, new requests are refused. */
  readonly refusesFrom: number;
  /** By this time, each request that was taken must have an outcome. */
  readonly outcomesDueAt: number;
}

/** Decides which requests a stopping node still takes, by the time that they may need and the time that is left. */
export class StopAdmission {
  private readonly routeDurations = new RouteDurations();
  private schedule: StopSchedule | undefined;

  /** Infinity while the process is not stopping. */
  public get outcomesDueAt(): number {
    return this.schedule?.outcomesDueAt ?? Infinity;
  }

  public stop(schedule: StopSchedule): void {
    this.schedule = schedule;
  }

  public recordAnswer({ receivedAt, route }: EntryRequest, now: number): void {
    this.routeDurations.record(route.name, now - receivedAt, now);
  }

  /** Whether a new request has to be refused, since it might need more time than is left. */
  public mayOutlastProcess(
    { callerDeadline, receivedAt, route }: EntryRequest,
    now: number,
  ): boolean {
    if (this.schedule === undefined) return false;
    const { outcomesDueAt, refusesFrom } = this.schedule;
    if (now >= refusesFrom) return true;
    const latestEnd = Math.min(callerDeadline, receivedAt + route.timeoutMilliseconds);
    const longest = this.routeDurations.longestMilliseconds(route.name, now) ?? Infinity;
    return Math.min(latestEnd, now + longest) > outcomesDueAt;
  }

  /** Removes the state of routes that the configuration no longer declares. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.routeDurations.retain(routeNames);
  }
}
