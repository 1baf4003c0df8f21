import type { Socket } from 'node:net';

/** The caller closes its side within a round trip once it has read that the connection ends. */
const lingerMilliseconds = 1_000;

/**
 * Lets a connection that ends by itself read and drop what its caller had sent meanwhile. To close it with
 * bytes unread would reset it, and the caller could lose the last answer (RFC 9112, section 9.6).
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
