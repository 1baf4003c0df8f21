import type { Configuration } from '../messages/service-configuration.js';
import type { NodeIdentity } from '../messages/identity.js';
import type { ClockReading } from '../shared/clock-reading.js';

export interface DrainControllerOptions {
  readonly identity: NodeIdentity;
  readonly configuration: () => Configuration;
  readonly isStopping: () => boolean;
  readonly applyDraining: (draining: boolean, now: ClockReading) => void;
}

/** Drains the gate while the upstream, an operator or a graceful shutdown requires it. */
export class DrainController {
  private isUpstreamDraining = false;
  private hasUpstreamLeft = false;
  private isDraining = false;

  public constructor(private readonly options: DrainControllerOptions) {}

  public setUpstreamDraining(draining: boolean, now: ClockReading): void {
    this.isUpstreamDraining = draining;
    this.recompute(now);
  }

  public onUpstreamLeft(now: ClockReading): void {
    this.hasUpstreamLeft = true;
    this.setUpstreamDraining(true, now);
  }

  /**
   * An upstream also repeats its announcement while it drains, so only an announcement after it
   * left ends the drain.
   */
  public onUpstreamAnnounced(now: ClockReading): void {
    if (this.hasUpstreamLeft) {
      this.hasUpstreamLeft = false;
      this.setUpstreamDraining(false, now);
    }
  }

  /** Recomputes the drain state; called when one of its causes may have changed. */
  public recompute(now: ClockReading): void {
    const { applyDraining, configuration, identity, isStopping } = this.options;
    const { drainedAvailabilityZones, drainedServers } = configuration();
    const draining =
      this.isUpstreamDraining ||
      isStopping() ||
      drainedServers.includes(identity.server) ||
      drainedAvailabilityZones.includes(identity.availabilityZone);
    if (draining !== this.isDraining) {
      this.isDraining = draining;
      applyDraining(draining, now);
    }
  }
}
