import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { HomeTable } from '../../src/index.js';
import { defaultHomeSettings, HomeKeeper } from '../../src/index.js';
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

// Guards against a home that missed a takeover and renews its old lease at witnesses that know
// better, so that no witness may ever accept the newer table and its range has no home.
test('a witness shows its newest table to a home that asks with an older one', () => {
  const keeper = new HomeKeeper({ incarnation: 1, server: 'w' });
  const now = { monotonic: 10_000, wall: epoch };
  const newest = table(2, 'b');
  keeper.frame('b', { kind: 'home-table', service, table: newest }, now);
  const confirm = { kind: 'home-confirm', released: false, sequence: 1, service } as const;
  const shown = (asked: HomeTable): unknown[] =>
    keeper
      .frame('a', { ...confirm, table: asked, version: asked.version }, now)
      .filter((command) => command.kind === 'send' && command.frame.kind === 'home-table');
  const frame = { kind: 'home-table', service, table: newest };
  assert.equal(shown(table(1, 'a')), [{ frame, kind: 'send', to: 'a' }]);
  assert.equal(shown(newest), []);
});

// Guards against a takeover, with unknown outcomes, of ranges that were just handed over to a
// restarted server by a node that has heard of the end of its earlier life only.
test('the end of an earlier life of a home does not count', () => {
  const members = new MemberDirectory(defaultHomeSettings);
  const place = { availabilityZone: 'z', peerAddress: 'a', region: 'r', server: 'a', slots: 1 };
  members.update([{ ...place, incarnation: 5, service, state: 'left' }], new Set());
  const isGone = (incarnation: number, at: number): boolean =>
    members.isGoneHome({ incarnation, server: 'a' }, service, at);
  assert.is(isGone(5, 0), true);
  assert.is(isGone(6, 0), false);
  assert.is(isGone(6, defaultHomeSettings.absentMilliseconds), true);
});

test.run();
