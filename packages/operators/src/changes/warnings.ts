import type { Configuration } from '@peridotspring/core';

import type { MemberView } from '../node-view.js';
import { isDrained, liveMembers } from '../questions/member-status.js';

/**
 * Warns about valid changes that are probably mistakes: draining a server or zone that no live member
 * belongs to, and leaving a service without a server.
 */
export function findWarnings(
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
  const unservedServices = services.filter((service): service is string => {
    const ofService = live.filter((member) => member.service === service);
    const isServed = (configuration: Configuration): boolean =>
      ofService.some((member) => !isDrained(configuration, member));
    return service !== undefined && isServed(before) && !isServed(after);
  });
  return [
    ...newServers
      .filter((name) => !servers.has(name))
      .map((name) => `no live member is named ${name}`),
    ...newZones
      .filter((name) => !zones.has(name))
      .map((name) => `no live member is in the zone ${name}`),
    ...unservedServices.map(
      (service) => `service ${service} is left without a server that takes new work`,
    ),
  ];
}
