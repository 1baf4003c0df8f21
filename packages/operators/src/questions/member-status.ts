import type { Configuration } from '@peridotspring/core';

import type { MemberView } from '../node-view.js';

/** Whether an operator has drained a member or its availability zone. */
export function isDrained(configuration: Configuration, member: MemberView): boolean {
  return (
    configuration.drainedServers.includes(member.server) ||
    configuration.drainedAvailabilityZones.includes(member.availabilityZone)
  );
}

/** The members that are neither dead nor have left the cluster. */
export function liveMembers(members: readonly MemberView[]): readonly MemberView[] {
  return members.filter(({ state }) => state !== 'dead' && state !== 'left');
}
