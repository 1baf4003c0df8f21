import type { Configuration, ServiceConfiguration } from '@peridotspring/core';

/** Finds a declared service. A plain index would find `constructor`, which every object inherits. */
export function findService(
  configuration: Configuration,
  name: string,
): ServiceConfiguration | undefined {
  return Object.hasOwn(configuration.services, name) ? configuration.services[name] : undefined;
}
