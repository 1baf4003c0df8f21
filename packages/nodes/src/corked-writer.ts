import type { Socket } from 'node:net';

/** Writes to a socket so that everything written in the same turn of the event loop takes one system call. */
export class CorkedWriter {
  private isCorked = false;

  public constructor(private readonly socket: Socket) {}

  /** `onFlushed` is called when the kernel has taken the bytes, or the socket was closed before. */
  public write(bytes: Uint8Array, onFlushed?: () => void): void {
    const { socket } = this;
    if (!this.isCorked) {
      this.isCorked = true;
      socket.cork();
      process.nextTick(() => {
        this.isCorked = false;
        socket.uncork();
      });
    }
    socket.write(bytes, onFlushed);
  }
}
