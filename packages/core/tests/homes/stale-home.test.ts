import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { HomeTable } from '../../src/index.js';
import { defaultHomeSettings, HomeManager } from '../../src/index.js';
import { MemberDirectory } from '../../src/homes/member-directory.js';
import { epoch, service } from './shared/home-network.js';

function table(version: number, home: string): HomeTable {
  const assignment = { incarnation: 1, server: home, since: version };
  return {
    quorums: [['w']],
    ranges: Array.from({ length: 16 }, () => assignment),
    service,
    version,
  };
}

// Guards against a home that missed a takeover and keeps renewing its old lease at witnesses that
// know
// the newer table: they could never accept that table, and its range would have no home.
test('a witness sends its newest table to a home that requests a lease under an older one', () => {
  const manager = new HomeManager({ incarnation: 1, server: 'w' });
  const now = { monotonic: 10_000, wall: epoch };
  const newest = table(2, 'b');
  manager.onFrame('b', { kind: 'home-table', service, table: newest }, now);
  const confirm = { kind: 'home-confirm', released: false, sequence: 1, service } as const;
  const tablesSentFor = (confirmed: HomeTable): unknown[] =>
    manager
      .onFrame('a', { ...confirm, table: confirmed, version: confirmed.version }, now)
      .filter((command) => command.kind === 'send' && command.frame.kind === 'home-table');
  const frame = { kind: 'home-table', service, table: newest };
  assert.equal(tablesSentFor(table(1, 'a')), [{ frame, kind: 'send', to: 'a' }]);
  assert.equal(tablesSentFor(newest), []);
});

// Guards against a takeover, with unknown outcomes, of ranges that were just handed over to a
// restarted server. It came from a node that knew only of the end of the earlier incarnation.
test('the end of an earlier incarnation of a home does not count as its end', () => {
  const members = new MemberDirectory(defaultHomeSettings);
  const place = { availabilityZone: 'z', peerAddress: 'a', region: 'r', server: 'a', slots: 1 };
  members.update([{ ...place, incarnation: 5, service, state: 'left' }], new Set());
  const isGone = (incarnation: number, at: number): boolean =>
    members.isHomeGone({ incarnation, server: 'a' }, service, at);
  assert.is(isGone(5, 0), true);
  assert.is(isGone(6, 0), false);
  assert.is(isGone(6, defaultHomeSettings.absenceTimeoutMilliseconds), true);
});

test.run();
