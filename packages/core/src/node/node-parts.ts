import type { CallEngineContract } from '../calls/call-contract.js';
import type { ConfigurationKeeperContract } from '../configuration/configuration-contract.js';
import type { GateContract } from '../gate/gate-contract.js';
import type { HomeKeeperContract } from '../homes/home-contract.js';
import type { MembershipContract } from '../membership/membership-contract.js';
import type { NodeIdentity } from '../messages/identity.js';
import type { PollScheduler } from '../probing/poll-scheduler.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { RandomSource } from '../shared/random-source.js';

/** The parts that a node's decisions are made of. */
export interface NodeParts {
  readonly gate: GateContract;
  readonly polls: PollScheduler;
  readonly router: RouterContract;
  readonly engine: CallEngineContract;
  readonly homes: HomeKeeperContract;
  readonly membership: MembershipContract;
  readonly configuration: ConfigurationKeeperContract;
}

export interface NodeCoreOptions extends NodeParts {
  readonly identity: NodeIdentity;
  readonly random: RandomSource;
}
