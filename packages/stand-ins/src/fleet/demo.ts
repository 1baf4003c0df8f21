#!/usr/bin/env node
import { mkdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { chMittelland, prairieWest, serversOf } from './deployments.js';
import type { Deployment } from './deployments.js';
import { askOperator } from './operator-client.js';
import { fleetOperatorSecret, ProcessFleet } from './process-fleet.js';
import type { FleetServer } from './process-fleet.js';

const readyLimitMilliseconds = 60_000;
const logFolder = 'results/demo-logs';

function scriptPath(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}

/** Declares the services as one change; nodes that are not connected yet answer later. */
async function declareServices(deployments: readonly Deployment[], port: number): Promise<void> {
  const declarations = deployments.flatMap(({ services }) =>
    services.map(({ declaration }) => declaration),
  );
  const text = `begin; ${declarations.join('; ')}; commit wait up to 30s`;
  const startedAt = performance.now();
  for (;;) {
    const { body, status } = await askOperator(port, text);
    if (status === 200) {
      return;
    }
    if (performance.now() - startedAt > readyLimitMilliseconds) {
      throw new Error(`the services could not be declared: ${JSON.stringify(body)}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 250));
  }
}

async function waitUntilAnswered(url: string): Promise<void> {
  const startedAt = performance.now();
  for (;;) {
    const status = await fetch(url).then(
      async (response) => {
        await response.arrayBuffer();
        return response.status;
      },
      () => 0,
    );
    if (status === 200) {
      return;
    }
    if (performance.now() - startedAt > readyLimitMilliseconds) {
      throw new Error(`${url} gave no answer in time, last status ${status}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

function printHelp(servers: readonly FleetServer[], platformPort: number): void {
  const entry = servers.find(({ plan }) => plan.service === 'parzellen');
  const issuer = servers.find(({ plan }) => plan.service === 'provenance');
  const lines = [
    `${servers.length} nodes and upstreams run. Logs are in ${logFolder}. Platform stand-in: 127.0.0.1:${platformPort}.`,
    '',
    'A lookup:',
    `  curl -i http://127.0.0.1:${issuer?.callerPort ?? 0}/provenance/certificates/1`,
    'An issuance (repeat it with the same key: it runs once):',
    `  curl -i -X POST -H 'Idempotency-Key: demo-1' -d '{"mwh":5}' http://127.0.0.1:${entry?.callerPort ?? 0}/issuance/certificates`,
    'A question:',
    `  export PERIDOTCTL_ADDRESS=127.0.0.1:${issuer?.operatorPort ?? 0} PERIDOTCTL_SECRET=${fleetOperatorSecret}`,
    `  npx peridotctl query 'show load by service'`,
    'An outage of the platform, and its end:',
    `  curl -d '{"kind":"down","active":true}' http://127.0.0.1:${platformPort}/control/fault`,
    `  curl -d '{"kind":"down","active":false}' http://127.0.0.1:${platformPort}/control/fault`,
    '',
    'Ctrl-C stops everything.',
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

const deployments = [prairieWest, chMittelland];
mkdirSync(logFolder, { recursive: true });
const fleet = new ProcessFleet({
  daemonScript: scriptPath('../../../../daemon/dist/src/main.js'),
  logFolder,
  platformScript: scriptPath('../platform-main.js'),
  upstreamFlags: ['--service-time', 'exponential:5'],
  upstreamScript: scriptPath('../upstream/main.js'),
});
const shutdown = { requested: false };
const stop = (): void => {
  shutdown.requested = true;
  void fleet.close().then(() => process.exit(0));
};
process.on('SIGINT', stop);
process.on('SIGTERM', stop);
try {
  await fleet.startPlatform();
  await fleet.startServers(deployments.flatMap((deployment) => serversOf(deployment)));
  const servers = [...fleet.servers.values()];
  const [first] = servers;
  if (first === undefined) {
    throw new Error('no server started');
  }
  await declareServices(deployments, first.operatorPort);
  for (const { callerPort } of servers) {
    await waitUntilAnswered(`http://127.0.0.1:${callerPort}/provenance/ready`);
  }
  printHelp(servers, fleet.platformPort);
} catch (error) {
  // A start that a signal broke off is no failure.
  if (!shutdown.requested) {
    process.stderr.write(`${String(error)}\n`);
    await fleet.close();
    process.exitCode = 1;
  }
}
