import { CallEngine } from '../calls/call-engine.js';
import { ConfigurationManager } from '../configuration/configuration-manager.js';
import { Gate } from '../gate/gate.js';
import { HomeManager } from '../homes/home-manager.js';
import { defaultHomeSettings } from '../homes/home-settings.js';
import type { HomeSettings } from '../homes/home-settings.js';
import { Membership } from '../membership/membership.js';
import type { Seed } from '../membership/seed-encoding.js';
import type { NodeIdentity } from '../messages/identity.js';
import { PollScheduler } from '../probing/poll-scheduler.js';
import { Router } from '../routing/router.js';
import { SeededRandomSource } from '../shared/random-source.js';
import { firstCallIdentifier } from './call-identifiers.js';
import { NodeCore } from './node-core.js';

export interface CreateNodeCoreOptions {
  readonly identity: NodeIdentity;
  /** Seed of the node's random source. */
  readonly seed: number;
  /** Overrides of the default home settings. */
  readonly homes?: Partial<HomeSettings> | undefined;
  /** Members to contact at startup in addition to those listed in the store. */
  readonly seeds?: readonly Seed[] | undefined;
}

/** Creates the core of a node with its standard subsystems. */
export function createNodeCore({ homes, identity, seed, seeds }: CreateNodeCoreOptions): NodeCore {
  const random = new SeededRandomSource(seed);
  const { availabilityZone, incarnation, region, server } = identity;
  const router = new Router({ availabilityZone, region }, random);
  return new NodeCore({
    configuration: new ConfigurationManager({ random, server }),
    engine: new CallEngine(router, firstCallIdentifier(incarnation)),
    gate: new Gate(),
    homes: new HomeManager({ incarnation, server }, { ...defaultHomeSettings, ...homes }),
    identity,
    membership: new Membership({ identity, random, seeds }),
    polls: new PollScheduler(),
    random,
    router,
  });
}
