import { Command, CommanderError, Option } from 'commander';

import {
  flagOf,
  settingDefinitions,
  settingNames,
  variableOf,
  type SettingName,
} from './setting-definitions.js';
import {
  checkSettings,
  mergeTexts,
  printSettings,
  type Settings,
  type SettingTexts,
} from './settings.js';

/** Exit code for faulty settings; 1 is left to faults while running. */
export const faultySettingsExitCode = 2;

/** What the command line and the environment ask for. */
export type StartRequest =
  | {
      readonly kind: 'start';
      readonly settings: Settings;
      /** Variables with the daemon's prefix that no setting has; probably misspelt. */
      readonly unknownVariables: readonly string[];
    }
  | {
      readonly kind: 'exit';
      readonly code: number;
      readonly output: string;
      readonly errors: string;
    };

interface ParsedFlags {
  readonly texts: SettingTexts;
  readonly checkSettings: boolean;
  readonly printSettings: boolean;
  readonly faults: readonly string[];
}

function createCommand(write: (text: string) => void): Command {
  const command = new Command('peridotspring')
    .description('Load balancer node that runs beside an upstream.')
    .allowUnknownOption()
    .allowExcessArguments()
    .exitOverride()
    .configureOutput({ writeErr: write, writeOut: write })
    .option('--check-settings', 'check all settings and exit')
    .option('--print-settings', 'print all settings without secrets and exit');
  for (const name of settingNames) {
    const { defaultText, documentation, unit } = settingDefinitions[name];
    const shown = defaultText === undefined ? 'required' : `default: ${defaultText || 'none'}`;
    command.addOption(
      // The value is optional for commander, so that its absence is reported with the other faults.
      new Option(`${flagOf(name)} [${unit}]`, `${documentation} (${shown}; ${variableOf(name)})`),
    );
  }
  return command;
}

/** Names unknown flags. Their values are left out, because a misspelt flag may carry a secret. */
function describeUnknown(argumentList: readonly string[]): string[] {
  const faults: string[] = [];
  let isValue = false;
  for (const text of argumentList) {
    const isFlag = text.startsWith('--');
    if (isFlag) faults.push(`there is no flag ${text.split('=')[0] ?? ''}`);
    else if (!isValue) faults.push('there is an argument that belongs to no flag');
    isValue = isFlag && !text.includes('=');
  }
  return faults;
}

function parseFlags(command: Command, argumentList: readonly string[]): ParsedFlags {
  command.parse([...argumentList], { from: 'user' });
  const options: Readonly<Record<string, unknown>> = command.opts();
  const texts: Partial<Record<SettingName, string>> = {};
  const faults = describeUnknown(command.args);
  for (const name of settingNames) {
    const text = options[name];
    if (typeof text === 'string') texts[name] = text;
    if (text === true) faults.push(`${name} (${flagOf(name)}) needs a value`);
  }
  return {
    checkSettings: options.checkSettings === true,
    faults,
    printSettings: options.printSettings === true,
    texts,
  };
}

function findUnknownVariables(
  environment: Readonly<Record<string, string | undefined>>,
): readonly string[] {
  const known = new Set(settingNames.map(variableOf));
  return Object.keys(environment)
    .filter((variable) => variable.startsWith('PERIDOTSPRING_') && !known.has(variable))
    .sort();
}

function exit(code: number, output: string, errors = ''): StartRequest {
  return { code, errors, kind: 'exit', output };
}

/** Reads flags and environment. `argumentList` is without the program's name. */
export function readStartRequest(
  argumentList: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): StartRequest {
  let written = '';
  const command = createCommand((text) => (written += text));
  let flags: ParsedFlags;
  try {
    flags = parseFlags(command, argumentList);
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    return error.exitCode === 0 ? exit(0, written) : exit(faultySettingsExitCode, '', written);
  }
  const result = checkSettings(mergeTexts(flags.texts, environment));
  const faults = [...flags.faults];
  if (result.kind === 'faulty') faults.push(...result.faults.map(({ message }) => message));
  if (faults.length > 0 || result.kind === 'faulty') {
    return exit(faultySettingsExitCode, '', `${faults.join('\n')}\n`);
  }
  if (flags.printSettings) return exit(0, `${printSettings(result.settings)}\n`);
  const unknownVariables = findUnknownVariables(environment);
  if (flags.checkSettings) {
    const warnings = unknownVariables.map((variable) => `no setting is called ${variable}\n`);
    return exit(0, 'the settings are valid\n', warnings.join(''));
  }
  return { kind: 'start', settings: result.settings, unknownVariables };
}
