import type { ZoneSurvey } from '@peridotspring/operators';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SurveyNetwork } from '../src/survey-network.js';

const members = 660;
const zones = 22;

interface Survey {
  readonly members: number;
  readonly lacking: readonly string[];
  readonly lackingCount: number;
  readonly missing: readonly string[];
  readonly missingCount: number;
}

/** Asks the first node, in zone 0, whether revision 1 is in force. */
async function survey(network: SurveyNetwork, revision = 1): Promise<Survey> {
  const request = { revision, deadlineMilliseconds: 1_000 };
  const start = network.now;
  const surveys = await network.runUntil(network.node(0).surveyor.survey(request));
  assert.ok(network.now - start <= 1_000, 'the deadline holds');
  const all = [...surveys.values()];
  const sum = (read: (zone: ZoneSurvey) => number): number =>
    all.reduce((total, zone) => total + read(zone), 0);
  return {
    members: sum((zone) => zone.members),
    lacking: all.flatMap(({ lacking }) => lacking.named.map(({ server }) => server)),
    lackingCount: sum(({ lacking }) => lacking.count),
    missing: all.flatMap(({ missing }) => missing.named.map(({ server }) => server)),
    missingCount: sum(({ missing }) => missing.count),
  };
}

test('every member is counted, through one message to each other zone', async () => {
  const network = new SurveyNetwork(members, zones, 1);
  const found = await survey(network);
  assert.equal(found, { members, lacking: [], lackingCount: 0, missing: [], missingCount: 0 });
  const { frames } = network.node(0).counts;
  assert.is(frames, 2 * (zones - 1) + 2 * (members / zones - 1));
});

test('a member that lacks the revision is named, so that it is not taken for everywhere', async () => {
  const network = new SurveyNetwork(members, zones, 2);
  network.node(345).revision = 0;
  const { lacking, lackingCount, missingCount } = await survey(network);
  assert.equal(lacking, ['server-00345']);
  assert.equal([lackingCount, missingCount], [1, 0]);
});

test('frozen members are named, also when they were chosen to ask for their zone', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const network = new SurveyNetwork(110, zones, seed);
    // Two of the five members of one zone: the third try reaches one that runs.
    network.node(5).isFrozen = true;
    network.node(27).isFrozen = true;
    const { missing, missingCount, lackingCount } = await survey(network);
    assert.equal([...missing].sort(), ['server-00005', 'server-00027'], `seed ${seed}`);
    assert.equal([missingCount, lackingCount], [2, 0]);
  }
});

test('all members of a zone that is frozen are counted as not known, and the names are bounded', async () => {
  const network = new SurveyNetwork(22 * 80, zones, 3);
  for (let index = 4; index < 22 * 80; index += zones) network.node(index).isFrozen = true;
  const { missing, missingCount } = await survey(network);
  assert.is(missingCount, 80);
  assert.is(missing.length, 50);
});

test('a member that only the asking node knows is not left out', async () => {
  const network = new SurveyNetwork(members, zones, 4);
  const all = network.node(0).members;
  const hidden = network.node(7);
  hidden.isFrozen = true;
  for (const node of network.nodes.values()) {
    if (node !== network.node(0)) node.members = all.filter((member) => member !== hidden.member);
  }
  const { missing, missingCount } = await survey(network);
  assert.equal([missing, missingCount], [['server-00007'], 1]);
});

test('a member that only its own zone knows is not left out', async () => {
  const network = new SurveyNetwork(members, zones, 5);
  const joined = network.node(7);
  joined.revision = 0;
  const asking = network.node(0);
  asking.members = asking.members.filter((member) => member !== joined.member);
  const found = await survey(network);
  assert.equal(found.lacking, ['server-00007']);
  assert.is(found.members, members);
});

test.run();
