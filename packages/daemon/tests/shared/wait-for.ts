import { setTimeout as sleep } from 'node:timers/promises';

/** Only a fault makes a condition take this long, however busy the machine is. */
const limitMilliseconds = 60_000;
const pauseMilliseconds = 25;

/** Waits until a condition holds; a condition that throws does not hold yet. */
export async function waitFor(
  description: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const endsAt = performance.now() + limitMilliseconds;
  for (;;) {
    let detail = '';
    try {
      if (await condition()) return;
    } catch (error) {
      detail = `: ${String(error)}`;
    }
    if (performance.now() > endsAt) throw new Error(`waited in vain until ${description}${detail}`);
    await sleep(pauseMilliseconds);
  }
}
