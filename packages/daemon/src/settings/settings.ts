import {
  flagOf,
  settingDefinitions,
  settingNames,
  environmentVariableOf,
  type ParsedSettings,
  type SettingName,
} from './setting-definitions.js';
import type { HostAndPort } from './setting-types.js';

/** All settings of the daemon, with all advertised addresses filled in. */
export interface Settings extends ParsedSettings {
  readonly callerAdvertisedAddress: HostAndPort;
  readonly operatorAdvertisedAddress: HostAndPort;
  readonly peerAdvertisedAddress: HostAndPort;
  readonly upstreamAdvertisedAddress: HostAndPort;
}

/** An error in one setting. The message never contains the value of a secret. */
export interface SettingError {
  readonly setting: SettingName;
  readonly message: string;
}

/** The valid settings, or all errors in them. */
export type SettingsResult =
  | { readonly kind: 'valid'; readonly settings: Settings }
  | { readonly kind: 'faulty'; readonly errors: readonly SettingError[] };

/** The unparsed texts of the settings that were given. */
export type SettingTexts = Readonly<Partial<Record<SettingName, string>>>;

/** Merges flags and environment variables; a flag takes precedence over the variable. */
export function mergeSettingTexts(
  flags: SettingTexts,
  environment: Readonly<Record<string, string | undefined>>,
): SettingTexts {
  const texts: Partial<Record<SettingName, string>> = {};
  for (const name of settingNames) {
    const text = flags[name] ?? environment[environmentVariableOf(name)];
    if (text !== undefined) texts[name] = text;
  }
  return texts;
}

function createSettingError(setting: SettingName, problem: string): SettingError {
  return {
    message: `${setting} (${flagOf(setting)}, ${environmentVariableOf(setting)}) ${problem}`,
    setting,
  };
}

function describeValue(name: SettingName, text: string): string {
  if (settingDefinitions[name].isSecret) return '';
  return `, not ${JSON.stringify(text.slice(0, 80))}`;
}

function parseSetting(
  name: SettingName,
  text: string | undefined,
): { value: unknown } | SettingError {
  const definition = settingDefinitions[name];
  const effectiveText = text ?? definition.defaultText;
  if (effectiveText === undefined) return createSettingError(name, 'is required');
  const result = definition.schema.safeParse(effectiveText);
  if (result.success) return { value: result.data };
  // For a union, such as an optional address, the first issue has a generic message; the issues of
  // its alternatives are nested in it.
  const message = result.error.issues[0]?.message ?? 'is not valid';
  const problem = message.startsWith('must') ? message : `must be ${definition.unit}`;
  return createSettingError(name, `${problem}${describeValue(name, effectiveText)}`);
}

/** Bind hosts that mean all addresses of the instance. */
const wildcardHosts: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

function advertisedAddressOf(
  configuredAddress: HostAndPort | undefined,
  bind: HostAndPort,
  peerHost: string,
): HostAndPort {
  if (configuredAddress !== undefined) return configuredAddress;
  return wildcardHosts.has(bind.host) ? { host: peerHost, port: bind.port } : bind;
}

function findCrossSettingErrors(settings: ParsedSettings): readonly SettingError[] {
  const errors: SettingError[] = [];
  const { peerAdvertisedAddress, peerBindAddress } = settings;
  if (peerAdvertisedAddress === undefined && wildcardHosts.has(peerBindAddress.host)) {
    errors.push(
      createSettingError('peerAdvertisedAddress', 'is required with a wildcard peer bind address'),
    );
  }
  if (peerAdvertisedAddress !== undefined && wildcardHosts.has(peerAdvertisedAddress.host)) {
    errors.push(
      createSettingError('peerAdvertisedAddress', 'must be an address that other nodes can reach'),
    );
  }
  // A key must not be forgotten while a request with it may still arrive.
  if (settings.retentionMilliseconds < 4 * settings.leaseMilliseconds) {
    errors.push(
      createSettingError('retentionMilliseconds', 'must be at least 4 times leaseMilliseconds'),
    );
  }
  for (const [current, previous] of [
    ['peerSecret', 'previousPeerSecret'],
    ['operatorSecret', 'previousOperatorSecret'],
  ] as const) {
    if (settings[current] === settings[previous]) {
      errors.push(createSettingError(previous, `must differ from ${current}`));
    }
  }
  return errors;
}

function fillAdvertisedAddresses(given: ParsedSettings): Settings {
  const peer = given.peerAdvertisedAddress ?? given.peerBindAddress;
  return {
    ...given,
    callerAdvertisedAddress: advertisedAddressOf(
      given.callerAdvertisedAddress,
      given.callerBindAddress,
      peer.host,
    ),
    operatorAdvertisedAddress: advertisedAddressOf(
      given.operatorAdvertisedAddress,
      given.operatorBindAddress,
      peer.host,
    ),
    peerAdvertisedAddress: peer,
    upstreamAdvertisedAddress: advertisedAddressOf(
      given.upstreamAdvertisedAddress,
      given.upstreamBindAddress,
      peer.host,
    ),
  };
}

/** Validates all settings and reports all errors at once. */
export function checkSettings(texts: SettingTexts): SettingsResult {
  const errors: SettingError[] = [];
  const values: Partial<Record<SettingName, unknown>> = {};
  for (const name of settingNames) {
    const result = parseSetting(name, texts[name]);
    if ('setting' in result) errors.push(result);
    else values[name] = result.value;
  }
  if (errors.length > 0) return { errors, kind: 'faulty' };
  const given = values as ParsedSettings;
  const crossSettingErrors = findCrossSettingErrors(given);
  if (crossSettingErrors.length > 0) return { errors: crossSettingErrors, kind: 'faulty' };
  return { kind: 'valid', settings: fillAdvertisedAddresses(given) };
}

function formatAddress({ host, port }: HostAndPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Formats the value of a setting; for a secret, only whether it is set. */
function formatSettingValue(name: SettingName, settings: Settings): string {
  const value = settings[name];
  if (settingDefinitions[name].isSecret) return value === undefined ? '(none)' : '(set)';
  if (value === undefined) return '(none)';
  return typeof value === 'object' ? formatAddress(value) : String(value);
}

/** Formats all settings as one `name=value` per line, without the values of secrets. */
export function formatSettings(settings: Settings): string {
  return settingNames.map((name) => `${name}=${formatSettingValue(name, settings)}`).join('\n');
}
