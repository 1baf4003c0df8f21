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
import { NodeCore } from './node-core.js';

export interface CreateNodeCoreOptions {
  readonly identity: NodeIdentity;
  /** Seed of every random choice of the node. */
  readonly seed: number;
  /** Members to contact at the start besides those in the store. */
  readonly seeds?: readonly Seed[] | undefined;
  /** Durations and bounds of the homes; they must be equal on all nodes. */
  readonly homeSettings?: HomeSettings | undefined;
}

/** Creates a node's core with its standard parts. */
export function createNodeCore({
  homeSettings = defaultHomeSettings,
  identity,
  seed,
  seeds,
}: CreateNodeCoreOptions): NodeCore {
  const random = new SeededRandomSource(seed);
  const { availabilityZone, region } = identity;
  const router = new Router({ availabilityZone, region }, random);
  return new NodeCore({
    configuration: new ConfigurationKeeper({ random }),
    engine: new CallEngine(router),
    gate: new Gate(),
    homes: new HomeKeeper(identity, homeSettings),
    identity,
    membership: new Membership({ identity, random, seeds }),
    polls: new PollScheduler(),
    random,
    router,
  });
}
