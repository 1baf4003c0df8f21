export { formatBuildIdentity, readBuildIdentity } from '@peridotspring/build-identity';
export type { BuildIdentity } from '@peridotspring/build-identity';
export { LineWriter } from '../logging/line-writer.js';
export { installLogWriter, Logger } from '../logging/logger.js';
export { MeshEvent } from './mesh-event.js';
export type { HostAndPort, MeshSettings, SettingFault, SettingsResult } from './mesh-settings.js';
export { startMeshNode } from './mesh-wiring.js';
export type { MeshWiringOptions, RunningMeshNode } from './mesh-wiring.js';
export type { DecodedConfiguration, PlatformAdapter } from './platform-adapter.js';
