import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationManager } from '../../src/configuration/configuration-manager.js';
import { emptyConfiguration, SeededRandomSource, serviceDefaults } from '../../src/index.js';
import type { ProposalResult } from '../../src/index.js';

const maximumProposals = 16;

/** Proposes changes while the store does not answer, and returns the results that operators get. */
function proposeDuringOutage(isResent: boolean, count = 1): readonly ProposalResult[] {
  const manager = new ConfigurationManager({
    proposalTimeoutMilliseconds: 1_000,
    random: new SeededRandomSource(1),
    server: 'regina-1',
  });
  const services = { issuance: { ...serviceDefaults, name: 'issuance' } };
  const configuration = { ...emptyConfiguration, services };
  const commands = Array.from({ length: count }, (_, index) => {
    const changeId = `change-${index}`;
    const proposal = { baseRevision: 0, changeId, configuration, isResent, proposalId: index };
    return manager.propose(
      { ...proposal, kind: 'propose-configuration' },
      { monotonic: 0, wall: 0 },
    );
  }).flat();
  return [...commands, ...manager.tick({ monotonic: 1_000, wall: 1_000 })].flatMap((command) =>
    command.kind === 'proposal-concluded' ? [command.result] : [],
  );
}

// If the result were "rejected", the operator would propose the change again as a new one, although the
// first proposal may have been committed.
test('a change that is sent again during an outage stays unresolved', () => {
  assert.equal(proposeDuringOutage(true), [{ kind: 'unresolved' }]);
});

// A node that has no capacity to look up the change can't know whether it was committed.
test('a change that is sent again to a node with too many changes stays unresolved', () => {
  const results = proposeDuringOutage(true, maximumProposals + 1);
  assert.is(results.length, maximumProposals + 1);
  assert.ok(results.every(({ kind }) => kind === 'unresolved'));
});

// Without an earlier run nothing can have been written, and the result has to say so.
test('a new change during an outage is rejected', () => {
  assert.equal(
    proposeDuringOutage(false, maximumProposals + 1).map(({ kind }) => kind),
    Array.from({ length: maximumProposals + 1 }, () => 'rejected'),
  );
});

test.run();
