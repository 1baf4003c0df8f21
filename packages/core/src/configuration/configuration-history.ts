import type { ConfigurationPushFrame } from '../messages/frames.js';
import {
  emptyConfiguration,
  type Configuration,
  type ServiceConfiguration,
} from '../messages/service-configuration.js';
import {
  applyChange,
  changesDrains,
  diffConfigurations,
  type ConfigurationChange,
} from './configuration-change.js';

interface Step {
  readonly from: number;
  readonly to: number;
  /** Turns the later configuration back into the earlier one. */
  readonly undo: ConfigurationChange;
}

/** Steps kept to rebase proposals and to answer nodes that lag; at 0.53 changes/s they cover 2 minutes. */
const maximumSteps = 64;

/** The configuration in force and the steps that led to it. */
export class ConfigurationHistory {
  private configuration: Configuration = emptyConfiguration;
  private readonly steps: Step[] = [];

  public get current(): Configuration {
    return this.configuration;
  }

  /** Puts a higher revision in force; returns false for any other revision. */
  public advance(next: Configuration): boolean {
    const { current } = this;
    if (next.revision <= current.revision) return false;
    const undo = diffConfigurations(next, current);
    this.steps.push({ from: current.revision, to: next.revision, undo });
    if (this.steps.length > maximumSteps) this.steps.shift();
    this.configuration = next;
    return true;
  }

  /** The configuration that was in force here at exactly this revision, if that is still known. */
  public at(revision: number): Configuration | undefined {
    let configuration = this.configuration;
    for (let index = this.steps.length - 1; index >= 0; index -= 1) {
      const step = this.steps[index];
      if (configuration.revision <= revision || step === undefined) break;
      configuration = applyChange(configuration, step.undo, step.from);
    }
    return configuration.revision === revision ? configuration : undefined;
  }

  /** A push for a node that has the given revision: the changed parts, or everything. */
  public pushFor(haveRevision: number): ConfigurationPushFrame {
    const needed = this.steps.filter((step) => step.to > haveRevision);
    const [first] = needed;
    if (first === undefined || first.from > haveRevision || first.from === 0) {
      return this.push(0, this.configuration.services, [], true);
    }
    const services: Record<string, ServiceConfiguration> = {};
    const removed = new Set<string>();
    for (const name of needed.flatMap((step) => [...step.undo.services.keys()])) {
      const service = this.configuration.services[name];
      if (service === undefined) removed.add(name);
      else services[name] = service;
    }
    const drainsChanged = needed.some((step) => changesDrains(step.undo));
    return this.push(first.from, services, [...removed], drainsChanged);
  }

  /**
   * The configuration that a push leads to, or undefined when its base is not reached yet.
   * A push covers every change after its base, so it may be applied to any revision from there on.
   */
  public applyPush(frame: ConfigurationPushFrame): Configuration | undefined {
    const { current } = this;
    if (frame.baseRevision === 0) return frame.configuration;
    if (frame.baseRevision > current.revision) return undefined;
    const services = { ...current.services, ...frame.configuration.services };
    for (const name of frame.removedServices) {
      Reflect.deleteProperty(services, name);
    }
    const drains = frame.drainsChanged ? frame.configuration : current;
    return {
      revision: frame.revision,
      services,
      drainedServers: drains.drainedServers,
      drainedAvailabilityZones: drains.drainedAvailabilityZones,
    };
  }

  private push(
    baseRevision: number,
    services: Configuration['services'],
    removedServices: readonly string[],
    drainsChanged: boolean,
  ): ConfigurationPushFrame {
    const { revision, drainedServers, drainedAvailabilityZones } = this.configuration;
    const drains = drainsChanged
      ? { drainedServers, drainedAvailabilityZones }
      : { drainedServers: [], drainedAvailabilityZones: [] };
    return {
      kind: 'configuration-push',
      baseRevision,
      revision,
      configuration: { revision, services, ...drains },
      removedServices,
      drainsChanged,
    };
  }
}
