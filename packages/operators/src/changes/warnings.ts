import type { Configuration } from '@peridotspring/core';

import type { MemberView } from '../node-view.js';
import { isDrained, liveMembers } from '../questions/drained.js';

/**
 * Warnings about a change that is valid and may still be a mistake: a drain of a name that no member
 * has, and a service that is left without a server.
 */
export function warningsOf(
  before: Configuration,
  after: Configuration,
  members: readonly MemberView[],
): readonly string[] {
  const live = liveMembers(members);
  const servers = new Set(live.map(({ server }) => server));
  const zones = new Set(live.map(({ availabilityZone }) => availabilityZone));
  const newServers = after.drainedServers.filter((name) => !before.drainedServers.includes(name));
  const newZones = after.drainedAvailabilityZones.filter(
    (name) => !before.drainedAvailabilityZones.includes(name),
  );
  const services = [...new Set(live.map(({ service }) => service))].sort();
  const emptied = services.filter((service): service is string => {
    const ofService = live.filter((member) => member.service === service);
    const isServed = (configuration: Configuration): boolean =>
      ofService.some((member) => !isDrained(configuration, member));
    return service !== undefined && isServed(before) && !isServed(after);
  });
  return [
    ...newServers
      .filter((name) => !servers.has(name))
      .map((name) => `no live member is called ${name}`),
    ...newZones
      .filter((name) => !zones.has(name))
      .map((name) => `no live member is in the zone ${name}`),
    ...emptied.map((service) => `service ${service} is left without a server that takes new work`),
  ];
}
