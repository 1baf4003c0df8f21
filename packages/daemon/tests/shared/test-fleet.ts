import { fileURLToPath } from 'node:url';

import { askOperator, fleetOperatorSecret, ProcessFleet } from '@peridotspring/stand-ins';
import type { Execution, FleetServer, ServerPlan, UpstreamFaults } from '@peridotspring/stand-ins';

import { waitFor } from './wait-for.js';

const zones = ['regina-hall', 'saskatoon-hall', 'brandon-hall'] as const;

/** Declarations without a ramp, so that every slot is usable at once. */
export const declarations = {
  issuance:
    'declare service issuance request status GET "/" idempotent ' +
    'request issue POST "/" non-idempotent hedging off ramp 0ms',
  provenance: 'declare service provenance request lookup * "/" idempotent hedging off ramp 0ms',
} as const;

/** Name of a service that the test fleets run. */
export type TestService = keyof typeof declarations;

/** A server with 10 slots in the zone at an index. */
export function planOf(service: TestService, number: number, zoneIndex = number): ServerPlan {
  return {
    availabilityZone: zones[zoneIndex % zones.length] ?? zones[0],
    connections: 250,
    region: 'prairie-west',
    server: `${service}-${number}`,
    service,
    slots: 10,
  };
}

/** What a test fleet consists of. */
export interface TestFleetOptions {
  readonly plans: readonly ServerPlan[];
  readonly nodeFlags?: readonly string[];
  readonly nodeFlagsOf?: (server: string, peerPort: number) => readonly string[];
}

function program(path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
}

/** Starts platform, nodes and upstreams, declares the services and waits until all are usable. */
export async function startTestFleet(options: TestFleetOptions): Promise<ProcessFleet> {
  const fleet = new ProcessFleet({
    daemonScript: program('daemon/dist/src/main.js'),
    logFolder: process.env.TEST_FLEET_LOGS,
    nodeFlags: options.nodeFlags,
    nodeFlagsOf: options.nodeFlagsOf,
    platformScript: program('stand-ins/dist/src/platform-main.js'),
    upstreamScript: program('stand-ins/dist/src/upstream/main.js'),
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
    throw error;
  }
}

async function declareServices(
  fleet: ProcessFleet,
  services: readonly TestService[],
): Promise<void> {
  const [first] = fleet.servers.values();
  const texts = services.map((service) => declarations[service]);
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

/** Waits until every node sees the given number of members serving. */
export async function waitForMembers(fleet: ProcessFleet, count: number): Promise<void> {
  for (const server of fleet.servers.values()) {
    await waitFor(`${server.plan.server} sees ${count} members`, async () => {
      const serving = await gaugeOf(server, 'members_serving');
      const warming = await gaugeOf(server, 'members_warming');
      return serving + warming >= count;
    });
  }
}

/** Rows of an operator's question at a node. */
export async function rowsOf(
  server: FleetServer,
  question: string,
): Promise<readonly Readonly<Record<string, unknown>>[]> {
  const { body } = await askOperator(server.operatorPort, question);
  return (body as { readonly rows?: readonly Readonly<Record<string, unknown>>[] }).rows ?? [];
}

async function metricLines(server: FleetServer, name: string): Promise<readonly string[]> {
  const response = await fetch(`http://127.0.0.1:${server.operatorPort}/metrics`, {
    headers: { authorization: `Bearer ${fleetOperatorSecret}` },
  });
  const lines = (await response.text()).split('\n');
  return lines.filter((line) => line.startsWith(`${name} `) || line.startsWith(`${name}{`));
}

function valueOf(line: string): number {
  return Number(line.slice(line.lastIndexOf(' ') + 1));
}

/** Value of a gauge of a node, by its name without the prefix. */
export async function gaugeOf(server: FleetServer, name: string): Promise<number> {
  const [line = ' 0'] = await metricLines(server, `peridotspring_${name}`);
  return valueOf(line);
}

/** Sum of a node's counter over all series with the given label values. */
export async function counterOf(
  server: FleetServer,
  name: string,
  labels: Readonly<Record<string, string>> = {},
): Promise<number> {
  const wanted = Object.entries(labels).map(([label, value]) => `${label}="${value}"`);
  const lines = await metricLines(server, `peridotspring_${name}_total`);
  return lines
    .filter((line) => wanted.every((label) => line.includes(label)))
    .reduce((sum, line) => sum + valueOf(line), 0);
}

/** The execution log of a server's upstream. */
export async function executionsOf(server: FleetServer): Promise<readonly Execution[]> {
  const response = await fetch(`http://${server.control}/control/executions`);
  const { executions } = (await response.json()) as { readonly executions: readonly Execution[] };
  return executions;
}

/** The executions of all upstreams. */
export async function allExecutions(fleet: ProcessFleet): Promise<readonly Execution[]> {
  const logs = await Promise.all([...fleet.servers.values()].map(executionsOf));
  return logs.flat();
}

/** Requests that a server's upstream runs now. */
export async function inFlightOf(server: FleetServer): Promise<number> {
  const response = await fetch(`http://${server.control}/control/state`);
  return ((await response.json()) as { readonly inFlight: number }).inFlight;
}

/** Injects faults at a server's upstream, or ends them. */
export async function changeFaults(
  server: FleetServer,
  faults: Partial<UpstreamFaults>,
): Promise<void> {
  await fetch(`http://${server.control}/control/faults`, {
    body: JSON.stringify(faults),
    method: 'POST',
  });
}

/** Injects a fault at the platform stand-in, or ends it. */
export async function injectPlatformFault(fleet: ProcessFleet, fault: object): Promise<void> {
  await fetch(`http://127.0.0.1:${fleet.platformPort}/control/fault`, {
    body: JSON.stringify(fault),
    method: 'POST',
  });
}
