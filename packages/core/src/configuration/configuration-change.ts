import type { Configuration, ServiceConfiguration } from '../messages/service-configuration.js';

/** The difference between two configurations. */
export interface ConfigurationChange {
  /** New value of each changed service; undefined where the service is removed. */
  readonly services: ReadonlyMap<string, ServiceConfiguration | undefined>;
  /** Whether each changed server is drained. */
  readonly drainedServers: ReadonlyMap<string, boolean>;
  readonly drainedAvailabilityZones: ReadonlyMap<string, boolean>;
}

/** Returns the change from one configuration to another. */
export function diffConfigurations(from: Configuration, to: Configuration): ConfigurationChange {
  const services = new Map<string, ServiceConfiguration | undefined>();
  for (const name of Object.keys(from.services)) {
    if (!(name in to.services)) services.set(name, undefined);
  }
  for (const [name, service] of Object.entries(to.services)) {
    if (!isDeepEqual(from.services[name], service)) services.set(name, service);
  }
  return {
    services,
    drainedServers: diffNameLists(from.drainedServers, to.drainedServers),
    drainedAvailabilityZones: diffNameLists(
      from.drainedAvailabilityZones,
      to.drainedAvailabilityZones,
    ),
  };
}

/** Returns the configuration with the change applied, under a new revision. */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
  revision: number,
): Configuration {
  const services = { ...configuration.services };
  for (const [name, service] of change.services) {
    if (service === undefined) Reflect.deleteProperty(services, name);
    else services[name] = service;
  }
  return {
    revision,
    services,
    drainedServers: applyNameChanges(configuration.drainedServers, change.drainedServers),
    drainedAvailabilityZones: applyNameChanges(
      configuration.drainedAvailabilityZones,
      change.drainedAvailabilityZones,
    ),
  };
}

/** Whether the change changes nothing. */
export function isEmptyChange(change: ConfigurationChange): boolean {
  return change.services.size === 0 && !changesDrains(change);
}

/** Whether the change drains or restores a server or an availability zone. */
export function changesDrains(change: ConfigurationChange): boolean {
  return change.drainedServers.size > 0 || change.drainedAvailabilityZones.size > 0;
}

/** Whether two changes of the same base change the same service, server or availability zone. */
export function changesOverlap(left: ConfigurationChange, right: ConfigurationChange): boolean {
  return (
    sharesKey(left.services, right.services) ||
    sharesKey(left.drainedServers, right.drainedServers) ||
    sharesKey(left.drainedAvailabilityZones, right.drainedAvailabilityZones)
  );
}

/** Names the changed services and the drained or restored servers and zones, for an operator. */
export function describeChangedParts(change: ConfigurationChange): readonly string[] {
  return [
    ...change.services.keys(),
    ...[...change.drainedServers.keys()].map((name) => `server ${name}`),
    ...[...change.drainedAvailabilityZones.keys()].map((name) => `zone ${name}`),
  ].sort();
}

function sharesKey(
  left: ReadonlyMap<string, unknown>,
  right: ReadonlyMap<string, unknown>,
): boolean {
  for (const key of left.keys()) {
    if (right.has(key)) return true;
  }
  return false;
}

function diffNameLists(
  from: readonly string[],
  to: readonly string[],
): ReadonlyMap<string, boolean> {
  const changed = new Map<string, boolean>();
  if (from === to) return changed;
  const before = new Set(from);
  const after = new Set(to);
  for (const name of before) {
    if (!after.has(name)) changed.set(name, false);
  }
  for (const name of after) {
    if (!before.has(name)) changed.set(name, true);
  }
  return changed;
}

function applyNameChanges(
  names: readonly string[],
  changed: ReadonlyMap<string, boolean>,
): readonly string[] {
  if (changed.size === 0) return names;
  const result = new Set(names);
  for (const [name, isDrained] of changed) {
    if (isDrained) result.add(name);
    else result.delete(name);
  }
  return [...result].sort();
}

/** Compares JSON values; the order of an object's fields does not matter. */
function isDeepEqual(left: unknown, right: unknown): boolean {
  if (left === right) return true;
  if (typeof left !== 'object' || typeof right !== 'object') return false;
  if (left === null || right === null || Array.isArray(left) !== Array.isArray(right)) return false;
  const leftFields = left as Readonly<Record<string, unknown>>;
  const rightFields = right as Readonly<Record<string, unknown>>;
  const keys = Object.keys(leftFields);
  if (keys.length !== Object.keys(rightFields).length) return false;
  return keys.every((key) => key in rightFields && isDeepEqual(leftFields[key], rightFields[key]));
}
