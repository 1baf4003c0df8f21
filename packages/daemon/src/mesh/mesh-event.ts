/** Names of the events of a node that routes by host and path; the core names its events itself. */
export const MeshEvent = {
  ConfigurationInForce: 'configuration-in-force',
  ConfigurationInvalid: 'configuration-invalid',
  DialFailed: 'dial-failed',
  HealthChecked: 'server-health-checked',
  LinesSuppressed: 'log-lines-suppressed',
  NodeConnected: 'node-connected',
  NodeDisconnected: 'node-disconnected',
  NodeKnown: 'node-known',
  NodeStarted: 'node-started',
  NodeStopped: 'node-stopped',
  NodeStopping: 'node-stopping',
  OtherInstance: 'server-is-another',
  RequestAnsweredLocally: 'request-answered-locally',
  ServerMessageInvalid: 'server-message-invalid',
  SettingsInvalid: 'settings-invalid',
  SettingsReloaded: 'settings-reloaded',
  StoreCalled: 'store-called',
  StoreReachable: 'store-reachable',
  StoreUnreachable: 'store-unreachable',
} as const;
export type MeshEvent = (typeof MeshEvent)[keyof typeof MeshEvent];
