// Writes days for the users' bench, one for each kind of impairment: a zone is evacuated while the impairment lasts, and
// later another zone returns cold during the same impairment.
//
//   node scripts/write-restricted-days.mjs FOLDER
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** The impairments by name, with the fields that differ from the bench's defaults. */
const impairments = {
  'answer-lost': { how: 'reset', kind: 'answer_lost', share: 0.5, x: 0.05 },
  burst: { kind: 'burst', x: 1.5 },
  'clock-step': { how: 'back', kind: 'clock_step', share: 0.5 },
  'config-storm': { gap_s: 0.33, kind: 'config_storm' },
  'core-cut': { kind: 'core_cut' },
  garble: { how: 'extra late', kind: 'garble', share: 0.5, x: 0.03 },
  'give-up': { kind: 'give_up', share: 0.2 },
  'herd-kill': { kind: 'herd_kill', share: 0.6 },
  hup: { gap_s: 1, kind: 'hup', share: 0.6 },
  'idle-race': { kind: 'idle_race', share: 0.5, x: 320 },
  lossy: { kind: 'lossy', x: 0.03 },
  'node-cut': { kind: 'node_cut', share: 0.17 },
  'node-cut-servers': { how: 'servers reborn', kind: 'node_cut', share: 0.17 },
  'node-freeze': { kind: 'node_freeze', share: 0.2 },
  'node-kill': { kind: 'node_kill', share: 0.3 },
  'node-power': { how: 'power', kind: 'node_kill', share: 0.2 },
  'node-slow': { kind: 'node_slow', share: 0.2 },
  'platform-compact': { how: 'drain', kind: 'platform_compact', x: 3 },
  'platform-down': { how: 'silent', kind: 'platform_down' },
  'platform-lost': { how: 'late', kind: 'platform_lost', x: 0.35 },
  'platform-nodes': { how: 'nodes many revoke', kind: 'platform_down', share: 0.4 },
  'platform-slow': { kind: 'platform_slow', x: 60 },
  release: { gap_s: 1, kind: 'release', share: 0.45, x: 4 },
  'replace-with-reuse': { kind: 'replace_with_reuse', share: 0.15 },
  'reset-connections': { kind: 'reset_conns', share: 0.3, x: 0.5 },
  'retry-abuse': { kind: 'retry_abuse', share: 0.3, x: 3 },
  'roll-term': { gap_s: 1, kind: 'roll_term', share: 0.45, x: 4 },
  'scale-in': { kind: 'scale_in', share: 0.15 },
  'scale-out': { gap_s: 1, kind: 'scale_out', share: 0.3 },
  shift: { kind: 'shift', share: 0.5 },
  'srv-crash': { kind: 'srv_crash', share: 0.15 },
  'srv-cut': { kind: 'srv_cut', share: 0.2 },
  'srv-flap': { gap_s: 1.4, kind: 'srv_flap', share: 0.1 },
  'srv-grey': { how: 'hang', kind: 'srv_grey', share: 0.14, x: 0.4 },
  'srv-lying-health': { how: 'hang', kind: 'srv_lying_health', share: 0.1 },
  'srv-slow': { kind: 'srv_slow', share: 0.16, x: 5 },
  'zone-cut': { kind: 'zone_cut' },
  'zone-loss': { kind: 'zone_loss' },
};
/** Kinds of planned work; the others are faults. */
const plannedKinds = new Set(['config_storm', 'release', 'roll_term', 'scale_in', 'scale_out']);

const evacuation = { at: 1.5, for_s: 9, kind: 'evacuate' };
const coldReturn = { at: 16, for_s: 2, kind: 'cold_return' };
/** Each impairment begins shortly before the restriction and lasts beyond its beginning. */
const impairmentTimes = [
  { at: 1, for_s: 7 },
  { at: 15.5, for_s: 5 },
];
const firstSeed = 501;

function formatEntry(entry) {
  const fields = Object.entries(entry).map(([name, value]) => `${name} = ${JSON.stringify(value)}`);
  return `  { ${fields.join(', ')} },`;
}

function formatDay(name, impairment, seed) {
  const entries = impairmentTimes.map((times) => ({ ...times, ...impairment }));
  const isPlanned = plannedKinds.has(impairment.kind);
  const plan = [evacuation, ...(isPlanned ? entries : [])];
  const faults = [coldReturn, ...(isPlanned ? [] : entries)];
  return [
    `name = "restricted-${name}"`,
    'slot = "trouble"',
    `seed = ${seed}`,
    // With --small the bench divides the number of machines by this.
    'small = { shrink = 3.5 }',
    'one = 0.5',
    'zero = 0.1',
    'plan = [',
    ...plan.map(formatEntry),
    ']',
    'faults = [',
    ...faults.map(formatEntry),
    ']',
    '',
  ].join('\n');
}

const [folder] = process.argv.slice(2);
if (folder === undefined) {
  console.error('usage: node scripts/write-restricted-days.mjs FOLDER');
  process.exit(2);
}
mkdirSync(folder, { recursive: true });
for (const [index, [name, impairment]] of Object.entries(impairments).entries()) {
  const day = formatDay(name, impairment, firstSeed + index);
  writeFileSync(join(folder, `restricted-${name}.toml`), day);
}
