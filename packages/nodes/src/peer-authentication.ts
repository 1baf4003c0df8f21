import { createHmac, timingSafeEqual } from 'node:crypto';

/** Secrets shared by all nodes; the previous one is accepted while the current one is being rolled out. */
export interface PeerSecrets {
  readonly current: string;
  readonly previous?: string | undefined;
}

/**
 * Whether a node dialed or accepted the connection. The signer's side is part of each proof, so that a proof of one
 * side can't be sent back as the proof of the other.
 */
export type ConnectionSide = 'dialed' | 'accepted';

export interface ProofInput {
  readonly signerSide: ConnectionSide;
  readonly signerServer: string;
  readonly signerNonce: Uint8Array;
  readonly verifierNonce: Uint8Array;
}

function sign(secret: string, input: ProofInput): Buffer {
  return createHmac('sha256', secret)
    .update(`${input.signerSide}\n${input.signerServer}\n`)
    .update(input.verifierNonce)
    .update(input.signerNonce)
    .digest();
}

/** Signs the verifier's nonce with the current secret. */
export function createProof(secrets: PeerSecrets, input: ProofInput): Buffer {
  return sign(secrets.current, input);
}

/** Checks a proof against the current and the previous secret. */
export function verifyProof(
  secrets: PeerSecrets,
  input: ProofInput,
  signature: Uint8Array,
): boolean {
  const accepted = [secrets.current, secrets.previous].filter((secret) => secret !== undefined);
  let isValid = false;
  for (const secret of accepted) {
    const expected = sign(secret, input);
    // Every secret is compared, so that the duration does not reveal which one matched.
    isValid =
      (signature.length === expected.length && timingSafeEqual(signature, expected)) || isValid;
  }
  return isValid;
}
