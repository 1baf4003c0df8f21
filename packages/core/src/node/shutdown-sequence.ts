import type { ClockReading } from '../shared/clock-reading.js';
import type { Outbox } from './outbox.js';

/** Time for the last frames to be sent before the process ends. */
const leaveFlushMilliseconds = 200;

export interface ShutdownSequenceOptions {
  readonly beginDraining: (now: ClockReading) => void;
  readonly handOver: (now: ClockReading) => void;
  readonly leave: (now: ClockReading) => void;
  /** Number of unfinished requests and streams. */
  readonly inProgress: () => number;
  readonly outbox: Outbox;
}

type ShutdownPhase =
  | { readonly kind: 'running' }
  | { readonly kind: 'handing-over' }
  | { readonly kind: 'finishing' }
  | { readonly kind: 'leaving'; readonly startedAt: number }
  | { readonly kind: 'stopped' };

/**
 * Graceful shutdown: drains, hands over key records, finishes running requests, announces the leave
 * to other nodes and ends.
 */
export class ShutdownSequence {
  private phase: ShutdownPhase = { kind: 'running' };

  public constructor(private readonly options: ShutdownSequenceOptions) {}

  public get isStopping(): boolean {
    return this.phase.kind !== 'running';
  }

  public begin(now: ClockReading): void {
    if (this.isStopping) {
      return;
    }
    this.phase = { kind: 'handing-over' };
    this.options.outbox.log('info', 'stop-begun', { inProgress: this.options.inProgress() });
    this.options.beginDraining(now);
    this.options.handOver(now);
  }

  /** This node's homes have handed over all their ranges and records. */
  public onHandedOver(now: ClockReading): void {
    if (this.phase.kind === 'handing-over') {
      this.phase = { kind: 'finishing' };
      this.options.outbox.log('info', 'stop-handed-over', {});
      this.tick(now);
    }
  }

  public tick(now: ClockReading): void {
    if (this.phase.kind === 'finishing' && this.options.inProgress() === 0) {
      this.options.leave(now);
      this.phase = { kind: 'leaving', startedAt: now.monotonic };
      return;
    }
    if (
      this.phase.kind === 'leaving' &&
      now.monotonic - this.phase.startedAt >= leaveFlushMilliseconds
    ) {
      this.phase = { kind: 'stopped' };
      this.options.outbox.push({ kind: 'stopped' });
    }
  }
}
