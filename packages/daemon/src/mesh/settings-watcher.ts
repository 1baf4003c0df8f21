import type { MeshSettings, SettingFault, SettingsResult } from './mesh-settings.js';

/** The file may change without a signal. It is small, so it is read again at this interval. */
const pollIntervalMilliseconds = 2_000;

export interface SettingsWatcherOptions {
  readonly settings: MeshSettings;
  /** Reads and decodes the settings file. */
  readonly read: () => Promise<SettingsResult>;
  /** Called with the new settings and the names of the fields that differ from those in force. */
  readonly onChange: (settings: MeshSettings, fields: readonly string[]) => void;
  readonly onInvalid: (faults: readonly SettingFault[]) => void;
  /** Called with unknown fields, which are ignored; each is reported once per process. */
  readonly onUnknownFields: (fields: readonly string[]) => void;
}

/** Watches the settings file of a process. If the file is invalid, the settings in force stay. */
export class SettingsWatcher {
  private current: MeshSettings;
  private lastFaults = '';
  private readonly reportedUnknownFields = new Set<string>();
  private readonly timer: NodeJS.Timeout;

  public constructor(private readonly options: SettingsWatcherOptions) {
    this.current = options.settings;
    this.timer = setInterval(() => {
      void this.check();
    }, pollIntervalMilliseconds);
  }

  /** Reads the file now, for example after a signal. */
  public async check(): Promise<void> {
    const result = await this.options.read();
    if (result.kind === 'faults') {
      this.reportFaultsOnce(result.faults);
      return;
    }
    this.lastFaults = '';
    this.reportUnknownFieldsOnce(result.unknownFields);
    const fields = differingFields(this.current, result.settings);
    if (fields.length === 0) return;
    this.current = result.settings;
    this.options.onChange(result.settings, fields);
  }

  public close(): void {
    clearInterval(this.timer);
  }

  private reportUnknownFieldsOnce(unknownFields: readonly string[]): void {
    const fields = unknownFields.filter((field) => !this.reportedUnknownFields.has(field));
    if (fields.length === 0) return;
    for (const field of fields) this.reportedUnknownFields.add(field);
    this.options.onUnknownFields(fields);
  }

  private reportFaultsOnce(faults: readonly SettingFault[]): void {
    const description = JSON.stringify(faults);
    if (description === this.lastFaults) return;
    this.lastFaults = description;
    this.options.onInvalid(faults);
  }
}

function differingFields(first: MeshSettings, second: MeshSettings): readonly string[] {
  const names = Object.keys(second) as (keyof MeshSettings)[];
  return names.filter((name) => JSON.stringify(first[name]) !== JSON.stringify(second[name]));
}
