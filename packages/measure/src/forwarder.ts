#!/usr/bin/env node
import { Agent, createServer, request } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * A baseline for measurements: forwards each request to one upstream with Node's HTTP modules and
 * decides nothing, so its added time is what one more HTTP hop costs on the machine.
 */
function forward(
  agent: Agent,
  upstream: URL,
  incoming: IncomingMessage,
  response: ServerResponse,
): void {
  const { headers, method, url: path } = incoming;
  const { hostname: host, port } = upstream;
  const outgoing = request({ agent, headers, host, method, path, port }, (answer) => {
    const chunks: Buffer[] = [];
    answer.on('data', (chunk: Buffer) => chunks.push(chunk));
    answer.on('error', () => response.destroy());
    answer.on('end', () => {
      const body = Buffer.concat(chunks);
      const sent = { ...answer.headers, 'content-length': String(body.length) };
      response.writeHead(answer.statusCode ?? 502, sent).end(body);
    });
  });
  outgoing.on('error', () => response.destroy());
  incoming.pipe(outgoing);
}

const [upstreamAddress = ''] = process.argv.slice(2);
const upstream = new URL(`http://${upstreamAddress}`);
const agent = new Agent({ keepAlive: true, scheduling: 'lifo' });
const server = createServer({ noDelay: true }, (incoming, response) => {
  forward(agent, upstream, incoming, response);
});
server.listen(0, '127.0.0.1', () => {
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  process.stdout.write(`event=listening address=127.0.0.1:${port}\n`);
});
