import { once } from 'node:events';
import { createServer } from 'node:net';

/**
 * Below the range from which outgoing connections take their ports: a port from that range that was
 * free a moment ago may be taken by a connection before the program listens on it.
 */
const lowestPort = 10_000;
const highestPort = 30_000;

const handedOut = new Set<number>();

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const listening = once(server, 'listening').then(
    () => true,
    () => false,
  );
  server.listen(port, '127.0.0.1');
  if (!(await listening)) {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

/** Returns loopback ports that were free a moment ago, each only once in this process. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));
    if (!handedOut.has(port) && (await isFree(port))) {
      handedOut.add(port);
      ports.push(port);
    }
  }
  return ports;
}
