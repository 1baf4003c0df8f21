import { logLevels, type LogLevel } from '../logging/format-line.js';
import {
  address,
  choice,
  nameText,
  optionalAddress,
  optionalSecret,
  secret,
  wholeNumber,
  type SettingDefinition,
} from './setting-types.js';

/** All settings of the daemon, in the order in which they are printed and documented. */
export const settingDefinitions = {
  serverName: nameText({
    documentation:
      'Name of the server that the node runs on. Unique in all regions; a restart keeps it.',
  }),
  availabilityZone: nameText({ documentation: 'Availability zone of the server.' }),
  region: nameText({ documentation: 'Region of the server.' }),
  callerBindAddress: address({
    default: '0.0.0.0:7100',
    documentation: 'Address on which callers are served.',
  }),
  callerAdvertisedAddress: optionalAddress(
    'Address under which callers reach the node. Without it: the bind address, with the host of the advertised peer address in place of a wildcard.',
  ),
  peerBindAddress: address({
    default: '0.0.0.0:7101',
    documentation: 'Address on which other nodes are accepted.',
  }),
  peerAdvertisedAddress: optionalAddress(
    'Address under which other nodes reach this one. Required when the peer bind address is a wildcard.',
  ),
  upstreamBindAddress: address({
    default: '127.0.0.1:7102',
    documentation: 'Address on which the local upstream announces itself, drains and leaves.',
  }),
  upstreamAdvertisedAddress: optionalAddress(
    'Address that the local upstream is told. Without it: as for the caller address.',
  ),
  operatorBindAddress: address({
    default: '0.0.0.0:7103',
    documentation: 'Address on which operators are served.',
  }),
  operatorAdvertisedAddress: optionalAddress(
    'Address under which operators reach the node. Without it: as for the caller address.',
  ),
  platformAddress: address({ documentation: "Address of the platform's key-value service." }),
  peerSecret: secret('Secret that every node proves to the others.'),
  previousPeerSecret: optionalSecret(
    'Secret that is accepted besides the peer secret while it is being changed.',
  ),
  operatorSecret: secret('Bearer secret of the operator port.'),
  previousOperatorSecret: optionalSecret(
    'Secret that is accepted besides the operator secret while it is being changed.',
  ),
  leaseMilliseconds: wholeNumber('milliseconds', 500, 30_000, {
    default: '3000',
    documentation:
      'Lease of the home of a key range. It has to be the same on all nodes. A shorter lease ends the wait after a dead home sooner and needs more confirmations.',
  }),
  retentionMilliseconds: wholeNumber('milliseconds', 60_000, 604_800_000, {
    default: '86400000',
    documentation: 'Time for which a key is remembered. It has to be the same on all nodes.',
  }),
  minimumRetentionMilliseconds: wholeNumber('milliseconds', 10_000, 604_800_000, {
    default: '300000',
    documentation:
      'Time for which a key with a creation time is remembered even when there is no room for new keys. Above it the oldest keys are forgotten for new ones, and later requests with them are answered key-too-old.',
  }),
  futureKeyToleranceMilliseconds: wholeNumber('milliseconds', 0, 10_000, {
    default: '500',
    documentation: 'How far in the future the creation time of a key may be.',
  }),
  clockSkewMilliseconds: wholeNumber('milliseconds', 1, 10_000, {
    default: '500',
    documentation:
      "Bound on the difference between two nodes' wall clocks. At-most-once depends on it: it must not be below what the clocks really differ by.",
  }),
  keyRecords: wholeNumber('records', 1_000, 10_000_000, {
    default: '200000',
    documentation:
      'Key records that the node holds. Above it old keys are forgotten, and new ones refused if none is old enough.',
  }),
  keyRecordBytes: wholeNumber('bytes', 1_048_576, 1_073_741_824, {
    default: '25165824',
    documentation: 'Memory for key records and their recorded answers.',
  }),
  callerHeaderBytes: wholeNumber('bytes', 1_024, 262_144, {
    default: '16384',
    documentation: "Size of a caller's request line and headers; larger ones are answered 431.",
  }),
  callerBodyBytes: wholeNumber('bytes', 65_536, 10_737_418_240, {
    default: '67108864',
    documentation:
      'Size of the body of an idempotent request; larger ones are answered 413. Non-idempotent bodies are limited to 1 MiB.',
  }),
  callerConnections: wholeNumber('connections', 1, 65_535, {
    default: '1000',
    documentation:
      'Connections of callers at once; a further one takes the place of the one that has been idle longest, or is closed if none is idle.',
  }),
  callerRequests: wholeNumber('requests', 1, 100_000, {
    default: '1000',
    documentation: 'Requests of callers in progress at once; further ones are refused.',
  }),
  callerMemoryBytes: wholeNumber('bytes', 8_388_608, 68_719_476_736, {
    default: '134217728',
    documentation:
      'Memory for connections, heads, buffered bodies and unread answers of callers. Requests beyond it are answered entry-busy, and connections closed.',
  }),
  defaultTenant: nameText({
    default: 'default',
    documentation: 'Tenant of a request without the header Peridotspring-Tenant.',
  }),
  stopGraceMilliseconds: wholeNumber('milliseconds', 0, 600_000, {
    default: '70000',
    documentation:
      'Time that a planned stop waits for requests in flight. The default lets a request with the longest deadline of 60 s finish.',
  }),
  logLevel: choice<LogLevel>(logLevels, {
    default: 'info',
    documentation: 'Lowest level of the events that are logged.',
  }),
} as const satisfies Readonly<Record<string, SettingDefinition<unknown>>>;

export type SettingName = keyof typeof settingDefinitions;

type ValueOf<Definition> = Definition extends SettingDefinition<infer Value> ? Value : never;

/** The parsed values of all settings, before missing advertised addresses are filled in. */
export type ParsedSettings = {
  readonly [Name in SettingName]: ValueOf<(typeof settingDefinitions)[Name]>;
};

/** The names of all settings, in the order of their definitions. */
export const settingNames = Object.keys(settingDefinitions) as readonly SettingName[];

/**
 * Returns the command-line flag of a setting, such as `--lease-milliseconds` for
 * `leaseMilliseconds`.
 */
export function flagOf(name: SettingName): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/** Returns the environment variable of a setting, such as `PERIDOTSPRING_LEASE_MILLISECONDS`. */
export function environmentVariableOf(name: SettingName): string {
  return `PERIDOTSPRING_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}
