import { readFileSync } from 'node:fs';

const deployFile = new URL('../deploy/system.toml', import.meta.url);

/** Options of the runtime with which the platform starts a node. */
export function deployedOptions() {
  const command = /^run = "node (.*) \S+"$/m.exec(readFileSync(deployFile, 'utf8'));
  if (command === null) throw new Error('deploy/system.toml starts no node');
  return command[1].split(' ');
}
