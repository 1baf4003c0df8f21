/** A response whose body is being read into memory. */
export interface BufferedResponse {
  readonly bufferedBytes: number;
  /** Discards the buffered part and closes the connection. */
  abort(): void;
}

/**
 * Limits the total memory of all responses that are being read, since any of them may be endless. While the limit
 * is exceeded, the largest response is aborted: ordinary responses are small, so they are the last to fail.
 */
export class ResponseMemoryLimiter {
  private readonly responses = new Set<BufferedResponse>();

  public constructor(private readonly limitBytes: number) {}

  public track(response: BufferedResponse): void {
    this.responses.add(response);
  }

  /** Stops counting a response that was read completely or aborted. */
  public untrack(response: BufferedResponse): void {
    this.responses.delete(response);
  }

  /** To be called whenever a response has buffered more bytes. */
  public enforceLimit(): void {
    while (this.totalBufferedBytes() > this.limitBytes) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.responses.delete(largest);
      largest.abort();
    }
  }

  private totalBufferedBytes(): number {
    let bytes = 0;
    for (const { bufferedBytes } of this.responses) bytes += bufferedBytes;
    return bytes;
  }

  private findLargest(): BufferedResponse | undefined {
    let largest: BufferedResponse | undefined;
    for (const response of this.responses) {
      if (response.bufferedBytes > (largest?.bufferedBytes ?? -1)) largest = response;
    }
    return largest;
  }
}
