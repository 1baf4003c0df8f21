import { revisionQuestion } from '@peridotspring/operators';

import { formatNumber, formatTable } from './control-statistics.js';
import { SurveyNetwork } from './survey-network.js';

const zones = 22;
const sizes = [2_750, 6_600, 27_000];
/** The deadline of one round of `wait`, and one that never ends the question before its answers. */
const roundMilliseconds = 1_000;
const unboundedMilliseconds = 600_000;

interface SurveyCosts {
  readonly milliseconds: number;
  readonly frames: number;
  readonly bytes: number;
  readonly askedNodeFrames: number;
  readonly askedNodeBytes: number;
  readonly busiestOtherFrames: number;
  readonly notAnswered: number;
}

async function measure(
  members: number,
  ask: (network: SurveyNetwork) => Promise<number>,
): Promise<SurveyCosts> {
  const network = new SurveyNetwork(members, zones, 1);
  const notAnswered = await network.runUntil(ask(network));
  const all = [...network.nodes.values()].map(({ counts }) => counts);
  const [asked = { frames: 0, bytes: 0 }, ...others] = all;
  const sum = (read: (counts: typeof asked) => number): number =>
    all.reduce((total, counts) => total + read(counts), 0);
  return {
    milliseconds: network.now,
    // Each frame was counted at both of its ends.
    frames: sum(({ frames }) => frames) / 2,
    bytes: sum(({ bytes }) => bytes) / 2,
    askedNodeFrames: asked.frames,
    askedNodeBytes: asked.bytes,
    busiestOtherFrames: others.reduce((most, { frames }) => Math.max(most, frames), 0),
    notAnswered,
  };
}

async function askEachNode(network: SurveyNetwork, deadline: number): Promise<number> {
  const options = { deadlineMilliseconds: deadline };
  const { missing } = await network.node(0).gatherer.gather(revisionQuestion, options);
  return missing.length;
}

async function askThroughZones(network: SurveyNetwork): Promise<number> {
  const request = { revision: 1, deadlineMilliseconds: roundMilliseconds };
  const surveys = await network.node(0).surveyor.survey(request);
  return [...surveys.values()].reduce((sum, { missing }) => sum + missing.count, 0);
}

const ways: readonly (readonly [string, (network: SurveyNetwork) => Promise<number>])[] = [
  ['each node, no deadline', (network) => askEachNode(network, unboundedMilliseconds)],
  ['each node, 1 s', (network) => askEachNode(network, roundMilliseconds)],
  ['through zones, 1 s', askThroughZones],
];

const rows: (readonly (string | number)[])[] = [];
for (const members of sizes) {
  for (const [name, ask] of ways) {
    const costs = await measure(members, ask);
    rows.push([members, name, ...Object.values(costs).map(formatNumber)]);
  }
}
const header = ['members', 'asked', 'ms', 'messages', 'bytes', 'messages at the asked node'];
const rest = ['bytes at the asked node', 'messages at the busiest other node', 'not answered'];
console.log(formatTable([...header, ...rest], rows));
