import type { AllotmentAskFrame, AllotmentGrantFrame } from '@peridotspring/mesh-core';

/** Bounds on what a peer may send. */
const maximumEntries = 4_096;
const maximumCount = 1_000_000;

type Fields = Readonly<Record<string, unknown>>;

/** Validates what the codec does not check. */
export function isAllotmentAsk(
  frame: AllotmentAskFrame | AllotmentGrantFrame,
): frame is AllotmentAskFrame {
  if (frame.kind !== 'allotment-ask') return false;
  const { group, needs, number, shareCount, stamp } = frame as unknown as Fields;
  if (!Number.isSafeInteger(group) || !Number.isSafeInteger(number)) return false;
  if (!isCount(shareCount)) return false;
  if (stamp !== undefined && !Number.isFinite(stamp)) return false;
  return areEntries(needs, 4);
}

export function isAllotmentGrant(
  frame: AllotmentAskFrame | AllotmentGrantFrame,
): frame is AllotmentGrantFrame {
  if (frame.kind !== 'allotment-grant') return false;
  const { grants, group, number, stamp } = frame as unknown as Fields;
  if (!Number.isSafeInteger(group) || !Number.isSafeInteger(number)) return false;
  return Number.isFinite(stamp) && areEntries(grants, 2);
}

/** Whether each entry is the name of a tenant and that many counts. */
function areEntries(value: unknown, counts: number): boolean {
  if (!Array.isArray(value) || value.length > maximumEntries) return false;
  return (value as readonly unknown[]).every((entry) => {
    if (!Array.isArray(entry) || entry.length !== counts + 1) return false;
    const [tenant, ...numbers] = entry as readonly unknown[];
    return typeof tenant === 'string' && numbers.every(isCount);
  });
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0 && Number(value) <= maximumCount;
}
