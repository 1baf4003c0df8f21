import type { CancellableDelays } from './cancellable-delays.js';

/**
 * A call that takes longer is repeated beside it: its response may be lost, or the store slow. The time doubles with each
 * repetition.
 */
const slowCallMilliseconds = 300;
const maximumConcurrentCalls = 4;

export interface CallUntilSuccessOptions<Value> {
  /** Makes one call; resolves to undefined if it failed. `isRepeat` is true if an earlier one has failed or is still in progress. */
  readonly call: (isRepeat: boolean) => Promise<Value | undefined>;
  readonly delays: Pick<CancellableDelays, 'backOff' | 'sleep'>;
  /** Whether another call may be made. */
  readonly mayContinue: () => boolean;
}

/**
 * Repeats a call until one succeeds, or none may be made any more; then it resolves to undefined. A slow call goes on beside
 * its repetition, so that a store whose responses take long is still heard.
 */
export async function callUntilSuccess<Value>({
  call,
  delays,
  mayContinue,
}: CallUntilSuccessOptions<Value>): Promise<Value | undefined> {
  return new Promise((resolve) => {
    let begun = 0;
    let failures = 0;
    let running = 0;
    let isDone = false;
    const finish = (value: Value | undefined): void => {
      isDone = true;
      resolve(value);
    };
    const begin = (): void => {
      if (isDone) return;
      if (!mayContinue()) {
        if (running === 0) finish(undefined);
        return;
      }
      if (running >= maximumConcurrentCalls) return;
      let isRunning = true;
      const slowAfter = slowCallMilliseconds * 2 ** running;
      running += 1;
      begun += 1;
      void call(begun > 1).then((value) => {
        isRunning = false;
        running -= 1;
        if (value !== undefined) {
          finish(value);
          return;
        }
        failures += 1;
        void delays.backOff(failures).then(begin);
      });
      void delays.sleep(slowAfter).then(() => {
        if (isRunning) begin();
      });
    };
    begin();
  });
}
