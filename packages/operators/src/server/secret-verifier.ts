import { createHash, timingSafeEqual } from 'node:crypto';

/** The secrets that are accepted: the current one and, during a rotation, the previous one. */
export interface AcceptedSecrets {
  readonly current: string;
  readonly previous?: string | undefined;
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Verifies bearer secrets in constant time, independent of the secret and of which one matches. */
export class SecretVerifier {
  private readonly acceptedDigests: readonly Buffer[];

  public constructor(secrets: AcceptedSecrets) {
    // An empty previous secret means that there is none; it must not match an empty bearer token.
    const candidates = [secrets.current, secrets.previous ?? ''];
    this.acceptedDigests = candidates.filter((secret) => secret !== '').map(digest);
  }

  /** Whether an `Authorization` header carries an accepted secret. */
  public accepts(authorization: string | undefined): boolean {
    const [, presented = ''] = /^Bearer ([\x21-\x7e]+)$/i.exec(authorization ?? '') ?? [];
    const presentedDigest = digest(presented);
    let isAccepted = false;
    for (const accepted of this.acceptedDigests) {
      // No early exit, so that the loop takes equally long whether a secret matches or not.
      isAccepted = timingSafeEqual(presentedDigest, accepted) || isAccepted;
    }
    return isAccepted;
  }
}
