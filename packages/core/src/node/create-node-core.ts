import { CallEngine } from '../calls/call-engine.js';
import { ConfigurationKeeper } from '../configuration/configuration-keeper.js';
import { Gate } from '../gate/gate.js';
import { HomeKeeper } from '../homes/home-keeper.js';
import { defaultHomeSettings } from '../homes/home-settings.js';
import type { HomeSettings } from '../homes/home-settings.js';
import { Membership } from '../membership/membership.js';
import type { Seed } from '../membership/seed-layout.js';
import type { NodeIdentity } from '../messages/identity.js';
import { PollScheduler } from '../probing/poll-scheduler.js';
import { Router } from '../routing/router.js';
import { SeededRandomSource } from '../shared/random-source.js';
import { firstCallIdentifier } from './call-identifiers.js';
import { NodeCore } from './node-core.js';

export interface CreateNodeCoreOptions {
  readonly identity: NodeIdentity;
  /** Seed of every random choice of the node. */
  readonly seed: number;
  /** Settings of the homes that differ from the defaults. */
  readonly homes?: Partial<HomeSettings> | undefined;
  /** Members to contact at the start besides those in the store. */
  readonly seeds?: readonly Seed[] | undefined;
}

/** Creates a node's core with its standard parts. */
export function createNodeCore({ homes, identity, seed, seeds }: CreateNodeCoreOptions): NodeCore {
  const random = new SeededRandomSource(seed);
  const { availabilityZone, incarnation, region, server } = identity;
  const router = new Router({ availabilityZone, region }, random);
  return new NodeCore({
    configuration: new ConfigurationKeeper({ random, server }),
    engine: new CallEngine(router, firstCallIdentifier(incarnation)),
    gate: new Gate(),
    homes: new HomeKeeper({ incarnation, server }, { ...defaultHomeSettings, ...homes }),
    identity,
    membership: new Membership({ identity, random, seeds }),
    polls: new PollScheduler(),
    random,
    router,
  });
}
