/** Part of the bound that is kept back for differences between the rates of clocks and for the check itself. */
const marginShare = 0.03;

/** A version of the configuration, and a time at which the store held no newer one. */
export interface ProvenVersion {
  readonly version: number;
  /** On the `LeaseClock` of this node. */
  readonly provenAt: number;
}

/**
 * The newest proof that this node holds. An API key that the configuration in force holds may be acted on until the bound
 * has passed since the time of the proof: a configuration without the key was written after that time, if there is one.
 */
export class ConfigurationProof {
  private provenAt = -Infinity;
  private readonly validMilliseconds: number;

  /** @param boundMilliseconds time for which a key may be used after its removal was confirmed. */
  public constructor(public readonly boundMilliseconds: number) {
    this.validMilliseconds = boundMilliseconds * (1 - marginShare);
  }

  /** Returns whether the proof is for what is in force, or for an older version, and newer than the one held. */
  public offer({ provenAt, version }: ProvenVersion, versionInForce: number): boolean {
    if (version > versionInForce || !(provenAt > this.provenAt)) return false;
    this.provenAt = provenAt;
    return true;
  }

  /** Time since the proof; infinite without one. */
  public ageMilliseconds(now: number): number {
    return now - this.provenAt;
  }

  /** Time until the proof expires; negative once it has. */
  public remainingMilliseconds(now: number): number {
    return this.provenAt + this.validMilliseconds - now;
  }

  public isValid(now: number): boolean {
    return this.remainingMilliseconds(now) > 0;
  }
}
