import { once } from 'node:events';
import { createServer } from 'node:net';

/**
 * Below the range from which outgoing connections take their ports: a port from that range that was
 * free a moment ago may be taken by a connection before the program listens on it.
 */
const lowestPort = 10_000;
const highestPort = 30_000;
const portsPerProcess = 100;

/** Processes that run at the same time begin at different ports, since a port is in use only some time after it was found. */
let nextPort = lowestPort + ((process.pid * portsPerProcess) % (highestPort - lowestPort));

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

/** Returns loopback ports that were free a moment ago, none twice until all have been handed out. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = port + 1 < highestPort ? port + 1 : lowestPort;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}
