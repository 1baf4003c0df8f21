import { ExecutionEnd } from '@peridotspring/core';
import type { RandomSource } from '@peridotspring/core';
import type { EventQueue } from './event-queue.js';
import { Fault } from './scenario.js';

interface Execution {
  finishAt: number;
  readonly end: ExecutionEnd;
  readonly ended: (end: ExecutionEnd) => void;
}

const slowFactor = 5;
/** With this factor the trough load of 0.4 becomes 0.8, which all servers can still carry. */
const allSlowFactor = 2;
const failMilliseconds = 1;
/** A cold server takes this much longer at first and is warm after so many requests. */
const coldFactor = 5;
const requestsUntilWarm = 300;
/** Lag of a load endpoint that does not lie. */
const endpointLagMilliseconds = 500;
const lyingLagMilliseconds = 3_000;

/** What a poll of the health and load endpoints says. */
export interface PollResult {
  readonly healthy: boolean;
  readonly inFlight: number;
}

/** An upstream: its slots, its faults and its endpoints. */
export class UpstreamModel {
  public fault: Fault = Fault.None;
  private readonly executions = new Map<number, Execution>();
  private started = 0;
  private readonly history: { readonly time: number; readonly inFlight: number }[] = [];

  public constructor(
    private readonly events: EventQueue,
    private readonly random: RandomSource,
    private readonly slots: number,
  ) {}

  public get running(): number {
    return this.executions.size;
  }

  /** Whether a request sent here now would start at once and be answered. */
  public get hasFreeSlot(): boolean {
    const slots = this.fault === Fault.Overstated ? this.slots / 2 : this.slots;
    return this.fault !== Fault.FailingFast && this.running < slots;
  }

  public start(executionId: number, work: number, ended: (end: ExecutionEnd) => void): void {
    const time = this.events.now.monotonic;
    this.started += 1;
    const fails =
      this.fault === Fault.FailingFast ||
      (this.fault === Fault.HalfFail && this.random.next() < 0.5);
    const end = fails ? ExecutionEnd.Failed : ExecutionEnd.Answered;
    const duration =
      this.fault === Fault.FailingFast ? failMilliseconds : work * this.slowdown(this.running + 1);
    this.executions.set(executionId, { end, ended, finishAt: time + duration });
    this.note(time);
    this.wait(executionId, duration);
  }

  /** The upstream accepts cancellation. Returns false if the execution has ended. */
  public cancel(executionId: number): boolean {
    const wasRunning = this.executions.delete(executionId);
    this.note(this.events.now.monotonic);
    return wasRunning;
  }

  /** A poll holds up everything that runs for its duration. */
  public poll(durationMilliseconds: number, index: number): PollResult {
    for (const execution of this.executions.values()) execution.finishAt += durationMilliseconds;
    const now = this.events.now.monotonic;
    if (this.fault !== Fault.LyingEndpoints) {
      return { healthy: true, inFlight: this.inFlightAt(now - endpointLagMilliseconds) };
    }
    // One endpoint says that its server is full, one that it is ill, and the others are 3 s old.
    if (index === 0) return { healthy: true, inFlight: 3 * this.slots };
    return { healthy: index !== 1, inFlight: this.inFlightAt(now - lyingLagMilliseconds) };
  }

  private wait(executionId: number, delay: number): void {
    this.events.after(delay, () => {
      const execution = this.executions.get(executionId);
      if (execution === undefined) return;
      const now = this.events.now.monotonic;
      if (execution.finishAt > now + 1e-9) {
        this.wait(executionId, execution.finishAt - now);
        return;
      }
      this.executions.delete(executionId);
      this.note(now);
      execution.ended(execution.end);
    });
  }

  private slowdown(running: number): number {
    switch (this.fault) {
      case Fault.AllSlow:
        return allSlowFactor;
      case Fault.Slow:
        return slowFactor;
      case Fault.Cold:
        return 1 + (coldFactor - 1) * Math.max(0, 1 - this.started / requestsUntilWarm);
      case Fault.Overstated:
        return Math.max(1, running / (this.slots / 2));
      case Fault.Draining:
      case Fault.FailingFast:
      case Fault.HalfFail:
      case Fault.LyingEndpoints:
      case Fault.None:
        return 1;
    }
  }

  /** Remembers the load for as long as an endpoint may lag. */
  private note(time: number): void {
    this.history.push({ inFlight: this.running, time });
    if (this.history.length > 20_000) this.history.splice(0, 10_000);
  }

  private inFlightAt(time: number): number {
    return this.history.findLast((entry) => entry.time <= time)?.inFlight ?? 0;
  }
}
