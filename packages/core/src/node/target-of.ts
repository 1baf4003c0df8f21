import { MemberState } from '../messages/member.js';
import type { MemberRecord } from '../messages/member.js';
import type { Target } from '../routing/router-contract.js';

/** Returns the routing target for a member, or undefined if it does not serve requests. */
export function targetOf(member: MemberRecord): Target | undefined {
  const { service, state } = member;
  const isGone = state === MemberState.Dead || state === MemberState.Left;
  if (service === undefined || isGone) {
    return undefined;
  }
  return {
    availabilityZone: member.availabilityZone,
    draining: state === MemberState.Draining,
    incarnation: member.incarnation,
    peerAddress: member.peerAddress,
    region: member.region,
    server: member.server,
    service,
    slots: member.slots,
  };
}
