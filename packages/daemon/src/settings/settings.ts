import {
  flagOf,
  settingDefinitions,
  settingNames,
  variableOf,
  type GivenSettings,
  type SettingName,
} from './setting-definitions.js';
import type { HostAndPort } from './setting-types.js';

/** All settings of the daemon; every advertised address is filled in. */
export interface Settings extends GivenSettings {
  readonly callerAdvertisedAddress: HostAndPort;
  readonly operatorAdvertisedAddress: HostAndPort;
  readonly peerAdvertisedAddress: HostAndPort;
  readonly upstreamAdvertisedAddress: HostAndPort;
}

/** What is wrong with one setting. Values of secrets are never part of it. */
export interface SettingFault {
  readonly setting: SettingName;
  readonly message: string;
}

/** The settings, or everything that is wrong with them. */
export type SettingsResult =
  | { readonly kind: 'valid'; readonly settings: Settings }
  | { readonly kind: 'faulty'; readonly faults: readonly SettingFault[] };

/** Texts of the settings that were given. */
export type SettingTexts = Readonly<Partial<Record<SettingName, string>>>;

/** Takes the flag of each setting, else its environment variable. */
export function mergeTexts(
  flags: SettingTexts,
  environment: Readonly<Record<string, string | undefined>>,
): SettingTexts {
  const texts: Partial<Record<SettingName, string>> = {};
  for (const name of settingNames) {
    const text = flags[name] ?? environment[variableOf(name)];
    if (text !== undefined) texts[name] = text;
  }
  return texts;
}

function fault(setting: SettingName, problem: string): SettingFault {
  return { message: `${setting} (${flagOf(setting)}, ${variableOf(setting)}) ${problem}`, setting };
}

function describeValue(name: SettingName, text: string): string {
  if (settingDefinitions[name].isSecret) return '';
  return `, not ${JSON.stringify(text.slice(0, 80))}`;
}

function readOne(name: SettingName, text: string | undefined): { value: unknown } | SettingFault {
  const definition = settingDefinitions[name];
  const used = text ?? definition.defaultText;
  if (used === undefined) return fault(name, 'is required');
  const result = definition.schema.safeParse(used);
  if (result.success) return { value: result.data };
  // The inner faults of an optional address are the faults of its alternatives.
  const message = result.error.issues[0]?.message ?? 'is not valid';
  const problem = message.startsWith('must') ? message : `must be ${definition.unit}`;
  return fault(name, `${problem}${describeValue(name, used)}`);
}

/** Hosts that stand for every address of the machine. */
const wildcards: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

function advertise(
  given: HostAndPort | undefined,
  bind: HostAndPort,
  peerHost: string,
): HostAndPort {
  if (given !== undefined) return given;
  return wildcards.has(bind.host) ? { host: peerHost, port: bind.port } : bind;
}

function crossFaults(given: GivenSettings): readonly SettingFault[] {
  const faults: SettingFault[] = [];
  const { peerAdvertisedAddress, peerBindAddress } = given;
  if (peerAdvertisedAddress === undefined && wildcards.has(peerBindAddress.host)) {
    faults.push(fault('peerAdvertisedAddress', 'is required with a wildcard peer bind address'));
  }
  if (peerAdvertisedAddress !== undefined && wildcards.has(peerAdvertisedAddress.host)) {
    faults.push(fault('peerAdvertisedAddress', 'must be an address that other nodes can reach'));
  }
  // A key must not be forgotten while an attempt that carries it may still arrive.
  if (given.retentionMilliseconds < 4 * given.leaseMilliseconds) {
    faults.push(fault('retentionMilliseconds', 'must be at least 4 times leaseMilliseconds'));
  }
  for (const [current, previous] of [
    ['peerSecret', 'previousPeerSecret'],
    ['operatorSecret', 'previousOperatorSecret'],
  ] as const) {
    if (given[current] === given[previous]) {
      faults.push(fault(previous, `must differ from ${current}`));
    }
  }
  return faults;
}

function complete(given: GivenSettings): Settings {
  const peer = given.peerAdvertisedAddress ?? given.peerBindAddress;
  return {
    ...given,
    callerAdvertisedAddress: advertise(
      given.callerAdvertisedAddress,
      given.callerBindAddress,
      peer.host,
    ),
    operatorAdvertisedAddress: advertise(
      given.operatorAdvertisedAddress,
      given.operatorBindAddress,
      peer.host,
    ),
    peerAdvertisedAddress: peer,
    upstreamAdvertisedAddress: advertise(
      given.upstreamAdvertisedAddress,
      given.upstreamBindAddress,
      peer.host,
    ),
  };
}

/** Checks all settings and reports every fault at once. */
export function checkSettings(texts: SettingTexts): SettingsResult {
  const faults: SettingFault[] = [];
  const values: Partial<Record<SettingName, unknown>> = {};
  for (const name of settingNames) {
    const result = readOne(name, texts[name]);
    if ('setting' in result) faults.push(result);
    else values[name] = result.value;
  }
  if (faults.length > 0) return { faults, kind: 'faulty' };
  const given = values as GivenSettings;
  const crossing = crossFaults(given);
  if (crossing.length > 0) return { faults: crossing, kind: 'faulty' };
  return { kind: 'valid', settings: complete(given) };
}

function printAddress({ host, port }: HostAndPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Prints the value of a setting; a secret only as given or not given. */
function printValue(name: SettingName, settings: Settings): string {
  const value = settings[name];
  if (settingDefinitions[name].isSecret) return value === undefined ? '(none)' : '(set)';
  if (value === undefined) return '(none)';
  return typeof value === 'object' ? printAddress(value) : String(value);
}

/** All settings, one `name=value` a line, without secrets. */
export function printSettings(settings: Settings): string {
  return settingNames.map((name) => `${name}=${printValue(name, settings)}`).join('\n');
}
