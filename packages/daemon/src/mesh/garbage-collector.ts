/** Collects the garbage of the process at once. The function of the runtime is fetched on the first call. */
export class GarbageCollector {
  private collectNow: (() => void) | undefined;

  public collect(): void {
    this.collectNow ??= exposeCollection();
    this.collectNow();
  }
}

/** Most processes never need these modules, which would make each start longer. */
function exposeCollection(): () => void {
  const { setFlagsFromString } = process.getBuiltinModule('node:v8');
  const { runInNewContext } = process.getBuiltinModule('node:vm');
  setFlagsFromString('--expose-gc');
  const exposed = runInNewContext('gc') as () => void;
  setFlagsFromString('--no-expose-gc');
  return exposed;
}
