import { hashString } from '@peridotspring/core';

import { brokerGroupCount } from './allotment-timing.js';

/** The group of a tenant; the tenants of a group have the same broker. */
export function brokerGroupOf(tenant: string): number {
  return hashString(tenant) % brokerGroupCount;
}
