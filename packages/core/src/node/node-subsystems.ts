import type { CallEngineContract } from '../calls/call-contract.js';
import type { ConfigurationManagerContract } from '../configuration/configuration-contract.js';
import type { GateContract } from '../gate/gate-contract.js';
import type { HomeManagerContract } from '../homes/home-contract.js';
import type { MembershipContract } from '../membership/membership-contract.js';
import type { NodeIdentity } from '../messages/identity.js';
import type { PollScheduler } from '../probing/poll-scheduler.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { RandomSource } from '../shared/random-source.js';

/** The subsystems that make a node's decisions. */
export interface NodeSubsystems {
  readonly gate: GateContract;
  readonly polls: PollScheduler;
  readonly router: RouterContract;
  readonly engine: CallEngineContract;
  readonly homes: HomeManagerContract;
  readonly membership: MembershipContract;
  readonly configuration: ConfigurationManagerContract;
}

export interface NodeCoreOptions extends NodeSubsystems {
  readonly identity: NodeIdentity;
  readonly random: RandomSource;
}
