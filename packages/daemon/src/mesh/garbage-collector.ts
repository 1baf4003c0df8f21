import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Collects the garbage of the process at once. The function of the runtime is fetched on the first call. */
export class GarbageCollector {
  private collectNow: (() => void) | undefined;

  public collect(): void {
    this.collectNow ??= exposeCollection();
    this.collectNow();
  }
}

function exposeCollection(): () => void {
  setFlagsFromString('--expose-gc');
  const exposed = runInNewContext('gc') as () => void;
  setFlagsFromString('--no-expose-gc');
  return exposed;
}
