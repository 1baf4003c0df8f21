import type { Configuration } from '../messages/service-configuration.js';
import type { NodeIdentity } from '../messages/identity.js';
import type { ClockReading } from '../shared/clock-reading.js';

export interface DrainControlOptions {
  readonly identity: NodeIdentity;
  readonly configuration: () => Configuration;
  readonly isStopping: () => boolean;
  readonly apply: (draining: boolean, now: ClockReading) => void;
}

/** The gate drains when the upstream, an operator or a planned stop asks for it. */
export class DrainControl {
  private upstreamDraining = false;
  private upstreamHasLeft = false;
  private isApplied = false;

  public constructor(private readonly options: DrainControlOptions) {}

  public setUpstreamDraining(draining: boolean, now: ClockReading): void {
    this.upstreamDraining = draining;
    this.update(now);
  }

  public upstreamLeft(now: ClockReading): void {
    this.upstreamHasLeft = true;
    this.setUpstreamDraining(true, now);
  }

  /** Announcements are repeated while an upstream drains, so only one that follows its leave ends the drain. */
  public upstreamAnnounced(now: ClockReading): void {
    if (this.upstreamHasLeft) {
      this.upstreamHasLeft = false;
      this.setUpstreamDraining(false, now);
    }
  }

  /** Applies the state again after one of its causes may have changed. */
  public update(now: ClockReading): void {
    const { apply, configuration, identity, isStopping } = this.options;
    const { drainedAvailabilityZones, drainedServers } = configuration();
    const draining =
      this.upstreamDraining ||
      isStopping() ||
      drainedServers.includes(identity.server) ||
      drainedAvailabilityZones.includes(identity.availabilityZone);
    if (draining !== this.isApplied) {
      this.isApplied = draining;
      apply(draining, now);
    }
  }
}
