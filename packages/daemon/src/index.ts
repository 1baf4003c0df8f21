export { formatLine, formatValue, logLevels } from './logging/format-line.js';
export type { LogLevel, LogRecord, LogValue } from './logging/format-line.js';
export { LogEvent } from './logging/log-event.js';
export { installLogWriter, Logger } from './logging/logger.js';
export {
  flagOf,
  settingDefinitions,
  settingNames,
  environmentVariableOf,
} from './settings/setting-definitions.js';
export type { ParsedSettings, SettingName } from './settings/setting-definitions.js';
export type { HostAndPort, SettingDefinition } from './settings/setting-types.js';
export { checkSettings, mergeSettingTexts, formatSettings } from './settings/settings.js';
export type { SettingError, Settings, SettingsResult, SettingTexts } from './settings/settings.js';
export { settingsPage } from './settings/settings-page.js';
export { invalidSettingsExitCode, readStartRequest } from './settings/start-request.js';
export type { StartRequest } from './settings/start-request.js';
