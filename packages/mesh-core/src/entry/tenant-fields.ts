import type { StartFrame } from '../messages/mesh-frames.js';
import type { Tenant } from '../tenants/tenant.js';

/**
 * The fields of a start frame about the request's tenant.
 * @param keyValidMilliseconds time for which keys may be acted on, negative once it has passed; infinite without a limit.
 */
export function tenantFields(
  tenant: Tenant | undefined,
  keyValidMilliseconds: () => number,
): Pick<StartFrame, 'keyValidMilliseconds' | 'tenant'> {
  if (tenant === undefined) return {};
  const remaining = keyValidMilliseconds();
  if (remaining === Infinity) return { tenant: tenant.name };
  return { keyValidMilliseconds: Math.max(0, remaining), tenant: tenant.name };
}
