import { Fleet } from './fleet.js';
import type { FleetOptions, FleetServer } from './fleet.js';
import { proposeChange } from './fleet-changes.js';
import { checkAllAnswered } from './fleet-checks.js';
import { FleetFaults } from './fleet-faults.js';
import type { FleetFault } from './fleet-faults.js';
import { FleetLoad, usualLoad } from './fleet-load.js';
import type { FleetLoadOptions } from './fleet-load.js';
import type { RequestEntry } from './fleet-log.js';

const zones = ['regina-hall', 'saskatoon-hall', 'brandon-hall'];
const usualServers = 7;
const usualIssuers = 4;
/** Time for the nodes to find each other, and for the homes to spread. */
const startMilliseconds = 10_000;
const faultEndMilliseconds = 10_000;
/** Stated time after the last fault within which the fleet serves everything again. */
export const recoveryMilliseconds = 20_000;
const answerMilliseconds = 4_500;
const keysPerProbe = 4;

/** Servers of the services `issuance` and `retirement`, spread over three availability zones. */
export function fleetServers(count = usualServers, issuers = usualIssuers): FleetServer[] {
  return Array.from({ length: count }, (_, index) => ({
    availabilityZone: zones[index % zones.length] ?? '',
    server: `server-${index}`,
    service: index < issuers ? 'issuance' : 'retirement',
    serviceMilliseconds: 20,
    slots: 10,
  }));
}

/** Settings of a run that have usual values. */
export interface FleetRunOptions extends Partial<FleetOptions> {
  readonly seed: number;
  readonly load?: Partial<FleetLoadOptions> | undefined;
}

/** A fleet under load that has found its homes, and the usual course of a test. */
export class FleetRun {
  public readonly fleet: Fleet;
  public readonly faults: FleetFaults;
  private readonly load: FleetLoad;

  public constructor({ load, ...options }: FleetRunOptions) {
    this.fleet = new Fleet({ servers: fleetServers(), tickMilliseconds: 25, ...options });
    this.load = new FleetLoad(this.fleet, { ...usualLoad, seed: options.seed, ...load });
    this.faults = new FleetFaults(this.fleet, this.load);
    const [node] = this.fleet.running;
    this.fleet.run(1_500);
    if (node !== undefined) proposeChange(this.fleet, node, this.services);
    this.fleet.run(startMilliseconds);
    this.load.start();
    this.fleet.run(500);
  }

  /** Injects the faults one after the other and lets all of them end under load. */
  public injectAll(faults: readonly FleetFault[]): void {
    for (const fault of faults) {
      this.faults.inject(fault);
      this.fleet.run(fault.waitMilliseconds);
    }
    this.fleet.run(faultEndMilliseconds);
  }

  /** Ends the load and lets every request and resend end. */
  public settle(): void {
    this.load.stop();
    this.fleet.run(recoveryMilliseconds);
  }

  /** Sends requests of every kind through every node and returns what was not answered. */
  public unserved(): string[] {
    const { callers, running, servers, wall } = this.fleet;
    const missing = servers.length - running.length;
    const probes: RequestEntry[] = [];
    for (const node of running) {
      for (const service of this.services) {
        const keys = Array.from({ length: keysPerProbe }, () => callers.createKey(wall));
        for (const key of [undefined, ...keys]) {
          const request = callers.send(node, { key, service });
          if (request !== undefined) probes.push(request);
        }
      }
      this.fleet.run(20);
    }
    this.fleet.run(answerMilliseconds);
    return [...(missing > 0 ? [`${missing} nodes do not run`] : []), ...checkAllAnswered(probes)];
  }

  private get services(): string[] {
    return [...new Set(this.fleet.servers.map(({ service }) => service))];
  }
}
