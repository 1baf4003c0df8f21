import { Command, InvalidArgumentError } from 'commander';

import { PlatformStandIn } from './platform-stand-in.js';

function parsePort(text: string): number {
  const port = Number(text);
  if (!Number.isInteger(port) || port < 0 || port > 65_535) {
    throw new InvalidArgumentError('expected a port from 0 to 65535');
  }
  return port;
}

const program = new Command('platform-stand-in')
  .description('In-memory key-value service that speaks the etcd v3 JSON gateway protocol')
  .option('--port <port>', 'loopback port to listen on; 0 takes a free one', parsePort, 2379)
  .parse();

const standIn = new PlatformStandIn();
const url = await standIn.listen(program.opts<{ port: number }>().port);
console.log(`event=platform-stand-in-listening url=${url}`);

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => void standIn.close());
}
