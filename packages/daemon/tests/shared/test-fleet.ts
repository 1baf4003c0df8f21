import { fileURLToPath } from 'node:url';

import { askOperator, fleetOperatorSecret, ProcessFleet } from '@peridotspring/stand-ins';
import type { Execution, FleetServer, ServerPlan, UpstreamFaults } from '@peridotspring/stand-ins';

import { waitFor } from './wait-for.js';

const zones = ['regina-hall', 'saskatoon-hall', 'brandon-hall'] as const;

/** Service declarations without a ramp, so that every slot is usable immediately. */
export const serviceDeclarations = {
  issuance:
    'declare service issuance request status GET "/" idempotent ' +
    'request issue POST "/" non-idempotent hedging off ramp 0ms',
  provenance: 'declare service provenance request lookup * "/" idempotent hedging off ramp 0ms',
} as const;

/** Name of a service that the test clusters run. */
export type TestService = keyof typeof serviceDeclarations;

/** Plans a server with 10 slots in the availability zone with the given index. */
export function createPlan(service: TestService, number: number, zoneIndex = number): ServerPlan {
  return {
    availabilityZone: zones[zoneIndex % zones.length] ?? zones[0],
    connections: 250,
    region: 'prairie-west',
    server: `${service}-${number}`,
    service,
    slots: 10,
  };
}

/** Options of a cluster of processes for tests. */
export interface TestFleetOptions {
  readonly plans: readonly ServerPlan[];
  readonly nodeFlags?: readonly string[];
  readonly nodeFlagsOf?: (server: string, peerPort: number) => readonly string[];
}

function programPath(path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
}

/**
 * Starts the platform, nodes and upstreams, declares the services and waits until all are usable.
 */
export async function startTestFleet(options: TestFleetOptions): Promise<ProcessFleet> {
  const fleet = new ProcessFleet({
    daemonScript: programPath('daemon/dist/src/main.js'),
    logFolder: process.env.TEST_FLEET_LOGS,
    nodeFlags: options.nodeFlags,
    nodeFlagsOf: options.nodeFlagsOf,
    platformScript: programPath('stand-ins/dist/src/platform-main.js'),
    upstreamScript: programPath('stand-ins/dist/src/upstream/main.js'),
  });
  try {
    await fleet.startPlatform();
    await fleet.startServers(options.plans);
    await waitForMembers(fleet, options.plans.length);
    const services = [...new Set(options.plans.map(({ service }) => service as TestService))];
    await declareServices(fleet, services);
    return fleet;
  } catch (error) {
    await fleet.close();
    // The hook of a test that closes its fleet fails too, and uvu shows that error alone.
    console.error(error);
    throw error;
  }
}

async function declareServices(
  fleet: ProcessFleet,
  services: readonly TestService[],
): Promise<void> {
  const [first] = fleet.servers.values();
  const texts = services.map((service) => serviceDeclarations[service]);
  await waitFor('the services are declared and in force everywhere', async () => {
    const text = `begin; ${texts.join('; ')}; commit wait up to 20s`;
    const reply = await askOperator(first?.operatorPort ?? 0, text);
    const { inForce, status } = reply.body as {
      readonly inForce?: { readonly everywhere: boolean };
      readonly status?: string;
    };
    return status === 'unchanged' || inForce?.everywhere === true;
  });
}

/** Waits until every node sees at least the given number of members serving or warming up. */
export async function waitForMembers(fleet: ProcessFleet, count: number): Promise<void> {
  for (const server of fleet.servers.values()) {
    await waitFor(`${server.plan.server} sees ${count} members`, async () => {
      const serving = await readGauge(server, 'members_serving');
      const warming = await readGauge(server, 'members_warming');
      return serving + warming >= count;
    });
  }
}

/** Asks a node an operator's question and returns the rows of the answer. */
export async function queryRows(
  server: FleetServer,
  question: string,
): Promise<readonly Readonly<Record<string, unknown>>[]> {
  const { body } = await askOperator(server.operatorPort, question);
  return (body as { readonly rows?: readonly Readonly<Record<string, unknown>>[] }).rows ?? [];
}

async function readMetricLines(server: FleetServer, name: string): Promise<readonly string[]> {
  const response = await fetch(`http://127.0.0.1:${server.operatorPort}/metrics`, {
    headers: { authorization: `Bearer ${fleetOperatorSecret}` },
  });
  const lines = (await response.text()).split('\n');
  return lines.filter((line) => line.startsWith(`${name} `) || line.startsWith(`${name}{`));
}

function parseMetricValue(line: string): number {
  return Number(line.slice(line.lastIndexOf(' ') + 1));
}

/** Reads a gauge of a node. The name is given without its prefix. */
export async function readGauge(server: FleetServer, name: string): Promise<number> {
  const [line = ' 0'] = await readMetricLines(server, `peridotspring_${name}`);
  return parseMetricValue(line);
}

/** Sums a counter of a node over all series that have the given labels. */
export async function readCounter(
  server: FleetServer,
  name: string,
  labels: Readonly<Record<string, string>> = {},
): Promise<number> {
  const expectedLabels = Object.entries(labels).map(([label, value]) => `${label}="${value}"`);
  const lines = await readMetricLines(server, `peridotspring_${name}_total`);
  return lines
    .filter((line) => expectedLabels.every((label) => line.includes(label)))
    .reduce((sum, line) => sum + parseMetricValue(line), 0);
}

/** Reads the execution log of the upstream of a server. */
export async function readExecutions(server: FleetServer): Promise<readonly Execution[]> {
  const response = await fetch(`http://${server.control}/control/executions`);
  const { executions } = (await response.json()) as { readonly executions: readonly Execution[] };
  return executions;
}

/** Reads the execution logs of all upstreams. */
export async function readAllExecutions(fleet: ProcessFleet): Promise<readonly Execution[]> {
  const logs = await Promise.all([...fleet.servers.values()].map(readExecutions));
  return logs.flat();
}

/** Reads the number of requests that the upstream of a server is running. */
export async function readInFlight(server: FleetServer): Promise<number> {
  const response = await fetch(`http://${server.control}/control/state`);
  return ((await response.json()) as { readonly inFlight: number }).inFlight;
}

/** Injects or removes faults at the upstream of a server. */
export async function setUpstreamFaults(
  server: FleetServer,
  faults: Partial<UpstreamFaults>,
): Promise<void> {
  await fetch(`http://${server.control}/control/faults`, {
    body: JSON.stringify(faults),
    method: 'POST',
  });
}

/** Injects a fault at the simulated platform, or removes it. */
export async function setPlatformFault(fleet: ProcessFleet, fault: object): Promise<void> {
  await fetch(`http://127.0.0.1:${fleet.platformPort}/control/fault`, {
    body: JSON.stringify(fault),
    method: 'POST',
  });
}
