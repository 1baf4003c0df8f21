import type { HomeConfirmFrame, HomePromiseFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { HomeSettings } from './home-settings.js';
import { majorityOf, witnessesOf } from './table-view.js';

/** The request to one witness in one renewal round. */
export interface ConfirmRequest {
  readonly witness: string;
  readonly frame: HomeConfirmFrame;
}

/**
 * The home's side of its lease for one service: asks the witnesses for promises and counts them.
 */
export class Lease {
  private nextRoundAt = Number.NEGATIVE_INFINITY;
  private version = 0;
  /** When the request of each round was sent, by sequence number. */
  private readonly roundSentAt = new Map<number, number>();
  /**
   * When the newest request that was confirmed had been sent, by witness, for the current version.
   */
  private readonly confirmedRequestSentAt = new Map<string, number>();
  /**
   * Witnesses that accepted the current version in their last answer; they are not sent the table
   * again.
   */
  private readonly acceptedBy = new Set<string>();

  public constructor(
    private readonly settings: HomeSettings,
    private sequence: number,
  ) {}

  /** Starts a renewal round if one is due, and returns the request to each witness. */
  public startRoundIfDue(
    table: HomeTable,
    isLeaseMissing: boolean,
    monotonic: number,
  ): readonly ConfirmRequest[] {
    if (table.version !== this.version) this.reset(table.version);
    if (monotonic < this.nextRoundAt) return [];
    const { confirmIntervalMilliseconds, confirmRetryMilliseconds } = this.settings;
    this.nextRoundAt =
      monotonic + (isLeaseMissing ? confirmRetryMilliseconds : confirmIntervalMilliseconds);
    this.sequence += 1;
    this.roundSentAt.set(this.sequence, monotonic);
    this.pruneOldRounds(monotonic);
    const { service, version } = table;
    const frame = {
      kind: 'home-confirm',
      released: false,
      sequence: this.sequence,
      service,
      version,
    } as const;
    return witnessesOf(table).map((witness) => ({
      frame: this.acceptedBy.has(witness) ? frame : { ...frame, table },
      witness,
    }));
  }

  /** Monotonic time of the next round; immediately for a table that has had no round. */
  public nextRoundTimeFor(table: HomeTable): number {
    return table.version === this.version ? this.nextRoundAt : Number.NEGATIVE_INFINITY;
  }

  /**
   * Counts the promise of a witness from the time at which it was requested. That is before the witness
   * gave it, so the lease ends here before the promise ends there.
   */
  public onPromise(witness: string, frame: HomePromiseFrame): void {
    const sentAt = this.roundSentAt.get(frame.sequence);
    if (!frame.accepted) this.acceptedBy.delete(witness);
    else if (frame.version === this.version) this.acceptedBy.add(witness);
    if (sentAt === undefined || !frame.accepted || frame.version !== this.version) return;
    const known = this.confirmedRequestSentAt.get(witness) ?? Number.NEGATIVE_INFINITY;
    this.confirmedRequestSentAt.set(witness, Math.max(known, sentAt));
  }

  /**
   * Monotonic time until which the lease confirmed by a majority of every quorum of this table is
   * valid.
   */
  public validUntil(table: HomeTable): number {
    if (table.version !== this.version || table.quorums.length === 0) {
      return Number.NEGATIVE_INFINITY;
    }
    const since = Math.min(...table.quorums.map((quorum) => this.majorityConfirmedSince(quorum)));
    return since + this.settings.leaseMilliseconds;
  }

  /** Witnesses of this table whose promise has expired or was never given. */
  public silentWitnesses(table: HomeTable, monotonic: number): readonly string[] {
    const { leaseMilliseconds } = this.settings;
    return witnessesOf(table).filter((witness) => {
      const since = this.confirmedRequestSentAt.get(witness) ?? Number.NEGATIVE_INFINITY;
      return table.version !== this.version || since + leaseMilliseconds <= monotonic;
    });
  }

  /** The latest time from which on a majority of the quorum has confirmed a request. */
  private majorityConfirmedSince(quorum: readonly string[]): number {
    const times = quorum
      .map((witness) => this.confirmedRequestSentAt.get(witness) ?? Number.NEGATIVE_INFINITY)
      .sort((a, b) => b - a);
    return times[majorityOf(quorum) - 1] ?? Number.NEGATIVE_INFINITY;
  }

  private reset(version: number): void {
    this.version = version;
    this.roundSentAt.clear();
    this.confirmedRequestSentAt.clear();
    this.acceptedBy.clear();
    this.nextRoundAt = Number.NEGATIVE_INFINITY;
  }

  private pruneOldRounds(monotonic: number): void {
    for (const [sequence, sentAt] of this.roundSentAt) {
      if (sentAt + this.settings.leaseMilliseconds > monotonic) return;
      this.roundSentAt.delete(sequence);
    }
  }
}
