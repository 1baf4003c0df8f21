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

interface RevisionStep {
  readonly from: number;
  readonly to: number;
  /** Change from the later configuration back to the earlier one. */
  readonly undo: ConfigurationChange;
}

/**
 * Steps retained to rebase proposals and to send differences to nodes that lag behind; at 0.53 changes/s
 * they cover 2 minutes.
 */
const maximumSteps = 64;

/** The configuration in force and the most recent steps that led to it. */
export class ConfigurationHistory {
  private configuration: Configuration = emptyConfiguration;
  private readonly steps: RevisionStep[] = [];

  public get current(): Configuration {
    return this.configuration;
  }

  /** Puts a higher revision in force; ignores any other revision and returns false. */
  public advance(next: Configuration): boolean {
    const { current } = this;
    if (next.revision <= current.revision) return false;
    const undo = diffConfigurations(next, current);
    this.steps.push({ from: current.revision, to: next.revision, undo });
    if (this.steps.length > maximumSteps) this.steps.shift();
    this.configuration = next;
    return true;
  }

  /**
   * The configuration that was in force on this node at exactly this revision, if it is still
   * known.
   */
  public configurationAt(revision: number): Configuration | undefined {
    let configuration = this.configuration;
    for (let index = this.steps.length - 1; index >= 0; index -= 1) {
      const step = this.steps[index];
      if (configuration.revision <= revision || step === undefined) break;
      configuration = applyChange(configuration, step.undo, step.from);
    }
    return configuration.revision === revision ? configuration : undefined;
  }

  /** Creates a push for a node that has the given revision: the changed parts, or everything. */
  public createPush(knownRevision: number): ConfigurationPushFrame {
    const needed = this.steps.filter((step) => step.to > knownRevision);
    const [first] = needed;
    if (first === undefined || first.from > knownRevision || first.from === 0) {
      return this.buildPushFrame(0, this.configuration.services, [], true);
    }
    const services: Record<string, ServiceConfiguration> = {};
    const removed = new Set<string>();
    for (const name of needed.flatMap((step) => [...step.undo.services.keys()])) {
      const service = this.configuration.services[name];
      if (service === undefined) removed.add(name);
      else services[name] = service;
    }
    const drainsChanged = needed.some((step) => changesDrains(step.undo));
    return this.buildPushFrame(first.from, services, [...removed], drainsChanged);
  }

  /**
   * Returns the configuration that results from a push, or undefined if this node hasn't reached the
   * base of the push. A push covers every change after its base, so it can be applied to any revision
   * from the base on.
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

  private buildPushFrame(
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
