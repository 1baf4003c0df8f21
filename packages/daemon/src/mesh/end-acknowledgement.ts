/**
 * The end of a server is confirmed to the server once peers have acknowledged it, which takes a round trip. Peers
 * that don't answer delay the confirmation by at most this time; the platform allows one second for it.
 */
const timeoutMilliseconds = 200;

type Schedule = (action: () => void, milliseconds: number) => () => void;

/** Settles when peers have acknowledged a message, or after a time-out. */
export async function waitForAcknowledgement(
  acknowledged: Promise<void>,
  schedule: Schedule,
): Promise<void> {
  await new Promise<void>((resolve) => {
    const cancel = schedule(resolve, timeoutMilliseconds);
    void acknowledged.then(() => {
      cancel();
      resolve();
    });
  });
}
