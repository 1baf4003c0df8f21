import { once } from 'node:events';
import { createServer } from 'node:net';

/**
 * Systems take the ports of outgoing connections from 32,768 or 49,152 on. A port from there that was
 * free a moment ago may be gone when a server of the fleet wants to listen on it.
 */
const lowestPort = 10_000;
const highestPort = 32_000;

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, '127.0.0.1');
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

/** Returns loopback ports that were free a moment ago; the random start keeps fleets apart. */
export async function findFreePorts(count: number): Promise<number[]> {
  const range = highestPort - lowestPort;
  const start = Math.floor(Math.random() * range);
  const ports: number[] = [];
  for (let step = 0; step < range && ports.length < count; step += 1) {
    const port = lowestPort + ((start + step) % range);
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  if (ports.length < count) {
    throw new Error(`only ${ports.length} of ${count} ports are free`);
  }
  return ports;
}
