import { connect } from 'node:net';

/** Error code of a connection to an address at which no process listens. */
const connectionRefusedCode = 'ECONNREFUSED';
/** The server runs on the same machine, so that a connection takes well under a millisecond. */
const timeoutMilliseconds = 100;

/** Opens and closes a connection. Resolves to whether it was refused; false if that is not known in time. */
export async function isConnectionRefused(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (isRefused: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isRefused);
    };
    const timer = setTimeout(settle, timeoutMilliseconds, false);
    socket.once('connect', () => {
      settle(false);
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      settle(code === connectionRefusedCode);
    });
  });
}
