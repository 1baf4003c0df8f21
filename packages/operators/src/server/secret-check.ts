import { createHash, timingSafeEqual } from 'node:crypto';

/** Secrets that are accepted: the current one and, while they are being changed, the previous one. */
export interface AcceptedSecrets {
  readonly current: string;
  readonly previous?: string | undefined;
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Checks bearer secrets in a time that depends on neither the secret nor which one matches. */
export class SecretCheck {
  private readonly accepted: readonly Buffer[];

  public constructor(secrets: AcceptedSecrets) {
    // An empty previous secret means that there is none; it must not accept an empty bearer.
    const candidates = [secrets.current, secrets.previous ?? ''];
    this.accepted = candidates.filter((secret) => secret !== '').map(digest);
  }

  /** Whether an `Authorization` header carries an accepted secret. */
  public accepts(authorization: string | undefined): boolean {
    const [, presented = ''] = /^Bearer ([\x21-\x7e]+)$/i.exec(authorization ?? '') ?? [];
    const presentedDigest = digest(presented);
    let isAccepted = false;
    for (const accepted of this.accepted) {
      // No early exit: the loop takes as long for a match as without one.
      isAccepted = timingSafeEqual(presentedDigest, accepted) || isAccepted;
    }
    return isAccepted;
  }
}
