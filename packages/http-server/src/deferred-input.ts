import { deferredProcessing, ProcessingAllowance } from '@peridotspring/mesh-core';

/** A connection whose input takes more processor time than its share. */
export interface DeferredConnection {
  /** Reads or parses a little of the input. Returns the processor time that it takes, in microseconds. */
  processInput(): number;
}

/**
 * Processes the input of connections that have used up their processor time, each in its turn and all together within a share
 * of the core, so that other requests go on however many such connections there are.
 */
export class DeferredInput {
  private readonly connections = new Set<DeferredConnection>();
  private readonly allowance = new ProcessingAllowance(deferredProcessing, performance.now());
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;

  /** Whether no connection waits for its turn, and processor time is available. */
  public get isFree(): boolean {
    return this.connections.size === 0 && !this.allowance.isUsedUp(performance.now());
  }

  /** Counts processor time that a connection has taken without waiting for its turn. */
  public spend(microseconds: number): void {
    this.allowance.spend(microseconds, performance.now());
  }

  public add(connection: DeferredConnection): void {
    this.connections.add(connection);
    this.schedule();
  }

  public remove(connection: DeferredConnection): void {
    this.connections.delete(connection);
  }

  public close(): void {
    this.connections.clear();
    clearTimeout(this.timer);
  }

  private schedule(): void {
    if (this.isScheduled || this.connections.size === 0) return;
    this.isScheduled = true;
    const milliseconds = this.allowance.millisecondsUntilAvailable(performance.now());
    if (milliseconds === 0) setImmediate(this.processInput);
    else this.timer = setTimeout(this.processInput, Math.ceil(milliseconds));
  }

  /** A connection that needs another turn is added again, behind the others. */
  private readonly processInput = (): void => {
    this.isScheduled = false;
    let remaining = this.connections.size;
    for (const connection of this.connections) {
      if (remaining === 0 || this.allowance.isUsedUp(performance.now())) break;
      remaining -= 1;
      this.connections.delete(connection);
      this.allowance.spend(connection.processInput(), performance.now());
    }
    this.schedule();
  };
}
