interface Loan {
  readonly share: number;
  readonly expiresAt: number;
}

/** The shares that a broker has been lent, by lender. */
export class ShareLoans {
  private readonly loans = new Map<string, Loan>();
  private sum = 0;
  private earliestExpiry = Infinity;

  /** Sum of the shares that are lent at present. */
  public get total(): number {
    return this.sum;
  }

  public get lenderCount(): number {
    return this.loans.size;
  }

  public get nextExpiry(): number {
    return this.earliestExpiry;
  }

  public shareOf(lender: string): number {
    return this.loans.get(lender)?.share ?? 0;
  }

  /** Sum of the shares whose loans last until the time. */
  public totalUntil(time: number): number {
    let total = 0;
    for (const { expiresAt, share } of this.loans.values()) if (expiresAt >= time) total += share;
    return total;
  }

  /** Adds a loan or replaces that of the same lender. */
  public set(lender: string, share: number, expiresAt: number): void {
    const isRenewal = this.loans.get(lender)?.share === share;
    this.loans.set(lender, { expiresAt, share });
    if (isRenewal) this.earliestExpiry = Math.min(this.earliestExpiry, expiresAt);
    else this.summarize();
  }

  public remove(lender: string): void {
    if (this.loans.delete(lender)) this.summarize();
  }

  /** Removes the loans that end at or before the time. */
  public removeExpired(time: number): void {
    for (const [lender, { expiresAt }] of this.loans)
      if (expiresAt <= time) this.loans.delete(lender);
    this.summarize();
  }

  /** Adds up all loans again, since differences would accumulate rounding errors. */
  private summarize(): void {
    this.sum = 0;
    this.earliestExpiry = Infinity;
    for (const { expiresAt, share } of this.loans.values()) {
      this.sum += share;
      this.earliestExpiry = Math.min(this.earliestExpiry, expiresAt);
    }
  }
}
