import { Command, CommanderError, Option } from 'commander';

import {
  flagOf,
  settingDefinitions,
  settingNames,
  environmentVariableOf,
  type SettingName,
} from './setting-definitions.js';
import {
  checkSettings,
  mergeSettingTexts,
  formatSettings,
  type Settings,
  type SettingTexts,
} from './settings.js';

/** Exit code for invalid settings; 1 is reserved for failures at run time. */
export const invalidSettingsExitCode = 2;

/** What the process should do according to the command line and the environment. */
export type StartRequest =
  | {
      readonly kind: 'start';
      readonly settings: Settings;
      /**
       * Environment variables with the prefix of the daemon that belong to no setting, probably
       * misspelled.
       */
      readonly unknownVariables: readonly string[];
    }
  | {
      readonly kind: 'exit';
      readonly code: number;
      readonly output: string;
      readonly errorOutput: string;
    };

interface ParsedFlags {
  readonly texts: SettingTexts;
  readonly checkSettings: boolean;
  readonly printSettings: boolean;
  readonly errors: readonly string[];
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
    const defaultDescription =
      defaultText === undefined ? 'required' : `default: ${defaultText || 'none'}`;
    command.addOption(
      // The value is optional for commander, so that a missing value is reported together with all
      // other errors.
      new Option(
        `${flagOf(name)} [${unit}]`,
        `${documentation} (${defaultDescription}; ${environmentVariableOf(name)})`,
      ),
    );
  }
  return command;
}

/**
 * Reports unknown flags by name. Values are omitted, because a misspelled flag may carry a secret.
 */
function describeUnknownArguments(argumentList: readonly string[]): string[] {
  const errors: string[] = [];
  let isFlagValue = false;
  for (const text of argumentList) {
    const isFlag = text.startsWith('--');
    if (isFlag) errors.push(`unknown flag ${text.split('=')[0] ?? ''}`);
    else if (!isFlagValue) errors.push('unexpected argument that is not the value of a flag');
    isFlagValue = isFlag && !text.includes('=');
  }
  return errors;
}

function parseFlags(command: Command, argumentList: readonly string[]): ParsedFlags {
  command.parse([...argumentList], { from: 'user' });
  const options: Readonly<Record<string, unknown>> = command.opts();
  const texts: Partial<Record<SettingName, string>> = {};
  const errors = describeUnknownArguments(command.args);
  for (const name of settingNames) {
    const text = options[name];
    if (typeof text === 'string') texts[name] = text;
    if (text === true) errors.push(`${name} (${flagOf(name)}) needs a value`);
  }
  return {
    checkSettings: options.checkSettings === true,
    errors,
    printSettings: options.printSettings === true,
    texts,
  };
}

function findUnknownVariables(
  environment: Readonly<Record<string, string | undefined>>,
): readonly string[] {
  const knownVariables = new Set(settingNames.map(environmentVariableOf));
  return Object.keys(environment)
    .filter((variable) => variable.startsWith('PERIDOTSPRING_') && !knownVariables.has(variable))
    .sort();
}

function createExitRequest(code: number, output: string, errorOutput = ''): StartRequest {
  return { code, errorOutput, kind: 'exit', output };
}

/** Parses flags and environment. `argumentList` doesn't include the name of the program. */
export function readStartRequest(
  argumentList: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): StartRequest {
  let commandOutput = '';
  const command = createCommand((text) => (commandOutput += text));
  let flags: ParsedFlags;
  try {
    flags = parseFlags(command, argumentList);
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    return error.exitCode === 0
      ? createExitRequest(0, commandOutput)
      : createExitRequest(invalidSettingsExitCode, '', commandOutput);
  }
  const result = checkSettings(mergeSettingTexts(flags.texts, environment));
  const errors = [...flags.errors];
  if (result.kind === 'faulty') errors.push(...result.errors.map(({ message }) => message));
  if (errors.length > 0 || result.kind === 'faulty') {
    return createExitRequest(invalidSettingsExitCode, '', `${errors.join('\n')}\n`);
  }
  if (flags.printSettings) return createExitRequest(0, `${formatSettings(result.settings)}\n`);
  const unknownVariables = findUnknownVariables(environment);
  if (flags.checkSettings) {
    const warnings = unknownVariables.map(
      (variable) => `unknown environment variable ${variable}\n`,
    );
    return createExitRequest(0, 'the settings are valid\n', warnings.join(''));
  }
  return { kind: 'start', settings: result.settings, unknownVariables };
}
