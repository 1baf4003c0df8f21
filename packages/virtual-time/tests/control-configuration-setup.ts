import {
  emptyConfiguration,
  serviceDefaults,
  type Configuration,
  type ProposalResult,
} from '@peridotspring/core';
import * as assert from 'uvu/assert';

import type { ControlNetwork, ControlNetworkOptions } from '../src/control-network.js';
import type { ControlNode } from '../src/control-node.js';
import { startNetwork } from './control-setup.js';

interface Proposal {
  readonly services: readonly string[];
  readonly marker: number;
  readonly baseRevision: number;
  result: ProposalResult | undefined;
}

/** Runs operators against a network and checks what every node ever had in force. */
export class ConfigurationRun {
  public readonly network: ControlNetwork;
  public readonly proposals: Proposal[] = [];
  private readonly contents = new Map<number, string>();
  private readonly configurations = new Map<number, Configuration>();
  private readonly revisions = new Map<ControlNode, number>();

  public constructor(nodes: number, zones: number, options: ControlNetworkOptions) {
    this.network = startNetwork(nodes, zones, {
      ...options,
      inForce: (node, configuration) => {
        this.checkInForce(node, configuration);
      },
      concluded: (_, proposalId, result) => {
        const proposal = this.proposals[proposalId];
        if (proposal !== undefined) proposal.result = result;
      },
    });
  }

  /** Proposes a change of the named services on top of what the node has in force. */
  public propose(server: string, services: readonly string[]): Proposal {
    const node = this.network.nodes.get(server);
    const base = node?.keeper.inForce ?? emptyConfiguration;
    const proposalId = this.proposals.length;
    const marker = proposalId + 1;
    const changed = services.map((name) => {
      return [name, { ...serviceDefaults, name, rampMilliseconds: marker }] as const;
    });
    const proposal = { services, marker, baseRevision: base.revision, result: undefined };
    this.proposals.push(proposal);
    if (node?.isRunning !== true || node.isFrozen) return proposal;
    const message = {
      kind: 'propose-configuration',
      proposalId,
      changeId: `change-${proposalId}`,
      baseRevision: base.revision,
      configuration: { ...base, services: { ...base.services, ...Object.fromEntries(changed) } },
    } as const;
    node.propose(message, this.network.now);
    return proposal;
  }

  /** Checks each answer to an operator against every configuration that was in force anywhere. */
  public assertAnswersAreTrue(): void {
    for (const proposal of this.proposals) {
      const { result, services, marker } = proposal;
      if (result?.kind === 'accepted') {
        const configuration = this.configurations.get(result.revision);
        for (const name of services) {
          assert.is(configuration?.services[name]?.rampMilliseconds, marker, `change ${marker}`);
        }
      } else if (result?.kind === 'conflict' || result?.kind === 'rejected') {
        for (const [revision, configuration] of this.configurations) {
          const held = services.filter(
            (name) => configuration.services[name]?.rampMilliseconds === marker,
          );
          assert.equal(held, [], `change ${marker} was refused and holds at ${revision}`);
        }
      }
    }
  }

  /** Checks that every running node has the highest revision that was ever in force. */
  public assertInForceEverywhere(): void {
    const highest = Math.max(0, ...this.configurations.keys());
    const lagging = this.network.running
      .filter((node) => node.keeper.inForce.revision !== highest)
      .map((node) => `${node.server} has ${node.keeper.inForce.revision}, not ${highest}`);
    assert.equal(lagging.slice(0, 5), []);
  }

  private checkInForce(node: ControlNode, configuration: Configuration): void {
    const { revision, services } = configuration;
    assert.ok(revision > (this.revisions.get(node) ?? 0), `${node.server} went back`);
    this.revisions.set(node, revision);
    const text = JSON.stringify(
      Object.entries(services).sort(([left], [right]) => (left < right ? -1 : 1)),
    );
    const known = this.contents.get(revision) ?? text;
    assert.is(text, known, `two configurations are in force as revision ${revision}`);
    this.contents.set(revision, known);
    this.configurations.set(revision, configuration);
    // A change is whole: all its services carry its marker, unless a later change replaced some.
    for (const { marker, services: changed, result } of this.proposals) {
      if (result?.kind !== 'accepted' || result.revision !== revision) continue;
      assert.ok(changed.every((name) => services[name]?.rampMilliseconds === marker));
    }
  }
}
