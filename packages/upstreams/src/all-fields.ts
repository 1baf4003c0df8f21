import type { ClientRequest } from 'node:http';

/**
 * Lets the parser pass on all fields of a response's head, whose size it limits. By default, it drops those after the thousandth
 * without an error, also those that tell the length of the body.
 */
export function readAllFields(request: ClientRequest): void {
  request.maxHeadersCount = 0;
}
