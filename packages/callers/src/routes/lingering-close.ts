import type { Socket } from 'node:net';

/** Enough for a caller to close its side, which takes one round trip after it has read the last response. */
const lingerMilliseconds = 1_000;

/**
 * Makes a connection that the server closes read and discard what the caller has sent in the meantime.
 * Closing it with unread bytes would reset it, and the caller could lose the last response (RFC 9112,
 * section 9.6).
 */
export function lingerOnClose(socket: Socket): void {
  socket.destroySoon = () => {
    const timer = setTimeout(() => {
      socket.destroy();
    }, lingerMilliseconds);
    timer.unref();
    socket.once('close', () => {
      clearTimeout(timer);
    });
    socket.once('end', () => {
      socket.destroy();
    });
    socket.end();
    socket.resume();
  };
}
