import type { ClockReading } from '../shared/clock-reading.js';
import type { Outbox } from './outbox.js';

/** Time for the last frames to leave before the process ends. */
const farewellMilliseconds = 200;

export interface StopSequenceOptions {
  readonly beginDraining: (now: ClockReading) => void;
  readonly handOver: (now: ClockReading) => void;
  readonly leave: (now: ClockReading) => void;
  /** Requests and streams that are not finished. */
  readonly inProgress: () => number;
  readonly outbox: Outbox;
}

type StopPhase =
  | { readonly kind: 'running' }
  | { readonly kind: 'handing-over' }
  | { readonly kind: 'finishing' }
  | { readonly kind: 'leaving'; readonly since: number }
  | { readonly kind: 'stopped' };

/** A planned stop: drain, hand key records over, finish what runs, tell the others, end. */
export class StopSequence {
  private phase: StopPhase = { kind: 'running' };

  public constructor(private readonly options: StopSequenceOptions) {}

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

  /** The homes of this node have nothing left to hand over. */
  public handedOver(now: ClockReading): void {
    if (this.phase.kind === 'handing-over') {
      this.phase = { kind: 'finishing' };
      this.options.outbox.log('info', 'stop-handed-over', {});
      this.tick(now);
    }
  }

  public tick(now: ClockReading): void {
    if (this.phase.kind === 'finishing' && this.options.inProgress() === 0) {
      this.options.leave(now);
      this.phase = { kind: 'leaving', since: now.monotonic };
      return;
    }
    if (this.phase.kind === 'leaving' && now.monotonic - this.phase.since >= farewellMilliseconds) {
      this.phase = { kind: 'stopped' };
      this.options.outbox.push({ kind: 'stopped' });
    }
  }
}
