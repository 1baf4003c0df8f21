import { CallEngine } from '../calls/call-engine.js';
import { ConfigurationKeeper } from '../configuration/configuration-keeper.js';
import { Gate } from '../gate/gate.js';
import { UnavailableHomes } from '../homes/unavailable-homes.js';
import { Membership } from '../membership/membership.js';
import type { Seed } from '../membership/seed-layout.js';
import type { NodeIdentity } from '../messages/identity.js';
import { PollScheduler } from '../probing/poll-scheduler.js';
import { Router } from '../routing/router.js';
import { SeededRandomSource } from '../shared/random-source.js';
import { NodeCore } from './node-core.js';

export interface CreateNodeCoreOptions {
  readonly identity: NodeIdentity;
  /** Seed of every random choice of the node. */
  readonly seed: number;
  /** Members to contact at the start besides those in the store. */
  readonly seeds?: readonly Seed[] | undefined;
}

/** Creates a node's core with its standard parts. */
export function createNodeCore({ identity, seed, seeds }: CreateNodeCoreOptions): NodeCore {
  const random = new SeededRandomSource(seed);
  const { availabilityZone, region } = identity;
  const router = new Router({ availabilityZone, region }, random);
  return new NodeCore({
    configuration: new ConfigurationKeeper({ random }),
    engine: new CallEngine(router),
    gate: new Gate(),
    homes: new UnavailableHomes(),
    identity,
    membership: new Membership({ identity, random, seeds }),
    polls: new PollScheduler(),
    random,
    router,
  });
}
