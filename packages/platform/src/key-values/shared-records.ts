import type { CancellableDelays } from './cancellable-delays.js';
import type { StoreCallCodec, StoredItem } from './key-value-store.js';
import type { StoreClient } from './store-client.js';

/** After this many failed calls in a row, some minutes, a record is no longer written or removed. */
const maximumFailures = 120;

export interface SharedRecordsOptions {
  readonly storeClient: Pick<StoreClient, 'call' | 'list'>;
  readonly codec: StoreCallCodec;
  readonly delays: Pick<CancellableDelays, 'backOff'>;
  /** Key prefix of the records, with a trailing slash. */
  readonly prefix: string;
}

/** Records that nodes keep in the store for those that start later, which read them together with the directory. */
export class SharedRecords {
  private isClosed = false;

  public constructor(private readonly options: SharedRecordsOptions) {}

  public async write(name: string, value: Uint8Array): Promise<void> {
    const { codec, storeClient } = this.options;
    await this.retry(async () => {
      const { kind } = await storeClient.call(codec.write(this.keyOf(name), value));
      return kind === 'ok';
    });
  }

  public async remove(name: string): Promise<void> {
    const { codec, storeClient } = this.options;
    await this.retry(async () => {
      const listed = await storeClient.list(this.keyOf(name), false);
      if (listed.kind !== 'ok') return false;
      const item = this.findItem(listed.value.items, name);
      if (item === undefined) return true;
      const removed = await storeClient.call(codec.remove(item.key, item.revision));
      return removed.kind === 'ok';
    });
  }

  public close(): void {
    this.isClosed = true;
  }

  private async retry(attempt: () => Promise<boolean>): Promise<void> {
    for (let failures = 0; !this.isClosed && failures < maximumFailures; failures += 1) {
      if (failures > 0) await this.options.delays.backOff(failures);
      if (await attempt()) return;
    }
  }

  private findItem(items: readonly StoredItem[], name: string): StoredItem | undefined {
    return items.find(({ key }) => key === this.keyOf(name));
  }

  private keyOf(name: string): string {
    return `${this.options.prefix}${name}`;
  }
}
