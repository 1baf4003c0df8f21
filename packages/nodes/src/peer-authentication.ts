import { createHmac, timingSafeEqual } from 'node:crypto';

/** Secrets that nodes share; the previous one is accepted while the current one is being rolled out. */
export interface PeerSecrets {
  readonly current: string;
  readonly previous?: string | undefined;
}

/** Which side of the connection signs; a proof of one side can't be sent back as the other's. */
export type ConnectionSide = 'dialed' | 'accepted';

export interface ProofInput {
  readonly side: ConnectionSide;
  readonly server: string;
  readonly ownNonce: Uint8Array;
  readonly otherNonce: Uint8Array;
}

function sign(secret: string, input: ProofInput): Buffer {
  return createHmac('sha256', secret)
    .update(`${input.side}\n${input.server}\n`)
    .update(input.otherNonce)
    .update(input.ownNonce)
    .digest();
}

/** Signs the other side's nonce. */
export function createProof(secrets: PeerSecrets, input: ProofInput): Buffer {
  return sign(secrets.current, input);
}

/** Checks a proof against the current and the previous secret. `input` is from the signer's view. */
export function verifyProof(
  secrets: PeerSecrets,
  input: ProofInput,
  signature: Uint8Array,
): boolean {
  const accepted = [secrets.current, secrets.previous].filter((secret) => secret !== undefined);
  let isValid = false;
  for (const secret of accepted) {
    const expected = sign(secret, input);
    // Every secret is compared, so that the time does not tell which one matched.
    isValid =
      (signature.length === expected.length && timingSafeEqual(signature, expected)) || isValid;
  }
  return isValid;
}
