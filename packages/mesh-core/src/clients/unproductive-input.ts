/** How many bytes the framing of a chunked body may take for each byte of the body. */
const framingBytesPerBodyByte = 16;
/** The start line and the separators of a head may come on top of the limit on its size. */
const headAllowanceBytes = 4_096;

/**
 * Counts the bytes of a connection that have brought neither the end of a head nor a part of a body. All input that is parsed
 * without result is bounded by this, whatever it consists of: heads without end, empty lines, chunk extensions, trailers.
 */
export class UnproductiveInput {
  private byteCount = 0;

  public add(byteCount: number): void {
    this.byteCount += byteCount;
  }

  /** A whole head has been read. */
  public onHead(): void {
    this.byteCount = 0;
  }

  public onBodyBytes(byteCount: number): void {
    this.byteCount = Math.max(0, this.byteCount - framingBytesPerBodyByte * byteCount);
  }

  public exceeds(headerBytes: number): boolean {
    return this.byteCount > headerBytes + headAllowanceBytes;
  }
}
