import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationKeeper } from '../../src/configuration/configuration-keeper.js';
import { emptyConfiguration, SeededRandomSource, serviceDefaults } from '../../src/index.js';
import type { ProposalResult } from '../../src/index.js';

const maximumProposals = 16;

/** Proposes changes while the store answers nothing, and returns what their operators are told. */
function proposeDuringOutage(isResent: boolean, count = 1): readonly ProposalResult[] {
  const keeper = new ConfigurationKeeper({
    proposalTimeoutMilliseconds: 1_000,
    random: new SeededRandomSource(1),
    server: 'regina-1',
  });
  const services = { issuance: { ...serviceDefaults, name: 'issuance' } };
  const configuration = { ...emptyConfiguration, services };
  const commands = Array.from({ length: count }, (_, index) => {
    const changeId = `change-${index}`;
    const proposal = { baseRevision: 0, changeId, configuration, isResent, proposalId: index };
    return keeper.propose(
      { ...proposal, kind: 'propose-configuration' },
      { monotonic: 0, wall: 0 },
    );
  }).flat();
  return [...commands, ...keeper.tick({ monotonic: 1_000, wall: 1_000 })].flatMap((command) =>
    command.kind === 'proposal-concluded' ? [command.result] : [],
  );
}

// An operator who is told that nothing was changed would make the change once more as a new one.
test('a change that is sent again during an outage stays unresolved', () => {
  assert.equal(proposeDuringOutage(true), [{ kind: 'unresolved' }]);
});

// A node that is too busy to look the change up knows no more than one without the store.
test('a change that is sent again to a node with too many changes stays unresolved', () => {
  const results = proposeDuringOutage(true, maximumProposals + 1);
  assert.is(results.length, maximumProposals + 1);
  assert.ok(results.every(({ kind }) => kind === 'unresolved'));
});

// Without an earlier run nothing can have been written, and the operator is to know it.
test('a new change during an outage is rejected', () => {
  assert.equal(
    proposeDuringOutage(false, maximumProposals + 1).map(({ kind }) => kind),
    Array.from({ length: maximumProposals + 1 }, () => 'rejected'),
  );
});

test.run();
