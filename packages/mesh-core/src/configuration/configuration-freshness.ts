import { hashString } from '@peridotspring/core';

/**
 * Share of the propagation bound after which a configuration that nobody has confirmed is read from the store. The rest of
 * the bound is left for the read, and for a second one if the connection of the first turns out to be dead.
 */
const maximumAgeShare = 0.7;
/** Nodes that miss the same confirmation spread their reads over this share of the bound. */
const readSpreadShare = 0.05;
/** Time after the start of a node for which it waits for its peers, as a share of the bound. */
const startDelayShare = 1;

/**
 * Decides when a node reads the configuration from the store itself. Nodes that watch the store confirm regularly that
 * the version in force is the newest. Without such a confirmation, a node cannot distinguish a configuration that has
 * not changed from one whose change has not reached it, because those that watch may all have failed at once.
 */
export class ConfigurationFreshness {
  private confirmedAt: number;
  private readDueAt: number;
  private readonly maximumAgeMilliseconds: number;

  /** @param propagationMilliseconds time within which a change must be in force on each node. */
  public constructor(nodeName: string, propagationMilliseconds: number, startedAt: number) {
    const spread = (hashString(nodeName) % 1_000) / 1_000;
    this.maximumAgeMilliseconds =
      propagationMilliseconds * (maximumAgeShare + readSpreadShare * spread);
    this.confirmedAt = startedAt;
    this.readDueAt = startedAt + propagationMilliseconds * startDelayShare;
  }

  /** Handles the confirmation that no newer version than the one in force exists. */
  public onConfirmed(now: number): void {
    this.confirmedAt = now;
    this.readDueAt = Math.max(this.readDueAt, now + this.maximumAgeMilliseconds);
  }

  /** Time since the last confirmation, or since the start. */
  public ageMilliseconds(now: number): number {
    return now - this.confirmedAt;
  }

  /** Whether this node should read the configuration now. True at most once per `maximumAgeMilliseconds`. */
  public takeDueRead(now: number): boolean {
    if (now < this.readDueAt) return false;
    this.readDueAt = now + this.maximumAgeMilliseconds;
    return true;
  }
}
