import type { Route } from '../routes/route-configuration.js';
import { parseBearerKey } from './bearer-credentials.js';
import type { TenantDirectory } from './tenant-directory.js';
import type { Tenant } from './tenant.js';

export const DenialCause = {
  /** No tenant of the configuration in force holds the key. */
  UnknownKey: 'unknown-key',
  /** No key, several keys, or a scheme other than `Bearer`. */
  InvalidCredentials: 'invalid-credentials',
  /** The configuration in force holds the key, but a newer one may have removed it longer ago than is allowed. */
  KeyUnproven: 'key-unproven',
  /** No tenant that this node knows holds the key, but a newer configuration may. */
  Unconfirmed: 'configuration-unconfirmed',
} as const;
export type DenialCause = (typeof DenialCause)[keyof typeof DenialCause];

/** Whether a request may be made, and on behalf of which tenant. */
export type Authorization =
  | { readonly kind: 'granted'; readonly tenant: Tenant | undefined }
  | { readonly kind: 'denied'; readonly cause: DenialCause };

/** What is known about the configuration in force. */
export interface AuthorizationContext {
  /** Undefined if the configuration declares no tenants: then all requests are allowed. */
  readonly tenants: TenantDirectory | undefined;
  /** Whether the store has shown, within the time in which changes take effect, that no newer version exists. */
  readonly isConfirmed: boolean;
  /** Whether the keys of the configuration in force may be acted on: their removal would have become known. */
  readonly isKeyProven: boolean;
}

/**
 * Decides whether a request may be made, from the values of its `Authorization` fields. Requests on public routes are
 * anonymous, whatever key they carry.
 */
export function authorizeRequest(
  route: Pick<Route, 'isPublic'>,
  authorizationFields: readonly string[],
  { isConfirmed, isKeyProven, tenants }: AuthorizationContext,
): Authorization {
  if (tenants === undefined || route.isPublic) return { kind: 'granted', tenant: undefined };
  const apiKey = parseBearerKey(authorizationFields);
  if (apiKey === undefined) return { cause: DenialCause.InvalidCredentials, kind: 'denied' };
  const tenant = tenants.findByKey(apiKey);
  if (tenant !== undefined) {
    return isKeyProven
      ? { kind: 'granted', tenant }
      : { cause: DenialCause.KeyUnproven, kind: 'denied' };
  }
  return { cause: isConfirmed ? DenialCause.UnknownKey : DenialCause.Unconfirmed, kind: 'denied' };
}
