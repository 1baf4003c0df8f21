import {
  flagOf,
  settingDefinitions,
  settingNames,
  environmentVariableOf,
  type SettingName,
} from './setting-definitions.js';

const introduction = `# Settings

<!-- Generated from packages/daemon/src/settings by scripts/write-settings-page.mjs; a test compares them. -->

Every setting of \`peridotspring\` has a flag and an environment variable; the flag wins. All settings are checked before the node
starts, and all faults are reported at once. \`--check-settings\` checks and exits with 0 or 2, \`--print-settings\` prints the
settings without secrets.

Secrets belong in the environment: flags can be read by every user of the machine.
`;

function describeDefault(name: SettingName): string {
  const { defaultText } = settingDefinitions[name];
  if (defaultText === undefined) return 'required';
  return defaultText === '' ? 'none' : `\`${defaultText}\``;
}

function renderSection(name: SettingName): string {
  const { documentation, range, unit } = settingDefinitions[name];
  return [
    `## ${name}`,
    '',
    documentation,
    '',
    `- Flag: \`${flagOf(name)}\``,
    `- Environment: \`${environmentVariableOf(name)}\``,
    `- Unit: ${unit}`,
    `- Range: ${range}`,
    `- Default: ${describeDefault(name)}`,
    '',
  ].join('\n');
}

/** Generates the page docs/settings.md from the definitions. */
export function settingsPage(): string {
  return [introduction, ...settingNames.map(renderSection)].join('\n');
}
