import { nextInteger, SeededRandomSource } from '@peridotspring/core';
import type { RandomSource } from '@peridotspring/core';
import type { Deployment, DeploymentService } from './deployment.js';
import { endMilliseconds, turnMilliseconds } from './scenario.js';
import type { Scenario } from './scenario.js';

/** A request of the trace. Every policy sees the same ones. */
export interface TraceRequest {
  readonly time: number;
  readonly service: DeploymentService;
  readonly tenant: string;
  /** Index of the node that the client connects to. */
  readonly entry: number;
  /** Index of the key's home among the service's servers. */
  readonly home: number;
  /** Part of the work that belongs to the request, relative to the mean. */
  readonly work: number;
  readonly seed: number;
}

/** Tenant whose calls are not counted in the results. */
export const noisyTenant = 'noisy';

const otherTenants = 4;
/** Work varies with the request and again with each attempt, both log-normally with this deviation. */
const workDeviation = 0.4;
/** Share of attempts that meet a pause of the server, and its length in mean service times. */
const pauseShare = 0.01;
const pauseWork = 5;
/** Mean work of an attempt, pauses included. */
const meanWork = 1 + pauseShare * pauseWork;

/** All requests of a run in order of time. */
export function createTrace(
  deployment: Deployment,
  scenario: Scenario,
  seed: number,
): readonly TraceRequest[] {
  const requests: TraceRequest[] = [];
  deployment.services.forEach((service, index) => {
    const random = new SeededRandomSource(seed * 1_009 + index);
    addRequests(requests, deployment, service, scenario, random, false);
    if (scenario.noisyLoad > 0) {
      addRequests(requests, deployment, service, scenario, random, true);
    }
  });
  return requests.sort((first, second) => first.time - second.time);
}

/** Work of one attempt relative to the mean; hedges meet other conditions than first attempts. */
export function attemptWork(request: TraceRequest, attempt: number): number {
  const random = new SeededRandomSource(request.seed + attempt * 7_919);
  const pause = random.next() < pauseShare ? pauseWork : 0;
  return request.work * logNormal(random) + pause;
}

function addRequests(
  requests: TraceRequest[],
  deployment: Deployment,
  service: DeploymentService,
  scenario: Scenario,
  random: RandomSource,
  isNoisy: boolean,
): void {
  const nodes = deployment.services.reduce((sum, each) => sum + each.servers, 0);
  const capacity =
    (service.servers * deployment.slotsPerServer) / (service.meanMilliseconds * meanWork);
  let time = isNoisy ? turnMilliseconds : 0;
  for (;;) {
    const load = time < turnMilliseconds ? scenario.loadBefore : scenario.loadAfter;
    const rate = capacity * (isNoisy ? scenario.noisyLoad : load);
    time += -Math.log(1 - random.next()) / rate;
    if (time >= endMilliseconds) return;
    requests.push({
      entry: nextInteger(random, nodes),
      home: nextInteger(random, service.servers),
      seed: nextInteger(random, 2 ** 31),
      service,
      tenant: isNoisy ? noisyTenant : `tenant-${nextInteger(random, otherTenants)}`,
      time,
      work: logNormal(random),
    });
  }
}

/** A log-normal number with mean 1. */
function logNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.exp(workDeviation * normal - workDeviation ** 2 / 2);
}
