import { loanMilliseconds } from './allotment-timing.js';

/**
 * To which broker this node has lent its share of a group of tenants. The share is lent to one broker at a time: another
 * one gets it once the loan has expired or been returned.
 */
export class ShareLender {
  private borrower: string | undefined;
  private lentUntil: number;

  /** `ownedFrom` is the time from which this process owns a share. */
  public constructor(ownedFrom: number) {
    this.lentUntil = ownedFrom;
  }

  /** The broker that has the share and is not the chosen one, from which it may be asked back. */
  public strayBorrower(chosen: string, now: number): string | undefined {
    return this.borrower !== chosen && now < this.lentUntil ? this.borrower : undefined;
  }

  /** Whether the share can be lent to the broker. */
  public mayLendTo(broker: string, now: number): boolean {
    return this.borrower === broker || now >= this.lentUntil;
  }

  /** The share is lent in a message to the broker that is being sent. */
  public onLent(broker: string, now: number): void {
    this.borrower = broker;
    this.lentUntil = Math.max(this.lentUntil, now + loanMilliseconds);
  }

  public onReturned(broker: string): void {
    if (this.borrower !== broker) return;
    this.borrower = undefined;
    this.lentUntil = -Infinity;
  }
}
