/** Mean of the latest value of each key, updated in constant time. */
export class RunningMean {
  private readonly values = new Map<object, number>();
  private sum = 0;

  /** The mean; 0 if there are no values. */
  public get mean(): number {
    return this.values.size === 0 ? 0 : this.sum / this.values.size;
  }

  public set(key: object, value: number): void {
    this.sum += value - (this.values.get(key) ?? 0);
    this.values.set(key, value);
  }

  public remove(key: object): void {
    this.sum -= this.values.get(key) ?? 0;
    this.values.delete(key);
  }
}
