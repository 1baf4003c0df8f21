import type { Configuration, ServiceConfiguration } from '@peridotspring/core';

/** Finds a declared service. Plain indexing would also find inherited members such as `constructor`. */
export function findService(
  configuration: Configuration,
  name: string,
): ServiceConfiguration | undefined {
  return Object.hasOwn(configuration.services, name) ? configuration.services[name] : undefined;
}
