import type { ClientRequest } from 'node:http';

/** A server sends a few of them at most; the parser reads any number, and each takes processor time. */
const maximumInterimResponses = 16;

/**
 * Destroys a request whose server sends interim responses (status 1xx) without end, after a call of `onExceeded`. Fewer
 * of them are ignored.
 */
export function limitInterimResponses(
  request: ClientRequest,
  onExceeded: () => void = () => undefined,
): void {
  let count = 0;
  request.on('information', () => {
    count += 1;
    if (count <= maximumInterimResponses || request.destroyed) return;
    onExceeded();
    request.destroy(new Error('too many interim responses'));
  });
}
