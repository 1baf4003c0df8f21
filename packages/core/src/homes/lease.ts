import type { HomeConfirmFrame, HomePromiseFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { HomeSettings } from './home-settings.js';
import { majorityOf, witnessesOf } from './table-view.js';

/** A request of one round. */
export interface ConfirmRequest {
  readonly witness: string;
  readonly frame: HomeConfirmFrame;
}

/** A home's side of the lease of one service: asks the witnesses and counts their promises. */
export class Lease {
  private nextRoundAt = Number.NEGATIVE_INFINITY;
  private version = 0;
  private readonly sentAt = new Map<number, number>();
  /** When the newest confirmed request was sent, for each witness that accepted this version. */
  private readonly confirmedSince = new Map<string, number>();
  /** Witnesses that accepted this version in their last answer; they need not be sent the table again. */
  private readonly acceptedBy = new Set<string>();

  public constructor(
    private readonly settings: HomeSettings,
    private sequence: number,
  ) {}

  /** Starts a round when one is due; returns the request for each witness. */
  public round(table: HomeTable, isWaiting: boolean, monotonic: number): readonly ConfirmRequest[] {
    if (table.version !== this.version) this.restart(table.version);
    if (monotonic < this.nextRoundAt) return [];
    const { confirmIntervalMilliseconds, confirmRetryMilliseconds } = this.settings;
    this.nextRoundAt =
      monotonic + (isWaiting ? confirmRetryMilliseconds : confirmIntervalMilliseconds);
    this.sequence += 1;
    this.sentAt.set(this.sequence, monotonic);
    this.forgetOldRounds(monotonic);
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

  /** When the next round is due; at once for a table that no round was made for. */
  public nextRoundFor(table: HomeTable): number {
    return table.version === this.version ? this.nextRoundAt : Number.NEGATIVE_INFINITY;
  }

  /** Counts a promise from the time at which it was asked for, which is before it was given. */
  public promised(witness: string, frame: HomePromiseFrame): void {
    const sentAt = this.sentAt.get(frame.sequence);
    if (!frame.accepted) this.acceptedBy.delete(witness);
    else if (frame.version === this.version) this.acceptedBy.add(witness);
    if (sentAt === undefined || !frame.accepted || frame.version !== this.version) return;
    const known = this.confirmedSince.get(witness) ?? Number.NEGATIVE_INFINITY;
    this.confirmedSince.set(witness, Math.max(known, sentAt));
  }

  /** Monotonic time until which a majority of every quorum has confirmed this table. */
  public validUntil(table: HomeTable): number {
    if (table.version !== this.version || table.quorums.length === 0) {
      return Number.NEGATIVE_INFINITY;
    }
    const since = Math.min(...table.quorums.map((quorum) => this.majoritySince(quorum)));
    return since + this.settings.leaseMilliseconds;
  }

  /** Witnesses of this table whose promise has ended or was never given. */
  public silentWitnesses(table: HomeTable, monotonic: number): readonly string[] {
    const { leaseMilliseconds } = this.settings;
    return witnessesOf(table).filter((witness) => {
      const since = this.confirmedSince.get(witness) ?? Number.NEGATIVE_INFINITY;
      return table.version !== this.version || since + leaseMilliseconds <= monotonic;
    });
  }

  private majoritySince(quorum: readonly string[]): number {
    const times = quorum
      .map((witness) => this.confirmedSince.get(witness) ?? Number.NEGATIVE_INFINITY)
      .sort((a, b) => b - a);
    return times[majorityOf(quorum) - 1] ?? Number.NEGATIVE_INFINITY;
  }

  private restart(version: number): void {
    this.version = version;
    this.sentAt.clear();
    this.confirmedSince.clear();
    this.acceptedBy.clear();
    this.nextRoundAt = Number.NEGATIVE_INFINITY;
  }

  private forgetOldRounds(monotonic: number): void {
    for (const [sequence, sentAt] of this.sentAt) {
      if (sentAt + this.settings.leaseMilliseconds > monotonic) return;
      this.sentAt.delete(sequence);
    }
  }
}
