import { setTimeout as sleep } from 'node:timers/promises';

/** Long enough that a timeout indicates a defect, even on a busy machine. */
const timeoutMilliseconds = 60_000;
const pollIntervalMilliseconds = 25;

/** Polls a condition until it holds. A condition that throws is treated as not yet met. */
export async function waitFor(
  description: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const endsAt = performance.now() + timeoutMilliseconds;
  for (;;) {
    let detail = '';
    try {
      if (await condition()) return;
    } catch (error) {
      detail = `: ${String(error)}`;
    }
    if (performance.now() > endsAt)
      throw new Error(`timed out waiting until ${description}${detail}`);
    await sleep(pollIntervalMilliseconds);
  }
}
