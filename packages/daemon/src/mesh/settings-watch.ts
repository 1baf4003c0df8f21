import type { MeshSettings, SettingFault, SettingsResult } from './mesh-settings.js';

/** The file may change without a signal; it is small, so it is simply read again. */
const readMilliseconds = 2_000;

export interface SettingsWatchOptions {
  readonly settings: MeshSettings;
  /** Reads and decodes the settings file. */
  readonly read: () => Promise<SettingsResult>;
  /** Settings that differ from those in force, with the names of the fields that do. */
  readonly changed: (settings: MeshSettings, fields: readonly string[]) => void;
  readonly invalid: (faults: readonly SettingFault[]) => void;
  /** Fields that are ignored; each is told once in the life of the process. */
  readonly unknown: (fields: readonly string[]) => void;
}

/** Follows the settings file of a process. A file that can't be used leaves what was in force. */
export class SettingsWatch {
  private current: MeshSettings;
  private lastFaults = '';
  private readonly toldUnknown = new Set<string>();
  private readonly timer: NodeJS.Timeout;

  public constructor(private readonly options: SettingsWatchOptions) {
    this.current = options.settings;
    this.timer = setInterval(() => {
      void this.check();
    }, readMilliseconds);
  }

  /** Reads the file now, as a signal asks. */
  public async check(): Promise<void> {
    const result = await this.options.read();
    if (result.kind === 'faults') {
      this.reportOnce(result.faults);
      return;
    }
    this.lastFaults = '';
    this.tellUnknown(result.unknownFields);
    const fields = differingFields(this.current, result.settings);
    if (fields.length === 0) return;
    this.current = result.settings;
    this.options.changed(result.settings, fields);
  }

  public close(): void {
    clearInterval(this.timer);
  }

  private tellUnknown(unknownFields: readonly string[]): void {
    const fields = unknownFields.filter((field) => !this.toldUnknown.has(field));
    if (fields.length === 0) return;
    for (const field of fields) this.toldUnknown.add(field);
    this.options.unknown(fields);
  }

  private reportOnce(faults: readonly SettingFault[]): void {
    const description = JSON.stringify(faults);
    if (description === this.lastFaults) return;
    this.lastFaults = description;
    this.options.invalid(faults);
  }
}

function differingFields(first: MeshSettings, second: MeshSettings): readonly string[] {
  const names = Object.keys(second) as (keyof MeshSettings)[];
  return names.filter((name) => JSON.stringify(first[name]) !== JSON.stringify(second[name]));
}
