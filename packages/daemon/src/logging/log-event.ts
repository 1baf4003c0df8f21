/**
 * Names of the log events of the daemon itself. They are stable, because operators filter and alert by them. The
 * core package defines the names of its own events.
 */
export const LogEvent = {
  AddressInUse: 'address-in-use',
  ClientFaulty: 'client-faulty',
  ConfigurationInForce: 'configuration-in-force',
  InvariantBroken: 'invariant-broken',
  NodeStarted: 'node-started',
  NodeStarting: 'node-starting',
  NodeStopped: 'node-stopped',
  NodeStopping: 'node-stopping',
  OperatorChange: 'operator-change',
  PeerLost: 'peer-lost',
  PeerRejected: 'peer-rejected',
  PlatformAnswersAgain: 'platform-answers-again',
  PlatformUnreachable: 'platform-unreachable',
  SettingUnknown: 'setting-unknown',
  StopGraceExpired: 'stop-grace-expired',
  UpstreamAnnounced: 'upstream-announced',
  UpstreamDraining: 'upstream-draining',
  UpstreamLeft: 'upstream-left',
} as const;
export type LogEvent = (typeof LogEvent)[keyof typeof LogEvent];
