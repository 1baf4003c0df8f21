import { headerValue } from '../messages/header-list.js';
import type { HeaderList } from '../messages/mesh-frames.js';

/** The fields by which a request is recognized when its caller sends it again; its identifier differs each time. */
export interface RequestIdentity {
  readonly callerService: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body?: Uint8Array | undefined;
}

/** A collision-resistant hash function, so that no caller can make its request look like that of another one. */
export type Digest = (content: string | Uint8Array) => string;

const separator = '.';

/** Identifies a request by digests of its head and its body. */
export class RequestFingerprinter {
  public constructor(private readonly digest: Digest) {}

  /** Digest of everything but the body. */
  public headOf({ callerService, headers, method, path }: RequestIdentity): string {
    const host = headerValue(headers, 'host') ?? '';
    return this.digest(JSON.stringify([callerService, method, host, path]));
  }

  /** The complete fingerprint, given the digest of the head. */
  public withBody(head: string, { body }: RequestIdentity): string {
    const isEmpty = body === undefined || body.length === 0;
    return `${head}${separator}${isEmpty ? '' : this.digest(body)}`;
  }
}

/** The digest of the head in a complete fingerprint. */
export function headOfFingerprint(fingerprint: string): string {
  return fingerprint.split(separator, 1)[0] ?? '';
}
